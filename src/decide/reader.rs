//! Decides which VM reads the platform's store and which VM the others poll for updates.
//!
//! A *reader* is a VM that reads the store for others, a *follower* one that polls another VM, its
//! *source*. *Server data* are the entries of backend servers in the store; their age is the time
//! since a reader read them. A *group* are the VMs of one data centre.
//!
//! VMs are ranked by CPU, largest first, then by name. A VM polls higher-ranked VMs of its group;
//! the first VM of a group polls the first VMs of other groups that rank higher. In the normal case
//! a single VM of the fleet reads the store, the first VM of each group polls that VM, and the
//! others poll the first VM of their group. There is no election, and two readers do no harm.
//!
//! The ranking bounds the load on the store when hundreds of VMs lack updates at the same moment,
//! at a start or while the store does not answer. VMs poll higher-ranked ones first, and those of
//! higher rank try the store earlier and more often. But no VM waits for others beyond the age up to
//! which it may use its data: it tries the store then, whatever they report, since a store may
//! reject some VMs and serve the others.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::freshness::{MAX_FORWARDED_AGE_FRACTION, READ_STORE_AGE_FRACTION};
use crate::unit::{Millicores, Moment, Span, Vm};

/// Time between two polls of a source.
pub const POLL_INTERVAL: Span = Span::millis(350);

/// Time between two polls while no source has an update; another VM may have one in a moment.
pub const FAST_POLL_INTERVAL: Span = Span::millis(100);

/// Time after which a loss of the store counts as confirmed. Before, the VMs that try the store may
/// still reach it, so they are polled at [`FAST_POLL_INTERVAL`], and a VM that has just started
/// waits for their result.
pub const STORE_LOSS_CONFIRMED_AFTER: Span = Span::millis(1500);

/// Time that a VM which has just started waits for its first update before it reads the store
/// itself. When hundreds of VMs start at once, the first VM of a group needs some tenths of a
/// second to read the whole store.
pub const STARTUP_WAIT: Span = Span::millis(2000);

/// Maximum number of responsive sources that a VM polls in its group: the three of highest rank.
/// VMs of lower rank never need to be polled, since any of these three has what the first one had.
const MAX_SOURCES: usize = 3;

/// Backoff after a source did not answer a poll. It doubles with each consecutive timeout, up to
/// [`MAX_NO_RESPONSE_BACKOFF`].
const NO_RESPONSE_BACKOFF: Span = Span::secs(2);

/// Maximum backoff after a source did not answer several polls in a row.
const MAX_NO_RESPONSE_BACKOFF: Span = Span::secs(30);

/// Backoff after a source answered that it has no update; short, since the source may have one
/// soon.
const DECLINED_BACKOFF: Span = Span::millis(1500);

/// Time after the end of the backoff from a source for which the source's report that the store is
/// unavailable stays valid.
const STORE_UNAVAILABLE_GRACE: Span = Span::secs(1);

/// Backoff after a source that has just started did not have a full snapshot yet.
const NOT_READY_BACKOFF: Span = Span::millis(80);

/// Backoff after a source did not answer a VM that has just started; the source may have just
/// started too.
const STARTUP_NO_RESPONSE_BACKOFF: Span = Span::millis(300);

/// Time after the first unanswered poll of a VM that has just started at which the source counts as
/// unresponsive.
pub const STARTUP_SILENCE: Span = Span::millis(1000);

/// Maximum time that a follower waits for the answer to a poll.
pub const POLL_TIMEOUT: Span = Span::millis(450);

/// Maximum time that a VM without any snapshot yet waits for the answer to a poll; shorter, since
/// some sources are not up yet when all VMs restart.
pub const FIRST_POLL_TIMEOUT: Span = Span::millis(250);

/// Maximum number of polls by which a VM gets what a reader has read. Two are usual, and three if
/// the first VM of a group is skipped.
pub const MAX_HOPS: u8 = 3;

/// Rank of a VM in the order in which VMs read the store for others. VMs with more CPU come first,
/// since the first VM of a group answers the polls of its group.
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

/// Returns true if server data of this age is too old to be forwarded to followers, whose time
/// without contact has this bound.
pub fn is_too_old_to_forward(servers_age: Span, contact_bound: Span) -> bool {
    servers_age > contact_bound.mul_f64(MAX_FORWARDED_AGE_FRACTION)
}

