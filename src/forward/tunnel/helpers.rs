//! Asks other VMs for help and handles what they send about tunnels.

use std::rc::Rc;

use actix_web::rt::spawn;

use super::relay;
use crate::decide::tunnel::{Offer, REQUEST_INTERVAL};
use crate::forward::Vm;
use crate::forward::peer::{self, Message};
use crate::peer::tunnel::Event;
use crate::unit::{Service, Vm as Name};

/// Handles events of tunnels, and renews offers while they are needed, until the process ends.
pub async fn run(vm: Rc<Vm>) {
    let Some(mut events) = vm.tunnel_events.take_receiver() else { return };
    let mut ticks = tokio::time::interval(REQUEST_INTERVAL.duration());
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => on_event(&vm, event),
                None => return,
            },
            _ = ticks.tick() => {
                if vm.helpers.borrow_mut().is_request_due(vm.now()) {
                    ask(&vm);
                }
            }
        }
    }
}

fn on_event(vm: &Rc<Vm>, event: Event) {
    match event {
        Event::Request { from, address, services } => {
            relay::on_request(vm, &from, address, services);
        }
        Event::Offer { from, services, open } => on_offer(vm, from, services, open),
        Event::Opened(tunnel) => drop(spawn(relay::relay(vm.clone(), tunnel))),
    }
}

/// Asks other VMs which of this VM's services they can relay connections to.
fn ask(vm: &Rc<Vm>) {
    let services: Vec<Service> = {
        let fleet = vm.fleet.borrow();
        fleet.services().cloned().collect()
    };
    let message = Message::TunnelRequest { services };
    peer::send_to_sample(vm, &message);
}

fn on_offer(vm: &Vm, from: Name, services: Vec<Service>, open: u32) {
    let now = vm.now();
    let is_local = vm.peers.borrow().data_centre(&from) == Some(&vm.settings.data_centre);
    let known = vm.helpers.borrow().is_helper(&from, now);
    if known == services.is_empty() {
        let fields = [
            ("peer", from.as_str().into()),
            ("services", services.len().into()),
            ("local", is_local.into()),
            ("open", open.into()),
        ];
        vm.log("offer of tunnels changed", &fields);
    }
    if services.is_empty() {
        // The VM stops once nobody uses its tunnels.
        vm.fleet.borrow_mut().close_idle_tunnels();
    }
    vm.helpers.borrow_mut().on_offer(from, Offer { services, is_local, open, at: now });
    vm.helper_offered.notify_waiters();
}

/// Returns true if another VM offers to relay connections to servers of the service.
pub fn has_helper(vm: &Vm, service: &Service) -> bool {
    vm.helpers.borrow().has_offer(service, vm.now())
}

/// Returns true if another VM offers to relay connections to servers of the service, after asking
/// for offers if there is none.
pub async fn find_helper(vm: &Rc<Vm>, service: &Service) -> bool {
    let is_request_due = vm.helpers.borrow_mut().on_need(vm.now());
    if is_request_due {
        ask(vm);
    }
    loop {
        let offered = vm.helper_offered.notified();
        if has_helper(vm, service) {
            return true;
        }
        let now = vm.now();
        let Some(end) = vm.helpers.borrow().search_ends(now) else { return false };
        let _ = tokio::time::timeout(end.since(now).duration(), offered).await;
    }
}

/// Stops using other VMs: this one reaches all servers itself. Tunnels that are open carry their
/// requests to the end.
pub fn release(vm: &Vm) {
    vm.helpers.borrow_mut().clear();
    if let Some(links) = vm.peers.borrow().links() {
        links.close_tunnels();
    }
}
