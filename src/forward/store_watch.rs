//! Tasks that keep this VM's knowledge of the platform's objects up to date.

use std::rc::Rc;
use std::time::Duration;

use super::apply::{self, Source};
use super::backoff::Backoff;
use super::kind::Kind;
use super::role::Role;
use super::vm::Vm;
use crate::platform::objects::{
    ANSWER_SOON, ANSWER_WITHIN, Events, Listing, Objects, Read, Trouble,
};
use crate::unit::{Moment, Position, Span};

/// Longest wait of a watch. The store allows 30 s, but an answer may be lost without a word, and
/// then nothing is heard for so long.
const WATCH_TIMEOUT: Span = Span::secs(6);

/// Longest wait of a watch of roll-outs, as a part of the time in which a version found bad is out of use: one that
/// hangs is asked anew 3.4 s of 5 s after the change at the latest, 7.4 s with the wait above.
const ROLLOUTS_WATCH_FRACTION: f64 = 0.4;

/// The same for orders to empty a data centre, as a part of the time in which they are due: a watch that hangs is asked
/// anew 3.2 s of 5 s after the order at the latest.
const EVACUATIONS_WATCH_FRACTION: f64 = 0.4;

/// Backoff after an event, so that those of one change come with one call.
const EVENT_BATCH_DELAY: Duration = Duration::from_millis(250);

/// Servers are asked for so often, as a part of the time in which one that leaves may still get work. A watch that
/// waits proves nothing while it waits: one that hung on a connection which a cut of 0.8 s had slowed kept
/// an entry back for 2.0 s, while proofs of the configuration went on over a new one.
const SERVERS_POLL_FRACTION: f64 = 0.3;

/// An answer about servers that comes later than this may not come at all: a store whose answers took 60 times as
/// long as usual gave them after 240 ms.
const SLOW_ANSWER_THRESHOLD: Duration = Duration::from_millis(400);

/// Longest pause after a failed call.
const MAX_BACKOFF: Span = Span::millis(1000);

/// A follower that waits for the store's return looks again after this at the latest.
const RECOVERY_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// At the store's return a VM that is not the first of its group leaves it so much time to have news, which tries every
/// 0.6 s and is asked every 0.35 s: several would ask for all kinds at once.
const RECOVERY_YIELD: Duration = Duration::from_millis(900);

/// Time between two looks for entries that lapsed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// Follows a kind of objects until the process ends. While another VM reads the store for this one, own reading
/// rests; when it begins it goes on from what is known, if the store still tells the changes since then.
pub async fn watch_kind(vm: Rc<Vm>, kind: Kind) {
    let mut store = vm.store_client();
    let mut backoff = Backoff::default();
    let mut from: Option<Position> = None;
    let mut regained = vm.store_recoveries.subscribe();
    let mut role = vm.role.subscribe();
    loop {
        if !vm.is_reader() {
            let _ = role.wait_for(|role| *role == Role::Reads).await;
            from = vm.feed.borrow().freshness(kind).map(|reading| reading.position);
            backoff = Backoff::default();
            // What was heard of the store while another read is no reason to ask later.
            regained.borrow_and_update();
        }
        wait_for_store(&vm, &mut regained).await;
        if !vm.is_reader() {
            continue;
        }
        let sent = vm.now();
        from = from.filter(|from| from.era == vm.era.newest());
        let result = match from {
            None => list(&vm, kind, &mut store).await,
            Some(position) => {
                let watched = watch(&vm, kind, &mut store, position, &backoff);
                tokio::select! {
                    watched = watched => watched.map(|events| {
                        apply_events(&vm, kind, &events);
                        vm.feed.borrow_mut().record_read(kind, events.position(), sent);
                        (events.position(), !events.events.is_empty())
                    }),
                    _ = role.wait_for(|role| *role != Role::Reads) => {
                        store.disconnect();
                        continue;
                    }
                    // The way to the store was lost and is back: what the watch missed is asked
                    // for anew, and the old connection may lead nowhere.
                    _ = regained.changed() => {
                        store.disconnect();
                        Ok((position, false))
                    }
                }
            }
        };
        let call = if from.is_some() { "watch" } else { "list" };
        vm.count_store_call(&format!("{call}-{}", kind.name()), &result);
        match result {
            Ok((position, some)) => {
                vm.on_store_response();
                from = from.max(Some(position));
                backoff = Backoff::default();
                let rest = match kind {
                    Kind::Servers => until_servers_due(&vm, sent),
                    _ if some => EVENT_BATCH_DELAY,
                    _ => Duration::ZERO,
                };
                // The store's return ends the pause: what was missed is asked for at once, and anew.
                if tokio::time::timeout(rest, regained.changed()).await.is_ok() {
                    store.disconnect();
                }
            }
            Err(Trouble::HistoryGone) => {
                vm.log("history lost", &[("kind", kind.name().into())]);
                from = None;
            }
            Err(trouble) => {
                vm.log(
                    "store call failed",
                    &[("kind", kind.name().into()), ("why", trouble.to_string().as_str().into())],
                );
                // Those that follow this VM may ask others meanwhile.
                vm.store_suspect.set(vm.store_suspect.get() || kind == Kind::Servers);
                // A proof tells whether the store is lost or this call alone.
                vm.proof_requested.notify_one();
                // News that the store is back ends the pause.
                let wait = backoff.next_delay(MAX_BACKOFF).duration();
                let _ = tokio::time::timeout(wait, regained.changed()).await;
            }
        }
    }
}

