//! Decides which VM reads the platform's store and which VM the others ask for updates.
//!
//! VMs are ranked by CPU, largest first, then by name. A VM asks higher-ranked VMs of its group;
//! the first of a group asks the firsts of the other groups that rank higher. In the normal case a
//! single VM of the fleet reads the store, the first of each group asks that VM, and the others ask
//! the first of their group. There is no election, and two readers do no harm.
//!
//! This bounds the load on the store when hundreds of VMs lack updates at the same moment, at a
//! start or while the store is away: VMs keep asking higher-ranked ones, and only the first of each
//! group, or those next to it, try the store.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::unit::{Millicores, Moment, Span, Vm};

/// Time between two polls of a source.
pub const POLL_INTERVAL: Span = Span::millis(350);

/// Poll interval while no source has an update; another VM may have one in a moment.
pub const FAST_POLL_INTERVAL: Span = Span::millis(100);

/// A store loss counts as confirmed after this time. Until then the VMs that try the store may
/// still reach it, so they are polled at the fast interval, and a VM that has just started waits
/// for their result.
pub const STORE_LOSS_CONFIRMED_AFTER: Span = Span::millis(1500);

/// Time that a VM which has just started waits for its first update before it reads the store
/// itself. When hundreds of VMs start at once, the first of a group needs some tenths of a second
/// for a full read.
pub const STARTUP_WAIT: Span = Span::millis(2000);

/// Maximum number of sources of a group, not counting unresponsive ones: the first and the two next
/// to it. VMs of lower rank never need to be asked, since any of these three has what the first
/// had.
const MAX_SOURCES: usize = 3;

/// Backoff after a source did not answer; it doubles with each consecutive timeout up to the
/// maximum.
const SILENT_BACKOFF: Span = Span::secs(2);
const MAX_SILENT_BACKOFF: Span = Span::secs(30);

/// Backoff after a source had no update; it may have one soon.
const DECLINED_BACKOFF: Span = Span::millis(1500);

/// A report that the store is lost stays valid for this long after the backoff of the VM that sent
/// it has ended.
const STORE_LOST_GRACE: Span = Span::secs(1);

/// Backoff after a source that has just started did not have a full snapshot yet.
const NOT_READY_BACKOFF: Span = Span::millis(80);

/// Backoff after a source did not answer a VM that has just started; the source may have just
/// started too.
const STARTUP_SILENT_BACKOFF: Span = Span::millis(300);

/// Timeout of a poll.
pub const POLL_TIMEOUT: Span = Span::millis(450);

/// Timeout of a poll while this VM has no snapshot yet. When all VMs restart, some sources are not
/// up yet.
pub const FIRST_POLL_TIMEOUT: Span = Span::millis(250);

/// Maximum age of server data that is forwarded, as a fraction of the time in which a draining
/// server may still get work. With a smaller fraction most VMs read the store themselves when the
/// store delays a request for a second. Followers don't apply it to their own data, which
/// [`READ_STORE_AGE`] bounds.
const MAX_FORWARDED_AGE_FRACTION: f64 = 0.65;

/// Age of its server data, as a fraction of the same time, at which a follower reads the store
/// itself, even if a source may still answer: its own read takes some milliseconds. One poll
/// interval, two timeouts and the oldest data that is forwarded would add up to more than the whole
/// time.
const READ_STORE_AGE_FRACTION: f64 = 0.8;

/// Updates that were forwarded by more VMs than this are rejected. Two hops are usual, and three
/// where the first of a group is skipped.
const MAX_HOPS: u8 = 4;

/// Rank of a VM. Larger VMs come first, since the first of a group answers the polls of its group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rank {
    cpu: Reverse<Millicores>,
    /// Name of the VM, which breaks ties.
    pub vm: Vm,
}

impl Rank {
    /// Creates the rank of a VM with this CPU quota.
    pub fn new(cpu: Millicores, vm: Vm) -> Rank {
        Rank { cpu: Reverse(cpu), vm }
    }
}

/// Returns true if server data of this age is too old to be forwarded. `leave_within` is the time
/// in which a draining server may still get work.
pub fn is_too_old_to_forward(servers_age: Span, leave_within: Span) -> bool {
    servers_age > leave_within.mul_f64(MAX_FORWARDED_AGE_FRACTION)
}

