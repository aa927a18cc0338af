//! Checks whether a backend server has crashed after a response from it broke off.
//!
//! A server whose process is gone refuses new connections, or has a later incarnation. A server
//! that announced a drain ends as planned and is not checked.

use std::rc::Rc;

use actix_web::rt::spawn;

use super::connectivity;
use super::liveness::Liveness;
use super::poison;
use super::replica::Replica;
use super::server::Fleet;
use super::vm::Vm;
use crate::decide::poison::OpenRequest;
use crate::engine::check::{self, ProcessState};

/// What to do about a broken response, depending on what this VM knows of the server's incarnation
/// (one lifetime of its process).
enum Action {
    /// The incarnation has ended: record the crash.
    RecordCrash,
    /// Start a check.
    Check,
    /// A check is running, or the server ends as planned: do nothing.
    Ignore,
}

/// Handles a response that broke off at an incarnation of a server.
pub fn on_broken_response(vm: &Rc<Vm>, replica: &Replica, request: OpenRequest) {
    match next_action(&mut vm.fleet.borrow_mut(), replica, request) {
        Action::RecordCrash => {}
        Action::Check => {
            spawn(check_server(vm.clone(), replica.clone()));
            return;
        }
        Action::Ignore => return,
    }
    record_check(vm, replica, vec![request], ProcessState::IsGone);
}

/// Decides what to do about the broken response to `request`. The request is remembered if the
/// server is being checked, so that the result of the check applies to it too.
fn next_action(fleet: &mut Fleet, replica: &Replica, request: OpenRequest) -> Action {
    let Some(server) = fleet.get_mut(&replica.id) else { return Action::Ignore };
    if !server.replica.is_same_incarnation(replica) {
        return Action::RecordCrash;
    }
    match &mut server.liveness {
        Liveness::Dead => Action::RecordCrash,
        Liveness::Suspect(broken) => {
            broken.push(request);
            Action::Ignore
        }
        Liveness::Alive if !server.availability.is_draining() => {
            server.liveness = Liveness::Suspect(vec![request]);
            Action::Check
        }
        Liveness::Alive => Action::Ignore,
    }
}

/// Checks the server and records the result for all responses that broke off meanwhile.
async fn check_server(vm: Rc<Vm>, replica: Replica) {
    let started = vm.now();
    let mut found = check::check_process(replica.address).await;
    // A VM that reaches no other server either may have lost its links.
    let is_gone = found == ProcessState::IsGone;
    if is_gone && !connectivity::reaches_others(&vm, &replica, started).await {
        found = ProcessState::Unknown;
    }
    let broken = {
        let mut fleet = vm.fleet.borrow_mut();
        let Some(server) = fleet.incarnation_mut(&replica) else { return };
        let next = if found == ProcessState::IsGone { Liveness::Dead } else { Liveness::Alive };
        match std::mem::replace(&mut server.liveness, next) {
            Liveness::Suspect(broken) => broken,
            Liveness::Alive | Liveness::Dead => Vec::new(),
        }
    };
    record_check(&vm, &replica, broken, found);
}

/// Counts and logs the result of a check, and reports a crash with the contents of the requests
/// that were open at the server.
fn record_check(vm: &Rc<Vm>, replica: &Replica, broken: Vec<OpenRequest>, found: ProcessState) {
    let outcome = format!("{found:?}");
    vm.metrics.checks.with_label_values(&[replica.service.as_str(), &outcome]).inc();
    let contents: Vec<String> = broken.iter().map(|one| one.content.to_string()).collect();
    let contents = contents.join(" ");
    let fields = [
        ("server", replica.id.as_str().into()),
        ("born_ms", replica.started_at_ms.unwrap_or_default().into()),
        ("found", outcome.as_str().into()),
        ("broken", broken.len().into()),
        ("contents", contents.as_str().into()),
    ];
    vm.log("server checked", &fields);
    if found == ProcessState::IsGone && !broken.is_empty() {
        poison::on_server_crash(vm, replica, &broken);
    }
}
