//! Loans of places at brittle servers between VMs.
//!
//! Where a service has fewer slots than there are VMs, most VMs have no place at its servers, and
//! places of others stay empty. A VM whose requests wait asks VMs that have places. The lender stops
//! using a place before it lends it, and uses it again once the borrower has returned it, or after
//! [`LOAN_TTL`] if that is gone. So the places in use never exceed the slots, whatever messages are
//! lost or late.

use std::collections::HashMap;

use crate::unit::hash::mix;
use crate::unit::{Moment, Span, Vm};

/// Time for which a VM remembers that another one asked for a place, and after which that asks again.
pub const REQUEST_TTL: Span = Span::millis(100);

/// Number of VMs that are asked at a time.
pub const ASKED_VMS: usize = 2;

/// Time for which a borrower uses a place for one request after another.
const USE_TIME: Span = Span::millis(500);

/// Age at which the answer to a request for a place is too late: the place is returned unused.
const MAX_ANSWER_AGE: Span = Span::secs(1);

/// Time after which a lender uses a place again that was not returned.
const LOAN_TTL: Span = Span::secs(30);

/// Time within which another VM answers a request for a place; it may keep the request for
/// [`REQUEST_TTL`].
const ANSWER_TIMEOUT: Span = Span::millis(400);

/// Time for which a VM that did not answer is not asked again.
const SILENCE_TTL: Span = Span::secs(60);

/// A place at a server that another VM has borrowed or lent.
#[derive(Clone, Debug)]
struct Loan {
    /// The other VM.
    vm: Vm,
    /// For a lent place, when it is used again without having been returned; for a borrowed one,
    /// until when it is used for further requests.
    until: Moment,
}

/// Places at one server that this VM has lent and borrowed.
#[derive(Clone, Debug, Default)]
pub struct Loans {
    lent: Vec<Loan>,
    borrowed: Vec<Loan>,
}

impl Loans {
    /// Records that a place is lent to another VM.
    pub fn lend(&mut self, to: Vm, now: Moment) {
        self.lent.retain(|loan| now < loan.until);
        self.lent.push(Loan { vm: to, until: now + LOAN_TTL });
    }

    /// Records that a VM has returned a place that it had borrowed.
    pub fn on_returned(&mut self, by: &Vm) {
        if let Some(at) = self.lent.iter().position(|loan| loan.vm == *by) {
            self.lent.remove(at);
        }
    }

    /// Returns the number of places that are lent.
    pub fn lent(&self, now: Moment) -> usize {
        self.lent.iter().filter(|loan| now < loan.until).count()
    }

    /// Records that another VM lends a place that was asked for at `requested_at`.
    pub fn borrow(&mut self, from: Vm, requested_at: Moment, now: Moment) {
        let is_late = now.since(requested_at) > MAX_ANSWER_AGE;
        let until = if is_late { now } else { now + USE_TIME };
        self.borrowed.push(Loan { vm: from, until });
    }

    /// Returns the number of borrowed places.
    pub fn borrowed(&self) -> usize {
        self.borrowed.len()
    }

    /// Returns the lender of a borrowed place that is returned now, if `unused` places at the server
    /// are not in use. It is kept while requests wait, until its time is up.
    pub fn next_return(&mut self, unused: usize, has_waiting: bool, now: Moment) -> Option<Vm> {
        if unused == 0 {
            return None;
        }
        let at = self.borrowed.iter().position(|loan| !has_waiting || now >= loan.until)?;
        Some(self.borrowed.remove(at).vm)
    }
}

/// Returns the VMs that have places at a server, in no particular order. `server` is the hash of its
/// name; the VMs come with the hashes of theirs.
pub fn owners<T>(slots: usize, server: u64, vms: impl Iterator<Item = (u64, T)>) -> Vec<T> {
    let mut weighed: Vec<(u64, T)> = vms.map(|(vm, item)| (mix(server, vm), item)).collect();
    if slots < weighed.len() {
        weighed.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        weighed.truncate(slots);
    }
    weighed.into_iter().map(|(_, item)| item).collect()
}

/// Other VMs as lenders of places: which of them answer.
#[derive(Clone, Debug, Default)]
pub struct Lenders {
    /// When VMs were asked that have not answered since.
    unanswered: HashMap<Vm, Moment>,
    asked_at: Option<Moment>,
    answered_at: Option<Moment>,
}

impl Lenders {
    /// Returns true if it is time to ask for places; counts as asked now in that case.
    pub fn is_request_due(&mut self, now: Moment) -> bool {
        let is_due = self.asked_at.is_none_or(|at| now.since(at) >= REQUEST_TTL);
        if is_due {
            self.asked_at = Some(now);
        }
        is_due
    }

    /// Returns true if a VM may be asked: it has no request of this one, or left it unanswered long
    /// ago.
    pub fn may_ask(&self, vm: &Vm, now: Moment) -> bool {
        self.unanswered.get(vm).is_none_or(|at| now.since(*at) >= SILENCE_TTL)
    }

    /// Records that a VM is asked.
    pub fn on_asked(&mut self, vm: Vm, now: Moment) {
        self.unanswered.retain(|_, at| now.since(*at) < SILENCE_TTL);
        self.unanswered.insert(vm, now);
    }

    /// Records that a VM has answered.
    pub fn on_answer(&mut self, vm: &Vm, now: Moment) {
        self.unanswered.remove(vm);
        self.answered_at = Some(now);
    }

    /// Returns false if a request was not answered in time, and no VM has answered since.
    pub fn respond(&self, now: Moment) -> bool {
        let is_vain = |asked_at: &Moment| {
            now.since(*asked_at) >= ANSWER_TIMEOUT
                && self.answered_at.is_none_or(|at| at < *asked_at)
        };
        !self.unanswered.values().any(is_vain)
    }
}
