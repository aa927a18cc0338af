//! Messages to other VMs whose delivery this VM waits for.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_web::rt::spawn;
use futures_util::FutureExt;
use futures_util::future::select_ok;

use super::message::Message;
use super::peer;
use super::vm::Vm;
use crate::decide::poison::Recipients;
use crate::decide::poison::refusal::{MAX_REFUSAL_WAIT, required_deliveries};
use crate::peer::delivery::await_required;
use crate::unit::{Span, Vm as Name};

/// How many VMs had to receive a message, and how many have received it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Delivery {
    /// VMs that had to receive the message.
    pub required: usize,
    /// VMs that have received it.
    pub acknowledged: usize,
}

/// Sends a message to the recipients of messages about request contents. The returned future ends
/// when enough of those that respond have received it; the message is sent even if the future is
/// dropped. In a large fleet the recipients forward the message, which is not waited for.
pub fn deliver(
    vm: &Rc<Vm>,
    to: Recipients,
    message: &Message,
) -> impl Future<Output = Delivery> + use<> {
    let (topology, responsive, others) = {
        let mut peers = vm.peers.borrow_mut();
        let names = peer::recipients(vm, &peers, to);
        let (responsive, others) = peers.split_responsive(names, vm.now());
        (peers.topology(), responsive, others)
    };
    others.into_iter().for_each(|address| peer::send(vm, address, message.clone()));
    let deliveries: Vec<_> = responsive
        .into_iter()
        .map(|(name, address)| spawn(deliver_to(vm.clone(), name, address, message.clone())))
        .collect();
    let required = required_deliveries(topology, deliveries.len());
    async move {
        let acknowledged = await_required(deliveries, required).await;
        Delivery { required, acknowledged }
    }
}

/// Sends a message to one VM and waits until that has received it. Returns false if it does not
/// acknowledge the message in time.
async fn deliver_to(vm: Rc<Vm>, name: Name, to: SocketAddr, message: Message) -> bool {
    let Some((links, bytes)) = peer::outgoing(&vm, message) else { return false };
    let is_acknowledged = links.deliver(to, &bytes, MAX_REFUSAL_WAIT.duration()).await;
    if !is_acknowledged {
        vm.peers.borrow_mut().on_unacknowledged(&name, vm.now());
        vm.log("message not acknowledged", &[("peer", name.as_str().into())]);
    }
    is_acknowledged
}

/// Sends a heartbeat to the VMs that get broadcasts of this one, and waits until the first of them
/// acknowledges it. Returns false if none does in time, or there is none.
pub async fn await_any_acknowledgement(vm: &Rc<Vm>, within: Span) -> bool {
    let addresses: Vec<SocketAddr> = {
        let peers = vm.peers.borrow();
        let names = peer::broadcast_targets(vm, &peers);
        names.iter().filter_map(|name| peers.address(name)).collect()
    };
    let Some((links, bytes)) = peer::outgoing(vm, Message::Hello) else { return false };
    let deliveries = addresses.into_iter().map(|address| {
        let (links, bytes) = (links.clone(), bytes.clone());
        let deliver = async move { links.deliver(address, &bytes, within.duration()).await };
        deliver.map(|is_acknowledged| is_acknowledged.then_some(()).ok_or(())).boxed_local()
    });
    let deliveries: Vec<_> = deliveries.collect();
    !deliveries.is_empty() && select_ok(deliveries).await.is_ok()
}
