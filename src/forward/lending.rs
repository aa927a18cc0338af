//! Exchange of shares in the rate limits of backend servers between VMs, so that a VM that gets most
//! of the requests may use most of the limits. The decisions are in [`crate::decide::lending`].

use std::net::SocketAddr;
use std::rc::Rc;

use super::peer::{self, Message};
use super::vm::Vm;
use crate::decide::lending::REQUEST_INTERVAL;
use crate::unit::{Moment, Rate, Service, Vm as Name};

/// Asks other VMs for shares, for each service whose requests are throttled, until the process ends.
pub async fn run(vm: Rc<Vm>) {
    loop {
        tokio::time::sleep(REQUEST_INTERVAL.duration()).await;
        let now = vm.now();
        let requests: Vec<(Service, Rate)> = vm
            .lending
            .borrow_mut()
            .iter_mut()
            .filter_map(|(service, lending)| Some((service.clone(), lending.next_request(now)?)))
            .collect();
        for (service, demand) in requests {
            let message = Message::ShareRequest { service, demand, sent_at: now };
            peer::send_to_sample(&vm, &message);
        }
    }
}

/// Records that a request found no server because this VM's shares are used up.
pub fn on_throttled(vm: &Vm, service: &Service) {
    let now = vm.now();
    vm.lending.borrow_mut().entry(service.clone()).or_default().on_throttled(now);
}

/// Handles the request of another VM for shares.
pub fn on_request(
    vm: &Rc<Vm>,
    from: &Name,
    address: SocketAddr,
    service: &Service,
    demand: Rate,
    sent_at: Moment,
) {
    let now = vm.now();
    let part = {
        let mut lending = vm.lending.borrow_mut();
        lending.entry(service.clone()).or_default().lend(from, demand, now)
    };
    if part > 0.0 {
        log(vm, "share of rate limits lent", from, service, part, demand);
        let service = service.clone();
        peer::send(vm, address, Message::ShareLoan { service, part, requested_at: sent_at });
    }
}

/// Handles the loan of another VM.
pub fn on_loan(vm: &Vm, from: &Name, service: &Service, part: f64, requested_at: Moment) {
    let now = vm.now();
    let demand = {
        let mut lending = vm.lending.borrow_mut();
        let lending = lending.entry(service.clone()).or_default();
        lending.on_lent(from.clone(), part, requested_at, now);
        lending.demand.rate(now)
    };
    log(vm, "share of rate limits borrowed", from, service, part, demand);
}

fn log(vm: &Vm, event: &str, other: &Name, service: &Service, part: f64, demand: Rate) {
    let fields = [
        ("peer", other.as_str().into()),
        ("service", service.as_str().into()),
        ("part", part.into()),
        ("demand_per_s", demand.0.into()),
    ];
    vm.log(event, &fields);
}
