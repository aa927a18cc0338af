//! What one life of a backend server has said of whether it takes requests: that it leaves, or that it wants rest.

use std::fmt;

use crate::unit::{Moment, Span};

/// The longest rest that is believed: a server whose number is wrong is asked again within an operator's patience.
const LONGEST_REST: Span = Span::secs(600);

/// What the head of one answer says of its server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Said {
    /// It leaves.
    pub leaves: bool,
    /// It wants nothing for so long.
    pub rest: Option<Span>,
}

/// Why a server is to get nothing now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bar {
    /// It has said so long ago that it leaves.
    Leaves(Span),
    /// It wants nothing for so much longer.
    Rests(Span),
}

impl fmt::Display for Bar {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Bar::Leaves(since) => write!(f, "it said {since} ago that it leaves"),
            Bar::Rests(left) => write!(f, "it wants rest for {left} more"),
        }
    }
}

/// What is known of one life of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    leaves_since: Option<Moment>,
    rests_until: Option<Moment>,
}

impl Standing {
    /// Takes what the head of an answer says. Whether that changes anything.
    pub fn hear(&mut self, said: Said, now: Moment) -> bool {
        let before = *self;
        if said.leaves {
            self.leaves_since = self.leaves_since.or(Some(now));
        }
        if let Some(rest) = said.rest {
            let until = now + rest.min(LONGEST_REST);
            self.rests_until = self.rests_until.max(Some(until));
        }
        *self != before
    }

    /// Why it is to get nothing now.
    pub fn bar(&self, now: Moment) -> Option<Bar> {
        if let Some(since) = self.leaves_since {
            return Some(Bar::Leaves(now.since(since)));
        }
        let left = self.rests_until?.since(now);
        (left > Span(0)).then_some(Bar::Rests(left))
    }
}
