//! What operators meet: health, counters, status, explanations, burn, live decisions.

use actix_web::web::{Data, Path};
use actix_web::{HttpRequest, HttpResponse};
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

use super::channel_body;
use super::refusal::{Kind, Refusal};
use crate::unit::Revision;
use crate::vm::{Command, Vm};
use crate::watch::{ObjectiveCounts, WINDOWS, burn_table};

/// Decisions waiting for a slow listener.
const CHANNEL_CAPACITY: usize = 256;

/// Whether an operator asks: by key, or without one from this machine only.
fn check_access(vm: &Vm, request: &HttpRequest) -> Option<HttpResponse> {
    let granted = match &vm.settings.operator_key {
        Some(key) => {
            let given = request.headers().get("authorization");
            let given = given.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
            given == Some(key.bytes())
        }
        None => request.peer_addr().is_some_and(|address| address.ip().is_loopback()),
    };
    (!granted).then(|| {
        let words = "the operators' key, or a call from the VM itself, is needed";
        Refusal::with_detail(Kind::Unauthorised, words).to_response(vm.settings.vm.as_str(), None)
    })
}

/// `GET /healthz`: the process answers.
pub async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

/// `GET /readyz`: the balancer may send callers here.
pub async fn ready(vm: Data<Vm>) -> HttpResponse {
    if vm.is_stopping() {
        return HttpResponse::ServiceUnavailable().body("stopping\n");
    }
    if !vm.may_start(vm.clock.now()) {
        return HttpResponse::ServiceUnavailable().body("no contact or no configuration yet\n");
    }
    HttpResponse::Ok().body("ready\n")
}

/// `GET /metrics`.
pub async fn metrics(vm: Data<Vm>) -> HttpResponse {
    let slices = vm.burn.lock().expect("no panic while held").counts(vm.clock.date());
    for slice in slices {
        for (window, (name, _)) in WINDOWS.iter().enumerate() {
            let (workspace, version) = (slice.workspace.to_string(), slice.target.to_string());
            let gauge = vm.metrics.burn.with_label_values(&[workspace.as_str(), &version, name]);
            gauge.set(slice.burn_rate(window));
        }
    }
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(vm.metrics.text())
}

/// Any other path.
pub async fn not_found(vm: Data<Vm>) -> HttpResponse {
    Refusal::new(Kind::NotFound).to_response(vm.settings.vm.as_str(), None)
}

/// `GET /operator/status`.
pub async fn status(vm: Data<Vm>, request: HttpRequest) -> HttpResponse {
    if let Some(check_access) = check_access(&vm, &request) {
        return check_access;
    }
    let now = vm.clock.now();
    let snapshot = vm.config();
    let gossip = vm.gossip.lock().expect("no panic while held");
    let pending = gossip.accepted() < gossip.revision() && gossip.revision() > Revision(0);
    let waits: Vec<String> = if pending && gossip.is_accepter() {
        gossip.vms_pending().iter().map(ToString::to_string).collect()
    } else {
        Vec::new()
    };
    let members: Vec<_> = gossip
        .members()
        .map(|m| json!({"vm": m.vm, "data_centre": m.data_centre, "state": m.state.name()}))
        .collect();
    HttpResponse::Ok().json(json!({
        "vm": vm.settings.vm,
        "incarnation": vm.incarnation,
        "revision": gossip.revision(),
        "accepted": gossip.accepted(),
        "pending": pending,
        "waits_for": waits,
        "store_age_s": gossip.store_age(now).map(|age| age.as_secs()),
        "may_start": vm.may_start(now),
        "rollouts": snapshot.root.rollouts,
        "withdrawn": snapshot.root.withdrawn,
        "serving": snapshot.root.serving,
        "drained": snapshot.root.drained,
        "log": snapshot.root.log.iter().rev().take(8).collect::<Vec<_>>(),
        "members": members,
    }))
}

/// `GET /operator/explain/REQUEST`, from any VM.
pub async fn explain(vm: Data<Vm>, request: HttpRequest, id: Path<String>) -> HttpResponse {
    if let Some(check_access) = check_access(&vm, &request) {
        return check_access;
    }
    let own = {
        let traces = vm.traces.lock().expect("no panic while held");
        traces.find(&id).map(|trace| trace.to_text())
    };
    let found = match own {
        Some(words) => Some(words),
        None => {
            let (sender, answered) = oneshot::channel();
            vm.send_command(Command::Explain(id.into_inner(), sender));
            answered.await.ok().flatten()
        }
    };
    match found {
        Some(words) => HttpResponse::Ok().content_type("text/plain; charset=utf-8").body(words),
        None => HttpResponse::NotFound().body("No VM keeps a record of this request.\n"),
    }
}

/// `GET /operator/burn`, over all VMs.
pub async fn burn(vm: Data<Vm>, request: HttpRequest) -> HttpResponse {
    if let Some(check_access) = check_access(&vm, &request) {
        return check_access;
    }
    let date = vm.clock.date();
    let mut slices = vm.burn.lock().expect("no panic while held").counts(date);
    let (sender, answered) = oneshot::channel();
    vm.send_command(Command::CollectBurn(sender));
    for text in answered.await.unwrap_or_default() {
        slices.extend(serde_json::from_str::<Vec<ObjectiveCounts>>(&text).unwrap_or_default());
    }
    if request.query_string().contains("json") {
        return HttpResponse::Ok().json(slices);
    }
    HttpResponse::Ok().content_type("text/plain; charset=utf-8").body(burn_table(slices))
}

/// `GET /operator/decisions`: records as they are made, as server-sent events.
pub async fn decisions(vm: Data<Vm>, request: HttpRequest) -> HttpResponse {
    if let Some(check_access) = check_access(&vm, &request) {
        return check_access;
    }
    let (sender, mut records) = mpsc::channel::<String>(CHANNEL_CAPACITY);
    vm.traces.lock().expect("no panic while held").subscribe(sender);
    let (to, from) = mpsc::channel(CHANNEL_CAPACITY);
    actix_web::rt::spawn(async move {
        while let Some(record) = records.recv().await {
            if to.send(Ok(format!("data: {record}\n\n").into())).await.is_err() {
                return;
            }
        }
    });
    HttpResponse::Ok().content_type("text/event-stream").streaming(channel_body(from))
}
