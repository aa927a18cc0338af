//! Which VM of a group reads the platform's store for the others.
//!
//! The first by name that answers does. Each VM asks those before it, so nobody is elected and two
//! readers do no harm: a VM that hears from none before it reads for itself.

use std::collections::BTreeMap;

use crate::unit::{Moment, Span, Vm};

/// A VM that did not answer is not asked again for this long; it doubles with each time in a row, up to
/// the longest.
const AVOIDED_FOR: Span = Span::secs(2);
const LONGEST: Span = Span::secs(30);

/// One that answered that it has no news is asked again after this; it may soon have some.
const DECLINED_FOR: Span = Span::millis(1500);

/// Time for an answer.
const ANSWER_WITHIN: Span = Span::millis(450);

/// A reader whose knowledge of servers is older than this part of the time in which one that leaves may still get
/// work gives no news. At 0.45 a store that kept questions for a second made 85 of 91 VMs read for themselves at
/// once: 3,368 calls on that day, 2,163 at this part. A follower is not held to it: [`READS_AT`] bounds what it knows.
const STALE: f64 = 0.65;

/// A follower whose knowledge of servers reaches this part of that time reads for itself, whoever may answer yet:
/// its own list takes some milliseconds. Without it the times of a look (0.35 s), of two answers that do not come and of
/// the oldest knowledge that is passed on add up to 2.55 s of 2 s.
const READS_AT: f64 = 0.8;

/// Whether what a VM knows of servers is too old to be passed on. `leave_within` is the time in which a server that
/// leaves may still get work.
pub fn is_stale(servers_age: Span, leave_within: Span) -> bool {
    servers_age > leave_within.part(STALE)
}

/// Time that a VM has for a question, if any. What a follower knows of servers dates from `known`; one that reads for
/// itself has none, and all the time.
pub fn time_to_ask(known: Option<Moment>, leave_within: Span, now: Moment) -> Option<Span> {
    let Some(known) = known else { return Some(ANSWER_WITHIN) };
    let left = (known + leave_within.part(READS_AT)).since(now);
    (left > Span::default()).then(|| left.min(ANSWER_WITHIN))
}

#[derive(Clone, Copy, Debug)]
struct Avoided {
    /// Questions in a row that it did not answer.
    silent: u32,
    until: Moment,
}

/// Whether a VM may be asked for news by another: it comes before it.
pub fn may_be_asked(vm: &Vm, by: &Vm) -> bool {
    vm < by
}

/// What a VM remembers of those that it asked.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    avoided: BTreeMap<Vm, Avoided>,
}

impl Asked {
    /// A VM gave news.
    pub fn answered(&mut self, vm: &Vm) {
        self.avoided.remove(vm);
    }

    /// A VM answered that it has none.
    pub fn declined(&mut self, vm: &Vm, now: Moment) {
        self.avoided.insert(vm.clone(), Avoided { silent: 0, until: now + DECLINED_FOR });
    }

    /// Whether a VM's last word was that it has none.
    pub fn has_declined(&self, vm: &Vm) -> bool {
        self.avoided.get(vm).is_some_and(|avoided| avoided.silent == 0)
    }

    /// A VM did not answer.
    pub fn silent(&mut self, vm: &Vm, now: Moment) {
        let before = self.avoided.get(vm).map_or(0, |avoided| avoided.silent);
        let doubled = Span(AVOIDED_FOR.0 << before.min(8)).min(LONGEST);
        let avoided = Avoided { silent: before + 1, until: now + doubled };
        self.avoided.insert(vm.clone(), avoided);
    }

    /// The VM to ask next; none if this one should read for itself.
    pub fn next<'a>(
        &self,
        own: &Vm,
        group: impl Iterator<Item = &'a Vm>,
        now: Moment,
    ) -> Option<&'a Vm> {
        let avoided = |vm: &Vm| self.avoided.get(vm).is_some_and(|avoided| now < avoided.until);
        group.filter(|vm| may_be_asked(vm, own) && !avoided(vm)).min()
    }
}