/// Returns true if the VM `by` may accept an update that `reader` read from the store and that took
/// `hops` hops to its sender. What the VM read itself is rejected, and what was forwarded by too many
/// VMs, as it may be old.
pub fn may_accept_update(reader: &Vm, hops: u8, by: &Vm) -> bool {
    reader != by && hops < MAX_HOPS
}

/// Returns true if updates that `reader` read and that took `hops` hops to their sender come by a
/// longer way than those that a VM has already, which `current_reader` read and which took
/// `current_hops` hops to it.
pub fn is_detour(reader: &Vm, hops: u8, current_reader: &Vm, current_hops: u8) -> bool {
    reader == current_reader && hops >= current_hops
}

/// Returns true if a VM that reads the store without failures may stop for the updates of another
/// reader: only if that one ranks before it. Otherwise two readers could stop for each other, and
/// the data of all VMs would get too old.
pub fn may_stop_reading(own: &Rank, reader: &Rank) -> bool {
    reader < own
}

/// Returns the age of its server data at which a VM reads the store itself. `lost` is the number of
/// responsive VMs that rank before it, if its sources report the store as unavailable. VMs of higher
/// rank then try the store earlier, so that the others can follow one that succeeds.
pub fn read_store_age(contact_bound: Span, lost: Option<usize>) -> Span {
    let latest = contact_bound.mul_f64(READ_STORE_AGE_FRACTION);
    let Some(ranked_before) = lost else { return latest };
    let earliest = contact_bound.mul_f64(MAX_FORWARDED_AGE_FRACTION);
    let delay = ranked_before as f64 / (ranked_before + MAX_SOURCES) as f64;
    earliest + Span(latest.0.saturating_sub(earliest.0)).mul_f64(delay)
}

/// Returns the longest delay between two probes of a store that is unavailable, for a VM with this
/// number of responsive VMs of higher rank. It grows with their number, so that the probes of a
/// group grow with the logarithm of its size.
pub fn max_probe_delay(ranked_before: usize) -> Span {
    Span(MAX_PROBE_DELAY.0 * (1 + ranked_before as u64))
}

/// Returns how long a VM polls those that rank before it when the store answers again, instead of
/// reading it, as otherwise several VMs would do the same reads at once. The first of them probes the
/// store at least every `probe_delay`.
pub fn first_vm_grace(probe_delay: Span) -> Span {
    probe_delay + FIRST_VM_READ_TIME
}

/// Returns the pause before the next poll: `pause`, or less if the VM reads the store itself
/// earlier, which it does once its server data, read at `known`, has the age `read_age`. A VM that
/// has older data and doesn't read, since its source is current, polls again soon, and at the age
/// `latest` at the latest.
pub fn poll_pause(
    pause: Span,
    known: Option<Moment>,
    read_age: Span,
    latest: Span,
    now: Moment,
) -> Span {
    let Some(known) = known else { return pause };
    let until = |age: Span| Some((known + age).since(now)).filter(|left| *left > Span::default());
    match (until(read_age), until(latest)) {
        (Some(left), _) => pause.min(left),
        (None, Some(left)) => pause.min(FAST_POLL_INTERVAL).min(left),
        (None, None) => pause.min(FAST_POLL_INTERVAL),
    }
}

/// Returns the timeout of the next poll, or none if the VM should read the store instead. `known`
/// is when a follower's server data were read from the store; a VM that reads the store itself
/// passes none and always gets the full timeout.
pub fn poll_timeout(known: Option<Moment>, contact_bound: Span, now: Moment) -> Option<Span> {
    let Some(known) = known else { return Some(POLL_TIMEOUT) };
    let left = (known + contact_bound.mul_f64(READ_STORE_AGE_FRACTION)).since(now);
    (left > Span::default()).then(|| left.min(POLL_TIMEOUT))
}

/// Time until the first VM of a group serves updates after a probe of the store has succeeded.
const FIRST_VM_READ_TIME: Span = Span::millis(100);

/// Maximum delay between two probes of a lost store by the VM of highest rank. The probe is a stale
/// read.
const MAX_PROBE_DELAY: Span = Span::millis(600);

/// Reason why a source is not polled for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BackoffReason {
    /// The source did not answer this number of polls in a row.
    Silent(u32),
    /// The source did not answer a VM that has just started. It may have just started too.
    Starting {
        /// When the first of the unanswered polls ended.
        since: Moment,
    },
    /// The source had no update.
    Declined,
    /// The source reported that the store is unavailable.
    StoreLost,
}

