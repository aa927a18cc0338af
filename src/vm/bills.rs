//! Makes bills durable: copies each bill to other VMs at once, and writes (flushes) bills to the
//! store later.

use tokio::sync::{mpsc, oneshot};

use super::control::Control;
use crate::ledger::{self, Entry};
use crate::peer::wire::{Call, Reply};
use crate::peer::{Member, State};
use crate::unit::{Span, Vm};

/// Number of other VMs that hold a copy of each bill.
const COPIES: usize = 2;

/// Attempts to make a batch of bills durable before the requests in it fail as unbilled.
const MAX_ATTEMPTS: usize = 5;

/// Delay between two attempts to make a batch of bills durable.
const RETRY_DELAY: Span = Span::millis(150);

/// Maximum number of bills in one batch.
const MAX_BATCH: usize = 256;

/// Time after which a VM that left or died counts as gone, so that the holders of copies write its
/// bills to the store.
const ORPHAN_DELAY: Span = Span::secs(1);

/// Time between two scans for bills of VMs that are gone.
const ORPHAN_SCAN_INTERVAL: Span = Span::secs(2);

/// A bill, and the channel that reports whether it was made durable.
type PendingBill = (Entry, oneshot::Sender<bool>);

/// Receives bills and makes them durable in batches, so that one message carries many bills.
pub async fn replicate_bills(control: Control, mut bills: mpsc::UnboundedReceiver<PendingBill>) {
    while let Some(first) = bills.recv().await {
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH {
            let Ok(more) = bills.try_recv() else { break };
            batch.push(more);
        }
        let (entries, replies): (Vec<Entry>, Vec<_>) = batch.into_iter().unzip();
        let entries: Vec<Entry> = {
            let mut unflushed = control.unflushed.borrow_mut();
            entries.into_iter().map(|entry| unflushed.insert_own(entry)).collect()
        };
        let control = control.clone();
        actix_web::rt::spawn(async move {
            let began = control.vm.clock.now();
            let durable = make_durable(&control, &entries).await;
            let took = control.vm.clock.now().since(began);
            control.vm.metrics.bill.observe(took.as_secs());
            for reply in replies {
                let _ = reply.send(durable);
            }
        });
    }
}

/// Returns the VMs that may hold copies of this VM's bills, in order of preference: VMs in other
/// data centres come first.
fn copy_holders(control: &Control) -> Vec<Member> {
    let others = control.other_vms();
    let duty = format!("bills/{}", control.vm.settings.vm);
    let mut members = Control::ranked_members(&duty, &others);
    let own_data_centre = control.vm.settings.data_centre.clone();
    // The sort is stable, so the rank decides within each group; suspected VMs come last.
    members.sort_by_key(|m| (m.state != State::Alive, m.data_centre == own_data_centre));
    members
}

/// Copies bills to other VMs, or writes them to the store if copying fails or there is no other VM.
///
/// Returns true if the bills are durable.
async fn make_durable(control: &Control, entries: &[Entry]) -> bool {
    let mut holders = Vec::new();
    // A VM that failed to store its copy is retried only after the VMs that were not tried yet.
    let mut failed: Vec<Vm> = Vec::new();
    for _ in 0..MAX_ATTEMPTS {
        let mut all = copy_holders(control);
        all.sort_by_key(|member| failed.contains(&member.vm));
        let wanted = COPIES.min(all.len());
        holders.retain(|vm| all.iter().any(|member| member.vm == *vm));
        let candidates = all.iter().filter(|member| !holders.contains(&member.vm));
        let targets: Vec<&Member> = candidates.take(wanted.saturating_sub(holders.len())).collect();
        let calls = targets.iter().map(|member| send_copy(control, member, entries));
        let done = futures_util::future::join_all(calls).await;
        for (member, done) in targets.iter().zip(done) {
            if done { holders.push(member.vm.clone()) } else { failed.push(member.vm.clone()) }
        }
        if holders.len() >= wanted && wanted > 0 {
            return true;
        }
        if wanted == 0 && flush_own(control).await {
            return true;
        }
        tokio::time::sleep(RETRY_DELAY.duration()).await;
    }
    flush_own(control).await
}

