//! Sessions that a VM has seen of late, and the version that each was sent to.

use std::collections::HashMap;

use crate::unit::{Moment, Span, Version};

/// Sessions remembered at most; a VM at the target serves a few hundred within one gap.
const MOST: usize = 20_000;

/// Time beyond the gap that a session is remembered, since an answer takes time too.
const LONGER: u64 = 2;

struct Seen {
    version: Version,
    last: Moment,
}

fn is_live(seen: &Seen, gap: Span, now: Moment) -> bool {
    now.since(seen.last) < Span(gap.0 * LONGER)
}

/// The sessions.
#[derive(Default)]
pub struct Sessions {
    seen: HashMap<String, Seen>,
    swept: Moment,
}

impl Sessions {
    /// The version that a live session was sent to last.
    pub fn version(&self, session: &str, gap: Span, now: Moment) -> Option<&Version> {
        let seen = self.seen.get(session)?;
        is_live(seen, gap, now).then_some(&seen.version)
    }

    /// The sessions that live, and the version that each was sent to last.
    pub fn live(&self, gap: Span, now: Moment) -> impl Iterator<Item = (&str, &Version)> {
        let live = self.seen.iter().filter(move |(_, seen)| is_live(seen, gap, now));
        live.map(|(name, seen)| (name.as_str(), &seen.version))
    }

    /// Notes that a request of a session was sent to a version, or that its answer ended.
    pub fn record(&mut self, session: &str, version: &Version, gap: Span, now: Moment) {
        if now.since(self.swept) > gap || self.seen.len() >= MOST {
            self.swept = now;
            self.seen.retain(|_, seen| is_live(seen, gap, now));
        }
        if let Some(seen) = self.seen.get_mut(session) {
            seen.last = now;
            if seen.version != *version {
                seen.version = version.clone();
            }
        } else if self.seen.len() < MOST {
            let seen = Seen { version: version.clone(), last: now };
            self.seen.insert(session.to_owned(), seen);
        }
    }
}
