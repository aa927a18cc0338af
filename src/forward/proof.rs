//! Proofs that the configuration is the newest: linearizable reads, dated to when they were sent.

use std::rc::Rc;
use std::time::Duration;

use super::backoff::Backoff;
use super::kind::Kind;
use super::membership;
use super::role::Role;
use super::store_watch::apply_listing;
use super::vm::Vm;
use crate::decide::reader::FAST_POLL_INTERVAL;
use crate::platform::object::CONFIG;
use crate::platform::objects::{Objects, Read, Trouble};
use crate::unit::Span;

/// A proof is renewed once this part of its longest age has passed: the rest is for a store that
/// is slow or away for a moment.
const RENEWAL_FRACTION: f64 = 0.7;

/// The same for a VM that reads the store for others, as a part of that age and of the time in which a
/// change must be in force: they need time to notice that it is gone and to read for themselves, and
/// deny routes and keys by its proofs.
const READER_RENEWAL_FRACTION: f64 = 0.35;
const DENIAL_RENEWAL_FRACTION: f64 = 0.45;

/// At the start the first list of the configuration has this long to bring a proof.
const STARTUP_LIST_GRACE: Span = Span::millis(300);

/// Longest pause after a proof that failed, so that the store's return is noticed soon; among many VMs those that
/// try tell the others.
const MAX_BACKOFF: Span = Span::millis(300);
const MAX_BACKOFF_LARGE_FLEET: Span = Span::millis(600);

/// The same where three others before this one try: the store may turn just those away.
const MAX_BACKOFF_LOW_RANK: Span = Span::millis(2400);

/// A VM that is not the first of its group leaves it to the first to prove that a store that was lost is back, for so long, and asks it
/// meanwhile: several would read the same at once. Those that follow it hear of the return so much later.
const FIRST_VM_GRACE: Span = Span::millis(400);

/// A VM for which others try the store looks again after this.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Proves freshness ahead of the end of the last proof and whenever it is asked to, one read at a
/// time. While another VM reads for this one it brings proofs too.
pub async fn run(vm: Rc<Vm>) {
    let mut store = vm.store_client();
    let mut backoff = Backoff::default();
    loop {
        if is_left_to_others(&vm) {
            tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        if vm.store_lost.get() {
            if let Err(trouble) = probe(&vm, &mut store).await {
                record_failure(&vm, &trouble, &mut backoff).await;
                continue;
            }
            if first_vm_took_over(&vm).await {
                continue;
            }
        } else if !wait_for_due(&vm).await {
            continue;
        }
        let sent = vm.now();
        let result = store.list(CONFIG, Read::Newest).await;
        vm.count_store_call("prove", &result);
        vm.store_untested.set(false);
        match result {
            Ok(listing) => {
                vm.on_store_response();
                backoff = Backoff::default();
                apply_listing(&vm, Kind::Config, &listing, sent);
            }
            Err(trouble) => record_failure(&vm, &trouble, &mut backoff).await,
        }
    }
}

/// Tries whether a store that was lost answers: by a read that may be old, which costs a tenth of a proof.
async fn probe(vm: &Vm, store: &mut Objects) -> Result<(), Trouble> {
    let found = membership::probe(store).await;
    vm.count_store_call("probe-stale", &found);
    found
}

/// Whether the first of this VM's group has proved meanwhile, so that this VM follows it.
async fn first_vm_took_over(vm: &Vm) -> bool {
    if vm.first_in_group_since.get().is_some() {
        return false;
    }
    let mut role = vm.role.subscribe();
    let until = vm.now() + FIRST_VM_GRACE;
    while vm.now() < until {
        vm.reader_search.notify_one();
        let follows = role.wait_for(|role| *role != Role::Reads);
        if tokio::time::timeout(FAST_POLL_INTERVAL.duration(), follows).await.is_ok() {
            return true;
        }
    }
    false
}

/// Notes that the store did not answer, and pauses.
async fn record_failure(vm: &Vm, trouble: &Trouble, backoff: &mut Backoff) {
    vm.on_proof_failure(&trouble.to_string());
    vm.proof_received.notify_waiters();
    tokio::time::sleep(backoff.next_delay(max_backoff(vm)).duration()).await;
}

fn max_backoff(vm: &Vm) -> Span {
    match vm.peers.borrow().is_full_mesh() {
        true => MAX_BACKOFF,
        false if vm.probes_rarely.get() => MAX_BACKOFF_LOW_RANK,
        false => MAX_BACKOFF_LARGE_FLEET,
    }
}

/// Whether this VM leaves it to others to try the store: it does not know yet whom to follow, or the VM that it follows
/// says that the store is lost, and will tell when it is back.
fn is_left_to_others(vm: &Vm) -> bool {
    match *vm.role.borrow() {
        Role::Joins => true,
        Role::Follows(_) => vm.upstream_store_lost.get(),
        Role::Reads => false,
    }
}

/// Waits until a proof is due, or asked for. Whether it still is.
async fn wait_for_due(vm: &Vm) -> bool {
    let asked = vm.proof_requested.notified();
    let proved = vm.proved_at.get();
    // Without a bound on keys nobody needs a proof that was not asked for.
    let Some(wait) = until_due(vm) else {
        asked.await;
        return true;
    };
    let was_asked = tokio::time::timeout(wait.duration(), asked).await.is_ok();
    // Another proof may have come meanwhile, with a list or from a reader.
    (was_asked || vm.proved_at.get() == proved) && !is_left_to_others(vm)
}

/// Time until the next proof is due.
fn until_due(vm: &Vm) -> Option<Span> {
    let longest = vm.max_proof_age();
    let interval = if vm.is_reader() && vm.has_followers(vm.now()) {
        let to_deny = vm.settings.bounds.config_propagation.part(DENIAL_RENEWAL_FRACTION);
        longest.map_or(to_deny, |longest| longest.part(READER_RENEWAL_FRACTION).min(to_deny))
    } else {
        longest?.part(RENEWAL_FRACTION)
    };
    // The list at the start is a proof too; a little time is left to it.
    let age =
        vm.proof_age(vm.now()).unwrap_or(Span(interval.0.saturating_sub(STARTUP_LIST_GRACE.0)));
    Some(Span(interval.0.saturating_sub(age.0)))
}
