//! Decides if the direct path from a VM to a backend server works.
//!
//! A server whose path is lost is reached through another VM, if one offers that. A server that has
//! crashed looks the same, but no other VM reaches it either.

use crate::unit::Moment;

/// The direct path to one incarnation of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct DirectPath {
    /// Since when no direct connection could be opened.
    lost_since: Option<Moment>,
}

impl DirectPath {
    /// Returns true if the last direct connection could not be opened.
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Records that a direct connection could not be opened. Returns true the first time.
    pub fn on_failure(&mut self, now: Moment) -> bool {
        let is_first = !self.is_lost();
        self.lost_since = self.lost_since.or(Some(now));
        is_first
    }

    /// Records that the server accepted a direct connection. Returns true if the path was lost.
    pub fn on_contact(&mut self) -> bool {
        self.lost_since.take().is_some()
    }
}
