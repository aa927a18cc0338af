//! Proofs that the configuration is the newest: linearizable reads, dated to when they were sent.

use std::rc::Rc;
use std::time::Duration;

use super::follow::note_list;
use super::kind::Kind;
use super::pause::Pause;
use super::role::Role;
use super::roster;
use super::vm::Vm;
use crate::decide::reader::FAST_POLL_INTERVAL;
use crate::platform::object::CONFIG;
use crate::platform::objects::{Objects, Read, Trouble};
use crate::unit::Span;

/// A proof is renewed once this part of its longest age has passed: the rest is for a store that
/// is slow or away for a moment.
const PROOF_AHEAD: f64 = 0.7;

/// The same for a VM that reads the store for others, as a part of that age and of the time in which a
/// change must be in force: they need time to notice that it is gone and to read for themselves, and
/// deny routes and keys by its proofs.
const PROOF_AHEAD_FOR_OTHERS: f64 = 0.35;
const PROOF_AHEAD_TO_DENY: f64 = 0.45;

/// At the start the first list of the configuration has this long to bring a proof.
const FIRST_PROOF: Span = Span::millis(300);

/// Longest pause after a proof that failed, so that the store's return is noticed soon; among many VMs those that
/// try tell the others.
const LONGEST_PAUSE: Span = Span::millis(300);
const LONGEST_PAUSE_OF_MANY: Span = Span::millis(600);

/// The same where three others before this one try: the store may turn just those away.
const LONGEST_PAUSE_BEHIND: Span = Span::millis(2400);

/// A VM that is not the first of its group leaves it to the first to prove that a store that was lost is back, for so long, and asks it
/// meanwhile: several would read the same at once. Those that follow it hear of the return so much later.
const LEAVES_IT_FOR: Span = Span::millis(400);

/// A VM for which others try the store looks again after this.
const LOOK: Duration = Duration::from_millis(100);

/// Proves freshness ahead of the end of the last proof and whenever it is asked to, one read at a
/// time. While another VM reads for this one it brings proofs too.
pub async fn run(vm: Rc<Vm>) {
    let mut store = vm.store_client();
    let mut pause = Pause::default();
    loop {
        if others_try(&vm) {
            tokio::time::sleep(LOOK).await;
            continue;
        }
        if vm.store_lost.get() {
            if let Err(trouble) = probe(&vm, &mut store).await {
                fail(&vm, &trouble, &mut pause).await;
                continue;
            }
            if is_left_to_the_first(&vm).await {
                continue;
            }
        } else if !wait_for_due(&vm).await {
            continue;
        }
        let sent = vm.now();
        let result = store.list(CONFIG, Read::Newest).await;
        vm.count_call("prove", &result);
        vm.unsure.set(false);
        match result {
            Ok(listing) => {
                vm.store_answered();
                pause = Pause::default();
                note_list(&vm, Kind::Config, &listing, sent);
            }
            Err(trouble) => fail(&vm, &trouble, &mut pause).await,
        }
    }
}

/// Tries whether a store that was lost answers: by a read that may be old, which costs a tenth of a proof.
async fn probe(vm: &Vm, store: &mut Objects) -> Result<(), Trouble> {
    let found = roster::probe(store).await;
    vm.count_call("probe-stale", &found);
    found
}

/// Whether the first of this VM's group has proved meanwhile, so that this VM follows it.
async fn is_left_to_the_first(vm: &Vm) -> bool {
    if vm.first_since.get().is_some() {
        return false;
    }
    let mut role = vm.role.subscribe();
    let until = vm.now() + LEAVES_IT_FOR;
    while vm.now() < until {
        vm.ask_again.notify_one();
        let follows = role.wait_for(|role| *role != Role::Reads);
        if tokio::time::timeout(FAST_POLL_INTERVAL.duration(), follows).await.is_ok() {
            return true;
        }
    }
    false
}

/// Notes that the store did not answer, and pauses.
async fn fail(vm: &Vm, trouble: &Trouble, pause: &mut Pause) {
    vm.store_failed(&trouble.to_string());
    vm.proof.notify_waiters();
    tokio::time::sleep(pause.next(longest_pause(vm)).duration()).await;
}

fn longest_pause(vm: &Vm) -> Span {
    match vm.peers.borrow().are_few() {
        true => LONGEST_PAUSE,
        false if vm.tries_rarely.get() => LONGEST_PAUSE_BEHIND,
        false => LONGEST_PAUSE_OF_MANY,
    }
}

/// Whether this VM leaves it to others to try the store: it does not know yet whom to follow, or the VM that it follows
/// says that the store is lost, and will tell when it is back.
fn others_try(vm: &Vm) -> bool {
    match *vm.role.borrow() {
        Role::Joins => true,
        Role::Follows(_) => vm.told_lost.get(),
        Role::Reads => false,
    }
}

/// Waits until a proof is due, or asked for. Whether it still is.
async fn wait_for_due(vm: &Vm) -> bool {
    let asked = vm.prove.notified();
    let proved = vm.proved.get();
    // Without a bound on keys nobody needs a proof that was not asked for.
    let Some(due) = due(vm) else {
        asked.await;
        return true;
    };
    let was_asked = tokio::time::timeout(due.duration(), asked).await.is_ok();
    // Another proof may have come meanwhile, with a list or from a reader.
    (was_asked || vm.proved.get() == proved) && !others_try(vm)
}

/// Time until the next proof is due.
fn due(vm: &Vm) -> Option<Span> {
    let longest = vm.longest_proof_age();
    let due = if vm.reads() && vm.has_followers(vm.now()) {
        let to_deny = vm.settings.bounds.in_force.part(PROOF_AHEAD_TO_DENY);
        longest.map_or(to_deny, |longest| longest.part(PROOF_AHEAD_FOR_OTHERS).min(to_deny))
    } else {
        longest?.part(PROOF_AHEAD)
    };
    // The list at the start is a proof too; a little time is left to it.
    let age = vm.proof_age(vm.now()).unwrap_or(Span(due.0.saturating_sub(FIRST_PROOF.0)));
    Some(Span(due.0.saturating_sub(age.0)))
}