/// Why and until when a source is not polled.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    reason: BackoffReason,
    until: Moment,
}

/// Results of one VM's polls of its sources: which sources are not polled for now, and why.
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

    /// Backs off from a source that reported the store as unavailable.
    pub fn on_store_unavailable(&mut self, vm: &Vm, now: Moment) {
        self.set_backoff(vm, BackoffReason::StoreLost, now + DECLINED_BACKOFF);
    }

    /// Clears the backoff of all sources that declined or reported the store as unavailable. Called
    /// when the store answers again.
    pub fn clear_declined(&mut self) {
        let is_unanswered =
            |reason| matches!(reason, BackoffReason::Silent(_) | BackoffReason::Starting { .. });
        self.backoffs.retain(|_, backoff| is_unanswered(backoff.reason));
    }

    /// Returns true if the last answer of any source of the VM `own` was that the store is
    /// unavailable. A source that only has no update is no sign of that: during an outage the first
    /// VM of a group may stop or stall, and the VMs of lower rank must keep waiting.
    pub fn is_store_reported_unavailable<'a>(
        &'a self,
        own: &'a Rank,
        group: impl Iterator<Item = &'a Rank>,
        now: Moment,
    ) -> bool {
        let sources = self.responsive_sources(own, group, now);
        sources.into_iter().take(MAX_SOURCES).any(|rank| self.reports_store_lost(&rank.vm, now))
    }

    /// Returns true if the last answer of a VM was that the store is unavailable, and is still
    /// valid.
    fn reports_store_lost(&self, vm: &Vm, now: Moment) -> bool {
        self.backoffs.get(vm).is_some_and(|one| {
            one.reason == BackoffReason::StoreLost && now < one.until + STORE_UNAVAILABLE_GRACE
        })
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
        let doubled =
            Span(NO_RESPONSE_BACKOFF.0 << timeouts_before.min(8)).min(MAX_NO_RESPONSE_BACKOFF);
        self.set_backoff(vm, BackoffReason::Silent(timeouts_before + 1), now + doubled);
    }

    /// Backs off briefly from a source that did not answer a VM which has just started. The source
    /// counts as unresponsive only after [`STARTUP_SILENCE`], since it may need longer for its
    /// start than this VM.
    pub fn on_startup_timeout(&mut self, vm: &Vm, now: Moment) {
        let since = match self.backoffs.get(vm) {
            Some(Backoff { reason: BackoffReason::Starting { since }, .. }) => *since,
            _ => now,
        };
        let reason = BackoffReason::Starting { since };
        self.set_backoff(vm, reason, now + STARTUP_NO_RESPONSE_BACKOFF);
    }

    fn set_backoff(&mut self, vm: &Vm, reason: BackoffReason, until: Moment) {
        self.backoffs.insert(vm.clone(), Backoff { reason, until });
    }

    /// Returns why a source is not polled now; none if it may be polled.
    fn backoff_reason(&self, vm: &Vm, now: Moment) -> Option<BackoffReason> {
        let backoff = self.backoffs.get(vm).filter(|backoff| now < backoff.until);
        backoff.map(|backoff| backoff.reason)
    }

    fn is_silent(&self, vm: &Vm, now: Moment) -> bool {
        match self.backoff_reason(vm, now) {
            Some(BackoffReason::Silent(_)) => true,
            Some(BackoffReason::Starting { since }) => now.since(since) >= STARTUP_SILENCE,
            Some(BackoffReason::Declined | BackoffReason::StoreLost) | None => false,
        }
    }

    /// Returns the responsive VMs of higher rank than `own`, the highest first.
    fn responsive_sources<'a>(
        &'a self,
        own: &'a Rank,
        group: impl Iterator<Item = &'a Rank>,
        now: Moment,
    ) -> Vec<&'a Rank> {
        let mut sources: Vec<&Rank> =
            group.filter(|rank| *rank < own && !self.is_silent(&rank.vm, now)).collect();
        sources.sort();
        sources
    }

    /// Returns the source in `group` that the VM `own` polls next: one of the first [`MAX_SOURCES`]
    /// that respond. Those that report the store as unavailable are polled as well and not counted,
    /// as the store may serve VMs of lower rank. None if `own` is the first responsive VM, or if all
    /// of its sources are in backoff.
    pub fn next_source<'a>(
        &'a self,
        own: &'a Rank,
        group: impl Iterator<Item = &'a Rank>,
        now: Moment,
    ) -> Option<&'a Vm> {
        let mut counted = 0;
        for Rank { vm, .. } in self.responsive_sources(own, group, now) {
            if counted == MAX_SOURCES {
                return None;
            }
            if self.backoff_reason(vm, now).is_none() {
                return Some(vm);
            }
            counted += usize::from(!self.reports_store_lost(vm, now));
        }
        None
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

    /// Returns how many VMs of a group rank before the VM `own`, and how many of these are known as
    /// unresponsive.
    pub fn count_ranked_before<'a>(
        &'a self,
        own: &'a Rank,
        group: impl Iterator<Item = &'a Rank>,
        now: Moment,
    ) -> RankedBefore {
        let before: Vec<&Rank> = group.filter(|rank| *rank < own).collect();
        let silent = before.iter().filter(|rank| self.is_silent(&rank.vm, now)).count();
        RankedBefore { known: before.len(), silent }
    }

    /// Returns the position of the VM `own` among the responsive VMs of its group.
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

