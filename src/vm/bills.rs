//! Makes bills safe in other VMs at once, and brings them to the store in time.

use tokio::sync::{mpsc, oneshot};

use super::control::Control;
use crate::ledger::{self, Entry};
use crate::peer::wire::{Call, Reply};
use crate::peer::{Member, State};
use crate::unit::{Span, Vm};

/// Other VMs that hold a copy of each bill.
const COPIES: usize = 2;

/// Tries to make a batch safe before its callers are told that it is not.
const TRIES: usize = 5;

/// Wait between two tries.
const AGAIN: Span = Span::millis(150);

/// Bills in one batch.
const BATCH: usize = 256;

/// Bills of a VM that is gone this long are brought to the store by those who hold copies.
const GONE_FOR: Span = Span::secs(1);

/// Wait between two looks for bills of the gone.
const FINISH_EVERY: Span = Span::secs(2);

type Safe = (Entry, oneshot::Sender<bool>);

/// Takes bills as they come, many to a message.
pub async fn stand(control: Control, mut bills: mpsc::UnboundedReceiver<Safe>) {
    while let Some(first) = bills.recv().await {
        let mut batch = vec![first];
        while batch.len() < BATCH {
            let Ok(more) = bills.try_recv() else { break };
            batch.push(more);
        }
        let (entries, replies): (Vec<Entry>, Vec<_>) = batch.into_iter().unzip();
        let entries: Vec<Entry> = {
            let mut book = control.book.borrow_mut();
            entries.into_iter().map(|entry| book.record(entry)).collect()
        };
        let control = control.clone();
        actix_web::rt::spawn(async move {
            let began = control.vm.clock.now();
            let safe = make_safe(&control, &entries).await;
            let took = control.vm.clock.now().since(began);
            control.vm.metrics.bill.observe(took.as_secs());
            for reply in replies {
                let _ = reply.send(safe);
            }
        });
    }
}

/// The VMs to hold copies: in other data centres first, where there are some.
fn holders(control: &Control) -> Vec<Member> {
    let others = control.others();
    let duty = format!("bills/{}", control.vm.settings.vm);
    let mut members = Control::in_order(&duty, &others);
    let home = control.vm.settings.data_centre.clone();
    // The sort is stable, so the rank decides within each half; suspects come last.
    members.sort_by_key(|m| (m.state != State::Alive, m.data_centre == home));
    members
}

async fn make_safe(control: &Control, entries: &[Entry]) -> bool {
    let mut held = Vec::new();
    // A VM that did not take its copy is asked again only after those that were not asked yet.
    let mut failed: Vec<Vm> = Vec::new();
    for _ in 0..TRIES {
        let mut all = holders(control);
        all.sort_by_key(|member| failed.contains(&member.vm));
        let wanted = COPIES.min(all.len());
        held.retain(|vm| all.iter().any(|member| member.vm == *vm));
        let fresh = all.iter().filter(|member| !held.contains(&member.vm));
        let lacking: Vec<&Member> = fresh.take(wanted.saturating_sub(held.len())).collect();
        let calls = lacking.iter().map(|member| copy(control, member, entries));
        let done = futures_util::future::join_all(calls).await;
        for (member, done) in lacking.iter().zip(done) {
            if done { held.push(member.vm.clone()) } else { failed.push(member.vm.clone()) }
        }
        if held.len() >= wanted && wanted > 0 {
            return true;
        }
        if wanted == 0 && flush_own(control).await {
            return true;
        }
        tokio::time::sleep(AGAIN.duration()).await;
    }
    flush_own(control).await
}

async fn copy(control: &Control, to: &Member, entries: &[Entry]) -> bool {
    let flushed = control.book.borrow().flushed();
    let call = Call::CopyBills {
        origin: control.vm.settings.vm.clone(),
        incarnation: control.vm.incarnation,
        entries: entries.to_vec(),
        flushed,
    };
    control.call(to.address, call).await == Some(Reply::Done)
}

/// Brings this VM's own bills to the store; whether all that were recorded are there.
pub async fn flush_own(control: &Control) -> bool {
    let own = control.vm.origin();
    let entries = control.book.borrow().of(&own);
    if entries.is_empty() {
        return true;
    }
    let known = control.book.borrow().chain_after(&entries);
    match ledger::flush(&control.store, &own, &entries, known).await {
        Ok(reached) => {
            let mut book = control.book.borrow_mut();
            book.reach(reached);
            let done = entries.iter().filter(|entry| entry.number <= reached);
            done.for_each(|entry| book.drop_one(&own, entry.number));
            reached >= entries.last().map_or(0, |entry| entry.number)
        }
        Err(fault) => {
            control.vm.metrics.store_failures.inc();
            log::debug!("bills wait: {fault}");
            false
        }
    }
}

/// Flushes at the fleet's pace, and renews copies when their holders change.
pub async fn keep(control: Control) {
    let mut told: Vec<Vm> = Vec::new();
    loop {
        let vms = control.others().len() + 1;
        tokio::time::sleep(ledger::interval(vms).duration()).await;
        flush_own(&control).await;
        let own = control.vm.origin();
        let rest = control.book.borrow().of(&own);
        let near: Vec<Member> = holders(&control).into_iter().take(COPIES).collect();
        for member in &near {
            let entries: &[Entry] = if told.contains(&member.vm) { &[] } else { &rest };
            copy(&control, member, entries).await;
        }
        told = near.into_iter().map(|member| member.vm).collect();
        let book = control.book.borrow();
        control.vm.metrics.peer_bytes.set(control.links.bytes_sent() as i64);
        control.vm.metrics.bills_held.set(book.held() as i64);
        control.vm.bill_room.store(book.has_room(), std::sync::atomic::Ordering::Relaxed);
    }
}

/// Brings the bills of VMs that are gone to the store.
pub async fn finish(control: Control) {
    loop {
        tokio::time::sleep(FINISH_EVERY.duration()).await;
        let now = control.vm.clock.now();
        let others = control.book.borrow().others();
        for origin in others {
            let gone = control.gossip(|g| match g.member(&origin.vm) {
                Some(member) => {
                    let long = g.time_in_state(&origin.vm, now).is_some_and(|t| t >= GONE_FOR);
                    member.incarnation > origin.incarnation || (!member.state.is_present() && long)
                }
                None => true,
            });
            if !gone {
                continue;
            }
            let entries = control.book.borrow().of(&origin);
            if ledger::flush(&control.store, &origin, &entries, None).await.is_ok() {
                let mut book = control.book.borrow_mut();
                entries.iter().for_each(|entry| book.drop_one(&origin, entry.number));
            }
        }
    }
}