/// Returns true if the VM `by` may accept an update that `reader` read from the store and that took
/// `hops` hops. Its own reads and updates that were forwarded too often tell it nothing new.
pub fn may_accept_update(reader: &Vm, hops: u8, by: &Vm) -> bool {
    reader != by && hops <= MAX_HOPS
}

/// Returns the timeout of the next poll, or none if it is time to read the store. `known` is the
/// date of a follower's server data; a VM that reads the store itself passes none and always gets
/// the full timeout.
pub fn poll_timeout(known: Option<Moment>, leave_within: Span, now: Moment) -> Option<Span> {
    let Some(known) = known else { return Some(POLL_TIMEOUT) };
    let left = (known + leave_within.mul_f64(READ_STORE_AGE_FRACTION)).since(now);
    (left > Span::default()).then(|| left.min(POLL_TIMEOUT))
}

/// Reason why a source is not polled for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BackoffReason {
    /// Consecutive timeouts.
    Silent(u32),
    /// The source had no update.
    Declined,
    /// The source reported that the store is lost.
    StoreLost,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    reason: BackoffReason,
    until: Moment,
}

/// Backoff state of the sources that a VM has polled.
#[derive(Clone, Debug, Default)]
pub struct SourceHistory {
    backoffs: BTreeMap<Vm, Backoff>,
}

impl SourceHistory {
    /// Clears the backoff of a source that sent an update.
    pub fn on_update(&mut self, vm: &Vm) {
        self.backoffs.remove(vm);
    }

    /// Backs off from a source that had no update.
    pub fn on_declined(&mut self, vm: &Vm, now: Moment) {
        self.set_backoff(vm, BackoffReason::Declined, now + DECLINED_BACKOFF);
    }

    /// Backs off from a source that reported the store as lost.
    pub fn on_store_lost(&mut self, vm: &Vm, now: Moment) {
        self.set_backoff(vm, BackoffReason::StoreLost, now + DECLINED_BACKOFF);
    }

    /// Clears the backoff of all sources that declined or reported a lost store. Called when the
    /// store answers again.
    pub fn clear_declined(&mut self) {
        self.backoffs.retain(|_, backoff| matches!(backoff.reason, BackoffReason::Silent(_)));
    }