/// Sends copies of bills to a VM, with the number up to which this VM's bills are in the store.
/// Returns true if the VM stored them.
async fn send_copy(control: &Control, to: &Member, entries: &[Entry]) -> bool {
    let flushed = control.unflushed.borrow().flushed_up_to();
    let call = Call::CopyBills {
        origin: control.vm.settings.vm.clone(),
        incarnation: control.vm.incarnation,
        entries: entries.to_vec(),
        flushed,
    };
    control.call(to.address, call).await == Some(Reply::Done)
}

/// Writes this VM's own bills to the store. Returns true if all bills that were recorded before the
/// call are in the store.
pub async fn flush_own(control: &Control) -> bool {
    let own = control.vm.origin();
    let entries = control.unflushed.borrow().entries_of(&own);
    if entries.is_empty() {
        return true;
    }
    let known = control.unflushed.borrow().chain_end_before(&entries);
    match ledger::flush(&control.store, &own, &entries, known).await {
        Ok(chain_end) => {
            let mut unflushed = control.unflushed.borrow_mut();
            unflushed.record_chain_end(chain_end);
            let done = entries.iter().filter(|entry| entry.number <= chain_end);
            done.for_each(|entry| unflushed.remove(&own, entry.number));
            chain_end >= entries.last().map_or(0, |entry| entry.number)
        }
        Err(error) => {
            control.vm.metrics.store_failures.inc();
            log::debug!("flushing bills failed, will retry: {error}");
            false
        }
    }
}

/// Writes this VM's bills to the store at the interval for the size of the fleet, and sends copies
/// of the bills that are not in the store yet to VMs that have become holders of copies.
pub async fn flush_periodically(control: Control) {
    let mut previous_holders: Vec<Vm> = Vec::new();
    loop {
        let vms = control.other_vms().len() + 1;
        tokio::time::sleep(ledger::flush_interval(vms).duration()).await;
        flush_own(&control).await;
        let own = control.vm.origin();
        let remaining = control.unflushed.borrow().entries_of(&own);
        let holders: Vec<Member> = copy_holders(&control).into_iter().take(COPIES).collect();
        for member in &holders {
            let entries: &[Entry] =
                if previous_holders.contains(&member.vm) { &[] } else { &remaining };
            send_copy(&control, member, entries).await;
        }
        previous_holders = holders.into_iter().map(|member| member.vm).collect();
        let unflushed = control.unflushed.borrow();
        control.vm.metrics.peer_bytes.set(control.links.bytes_sent() as i64);
        control.vm.metrics.bills_held.set(unflushed.count() as i64);
        control.vm.has_bill_room.store(unflushed.has_room(), std::sync::atomic::Ordering::Relaxed);
    }
}

/// Writes the bills of VMs that are gone to the store, from the copies that this VM holds.
pub async fn flush_orphaned(control: Control) {
    loop {
        tokio::time::sleep(ORPHAN_SCAN_INTERVAL.duration()).await;
        let now = control.vm.clock.now();
        let others = control.unflushed.borrow().other_origins();
        for origin in others {
            let gone = control.with_gossip(|g| match g.member(&origin.vm) {
                Some(member) => {
                    let long = g.time_in_state(&origin.vm, now).is_some_and(|t| t >= ORPHAN_DELAY);
                    member.incarnation > origin.incarnation || (!member.state.is_present() && long)
                }
                None => true,
            });
            if !gone {
                continue;
            }
            let entries = control.unflushed.borrow().entries_of(&origin);
            if ledger::flush(&control.store, &origin, &entries, None).await.is_ok() {
                let mut unflushed = control.unflushed.borrow_mut();
                entries.iter().for_each(|entry| unflushed.remove(&origin, entry.number));
            }
        }
    }
}
