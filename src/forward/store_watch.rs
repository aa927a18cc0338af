//! Tasks that keep this VM's objects up to date by lists and watches of the platform's store, while
//! this VM is a reader: one that reads the store itself.

use std::rc::Rc;
use std::time::Duration;

use super::apply::{self, Source};
use super::backoff::Backoff;
use super::kind::Kind;
use super::role::Role;
use super::vm::Vm;
use crate::decide::freshness::RESPONSE_TIMEOUT;
use crate::platform::client::{Client, Consistency, Events, Listing, StoreError};
use crate::platform::listing::Gap;
use crate::platform::object::{self, MAIN, Object};
use crate::unit::{Moment, Position, Span};

/// After this time without a response to a poll for changes of servers, the store counts as
/// doubtful: the response may not come at all. A store that was 60 times slower than usual answered
/// after 240 ms.
const SLOW_ANSWER_THRESHOLD: Duration = Duration::from_millis(400);

/// Longest delay after a failed call.
const MAX_BACKOFF: Span = Span::millis(1000);

/// Longest time after which a task that waits for the store to recover checks again.
const RECOVERY_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// When the store recovers, a VM that is not the first of its group waits this long for updates
/// from the first, which probes the store every 0.6 s and is polled every 0.35 s. Otherwise several
/// VMs would list all kinds at once.
const RECOVERY_YIELD: Duration = Duration::from_millis(900);

/// Interval of the checks for servers whose entries expired while the store was unavailable.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// Lists and watches a kind of objects until the process ends.
///
/// The task pauses while another VM reads the store for this one, and then resumes from the known
/// position if the store still has the changes since then; otherwise it lists all objects again. A
/// failed call is repeated after a backoff, which the recovery of the store ends.
pub async fn watch_kind(vm: Rc<Vm>, kind: Kind) {
    let mut store = vm.store_client();
    let mut backoff = Backoff::default();
    let mut from: Option<Position> = None;
    let mut recoveries = vm.store_recoveries.subscribe();
    let mut role = vm.role.subscribe();
    loop {
        if !vm.is_reader() {
            let _ = role.wait_for(|role| *role == Role::Reads).await;
            from = vm.feed.borrow().freshness(kind).map(|freshness| freshness.position);
            backoff = Backoff::default();
            // A recovery of the store that was noticed while another VM read is no reason to wait.
            recoveries.borrow_and_update();
        }
        wait_for_store(&vm, &mut recoveries).await;
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
                        apply_events(&vm, kind, &events, sent);
                        vm.feed.borrow_mut().record_read(kind, events.position(), sent);
                        (events.position(), !events.events.is_empty())
                    }),
                    _ = role.wait_for(|role| *role != Role::Reads) => {
                        store.disconnect();
                        continue;
                    }
                    // The store is reachable again: request what the watch missed, on a new
                    // connection, since the old one may be dead.
                    _ = recoveries.changed() => {
                        store.disconnect();
                        Ok((position, false))
                    }
                }
            }
        };
        let call = if from.is_some() { "watch" } else { "list" };
        vm.count_store_call(&format!("{call}-{}", kind.name()), &result);
        match result {
            Ok((position, has_events)) => {
                vm.on_store_response();
                from = from.max(Some(position));
                backoff = Backoff::default();
                let interval = kind.schedule(&vm.schedules).interval;
                let delay = match kind {
                    Kind::Servers => (sent + interval).since(vm.now()).duration(),
                    _ if has_events => interval.duration(),
                    _ => Duration::ZERO,
                };
                // If the store recovers meanwhile, request what was missed at once, on a new
                // connection.
                if tokio::time::timeout(delay, recoveries.changed()).await.is_ok() {
                    store.disconnect();
                }
            }
            Err(StoreError::HistoryGone) => {
                vm.log("watch history expired", &[("kind", kind.name().into())]);
                from = None;
            }
            Err(error) => {
                if let StoreError::IncompleteList(gap, read) = &error {
                    apply_incomplete_list(&vm, kind, gap, read.as_deref(), sent);
                }
                vm.log(
                    "store call failed",
                    &[("kind", kind.name().into()), ("why", error.to_string().as_str().into())],
                );
                // Followers of this VM may poll others meanwhile.
                vm.store_suspect.set(vm.store_suspect.get() || kind == Kind::Servers);
                // The next proof shows if the store is down or only this call failed.
                vm.proof_requested.notify_one();
                // Recovery of the store ends the delay.
                let wait = backoff.next_delay(MAX_BACKOFF).duration();
                let _ = tokio::time::timeout(wait, recoveries.changed()).await;
            }
        }
    }
}

/// Waits until the store can be called. A VM that became a reader because others report the store
/// as unavailable first waits for a proof, which shows if the store is down. While it is down,
/// waits for its recovery; a VM that is not the first of its group then gives the first time to
/// serve updates.
async fn wait_for_store(vm: &Vm, recoveries: &mut tokio::sync::watch::Receiver<u64>) {
    if vm.store_untested.get() {
        let _ =
            tokio::time::timeout(RESPONSE_TIMEOUT.duration(), vm.proof_received.notified()).await;
    }
    if !vm.store_lost.get() {
        return;
    }
    let _ = tokio::time::timeout(RECOVERY_CHECK_INTERVAL, recoveries.changed()).await;
    if vm.first_in_group_since.get().is_none() {
        let mut role = vm.role.subscribe();
        let _ =
            tokio::time::timeout(RECOVERY_YIELD, role.wait_for(|role| *role != Role::Reads)).await;
    }
}