    /// Returns true if the last answer of any source of `own` was that the store is lost. A source
    /// that only declines is no sign of it: during an outage the first of a group may stop or
    /// stall, and the VMs behind it must keep waiting.
    pub fn is_store_reported_lost<'a>(
        &'a self,
        own: &'a Rank,
        group: impl Iterator<Item = &'a Rank>,
        now: Moment,
    ) -> bool {
        let reports_lost = |rank: &&Rank| {
            let backoff = self.backoffs.get(&rank.vm);
            backoff.is_some_and(|one| {
                one.reason == BackoffReason::StoreLost && now < one.until + STORE_LOST_GRACE
            })
        };
        self.responsive_sources(own, group, now).iter().any(reports_lost)
    }

    /// Backs off briefly from a source that does not have a full snapshot yet.
    pub fn on_not_ready(&mut self, vm: &Vm, now: Moment) {
        self.set_backoff(vm, BackoffReason::Declined, now + NOT_READY_BACKOFF);
    }

    /// Backs off from a source that did not answer, doubling the time with each consecutive
    /// timeout.
    pub fn on_timeout(&mut self, vm: &Vm, now: Moment) {
        let timeouts_before = match self.backoffs.get(vm) {
            Some(Backoff { reason: BackoffReason::Silent(timeouts), .. }) => *timeouts,
            _ => 0,
        };
        let doubled = Span(SILENT_BACKOFF.0 << timeouts_before.min(8)).min(MAX_SILENT_BACKOFF);
        self.set_backoff(vm, BackoffReason::Silent(timeouts_before + 1), now + doubled);
    }

    /// Backs off briefly from a source that did not answer a VM which has just started.
    pub fn on_startup_timeout(&mut self, vm: &Vm, now: Moment) {
        self.set_backoff(vm, BackoffReason::Silent(0), now + STARTUP_SILENT_BACKOFF);
    }

    fn set_backoff(&mut self, vm: &Vm, reason: BackoffReason, until: Moment) {
        self.backoffs.insert(vm.clone(), Backoff { reason, until });
    }

    fn backoff_reason(&self, vm: &Vm, now: Moment) -> Option<BackoffReason> {
        let backoff = self.backoffs.get(vm).filter(|backoff| now < backoff.until);
        backoff.map(|backoff| backoff.reason)
    }

    fn is_silent(&self, vm: &Vm, now: Moment) -> bool {
        matches!(self.backoff_reason(vm, now), Some(BackoffReason::Silent(_)))
    }

    /// Returns the responsive sources of higher rank than `own`, the highest first, at most
    /// [`MAX_SOURCES`].
    fn responsive_sources<'a>(
        &'a self,
        own: &'a Rank,
        group: impl Iterator<Item = &'a Rank>,
        now: Moment,
    ) -> Vec<&'a Rank> {
        let mut sources: Vec<&Rank> =
            group.filter(|rank| *rank < own && !self.is_silent(&rank.vm, now)).collect();
        sources.sort();
        sources.truncate(MAX_SOURCES);
        sources
    }

    /// Returns the source of a group to poll next. None if `own` is the first responsive VM, or if
    /// all of its sources are backing off.
    pub fn next_source<'a>(
        &'a self,
        own: &'a Rank,
        group: impl Iterator<Item = &'a Rank>,
        now: Moment,
    ) -> Option<&'a Vm> {
        let sources = self.responsive_sources(own, group, now);
        sources.into_iter().map(|rank| &rank.vm).find(|vm| self.backoff_reason(vm, now).is_none())
    }

    /// Returns any VM to poll next, whatever its rank. Used by a VM that has lost the store.
    pub fn any_source<'a>(
        &'a self,
        group: impl Iterator<Item = &'a Rank>,
        now: Moment,
    ) -> Option<&'a Vm> {
        group.filter(|rank| self.backoff_reason(&rank.vm, now).is_none()).min().map(|rank| &rank.vm)
    }

    /// Returns the highest-ranked VM of a group that is not known as unresponsive.
    pub fn first_responsive<'a>(
        &'a self,
        group: impl Iterator<Item = &'a Rank>,
        now: Moment,
    ) -> Option<&'a Rank> {
        group.filter(|rank| !self.is_silent(&rank.vm, now)).min()
    }

    /// Returns the place of a VM in its group.
    pub fn group_position<'a>(
        &'a self,
        own: &'a Rank,
        group: impl Iterator<Item = &'a Rank>,
        now: Moment,
    ) -> GroupPosition {
        match self.responsive_sources(own, group, now).len() {
            0 => GroupPosition::First,
            count if count < MAX_SOURCES => GroupPosition::Next,
            _ => GroupPosition::Behind,
        }
    }
}

/// Place of a VM in its group, by the number of responsive VMs of higher rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupPosition {
    /// No VM of higher rank in the group answers.
    First,
    /// One of those next to the first.
    Next,
    /// Any lower place.
    Behind,
}

/// State of a VM that got no update from its sources.
#[derive(Clone, Copy, Debug)]
pub struct FollowerState {
    /// Place in its group.
    pub group_position: GroupPosition,
    /// True if there are other groups, which the first of this one polls.
    pub has_other_groups: bool,
    /// True if there is a source to poll next.
    pub has_source: bool,
    /// True if a source reported the store as lost and none has an update.
    pub is_store_lost: bool,
    /// True if the VM has received a snapshot before.
    pub has_snapshot: bool,
    /// True while the VM started so recently that it may wait for its first update.
    pub is_starting: bool,
    /// True if the VM's server data is too old.
    pub is_overdue: bool,
}

/// Returns true if a VM without an update reads the store itself.
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
    match state.group_position {
        GroupPosition::First => true,
        GroupPosition::Next => state.has_snapshot || !state.is_starting,
        // One of its sources will have an update soon.
        GroupPosition::Behind => !state.has_snapshot && !state.is_starting,
    }
}

/// Returns true if a VM tries a store that a source reported as lost. The first of a group always
/// does, and in a fleet of one group also those next to it: a store that refuses a third of the VMs
/// and serves the rest refuses three given VMs at once on one day in twenty. Once their data is too
/// old more VMs try, but in a fleet of several groups none of those behind.
fn should_try_lost_store(state: &FollowerState) -> bool {
    match state.group_position {
        GroupPosition::First => true,
        GroupPosition::Next => !state.has_other_groups || state.is_overdue,
        GroupPosition::Behind => !state.has_other_groups && state.is_overdue,
    }
}
