//! Finds out whether a backend server has crashed where the answer of a request broke off.
//!
//! A server whose process is gone refuses new connections, or a later life of it is there. A server that has said that it leaves
//! ends as planned.

use std::rc::Rc;

use actix_web::rt::spawn;

use super::liveness::Liveness;
use super::poison;
use super::replica::Replica;
use super::server::Fleet;
use super::vm::Vm;
use crate::decide::poison::OpenRequest;
use crate::engine::check::{self, Found};

/// What a broken answer means for the life of its server, as far as this VM knows.
enum Next {
    /// It is over.
    IsOver,
    /// It is to be checked.
    Check,
    /// It is being checked, or ends as planned.
    Nothing,
}

/// The answer to a request broke off at a life of a server.
pub fn on_broken_response(vm: &Rc<Vm>, replica: &Replica, request: OpenRequest) {
    match next(&mut vm.fleet.borrow_mut(), replica, request) {
        Next::IsOver => {}
        Next::Check => {
            spawn(look(vm.clone(), replica.clone()));
            return;
        }
        Next::Nothing => return,
    }
    note(vm, replica, vec![request], Found::IsGone);
}

fn next(fleet: &mut Fleet, replica: &Replica, request: OpenRequest) -> Next {
    let Some(server) = fleet.get_mut(&replica.id) else { return Next::Nothing };
    if !server.replica.is_same_incarnation(replica) {
        return Next::IsOver;
    }
    match &mut server.liveness {
        Liveness::Dead => Next::IsOver,
        Liveness::Suspect(broken) => {
            broken.push(request);
            Next::Nothing
        }
        Liveness::Alive if !server.availability.is_draining() => {
            server.liveness = Liveness::Suspect(vec![request]);
            Next::Check
        }
        Liveness::Alive => Next::Nothing,
    }
}

async fn look(vm: Rc<Vm>, replica: Replica) {
    let found = check::check(replica.address).await;
    let broken = {
        let mut fleet = vm.fleet.borrow_mut();
        let Some(server) = fleet.incarnation_mut(&replica) else { return };
        let next = if found == Found::IsGone { Liveness::Dead } else { Liveness::Alive };
        match std::mem::replace(&mut server.liveness, next) {
            Liveness::Suspect(broken) => broken,
            Liveness::Alive | Liveness::Dead => Vec::new(),
        }
    };
    note(&vm, &replica, broken, found);
}

fn note(vm: &Rc<Vm>, replica: &Replica, broken: Vec<OpenRequest>, found: Found) {
    let outcome = format!("{found:?}");
    vm.metrics.checks.with_label_values(&[replica.service.as_str(), &outcome]).inc();
    let texts: Vec<String> = broken.iter().map(|one| one.content.to_string()).collect();
    let texts = texts.join(" ");
    let fields = [
        ("server", replica.id.as_str().into()),
        ("born_ms", replica.started_at_ms.unwrap_or_default().into()),
        ("found", outcome.as_str().into()),
        ("broken", broken.len().into()),
        ("contents", texts.as_str().into()),
    ];
    vm.log("server checked", &fields);
    if found == Found::IsGone && !broken.is_empty() {
        poison::on_server_crash(vm, replica, &broken);
    }
}
