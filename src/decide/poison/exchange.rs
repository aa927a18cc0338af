//! What VMs tell one another of contents under which servers crash.
//!
//! Each VM tells which contents were open at a server when it crashed. Few VMs tell all others. Of many, a few gather what is known of
//! a content, the same for all VMs, so that a crash costs some messages and not one for each pair of VMs. Whoever finds that a
//! content is to be held back tells all.

use serde::{Deserialize, Serialize};

use super::evidence::{Change, Evidence, OpenRequest, QuarantinedContent, ServerIncarnation};
use crate::unit::{Digest, Moment, Span};

/// Contents that are told at once, the newest; each is some 24 bytes.
const MAX_QUARANTINED_PER_MESSAGE: usize = 100;

/// What one VM tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A life of a server ended so long ago with these open.
    ServerCrashed {
        /// The life.
        incarnation: ServerIncarnation,
        /// Its requests.
        requests: Vec<OpenRequest>,
        /// How long ago.
        age: Span,
    },
    /// These are held back.
    Quarantined(Vec<QuarantinedContent>),
    /// One that others suspect ran to a good end so long ago.
    Succeeded {
        /// The content.
        content: Digest,
        /// How long ago.
        age: Span,
    },
}

/// Whom news are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// All VMs, or of many the neighbours, which pass it on.
    All,
    /// The VMs that gather what is known of this content; of few, all.
    Aggregators(Digest),
}

/// News to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// To these.
    pub to: Recipients,
    /// What is told.
    pub message: Message,
}

/// What a VM believes from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// A content is held back, for so many lives that ended under it.
    Quarantined(Digest, u32),
    /// It is no longer.
    Released(Digest),
}

/// What follows from something that was seen or heard.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// News for others.
    pub messages: Vec<Outgoing>,
    /// Changes of what is believed.
    pub transitions: Vec<Transition>,
}

impl Effects {
    fn send(&mut self, to: Recipients, message: Message) {
        self.messages.push(Outgoing { to, message });
    }
}

/// How news go round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topology {
    /// Each VM tells each other at once.
    Direct,
    /// Each VM tells its neighbours, and passes on what is news to it.
    Gossip,
}

/// One VM's part in it.
#[derive(Clone, Debug, Default)]
pub struct Exchange {
    evidence: Evidence,
}

impl Exchange {
    /// How many lives ended under a content, if it is held back.
    pub fn quarantine_crashes(&self, content: &Digest, now: Moment) -> Option<u32> {
        self.evidence.quarantine_crashes(content, now)
    }

    /// Contents that are held back, as they are told: the newest, and not more than fit.
    pub fn quarantined(&self, now: Moment) -> Vec<QuarantinedContent> {
        self.evidence.quarantined(MAX_QUARANTINED_PER_MESSAGE, now)
    }

    /// How many contents are suspected, those that are held back among them.
    pub fn suspect_count(&self) -> usize {
        self.evidence.len()
    }

    /// Drops what is too old.
    pub fn expire(&mut self, now: Moment) {
        self.evidence.expire(now);
    }

    /// A life of a server has ended with these requests of this VM open.
    pub fn on_server_crash(
        &mut self,
        incarnation: ServerIncarnation,
        requests: &[OpenRequest],
        topology: Topology,
        now: Moment,
    ) -> Effects {
        let mut effects = self.apply_crash(incarnation, requests, now, now);
        let chunk_size = if topology == Topology::Direct { requests.len() } else { 1 };
        for chunk in requests.chunks(chunk_size.max(1)) {
            let message = Message::ServerCrashed {
                incarnation,
                requests: chunk.to_vec(),
                age: Span::default(),
            };
            effects.send(Recipients::Aggregators(chunk[0].content), message);
        }
        effects
    }

    /// A request ran to a good end, whole.
    pub fn on_success(&mut self, content: Digest, now: Moment) -> Effects {
        let mut effects = Effects::default();
        if let Change::Cleared { was_quarantined } = self.evidence.on_success(content, now, now) {
            effects.transitions.extend(was_quarantined.then_some(Transition::Released(content)));
            let to =
                if was_quarantined { Recipients::All } else { Recipients::Aggregators(content) };
            effects.send(to, Message::Succeeded { content, age: Span::default() });
        }
        effects
    }

    /// Takes what another VM tells.
    pub fn on_message(&mut self, message: &Message, topology: Topology, now: Moment) -> Effects {
        match message {
            Message::ServerCrashed { incarnation, requests, age } => {
                let mut effects = self.apply_crash(*incarnation, requests, before(now, *age), now);
                for request in requests {
                    self.report_success(
                        request.content,
                        Recipients::Aggregators(request.content),
                        now,
                        &mut effects,
                    );
                }
                effects
            }
            Message::Quarantined(reports) => self.on_quarantine_report(reports, topology, now, now),
            Message::Succeeded { content, age } => {
                self.on_success_report(*content, *age, topology, now)
            }
        }
    }

    /// Takes contents that another VM holds back, as old as they were at the moment `told_at`.
    pub fn on_quarantine_report(
        &mut self,
        reports: &[QuarantinedContent],
        topology: Topology,
        reported_at: Moment,
        now: Moment,
    ) -> Effects {
        let mut effects = Effects::default();
        for QuarantinedContent { content, crashes, age } in reports {
            let change = self.evidence.on_quarantine_report(
                *content,
                *crashes,
                before(reported_at, *age),
                now,
            );
            if change == Change::Quarantined {
                effects.transitions.push(Transition::Quarantined(*content, *crashes));
            }
            self.report_success(*content, Recipients::All, now, &mut effects);
        }
        if !effects.transitions.is_empty() && topology == Topology::Gossip {
            effects.send(Recipients::All, Message::Quarantined(self.quarantined(now)));
        }
        effects
    }

    fn on_success_report(
        &mut self,
        content: Digest,
        age: Span,
        topology: Topology,
        now: Moment,
    ) -> Effects {
        let mut effects = Effects::default();
        let change = self.evidence.on_success(content, before(now, age), now);
        if change == (Change::Cleared { was_quarantined: true }) {
            effects.transitions.push(Transition::Released(content));
            if topology == Topology::Gossip {
                effects.send(Recipients::All, Message::Succeeded { content, age });
            }
        }
        effects
    }

    fn apply_crash(
        &mut self,
        incarnation: ServerIncarnation,
        requests: &[OpenRequest],
        at: Moment,
        now: Moment,
    ) -> Effects {
        let mut effects = Effects::default();
        for request in requests {
            if self.evidence.on_crash(*request, incarnation, at, now) == Change::Quarantined {
                let crashes = self.quarantine_crashes(&request.content, now).unwrap_or_default();
                effects.transitions.push(Transition::Quarantined(request.content, crashes));
            }
        }
        if !effects.transitions.is_empty() {
            effects.send(Recipients::All, Message::Quarantined(self.quarantined(now)));
        }
        effects
    }

    /// Says that a content which others suspect ran well here, if it did so of late.
    fn report_success(&self, content: Digest, to: Recipients, now: Moment, effects: &mut Effects) {
        if let Some(age) = self.evidence.success_age(&content, now) {
            effects.send(to, Message::Succeeded { content, age });
        }
    }
}

fn before(now: Moment, age: Span) -> Moment {
    Moment(now.0.saturating_sub(age.0))
}
