//! Checks whether a backend server has crashed after a response from it broke off.
//!
//! A server whose process is gone refuses new connections, or has a later incarnation. A server
//! that announced a drain ends as planned and is not checked.

use std::collections::BTreeSet;
use std::future::Future;
use std::rc::Rc;

use actix_web::rt::spawn;
use futures_util::future::join_all;

use super::delivery;
use super::liveness::{Liveness, Suspicion};
use super::message::Message;
use super::path;
use super::poison;
use super::replica::Replica;
use super::server::Fleet;
use super::vm::Vm;
use crate::decide::poison::{BrokenRequest, Outgoing};
use crate::engine::check::ProcessState;
use crate::engine::crash_check::{Check, Reporter};
use crate::unit::Digest;

/// What to do about a broken response, depending on what this VM knows of the server's incarnation
/// (one lifetime of its process).
enum Action {
    /// The incarnation has ended: record the crash.
    RecordCrash,
    /// Start a check, whose progress goes to the reporter.
    Start(Reporter, Check),
    /// A check is running.
    Join(Check),
    /// The server ends as planned: do nothing.
    Ignore,
}

/// Handles a response that broke off at an incarnation of a server. Returns the check of the
/// server, which ends when the other VMs know of a crash; none if the server ends as planned.
pub fn on_broken_response(vm: &Rc<Vm>, replica: &Replica, request: BrokenRequest) -> Option<Check> {
    match next_action(&mut vm.fleet.borrow_mut(), replica, request.clone()) {
        Action::RecordCrash => {}
        Action::Start(reporter, check) => {
            spawn(check_server(vm.clone(), replica.clone(), reporter));
            return Some(check);
        }
        Action::Join(check) => return Some(check),
        Action::Ignore => return None,
    }
    let (reporter, check) = Check::start();
    let report = record_check(vm, replica, vec![request], ProcessState::IsGone);
    reporter.on_result();
    spawn(async move {
        report.await;
        drop(reporter);
    });
    Some(check)
}

/// Decides what to do about the broken response to `request`. The request is remembered if the
/// server is being checked, so that the result of the check applies to it too.
fn next_action(fleet: &mut Fleet, replica: &Replica, request: BrokenRequest) -> Action {
    let Some(server) = fleet.get_mut(&replica.id) else { return Action::Ignore };
    if !server.replica.is_same_incarnation(replica) {
        return Action::RecordCrash;
    }
    match &mut server.liveness {
        Liveness::Dead => Action::RecordCrash,
        Liveness::Suspect(suspicion) => {
            suspicion.broken.push(request);
            Action::Join(suspicion.check.clone())
        }
        Liveness::Alive if !server.availability.is_draining() => {
            let (reporter, check) = Check::start();
            let suspicion = Suspicion { broken: vec![request], check: check.clone() };
            server.liveness = Liveness::Suspect(suspicion);
            Action::Start(reporter, check)
        }
        Liveness::Alive => Action::Ignore,
    }
}

/// Checks the server and records the result for all responses that broke off meanwhile.
async fn check_server(vm: Rc<Vm>, replica: Replica, reporter: Reporter) {
    let found = path::check_process(&vm, &replica, || reporter.on_accepted()).await;
    let broken = {
        let mut fleet = vm.fleet.borrow_mut();
        let Some(server) = fleet.incarnation_mut(&replica) else { return };
        let next = if found == ProcessState::IsGone { Liveness::Dead } else { Liveness::Alive };
        match std::mem::replace(&mut server.liveness, next) {
            Liveness::Suspect(suspicion) => suspicion.broken,
            Liveness::Alive | Liveness::Dead => Vec::new(),
        }
    };
    let report = record_check(&vm, &replica, broken, found);
    reporter.on_result();
    report.await;
}

/// Counts and logs the result of a check, and reports a crash with the fingerprints of the requests
/// that were open at the server. The returned future ends when the other VMs have the report.
fn record_check(
    vm: &Rc<Vm>,
    replica: &Replica,
    broken: Vec<BrokenRequest>,
    found: ProcessState,
) -> impl Future<Output = ()> + use<> {
    let outcome = format!("{found:?}");
    vm.metrics.checks.with_label_values(&[replica.service.as_str(), &outcome]).inc();
    let list = |digests: &mut dyn Iterator<Item = Digest>| {
        digests.map(|digest| digest.to_string()).collect::<Vec<_>>().join(" ")
    };
    let contents = list(&mut broken.iter().map(|one| one.fingerprint.content()));
    let shared_parts: BTreeSet<Digest> =
        broken.iter().flat_map(|one| one.fingerprint.shared_parts()).copied().collect();
    let shared_parts = list(&mut shared_parts.into_iter());
    let fields = [
        ("server", replica.id.as_str().into()),
        ("born_ms", replica.started_at_ms.unwrap_or_default().into()),
        ("found", outcome.as_str().into()),
        ("broken", broken.len().into()),
        ("contents", contents.as_str().into()),
        ("shared_parts", shared_parts.as_str().into()),
    ];
    vm.log("server checked", &fields);
    let is_crash = found == ProcessState::IsGone && !broken.is_empty();
    let report = is_crash.then(|| report_crash(vm, replica, &broken));
    async move {
        if let Some(report) = report {
            report.await;
        }
    }
}

/// Reports a crash to other VMs. The returned future ends when enough of them have the report.
fn report_crash(
    vm: &Rc<Vm>,
    replica: &Replica,
    broken: &[BrokenRequest],
) -> impl Future<Output = ()> + use<> {
    let reported_at = vm.now();
    let messages = poison::on_server_crash(vm, replica, broken).into_iter();
    let deliveries: Vec<_> = messages
        .map(|Outgoing { to, message }| delivery::deliver(vm, to, &Message::Poison(message)))
        .collect();
    let (vm, server) = (vm.clone(), replica.id.clone());
    async move {
        let ends = join_all(deliveries).await;
        let took = vm.now().since(reported_at);
        let fields = [
            ("server", server.as_str().into()),
            ("required", ends.iter().map(|end| end.required).sum::<usize>().into()),
            ("acknowledged", ends.iter().map(|end| end.acknowledged).sum::<usize>().into()),
            ("took_ms", took.as_millis().into()),
        ];
        vm.log("crash report delivered", &fields);
    }
}
