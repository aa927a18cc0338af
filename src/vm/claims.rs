//! Finds the owner of a key's shard and asks it; any VM may own if the others do not answer.

use super::control::Control;
use crate::once::{Answer, Claim, Settled, shard_of};
use crate::peer::wire::{Call, Reply};
use crate::peer::{Member, ranked};

/// Other VMs asked before this one takes the shard itself.
const ASKED: usize = 2;

/// Owners of a shard in order, this VM in its place.
fn owners(control: &Control, shard: u64) -> Vec<Member> {
    let present: Vec<Member> = control.gossip(|g| g.present().cloned().collect());
    let order = ranked(&format!("once/{shard}"), present.iter().map(|member| &member.vm));
    let find = |vm: &crate::unit::Vm| present.iter().find(|member| member.vm == *vm).cloned();
    order.into_iter().filter_map(find).collect()
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
