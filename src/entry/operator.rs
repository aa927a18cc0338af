//! Operator endpoints: health, metrics, status, decision traces, error budget burn, live decisions.

use actix_web::web::{Data, Path};
use actix_web::{HttpRequest, HttpResponse};
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

use super::channel_body;
use super::refusal::{Kind, Refusal};
use crate::unit::Revision;
use crate::vm::{Command, Vm};
use crate::watch::{ObjectiveCounts, WINDOWS, burn_table};

/// Maximum number of decision records buffered for a slow client of `/operator/decisions`.
const CHANNEL_CAPACITY: usize = 256;

/// Returns the HTTP response of a refusal unless the caller is an operator.
///
/// If an operator key is configured, the request must send it as a bearer token; otherwise it must
/// come from a loopback address.
fn check_access(vm: &Vm, request: &HttpRequest) -> Option<HttpResponse> {
    let is_operator = match &vm.settings.operator_key {
        Some(key) => {
            let given = request.headers().get("authorization");
            let given = given.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
            given == Some(key.bytes())
        }
        None => request.peer_addr().is_some_and(|address| address.ip().is_loopback()),
    };
    (!is_operator).then(|| {
        let detail = "the operators' key, or a call from the VM itself, is needed";
        Refusal::with_detail(Kind::Unauthorised, detail).to_response(vm.settings.vm.as_str(), None)
    })
}

/// `GET /healthz`: succeeds as long as the process responds.
pub async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

/// `GET /readyz`: succeeds if a load balancer may send clients here.
pub async fn ready(vm: Data<Vm>) -> HttpResponse {
    if vm.is_stopping() {
        return HttpResponse::ServiceUnavailable().body("stopping\n");
    }
    if !vm.may_start(vm.clock.now()) {
        return HttpResponse::ServiceUnavailable().body("no contact or no configuration yet\n");
    }
    HttpResponse::Ok().body("ready\n")
}

/// `GET /metrics`, in the Prometheus text format.
pub async fn metrics(vm: Data<Vm>) -> HttpResponse {
    let counts = vm.burn.lock().expect("no panic while held").counts(vm.clock.date());
    for objective in counts {
        for (window, (name, _)) in WINDOWS.iter().enumerate() {
            let (workspace, version) =
                (objective.workspace.to_string(), objective.target.to_string());
            let gauge = vm.metrics.burn.with_label_values(&[workspace.as_str(), &version, name]);
            gauge.set(objective.burn_rate(window));
        }
    }
    vm.clients.update_gauges();
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(vm.metrics.text())
}

/// Refuses a request for an unknown path.
pub async fn not_found(vm: Data<Vm>) -> HttpResponse {
    Refusal::new(Kind::NotFound).to_response(vm.settings.vm.as_str(), None)
}

/// `GET /operator/status`: configuration, roll-outs and members as this VM sees them.
pub async fn status(vm: Data<Vm>, request: HttpRequest) -> HttpResponse {
    if let Some(refusal) = check_access(&vm, &request) {
        return refusal;
    }
    let now = vm.clock.now();
    let snapshot = vm.config();
    let gossip = vm.gossip.lock().expect("no panic while held");
    let pending = gossip.accepted() < gossip.revision() && gossip.revision() > Revision(0);
    let waiting_for: Vec<String> = if pending && gossip.is_accepter() {
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
        "waits_for": waiting_for,
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

/// `GET /operator/explain/REQUEST`: the decision trace of a request, from whichever VM keeps it.
pub async fn explain(vm: Data<Vm>, request: HttpRequest, id: Path<String>) -> HttpResponse {
    if let Some(refusal) = check_access(&vm, &request) {
        return refusal;
    }
    let own = {
        let traces = vm.traces.lock().expect("no panic while held");
        traces.find(&id).map(|trace| trace.to_text())
    };
    let found = match own {
        Some(text) => Some(text),
        None => {
            let (sender, answered) = oneshot::channel();
            vm.send_command(Command::Explain(id.into_inner(), sender));
            answered.await.ok().flatten()
        }
    };
    match found {
        Some(text) => HttpResponse::Ok().content_type("text/plain; charset=utf-8").body(text),
        None => HttpResponse::NotFound().body("No VM keeps a record of this request.\n"),
    }
}

/// `GET /operator/burn`: error budget burn, summed over all VMs; as JSON with `?json`.
pub async fn burn(vm: Data<Vm>, request: HttpRequest) -> HttpResponse {
    if let Some(refusal) = check_access(&vm, &request) {
        return refusal;
    }
    let date = vm.clock.date();
    let mut counts = vm.burn.lock().expect("no panic while held").counts(date);
    let (sender, answered) = oneshot::channel();
    vm.send_command(Command::CollectBurn(sender));
    for text in answered.await.unwrap_or_default() {
        counts.extend(serde_json::from_str::<Vec<ObjectiveCounts>>(&text).unwrap_or_default());
    }
    if request.query_string().contains("json") {
        return HttpResponse::Ok().json(counts);
    }
    HttpResponse::Ok().content_type("text/plain; charset=utf-8").body(burn_table(counts))
}

/// `GET /operator/decisions`: streams decision records as server-sent events.
pub async fn decisions(vm: Data<Vm>, request: HttpRequest) -> HttpResponse {
    if let Some(refusal) = check_access(&vm, &request) {
        return refusal;
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