/// Number of VMs of a group that rank before a given one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankedBefore {
    /// All that are known.
    pub known: usize,
    /// Those of them that do not answer.
    pub silent: usize,
}

impl RankedBefore {
    /// Returns the number of VMs that answer.
    pub fn responsive(&self) -> usize {
        self.known.saturating_sub(self.silent)
    }
}

/// Position of a VM in its group, by the number of responsive VMs of higher rank. It decides if the
/// VM reads the store when its sources have no update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupPosition {
    /// No VM of higher rank in the group answers: the VM is the reader of its group.
    First,
    /// One or two VMs of higher rank in the group answer: the VM replaces the first one if that
    /// fails.
    Next,
    /// At least three VMs of higher rank in the group answer.
    Behind,
}

/// Returns how long a VM which has just started waits for its first update before it reads the
/// store itself. Those that come behind the first three of their group leave these the time to read
/// it: otherwise a first one that is too slow, maybe as the store is overloaded, would make all VMs
/// read it at the same moment.
pub fn startup_wait(position: GroupPosition) -> Span {
    match position {
        GroupPosition::First | GroupPosition::Next => STARTUP_WAIT,
        GroupPosition::Behind => Span(2 * STARTUP_WAIT.0),
    }
}

/// State of a VM that got no update from its sources: the inputs of [`should_read_store`].
#[derive(Clone, Copy, Debug)]
pub struct FollowerState {
    /// Position of the VM among the responsive VMs of its group.
    pub group_position: GroupPosition,
    /// True if there are other groups of VMs, whose first VMs are polled by the first VM of this
    /// group.
    pub has_other_groups: bool,
    /// True if there is a source to poll next.
    pub has_source: bool,
    /// True if a source reported the store as unavailable and none has an update.
    pub is_store_unavailable: bool,
    /// True if the VM has received a snapshot before.
    pub has_snapshot: bool,
    /// True while the VM started so recently that it may wait for its first update.
    pub is_starting: bool,
    /// True if the VM's server data is so old that the VM must not wait longer for an update.
    pub is_overdue: bool,
}

impl FollowerState {
    /// Returns true if the VM must not wait for others any longer: its data is too old, or it has
    /// none and has waited for its first update.
    fn must_not_wait(&self) -> bool {
        self.is_overdue || (!self.has_snapshot && !self.is_starting)
    }
}

/// Returns true if a VM that got no update from its sources reads the store itself. It does in each
/// state once it must not wait any longer.
pub fn should_read_store(state: &FollowerState) -> bool {
    if state.must_not_wait() {
        return true;
    }
    if state.is_store_unavailable {
        return should_try_unavailable_store(state);
    }
    if state.has_source {
        return false;
    }
    match state.group_position {
        GroupPosition::First => true,
        GroupPosition::Next => state.has_snapshot,
        // One of the VM's sources will have an update soon.
        GroupPosition::Behind => false,
    }
}

/// Returns true if a VM that could still wait tries to read a store that a source reported as
/// unavailable. The first VM of a group always does, and in a fleet of one group also the two of
/// next rank: a store that refuses a third of the VMs and serves the others refuses three given VMs
/// at once on one day in twenty.
fn should_try_unavailable_store(state: &FollowerState) -> bool {
    match state.group_position {
        GroupPosition::First => true,
        GroupPosition::Next => !state.has_other_groups,
        GroupPosition::Behind => false,
    }
}