/// Waits while a proof is tried that tells whether the store is lost, and for its return.
async fn wait_for_store(vm: &Vm, regained: &mut tokio::sync::watch::Receiver<u64>) {
    if vm.store_untested.get() {
        let _ = tokio::time::timeout(ANSWER_WITHIN.duration(), vm.proof_received.notified()).await;
    }
    if !vm.store_lost.get() {
        return;
    }
    let _ = tokio::time::timeout(RECOVERY_CHECK_INTERVAL, regained.changed()).await;
    if vm.first_in_group_since.get().is_none() {
        let mut role = vm.role.subscribe();
        let _ =
            tokio::time::timeout(RECOVERY_YIELD, role.wait_for(|role| *role != Role::Reads)).await;
    }
}

/// Changes of a kind: of servers those that there are, of others as soon as there is one.
async fn watch(
    vm: &Vm,
    kind: Kind,
    store: &mut Objects,
    from: Position,
    backoff: &Backoff,
) -> Result<Events, Trouble> {
    let wait = match kind {
        Kind::Servers => {
            // A connection that hangs is given up soon; a store that is slow has more time after that.
            let within = if backoff.has_failed() { ANSWER_WITHIN } else { ANSWER_SOON };
            let changes = store.changes(kind.name(), from, within);
            return flag_if_slow(vm, changes).await;
        }
        Kind::Rollouts => {
            WATCH_TIMEOUT.min(vm.settings.bounds.rollback.part(ROLLOUTS_WATCH_FRACTION))
        }
        Kind::Evacuations => {
            WATCH_TIMEOUT.min(vm.settings.bounds.evacuate_within.part(EVACUATIONS_WATCH_FRACTION))
        }
        // The proof reads the configuration itself, and nothing is due of VMs.
        Kind::Config | Kind::Vms => WATCH_TIMEOUT,
    };
    store.watch(kind.name(), from, wait).await
}

/// Waits for an answer; when it is late, those that follow this VM are told so, and may ask others.
async fn flag_if_slow<T>(vm: &Vm, call: impl Future<Output = T>) -> T {
    let mut call = std::pin::pin!(call);
    if let Ok(answer) = tokio::time::timeout(SLOW_ANSWER_THRESHOLD, &mut call).await {
        return answer;
    }
    vm.store_suspect.set(true);
    call.await
}

/// Time until servers are to be asked for again, if the last question was sent at `sent`.
fn until_servers_due(vm: &Vm, sent: Moment) -> Duration {
    let due = sent + vm.settings.bounds.drain_within.part(SERVERS_POLL_FRACTION);
    due.since(vm.now()).duration()
}

async fn list(vm: &Vm, kind: Kind, store: &mut Objects) -> Result<(Position, bool), Trouble> {
    let sent = vm.now();
    let listing = store.list(kind.name(), Read::Newest).await?;
    apply_listing(vm, kind, &listing, sent);
    Ok((listing.position(), false))
}

/// Takes a list that was asked for at `sent`; one of the configuration proves that it is the newest.
pub fn apply_listing(vm: &Vm, kind: Kind, listing: &Listing, sent: Moment) {
    let source = Source { reader: None, as_of: listing.position() };
    let configuration = apply::apply_list(vm, kind, &listing.items, &source);
    vm.feed.borrow_mut().record_read(kind, listing.position(), sent);
    if let Some(revision) = configuration
        && listing.position().era == vm.era.newest()
    {
        apply::record_proof(vm, sent, revision);
    }
}

fn apply_events(vm: &Vm, kind: Kind, events: &Events) {
    let lapsed = vm.was_store_lost_recently(vm.now());
    let source = Source { reader: None, as_of: events.position() };
    for event in &events.events {
        if event.deleted {
            let name = event.object.metadata.name.as_str();
            apply::remove_object(vm, kind, name, lapsed, &source);
        } else {
            apply::apply_object(vm, kind, &event.object, &source);
        }
    }
}

/// Drops entries that lapsed while the store was away and did not come back.
pub async fn expire_servers(vm: Rc<Vm>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        if vm.was_store_lost_recently(vm.now()) || vm.upstream_store_lost.get() {
            continue;
        }
        for id in vm.fleet.borrow_mut().expire(vm.now()) {
            vm.log("server gone", &[("server", id.as_str().into()), ("lapsed", true.into())]);
        }
    }
}
