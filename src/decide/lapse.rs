//! Decides how long a backend server stays in use after its entry is missing from the platform's
//! store.
//!
//! A server renews its entry all the time, and the entry lapses after some missed renewals. After an
//! outage of the store the entries of live servers come back within two seconds; a server whose
//! entry was taken away must not get requests for longer than the bound for servers. A VM tells the
//! two apart by its own reads, whatever happened to the VM that it follows: one that could read the
//! store all the time, itself or through others, knows that it was not away for long.

use crate::unit::{Moment, Span};

/// How long a server whose entry may have lapsed stays in use after the store is back.
pub const LAPSED_ENTRY_GRACE: Span = Span::millis(2000);

/// What a VM knows of outages of the store, by the times of the reads that its state of the servers
/// is based on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lapses {
    /// When the newest read was sent, by this VM or by the one that it follows.
    last_read: Option<Moment>,
    /// When the read before it was sent: entries that are missing now existed then.
    read_before: Option<Moment>,
    /// When the store was back after the last outage, or was restored from a backup.
    back_since: Option<Moment>,
}

impl Lapses {
    /// Records a read that was sent at `sent`, before its changes are applied. If no read was sent
    /// for longer than `max_age`, the bound on the age of the state, the store was away from this
    /// VM, and the time without a read is returned.
    pub fn on_read(&mut self, sent: Moment, max_age: Span) -> Option<Span> {
        let Some(last) = self.last_read else {
            self.last_read = Some(sent);
            return None;
        };
        if sent <= last {
            return None;
        }
        (self.read_before, self.last_read) = (Some(last), Some(sent));
        let unread = Some(sent.since(last)).filter(|unread| *unread > max_age);
        if unread.is_some() {
            self.back_since = self.back_since.max(Some(sent));
        }
        unread
    }

    /// Records that the store was restored from a backup, which may lack entries.
    pub fn on_restore(&mut self, now: Moment) {
        self.back_since = self.back_since.max(Some(now));
    }

    /// Returns true if the last read is older than `max_age`, or the entries of live servers have
    /// not had time to come back since an outage.
    pub fn may_be_missing(&self, max_age: Span, now: Moment) -> bool {
        let is_away = self.last_read.is_some_and(|last| now.since(last) > max_age);
        is_away || self.grace_end().is_some_and(|end| now < end)
    }

    /// Returns until when a server stays in use whose entry the last read lacked; `None` if it goes
    /// at once, as the entry was taken away.
    ///
    /// After an outage, it stays until the entries of live servers are back. If a read failed, but
    /// others show that the store was not away for longer than `max_age`, the entry may have lapsed
    /// or not: the server stays for `max_kept` after the read that had its entry, which is within
    /// the bound in either case.
    pub fn kept_until(&self, has_read_failed: bool, max_kept: Span, now: Moment) -> Option<Moment> {
        let within_bound = self.read_before.filter(|_| has_read_failed).map(|at| at + max_kept);
        self.grace_end().max(within_bound).filter(|end| now < *end)
    }

    fn grace_end(&self) -> Option<Moment> {
        self.back_since.map(|at| at + LAPSED_ENTRY_GRACE)
    }
}
