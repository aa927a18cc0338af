//! Finds the owner of a key's shard and asks it; any VM may own if the others do not answer.

use super::Asked;
use super::control::Control;
use crate::once::{Answer, Claim, Digest, Outcome, Settled, Word, shard_of};
use crate::peer::Member;
use crate::peer::wire::{Call, Reply};
use crate::unit::Vm;

/// Other VMs asked before this one takes the shard itself.
const ASKED: usize = 2;

/// Owners of a shard in order, this VM in its place.
fn owners(control: &Control, shard: u64) -> Vec<Member> {
    let present: Vec<Member> = control.gossip(|g| g.present().cloned().collect());
    Control::in_order(&format!("once/{shard}"), &present)
}

/// Claims a key.
pub async fn claim(control: &Control, claim: Claim) -> Answer {
    let me = &control.vm.settings.vm;
    for member in owners(control, shard_of(claim.key)).into_iter().take(ASKED) {
        if member.vm == *me {
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
    let me = &control.vm.settings.vm;
    let owners = owners(control, shard_of(settled.key));
    if let Some(first) = owners.first().filter(|first| first.vm != *me) {
        let call = Call::Settle(settled.clone());
        if control.call(first.address, call).await == Some(Reply::Done) {
            return;
        }
    }
    control.owner.settle(settled);
}

/// Releases the keys set aside here that no call has used: after this life nobody could.
pub async fn release(control: &Control) {
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
pub async fn ask_holder(control: &Control, asked: Asked, holder: Option<Vm>) -> Option<Word> {
    let Asked { key, user, body } = asked;
    let now = control.vm.clock.now();
    let own = control.vm.reserved.lock().expect("no panic while held").ask(key, &user, body, now);
    if own.is_some() {
        return own;
    }
    let mut others = control.others();
    others.retain(|member| holder.as_ref().is_none_or(|holder| member.vm == *holder));
    let call = Call::UseReserved { key, user, body };
    let asks = others.iter().map(|member| control.call(member.address, call.clone()));
    let words = futures_util::future::join_all(asks).await;
    words.into_iter().find_map(|reply| match reply {
        Some(Reply::UseReserved(word)) => word,
        _ => None,
    })
}
