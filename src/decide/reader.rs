//! Which VM reads the platform's store for the others, and whom a VM asks for what is known.
//!
//! VMs have an order: larger ones first, then by name. A VM asks those before it in its group; the first of a group
//! asks the first of the other groups that come before it. So with all well one VM of a fleet reads, the first of
//! each group asks that one, and the others ask the first of theirs. Nobody is elected, and two readers do no harm.
//!
//! Load that this answers: hundreds of VMs that get no news at the same moment, at a start or while the store is away. A VM goes on asking
//! those before it; only the first of a group, or those who stand next to it, try the store.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::unit::{Millicores, Moment, Span, Vm};

/// Time between two questions.
pub const POLL_INTERVAL: Span = Span::millis(350);

/// The same while nobody has news: another VM may have some in a moment.
pub const FAST_POLL_INTERVAL: Span = Span::millis(100);

/// While the store is lost for a shorter time than this, those that try it may yet find that it is not: they are asked
/// soon again, and one that has just started waits for what they find.
pub const STORE_LOSS_CONFIRMED_AFTER: Span = Span::millis(1500);

/// A VM that has just started waits so long for its first news before it reads for itself. When hundreds start at
/// once, the first of a group needs some tenths of a second to know all.
pub const STARTUP_WAIT: Span = Span::millis(2000);

/// VMs of a group that a VM asks, those that do not answer apart: the first, and two that stand next to it. Those
/// behind never need to be asked, since any of the three has what the first had.
const MAX_SOURCES: usize = 3;

/// A VM that did not answer is not asked again for this long; it doubles with each time in a row, up to
/// the longest.
const SILENT_BACKOFF: Span = Span::secs(2);
const MAX_SILENT_BACKOFF: Span = Span::secs(30);

/// One that has no news for now is asked again after this; it may soon have some.
const DECLINED_BACKOFF: Span = Span::millis(1500);

/// That the store is lost counts for so long after the time when the VM that said so may be asked again.
const STORE_LOST_GRACE: Span = Span::secs(1);

/// One that does not know all yet, since it began a moment ago, is asked again after this.
const NOT_READY_BACKOFF: Span = Span::millis(80);

/// One that does not answer a VM that has just started may have started too, and is asked again after this.
const STARTUP_SILENT_BACKOFF: Span = Span::millis(300);

/// Time for an answer.
pub const ANSWER_TIMEOUT: Span = Span::millis(450);

/// The same for a VM that knows nothing yet: when all start again it waits for some that are not there yet.
pub const FIRST_ANSWER_TIMEOUT: Span = Span::millis(250);

/// Knowledge of servers that is older than this part of the time in which one that leaves may still get work is not
/// passed on. A smaller part makes most VMs read for themselves where the store keeps a question for a second. A follower is not held to it:
/// [`READ_STORE_AGE`] bounds what it knows.
const FORWARDED_AGE_LIMIT: f64 = 0.65;

/// A follower whose knowledge of servers reaches this part of that time reads for itself, whoever may answer yet:
/// its own list takes some milliseconds. A look, two answers that do not come and the oldest knowledge that is passed on would add up to more
/// than the whole.
const READ_STORE_AGE: f64 = 0.8;

/// News that were passed on by more VMs than this are not taken: two are needed, and a third where a first of a
/// group is passed over.
const MAX_HOPS: u8 = 4;

/// The place of a VM in the order: larger ones first, since the first of a group bears its questions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rank {
    cpu: Reverse<Millicores>,
    /// The VM.
    pub vm: Vm,
}

impl Rank {
    /// The rank of a VM that has so much of a core.
    pub fn new(cpu: Millicores, vm: Vm) -> Rank {
        Rank { cpu: Reverse(cpu), vm }
    }
}

/// Whether what a VM knows of servers is too old to be passed on. `leave_within` is the time in which a server that
/// leaves may still get work.
pub fn is_stale(servers_age: Span, leave_within: Span) -> bool {
    servers_age > leave_within.part(FORWARDED_AGE_LIMIT)
}

