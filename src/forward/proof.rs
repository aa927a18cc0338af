//! Proofs that the configuration is the newest: linearizable reads of the store, each dated to the
//! moment when the read was sent. A VM needs a recent proof to forward requests with a key, or to
//! deny a route or key.

use std::rc::Rc;
use std::time::Duration;

use super::backoff::{Backoff, with_jitter};
use super::kind::Kind;
use super::membership;
use super::role::Role;
use super::store_watch::{apply_incomplete_list, apply_listing};
use super::vm::Vm;
use crate::decide::reader::{FAST_POLL_INTERVAL, first_vm_grace, max_probe_delay};
use crate::platform::client::{Client, Consistency, StoreError};
use crate::platform::object::CONFIG;
use crate::unit::Span;

/// Time that the first list of the configuration after the start may take before a separate proof
/// is made; the list is a proof as well.
const STARTUP_LIST_GRACE: Span = Span::millis(300);

/// Longest delay after a failed proof in a full mesh, short so that recovery of the store is noticed
/// soon. With more VMs it may be longer, since the VMs that probe the store inform the others.
const MAX_BACKOFF: Span = Span::millis(300);

/// Interval at which a VM that leaves proofs to others checks its role again.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Renews the proof before the last one expires, and on request, one read at a time, until the
/// process ends. While the store is unavailable, probes it with backoff instead. A VM that follows
/// another also gets proofs with that VM's updates.
pub async fn run(vm: Rc<Vm>) {
    let mut store = vm.store_client();
    let mut backoff = Backoff::default();
    loop {
        if is_left_to_others(&vm) {
            let mut role = vm.role.subscribe();
            let reads = role.wait_for(|role| *role == Role::Reads);
            let _ = tokio::time::timeout(ROLE_CHECK_INTERVAL, reads).await;
            continue;
        }
        if vm.store_lost.get() || vm.store_untested.get() {
            let probed = probe_store(&vm, &mut store).await;
            vm.store_untested.set(false);
            if let Err(error) = probed {
                record_failure(&vm, &error, &mut backoff).await;
                continue;
            }
            if vm.store_lost.get() && first_vm_took_over(&vm).await {
                continue;
            }
        } else if !wait_for_due(&vm).await {
            continue;
        }
        let sent = vm.now();
        let result = store.list(CONFIG, Consistency::Strong).await;
        vm.count_store_call("prove", &result);
        match result {
            Ok(listing) => {
                vm.on_store_response();
                backoff = Backoff::default();
                apply_listing(&vm, Kind::Config, &listing, sent);
            }
            Err(StoreError::IncompleteList(gap, read))
                if apply_incomplete_list(&vm, Kind::Config, &gap, read.as_deref(), sent) =>
            {
                vm.on_store_response();
                tokio::time::sleep(backoff.next_delay(MAX_BACKOFF).duration()).await;
            }
            Err(error) => record_failure(&vm, &error, &mut backoff).await,
        }
    }
}

/// Checks if a store that was down answers again, by a stale read, which costs a tenth of a proof.
async fn probe_store(vm: &Vm, store: &mut Client) -> Result<(), StoreError> {
    let found = membership::probe(store).await;
    vm.count_store_call("probe-stale", &found);
    found
}

/// Polls the VMs that rank before this one for the time of [`first_vm_grace`]. Returns true if one of
/// them has proved the configuration meanwhile, so that this VM follows it; false at once if none
/// ranks before this one.
async fn first_vm_took_over(vm: &Vm) -> bool {
    if vm.ranked_before.get() == 0 {
        return false;
    }
    let mut role = vm.role.subscribe();
    let until = vm.now() + first_vm_grace(max_delay_after_failure(vm, 0));
    while vm.now() < until {
        vm.reader_search.notify_one();
        let follows = role.wait_for(|role| *role != Role::Reads);
        if tokio::time::timeout(FAST_POLL_INTERVAL.duration(), follows).await.is_ok() {
            return true;
        }
    }
    false
}

/// Records that the store did not answer, and sleeps for the next delay.
async fn record_failure(vm: &Vm, error: &StoreError, backoff: &mut Backoff) {
    vm.on_proof_failure(&error.to_string());
    vm.proof_received.notify_waiters();
    tokio::time::sleep(delay_after_failure(vm, backoff).duration()).await;
}

/// Returns the delay after a failed proof, by the number of VMs and the rank of this one. Beyond a
/// full mesh only the VM of highest rank begins with short delays.
fn delay_after_failure(vm: &Vm, backoff: &mut Backoff) -> Span {
    let ranked_before = vm.ranked_before.get();
    let longest = max_delay_after_failure(vm, ranked_before);
    match vm.peers.borrow().is_full_mesh() || ranked_before == 0 {
        true => backoff.next_delay(longest),
        false => with_jitter(longest),
    }
}

/// Returns the longest delay after a failed proof of a VM with this number of VMs of higher rank.
fn max_delay_after_failure(vm: &Vm, ranked_before: usize) -> Span {
    match vm.peers.borrow().is_full_mesh() {
        true => MAX_BACKOFF,
        false => max_probe_delay(ranked_before),
    }
}

/// Returns true if this VM leaves proofs to other VMs: it still looks for a VM to follow, or the VM
/// that it follows reports that the store is down and will report the recovery.
fn is_left_to_others(vm: &Vm) -> bool {
    match *vm.role.borrow() {
        Role::Joins => true,
        Role::Follows(_) => vm.upstream_store_lost.get(),
        Role::Reads => false,
    }
}

/// Waits until a proof is due or requested. Returns true if the proof is still needed then.
async fn wait_for_due(vm: &Vm) -> bool {
    let asked = vm.proof_requested.notified();
    let proved = vm.proved_at.get();
    // Without a bound on the time in which revoked keys are refused, a follower needs proofs only
    // on request.
    let Some(wait) = time_until_due(vm) else {
        asked.await;
        return true;
    };
    let was_asked = tokio::time::timeout(wait.duration(), asked).await.is_ok();
    // Another proof may have arrived meanwhile, with a list of the configuration or from another
    // VM.
    (was_asked || vm.proved_at.get() == proved) && !is_left_to_others(vm)
}

/// Returns the time until the next proof is due, or `None` if proofs are made only on request.
pub fn time_until_due(vm: &Vm) -> Option<Span> {
    let interval = match vm.is_reader() {
        true => vm.schedules.reader_proof_interval(),
        false => vm.schedules.follower_proof_interval()?,
    };
    // The first list of the configuration is a proof too, so without any proof there is still a
    // short wait for that list.
    let age =
        vm.proof_age(vm.now()).unwrap_or(Span(interval.0.saturating_sub(STARTUP_LIST_GRACE.0)));
    Some(Span(interval.0.saturating_sub(age.0)))
}
