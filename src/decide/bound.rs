//! Requests a second that one life of a backend server takes from all VMs together.

use crate::unit::{Moment, Rate, Span};

/// What the head of one answer says of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Word {
    /// Nothing.
    #[default]
    Unnamed,
    /// Something that is no rate.
    Unreadable,
    /// Requests a second from all VMs together.
    Named(Rate),
}

/// A limit that a server named.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Named {
    rate: Rate,
    /// When it was heard first and last.
    since: Moment,
    heard: Moment,
}

/// What is known of the limit of one life of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limit {
    named: Option<Named>,
}

impl Limit {
    /// Takes what the head of an answer says to a request that was sent at `asked`. Whether that changes anything. An answer without a limit
    /// ends it only if its request was sent after the limit was heard: answers overtake each other.
    pub fn hear(&mut self, word: Word, asked: Moment, now: Moment) -> bool {
        let before = self.rate();
        match (word, self.named) {
            (Word::Named(rate), known) => {
                let since = known.map_or(now, |known| known.since);
                self.named = Some(Named { rate, since, heard: now });
            }
            (Word::Unnamed, Some(known)) if asked > known.heard => self.named = None,
            (Word::Unnamed | Word::Unreadable, _) => {}
        }
        before != self.rate()
    }

    /// The limit, if one is named.
    pub fn rate(&self) -> Option<Rate> {
        self.named.map(|named| named.rate)
    }

    /// How long ago it was named first.
    pub fn age(&self, now: Moment) -> Option<Span> {
        self.named.map(|named| now.since(named.since))
    }
}