/// Whether news that came this way may be taken by a VM: what it read itself, and what was passed on too often, tells
/// it nothing.
pub fn may_accept(reader: &Vm, hops: u8, by: &Vm) -> bool {
    reader != by && hops <= MAX_HOPS
}

/// Time that a VM has for a question, if any. What a follower knows of servers dates from `known`; one that reads for
/// itself has none, and all the time.
pub fn answer_timeout(known: Option<Moment>, leave_within: Span, now: Moment) -> Option<Span> {
    let Some(known) = known else { return Some(ANSWER_TIMEOUT) };
    let left = (known + leave_within.part(READ_STORE_AGE)).since(now);
    (left > Span::default()).then(|| left.min(ANSWER_TIMEOUT))
}

/// Why a VM is not asked for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reason {
    /// It did not answer so many times in a row.
    Silent(u32),
    /// It had no news.
    Declined,
    /// It said that the store is lost.
    StoreLost,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    reason: Reason,
    until: Moment,
}

/// What a VM remembers of those that it asked.
#[derive(Clone, Debug, Default)]
pub struct SourceHistory {
    backoff: BTreeMap<Vm, Backoff>,
}

impl SourceHistory {
    /// A VM gave news.
    pub fn on_update(&mut self, vm: &Vm) {
        self.backoff.remove(vm);
    }

    /// A VM answered that it has no news.
    pub fn on_declined(&mut self, vm: &Vm, now: Moment) {
        self.set_backoff(vm, Reason::Declined, now + DECLINED_BACKOFF);
    }

    /// A VM answered that the store is lost.
    pub fn on_store_lost(&mut self, vm: &Vm, now: Moment) {
        self.set_backoff(vm, Reason::StoreLost, now + DECLINED_BACKOFF);
    }

    /// VMs that had no news, or lost the store, may have some: the store answers again.
    pub fn clear_declined(&mut self) {
        self.backoff.retain(|_, backoff| matches!(backoff.reason, Reason::Silent(_)));
    }

