//! Sends claims of idempotency keys to the owner of their shard: the VM that writes the shard's
//! records to the store. The owner is the first VM in rank order that answers; if none does, this
//! VM acts as the owner.

use super::KeyUse;
use super::control::Control;
use crate::once::{Answer, Claim, Digest, KeyGrant, Outcome, Settlement, shard_of};
use crate::peer::Member;
use crate::peer::wire::{Call, Reply};
use crate::unit::Vm;

/// Number of other VMs tried before this one acts as the owner of the shard.
const MAX_OWNER_ATTEMPTS: usize = 2;

/// Returns all VMs, this one included, in the order in which they own a shard.
fn ranked_owners(control: &Control, shard: u64) -> Vec<Member> {
    let present: Vec<Member> = control.with_gossip(|g| g.present().cloned().collect());
    Control::ranked_members(&format!("once/{shard}"), &present)
}

/// Claims a key at the owner of the key's shard and returns the owner's answer.
pub async fn claim(control: &Control, claim: Claim) -> Answer {
    let own_vm = &control.vm.settings.vm;
    for member in ranked_owners(control, shard_of(claim.key)).into_iter().take(MAX_OWNER_ATTEMPTS) {
        if member.vm == *own_vm {
            break;
        }
        if let Some(Reply::Claim(answer)) =
            control.call(member.address, Call::Claim(claim.clone())).await
        {
            return answer;
        }
    }
    control.owner.claim(claim).await
}

/// Sends the outcome of a claimed call to the owner of the key's shard.
pub async fn settle(control: &Control, settled: Settlement) {
    let own_vm = &control.vm.settings.vm;
    let owners = ranked_owners(control, shard_of(settled.key));
    if let Some(first) = owners.first().filter(|first| first.vm != *own_vm) {
        let call = Call::Settle(settled.clone());
        if control.call(first.address, call).await == Some(Reply::Done) {
            return;
        }
    }
    control.owner.settle(settled);
}

/// Releases the keys reserved on this VM that no call has used: only this process could grant them,
/// so they would stay unusable after its end.
pub async fn release_unused_keys(control: &Control) {
    let unused = control.vm.reserved.lock().expect("no panic while held").take_unused();
    if unused.is_empty() {
        return;
    }
    for (key, request) in unused {
        let (body, outcome) = (Digest::default(), Outcome::NotRun);
        settle(control, Settlement { key, request, body, outcome }).await;
    }
    // The owner of a shard delays outcomes by up to `MAX_SETTLE_DELAY` to write them together with
    // a claim.
    tokio::time::sleep(crate::once::MAX_SETTLE_DELAY * 2).await;
}

/// Asks for the use of a reserved key: first this VM, then the VM that reserved the key (`holder`),
/// or all other VMs if the holder is not known.
///
/// Returns none if no VM that answered holds a reservation.
pub async fn use_reserved_key(
    control: &Control,
    key_use: KeyUse,
    holder: Option<Vm>,
) -> Option<KeyGrant> {
    let KeyUse { key, request: user, body } = key_use;
    let now = control.vm.clock.now();
    let own_reply =
        control.vm.reserved.lock().expect("no panic while held").try_use(key, &user, body, now);
    if own_reply.is_some() {
        return own_reply;
    }
    let mut others = control.other_vms();
    others.retain(|member| holder.as_ref().is_none_or(|holder| member.vm == *holder));
    let call = Call::UseReserved { key, user, body };
    let calls = others.iter().map(|member| control.call(member.address, call.clone()));
    let replies = futures_util::future::join_all(calls).await;
    replies.into_iter().find_map(|reply| match reply {
        Some(Reply::UseReserved(decision)) => decision,
        _ => None,
    })
}
