//! What VMs tell one another of contents under which servers crash.
//!
//! Each VM tells which contents were open at a server when it crashed. Few VMs tell all others. Of many, a few gather what is known of
//! a content, the same for all VMs, so that a crash costs some messages and not one for each pair of VMs. Whoever finds that a
//! content is to be held back tells all.

use serde::{Deserialize, Serialize};

use super::evidence::{Broken, Change, Evidence, Life, Told};
use crate::unit::{Digest, Moment, Span};

/// Contents that are told at once, the newest; each is some 24 bytes.
const MOST_TOLD: usize = 100;

/// What one VM tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum News {
    /// A life of a server ended so long ago with these open.
    Ended {
        /// The life.
        life: Life,
        /// Its requests.
        broken: Vec<Broken>,
        /// How long ago.
        age: Span,
    },
    /// These are held back.
    Held(Vec<Told>),
    /// One that others suspect ran to a good end so long ago.
    RanWell {
        /// The content.
        content: Digest,
        /// How long ago.
        age: Span,
    },
}

/// Whom news are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum To {
    /// All VMs, or of many the neighbours, which pass it on.
    All,
    /// The VMs that gather what is known of this content; of few, all.
    Gatherers(Digest),
}

/// News to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Word {
    /// To these.
    pub to: To,
    /// What is told.
    pub news: News,
}

/// What a VM believes from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// A content is held back, for so many lives that ended under it.
    Held(Digest, u32),
    /// It is no longer.
    Freed(Digest),
}

/// What follows from something that was seen or heard.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Out {
    /// News for others.
    pub words: Vec<Word>,
    /// Changes of what is believed.
    pub turns: Vec<Turn>,
}

impl Out {
    fn tell(&mut self, to: To, news: News) {
        self.words.push(Word { to, news });
    }
}

/// How news go round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ways {
    /// Each VM tells each other at once.
    Direct,
    /// Each VM tells its neighbours, and passes on what is news to it.
    ByNeighbours,
}

/// One VM's part in it.
#[derive(Clone, Debug, Default)]
pub struct Exchange {
    evidence: Evidence,
}

impl Exchange {
    /// How many lives ended under a content, if it is held back.
    pub fn held(&self, content: &Digest, now: Moment) -> Option<u32> {
        self.evidence.held(content, now)
    }

    /// Contents that are held back, as they are told: the newest, and not more than fit.
    pub fn all_held(&self, now: Moment) -> Vec<Told> {
        self.evidence.all_held(MOST_TOLD, now)
    }

    /// How many contents are suspected, those that are held back among them.
    pub fn suspects(&self) -> usize {
        self.evidence.len()
    }

    /// Drops what is too old.
    pub fn expire(&mut self, now: Moment) {
        self.evidence.expire(now);
    }

    /// A life of a server has ended with these requests of this VM open.
    pub fn ended(&mut self, life: Life, broken: &[Broken], ways: Ways, now: Moment) -> Out {
        let mut out = self.take_end(life, broken, now, now);
        let at_once = if ways == Ways::Direct { broken.len() } else { 1 };
        for some in broken.chunks(at_once.max(1)) {
            let news = News::Ended { life, broken: some.to_vec(), age: Span::default() };
            out.tell(To::Gatherers(some[0].content), news);
        }
        out
    }

    /// A request ran to a good end, whole.
    pub fn ran_well(&mut self, content: Digest, now: Moment) -> Out {
        let mut out = Out::default();
        if let Change::Cleared { was_held } = self.evidence.ran_well(content, now, now) {
            out.turns.extend(was_held.then_some(Turn::Freed(content)));
            let to = if was_held { To::All } else { To::Gatherers(content) };
            out.tell(to, News::RanWell { content, age: Span::default() });
        }
        out
    }

    /// Takes what another VM tells.
    pub fn hear(&mut self, news: &News, ways: Ways, now: Moment) -> Out {
        match news {
            News::Ended { life, broken, age } => {
                let mut out = self.take_end(*life, broken, before(now, *age), now);
                for one in broken {
                    self.speak_for(one.content, To::Gatherers(one.content), now, &mut out);
                }
                out
            }
            News::Held(told) => self.hear_held(told, ways, now, now),
            News::RanWell { content, age } => self.hear_good_run(*content, *age, ways, now),
        }
    }

    /// Takes contents that another VM holds back, as old as they were at the moment `told_at`.
    pub fn hear_held(&mut self, told: &[Told], ways: Ways, told_at: Moment, now: Moment) -> Out {
        let mut out = Out::default();
        for Told { content, ends, age } in told {
            let change = self.evidence.told(*content, *ends, before(told_at, *age), now);
            if change == Change::Held {
                out.turns.push(Turn::Held(*content, *ends));
            }
            self.speak_for(*content, To::All, now, &mut out);
        }
        if !out.turns.is_empty() && ways == Ways::ByNeighbours {
            out.tell(To::All, News::Held(self.all_held(now)));
        }
        out
    }

    fn hear_good_run(&mut self, content: Digest, age: Span, ways: Ways, now: Moment) -> Out {
        let mut out = Out::default();
        let change = self.evidence.ran_well(content, before(now, age), now);
        if change == (Change::Cleared { was_held: true }) {
            out.turns.push(Turn::Freed(content));
            if ways == Ways::ByNeighbours {
                out.tell(To::All, News::RanWell { content, age });
            }
        }
        out
    }

    fn take_end(&mut self, life: Life, broken: &[Broken], at: Moment, now: Moment) -> Out {
        let mut out = Out::default();
        for one in broken {
            if self.evidence.ended(*one, life, at, now) == Change::Held {
                let ends = self.held(&one.content, now).unwrap_or_default();
                out.turns.push(Turn::Held(one.content, ends));
            }
        }
        if !out.turns.is_empty() {
            out.tell(To::All, News::Held(self.all_held(now)));
        }
        out
    }

    /// Says that a content which others suspect ran well here, if it did so of late.
    fn speak_for(&self, content: Digest, to: To, now: Moment, out: &mut Out) {
        if let Some(age) = self.evidence.sound_age(&content, now) {
            out.tell(to, News::RanWell { content, age });
        }
    }
}

fn before(now: Moment, age: Span) -> Moment {
    Moment(now.0.saturating_sub(age.0))
}