    /// Whether any before `own` said last that the store is lost. Those that only decline say nothing of it: while the
    /// store is away the first of a group may stop or be held up, and those behind it go on waiting.
    pub fn is_store_reported_lost<'a>(
        &'a self,
        own: &'a Rank,
        group: impl Iterator<Item = &'a Rank>,
        now: Moment,
    ) -> bool {
        let reports_lost = |rank: &&Rank| {
            let backoff = self.backoff.get(&rank.vm);
            backoff.is_some_and(|one| {
                one.reason == Reason::StoreLost && now < one.until + STORE_LOST_GRACE
            })
        };
        self.sources_before(own, group, now).iter().any(reports_lost)
    }

    /// A VM answered that it will have news in a moment.
    pub fn on_not_ready(&mut self, vm: &Vm, now: Moment) {
        self.set_backoff(vm, Reason::Declined, now + NOT_READY_BACKOFF);
    }

    /// A VM did not answer.
    pub fn on_timeout(&mut self, vm: &Vm, now: Moment) {
        let timeouts_before = match self.backoff.get(vm) {
            Some(Backoff { reason: Reason::Silent(timeouts), .. }) => *timeouts,
            _ => 0,
        };
        let doubled = Span(SILENT_BACKOFF.0 << timeouts_before.min(8)).min(MAX_SILENT_BACKOFF);
        self.set_backoff(vm, Reason::Silent(timeouts_before + 1), now + doubled);
    }

    /// A VM did not answer this one, which has just started.
    pub fn on_startup_timeout(&mut self, vm: &Vm, now: Moment) {
        self.set_backoff(vm, Reason::Silent(0), now + STARTUP_SILENT_BACKOFF);
    }

    fn set_backoff(&mut self, vm: &Vm, reason: Reason, until: Moment) {
        self.backoff.insert(vm.clone(), Backoff { reason, until });
    }

    fn backoff(&self, vm: &Vm, now: Moment) -> Option<Reason> {
        let backoff = self.backoff.get(vm).filter(|backoff| now < backoff.until);
        backoff.map(|backoff| backoff.reason)
    }

    fn is_silent(&self, vm: &Vm, now: Moment) -> bool {
        matches!(self.backoff(vm, now), Some(Reason::Silent(_)))
    }

    /// The VMs before `own` that it may ask, the first first; those that do not answer are passed over.
    fn sources_before<'a>(
        &'a self,
        own: &'a Rank,
        group: impl Iterator<Item = &'a Rank>,
        now: Moment,
    ) -> Vec<&'a Rank> {
        let mut sources_before: Vec<&Rank> =
            group.filter(|rank| *rank < own && !self.is_silent(&rank.vm, now)).collect();
        sources_before.sort();
        sources_before.truncate(MAX_SOURCES);
        sources_before
    }

    /// The VM of a group to ask next; none if this one is the first that answers, or none before it has news.
    pub fn next_source<'a>(
        &'a self,
        own: &'a Rank,
        group: impl Iterator<Item = &'a Rank>,
        now: Moment,
    ) -> Option<&'a Vm> {
        let sources_before = self.sources_before(own, group, now);
        sources_before.into_iter().map(|rank| &rank.vm).find(|vm| self.backoff(vm, now).is_none())
    }

    /// Any VM to ask next, whatever its place: for one that has lost the store.
    pub fn any_source<'a>(
        &'a self,
        group: impl Iterator<Item = &'a Rank>,
        now: Moment,
    ) -> Option<&'a Vm> {
        group.filter(|rank| self.backoff(&rank.vm, now).is_none()).min().map(|rank| &rank.vm)
    }

    /// The first of a group; those that do not answer are passed over.
    pub fn first_responsive<'a>(
        &'a self,
        group: impl Iterator<Item = &'a Rank>,
        now: Moment,
    ) -> Option<&'a Rank> {
        group.filter(|rank| !self.is_silent(&rank.vm, now)).min()
    }

    /// The place of a VM in its group.
    pub fn place<'a>(
        &'a self,
        own: &'a Rank,
        group: impl Iterator<Item = &'a Rank>,
        now: Moment,
    ) -> Place {
        match self.sources_before(own, group, now).len() {
            0 => Place::First,
            count if count < MAX_SOURCES => Place::Next,
            _ => Place::Behind,
        }
    }
}

/// The place of a VM in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// None before it answers.
    First,
    /// Next to the first.
    Next,
    /// Behind those.
    Behind,
}

/// How a VM stands that got no news of those it may ask.
#[derive(Clone, Copy, Debug)]
pub struct FollowerState {
    /// Its place in its group.
    pub place: Place,
    /// Whether there are other groups, which the first of this one asks.
    pub has_other_groups: bool,
    /// Whether there is a VM that it may ask next.
    pub has_source: bool,
    /// Whether one that it may ask says that the store is lost, and none has news.
    pub is_store_lost: bool,
    /// Whether it has had news before.
    pub has_snapshot: bool,
    /// Whether it began so short a time ago that it may wait for its first news.
    pub is_starting: bool,
    /// Whether what it knows is too old.
    pub is_overdue: bool,
}

/// Whether a VM without news reads the store for itself.
pub fn should_read_store(state: &FollowerState) -> bool {
    if state.is_store_lost {
        return should_try_lost_store(state);
    }
    if state.is_overdue {
        return true;
    }
    if state.has_source {
        return false;
    }
    match state.place {
        Place::First => true,
        Place::Next => state.has_snapshot || !state.is_starting,
        // Of those before it one will have news soon.
        Place::Behind => !state.has_snapshot && !state.is_starting,
    }
}

/// Whether a VM that is told that the store is lost tries it. The first of a group always does; of one group alone those
/// next to it too. A store may turn away just those that try and serve the others: of three in a row one day in
/// twenty, where it turns a third away. So once what they know is too old, more try, but of many VMs none of those behind.
fn should_try_lost_store(state: &FollowerState) -> bool {
    match state.place {
        Place::First => true,
        Place::Next => !state.has_other_groups || state.is_overdue,
        Place::Behind => !state.has_other_groups && state.is_overdue,
    }
}
