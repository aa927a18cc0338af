//! Finds the owner of a key's shard and asks it; any VM may own if the others do not answer.

use super::KeyUse;
use super::control::Control;
use crate::once::{Answer, Claim, Digest, Outcome, Settled, Word, shard_of};
use crate::peer::Member;
use crate::peer::wire::{Call, Reply};
use crate::unit::Vm;

/// Other VMs asked before this one takes the shard itself.
const MAX_OWNERS_ASKED: usize = 2;

/// Owners of a shard in order, this VM in its place.
fn ranked_owners(control: &Control, shard: u64) -> Vec<Member> {
    let present: Vec<Member> = control.with_gossip(|g| g.present().cloned().collect());
    Control::ranked_members(&format!("once/{shard}"), &present)
}

/// Claims a key.
pub async fn claim(control: &Control, claim: Claim) -> Answer {
    let own_vm = &control.vm.settings.vm;
    for member in ranked_owners(control, shard_of(claim.key)).into_iter().take(MAX_OWNERS_ASKED) {
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

/// Notes how a claimed call ended.
pub async fn settle(control: &Control, settled: Settled) {
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

/// Releases the keys set aside here that no call has used: after this life nobody could.
pub async fn release_unused_keys(control: &Control) {
    let unused = control.vm.reserved.lock().expect("no panic while held").release();
    if unused.is_empty() {
        return;
    }
    for (key, request) in unused {
        let (body, outcome) = (Digest::default(), Outcome::NotRun);
        settle(control, Settled { key, request, body, outcome }).await;
    }
    // Outcomes wait this long for a claim to share their link with.
    tokio::time::sleep(crate::once::SETTLE_WITHIN * 2).await;
}

/// Asks for a key that is set aside: this VM, its holder, or all others.
pub async fn use_reserved_key(
    control: &Control,
    key_use: KeyUse,
    holder: Option<Vm>,
) -> Option<Word> {
    let KeyUse { key, user, body } = key_use;
    let now = control.vm.clock.now();
    let own = control.vm.reserved.lock().expect("no panic while held").ask(key, &user, body, now);
    if own.is_some() {
        return own;
    }
    let mut others = control.other_vms();
    others.retain(|member| holder.as_ref().is_none_or(|holder| member.vm == *holder));
    let call = Call::Use { key, user, body };
    let calls = others.iter().map(|member| control.call(member.address, call.clone()));
    let replies = futures_util::future::join_all(calls).await;
    replies.into_iter().find_map(|reply| match reply {
        Some(Reply::Use(word)) => word,
        _ => None,
    })
}