/// Requests the changes of a kind since the position `from`. Changes of servers are polled: the
/// store responds at once, even if there are none. For other kinds the store responds when there is
/// a change, or when the wait ends.
async fn watch(
    vm: &Vm,
    kind: Kind,
    store: &mut Client,
    from: Position,
    backoff: &Backoff,
) -> Result<Events, StoreError> {
    let schedule = kind.schedule(&vm.schedules);
    if kind != Kind::Servers {
        return store.watch(kind.name(), from, schedule.wait, schedule.timeout).await;
    }
    // The first timeout is short, in case the connection hangs; a slow store gets more time at the
    // next call.
    let within = if backoff.has_failed() { RESPONSE_TIMEOUT } else { schedule.timeout };
    let changes = store.changes(kind.name(), from, within);
    flag_if_slow(vm, changes).await
}

/// Waits for a response. If it takes longer than [`SLOW_ANSWER_THRESHOLD`], marks the store as
/// doubtful, so that followers of this VM may poll others.
async fn flag_if_slow<T>(vm: &Vm, call: impl Future<Output = T>) -> T {
    let mut call = std::pin::pin!(call);
    if let Ok(answer) = tokio::time::timeout(SLOW_ANSWER_THRESHOLD, &mut call).await {
        return answer;
    }
    vm.store_suspect.set(true);
    call.await
}

/// Lists and applies all objects of a kind. Returns the position of the list, and false, since a
/// list has no events.
async fn list(vm: &Vm, kind: Kind, store: &mut Client) -> Result<(Position, bool), StoreError> {
    let sent = vm.now();
    let listing = store.list(kind.name(), Consistency::Strong).await?;
    apply_listing(vm, kind, &listing, sent);
    Ok((listing.position(), false))
}

/// Applies a list that was requested at `sent`; a list of the configuration also proves that this
/// configuration is the newest.
pub fn apply_listing(vm: &Vm, kind: Kind, listing: &Listing, sent: Moment) {
    if kind == Kind::Servers {
        vm.on_servers_read(sent);
    }
    let source = Source { reader: None, as_of: listing.position() };
    let configuration = apply::apply_list(vm, kind, &listing.items, &source);
    vm.feed.borrow_mut().record_read(kind, listing.position(), sent);
    if let Some(revision) = configuration
        && listing.position().era == vm.era.newest()
    {
        apply::record_proof(vm, sent, revision);
    }
}

/// Applies what was read of a list that is not whole, which was requested at `sent`: nothing counts
/// as removed, and the VM serves with what it knows of the kind. Returns true if the configuration
/// was read, which proves that it is the newest.
pub fn apply_incomplete_list(
    vm: &Vm,
    kind: Kind,
    gap: &Gap,
    read: Option<&Listing>,
    sent: Moment,
) -> bool {
    if vm.incomplete_kinds.borrow_mut().insert(kind) {
        let count = read.map_or(0, |listing| listing.items.len());
        let why = gap.to_string();
        let fields =
            [("kind", kind.name().into()), ("read", count.into()), ("why", why.as_str().into())];
        vm.log("list is not whole", &fields);
    }
    vm.proof_received.notify_waiters();
    let Some(listing) = read else { return false };
    let source = Source { reader: None, as_of: listing.position() };
    listing.items.iter().for_each(|object| apply::apply_object(vm, kind, object, &source));
    let is_configuration = |object: &&Object| kind == Kind::Config && object.metadata.name == MAIN;
    let Some(main) = listing.items.iter().find(is_configuration) else { return false };
    match object::decode_config(main) {
        Ok(table) if listing.position().era == vm.era.newest() => {
            apply::record_proof(vm, sent, table.revision);
            true
        }
        _ => false,
    }
}

/// Applies the changes that a watch or a poll returned, which was sent at `sent`.
fn apply_events(vm: &Vm, kind: Kind, events: &Events, sent: Moment) {
    if kind == Kind::Servers {
        vm.on_servers_read(sent);
    }
    let source = Source { reader: None, as_of: events.position() };
    for event in &events.events {
        if event.is_deleted {
            let name = event.object.metadata.name.as_str();
            apply::remove_object(vm, kind, name, true, &source);
        } else {
            apply::apply_object(vm, kind, &event.object, &source);
        }
    }
}

/// Removes servers whose entries expired while the store was unavailable and were not written again
/// soon after, until the process ends.
pub async fn expire_servers(vm: Rc<Vm>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        if vm.may_entries_be_missing(vm.now()) {
            continue;
        }
        for id in vm.fleet.borrow_mut().expire(vm.now()) {
            vm.log("server gone", &[("server", id.as_str().into()), ("lapsed", true.into())]);
        }
    }
}
