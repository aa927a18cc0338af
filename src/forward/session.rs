//! The sessions that a VM has seen recently, and the version that each was sent to.

use std::collections::HashMap;

use crate::unit::{Moment, Span, Version};

/// Maximum number of sessions; a VM at the target load serves a few hundred within one session gap.
const MAX_SESSIONS: usize = 20_000;

/// A session is kept for this many session gaps (the longest time between two requests of one
/// session), because responses take time too.
const RETENTION_GAPS: u64 = 2;

/// A session that was seen recently.
struct Session {
    version: Version,
    last_used: Moment,
}

/// Returns true if the session may still get requests; `gap` is the longest time between two of its
/// requests.
fn is_live(seen: &Session, gap: Span, now: Moment) -> bool {
    now.since(seen.last_used) < Span(gap.0 * RETENTION_GAPS)
}

/// Recent sessions by name.
#[derive(Default)]
pub struct Sessions {
    seen: HashMap<String, Session>,
    /// When expired sessions were last removed.
    last_sweep: Moment,
}

impl Sessions {
    /// Returns the version that a live session was last sent to.
    pub fn version(&self, session: &str, gap: Span, now: Moment) -> Option<&Version> {
        let seen = self.seen.get(session)?;
        is_live(seen, gap, now).then_some(&seen.version)
    }

    /// Returns the live sessions and the version that each was last sent to.
    pub fn live(&self, gap: Span, now: Moment) -> impl Iterator<Item = (&str, &Version)> {
        let live = self.seen.iter().filter(move |(_, seen)| is_live(seen, gap, now));
        live.map(|(name, seen)| (name.as_str(), &seen.version))
    }

    /// Records that a request of a session was sent to a version, or that its response ended. New
    /// sessions are ignored while the maximum number is live.
    pub fn record(&mut self, session: &str, version: &Version, gap: Span, now: Moment) {
        if now.since(self.last_sweep) > gap || self.seen.len() >= MAX_SESSIONS {
            self.last_sweep = now;
            self.seen.retain(|_, seen| is_live(seen, gap, now));
        }
        if let Some(seen) = self.seen.get_mut(session) {
            seen.last_used = now;
            if seen.version != *version {
                seen.version = version.clone();
            }
        } else if self.seen.len() < MAX_SESSIONS {
            let seen = Session { version: version.clone(), last_used: now };
            self.seen.insert(session.to_owned(), seen);
        }
    }
}
