//! Decides if a VM has lost its links to the backend servers.
//!
//! A VM that gets no response from a server can't tell from this if the server or its own link has
//! failed. The servers of all services do not fail at the same moment, so a VM that reaches none of
//! them has lost its links, and other VMs serve its callers better.

use crate::unit::{Moment, Span};

/// Time since the last contact with a server for which the links count as working.
const CONTACT_VALIDITY: Span = Span::millis(200);

/// Minimum number of servers that must have been tried: fewer may have failed together.
const MIN_TRIED: usize = 3;

/// Time for which a server that accepted no connection is remembered. Servers that fail one after
/// the other within this time point to the links.
const FAILURE_WINDOW: Span = Span::secs(2);

/// A check in which too few servers of a service accepted a connection.
#[derive(Clone, Copy, Debug)]
struct FailedCheck {
    /// When the first such check in a row ended.
    since: Moment,
    /// Number of servers that the last one tried.
    tried: usize,
    /// Number of servers that accepted a connection in the last one; fewer than half of them.
    accepted: usize,
}

/// Change of what a VM knows of its links to the servers of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No server can be reached any more.
    Lost,
    /// Servers can be reached again, after this time.
    Regained(Span),
}

/// What a VM knows of its links to the servers of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Connectivity {
    /// When a server last responded or accepted a connection.
    last_contact: Option<Moment>,
    failed_check: Option<FailedCheck>,
    /// The last two different servers that accepted no connection, by their hashes, and when.
    unreached: [Option<(u64, Moment)>; 2],
}

impl Connectivity {
    /// Returns true if the links must be checked once an attempt got no response.
    pub fn needs_check(&self, now: Moment) -> bool {
        let is_recent = |at| now.since(at) < CONTACT_VALIDITY;
        self.failed_check.is_some() || !self.last_contact.is_some_and(is_recent)
    }

    /// Returns true if a server responded, or accepted a connection, after the moment `since`.
    pub fn had_contact_after(&self, since: Moment) -> bool {
        self.last_contact.is_some_and(|at| at > since)
    }

    /// Returns true if no server accepted a connection, and fewer than half of them have since.
    pub fn has_failed_check(&self) -> bool {
        self.failed_check.is_some()
    }

    /// Returns true if no server of the service can be reached: requests for it can't be served.
    pub fn is_unreachable(&self) -> bool {
        self.failed_check.is_some_and(|check| check.accepted == 0 && check.tried >= MIN_TRIED)
    }

    /// Records that a server, given by its hash, accepted no connection.
    pub fn on_connect_failure(&mut self, server: u64, now: Moment) {
        let is_same = self.unreached[0].is_some_and(|(known, _)| known == server);
        let previous = if is_same { self.unreached[1] } else { self.unreached[0] };
        self.unreached = [Some((server, now)), previous];
    }

    /// Returns true if the links are suspect: no server is reached, or two servers accepted no
    /// connection lately.
    pub fn is_suspect(&self, now: Moment) -> bool {
        let is_recent = |failure: &Option<(u64, Moment)>| {
            failure.is_some_and(|(_, at)| now.since(at) < FAILURE_WINDOW)
        };
        self.has_failed_check() || self.unreached.iter().all(is_recent)
    }

    /// Records that a server responded to a request.
    pub fn on_response(&mut self, now: Moment) {
        self.last_contact = Some(now);
    }

    /// Records a check that was started at the moment `started`, in which `accepted` of the `tried`
    /// servers accepted a connection. Returns what it changes.
    ///
    /// One server is enough for the links to work, but half of them are needed until lost links
    /// work again. This hysteresis keeps callers from being sent back to a VM that reaches only a
    /// server that started meanwhile.
    pub fn on_check(
        &mut self,
        tried: usize,
        accepted: usize,
        started: Moment,
        now: Moment,
    ) -> Option<Change> {
        if accepted > 0 {
            self.last_contact = Some(now);
        }
        let Some(failed) = &mut self.failed_check else {
            if accepted > 0 || tried == 0 || self.had_contact_after(started) {
                return None;
            }
            self.failed_check = Some(FailedCheck { since: now, tried, accepted });
            return Some(Change::Lost);
        };
        (failed.tried, failed.accepted) = (tried, accepted);
        let lost_for = now.since(failed.since);
        if accepted * 2 < tried {
            return None;
        }
        self.failed_check = None;
        Some(Change::Regained(lost_for))
    }
}

/// Returns true if a VM has lost its links: no server of any of its services can be reached.
pub fn has_lost_all(services: impl Iterator<Item = Connectivity>) -> bool {
    let mut tried = 0;
    for service in services {
        let Some(check) = service.failed_check else { return false };
        tried += check.tried;
    }
    tried >= MIN_TRIED
}
