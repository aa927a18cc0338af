//! Calls of plain services; some may not be repeated.

use std::time::Duration;

use actix_http::RequestHead;
use actix_web::http::header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue};
use actix_web::http::{Method, StatusCode};
use actix_web::web::{Bytes, Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use tokio::sync::oneshot;

use super::dispatch::InFlightGuard;
use super::header;
use super::models::{Caller, admit, read_body};
use super::refusal::{Kind as Refused, Refusal};
use crate::config::ServiceEntry;
use crate::decide::poison::OpenRequest;
use crate::decide::retry::{self, Failure};
use crate::engine::client::EngineClient;
use crate::history::{Event, Ran};
use crate::ledger::{Entry, Part, Reason};
use crate::once::{Answer, Claim, KeyGrant, Outcome, Settlement};
use crate::unit::{Cost, Digest, Moment, RequestId, Service, Span, digest};
use crate::vm::{Command, Group, KeyUse, Vm, poison};

/// Price of a call, in micro-euros.
const CALL_PRICE: Cost = Cost(10);

/// Largest answer of a service.
const MAX_RESPONSE_BYTES: usize = 4_000_000;

/// Largest answer that is kept with a key, so that a chain's links stay small.
const MAX_STORED_BODY_BYTES: usize = 2_000;

/// Longest key.
const MAX_KEY_BYTES: usize = 256;

/// A retry needs at least this much of the deadline.
const MIN_RETRY_TIME: Span = Span::millis(20);

struct Call {
    request: RequestId,
    service: Service,
    method: Method,
    path: String,
    body: Bytes,
    headers: Vec<(&'static str, String)>,
    key: Option<String>,
    is_idempotent: bool,
    deadline: Moment,
}

struct Response {
    status: u16,
    content_type: String,
    body: Bytes,
}

/// `/v1/services/NAME/...`.
pub async fn call(
    vm: Data<Vm>,
    engines: Data<EngineClient>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let id = vm.next_request_id();
    let in_flight = InFlightGuard::new(&vm);
    let outcome = async {
        let bytes = read_body(&vm, payload).await?;
        let caller = admit(&vm, &request)?;
        let call = prepare(&vm, &request, &caller, bytes, id.clone())?;
        if call.is_idempotent {
            run(&vm, &engines, &caller, &call).await
        } else {
            run_once(&vm, &engines, &caller, &call).await
        }
    };
    let answer = match outcome.await {
        Ok(response) => {
            let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
            HttpResponse::build(status)
                .insert_header((header::REQUEST, id.as_str()))
                .insert_header((header::VM, vm.settings.vm.as_str()))
                .insert_header((header::REVISION, vm.config().revision().to_string()))
                .content_type(response.content_type)
                .body(response.body)
        }
        Err(refusal) => {
            vm.metrics.refusals.with_label_values(&[refusal.kind.row().name]).inc();
            refusal.to_response(vm.settings.vm.as_str(), Some(&id))
        }
    };
    drop(in_flight);
    answer
}

fn prepare(
    vm: &Data<Vm>,
    request: &HttpRequest,
    caller: &Caller,
    body: Bytes,
    id: RequestId,
) -> Result<Call, Refusal> {
    let name = request.match_info().get("name").unwrap_or_default();
    let entry = caller.snapshot.service(name);
    let entry = entry.ok_or_else(|| Refusal::new(Refused::UnknownModel))?;
    if !caller.workspace.services.contains(&entry.name) {
        return Err(Refusal::new(Refused::NotAllowed));
    }
    let text = |name: &str| {
        let value = request.headers().get(name).and_then(|value| value.to_str().ok());
        value.map(str::to_owned)
    };
    let path = format!("/{}", request.match_info().get("path").unwrap_or_default());
    let key = text(header::IDEMPOTENCY_KEY).filter(|key| key.len() <= MAX_KEY_BYTES);
    let is_idempotent = is_idempotent(entry, &path, request.method()) && key.is_none();
    if !is_idempotent && key.is_none() {
        return Err(Refusal::new(Refused::KeyMissing));
    }
    let mut headers = vec![
        (header::REQUEST, id.to_string()),
        (header::WORKSPACE, caller.workspace.name.to_string()),
    ];
    for name in ["content-type", "accept", header::TRACEPARENT, header::IDEMPOTENCY_KEY] {
        headers.extend(text(name).map(|value| (name, value)));
    }
    let query = request.query_string();
    let path = if query.is_empty() { path } else { format!("{path}?{query}") };
    Ok(Call {
        request: id,
        service: entry.name.clone(),
        method: request.method().clone(),
        path,
        body,
        headers,
        key,
        is_idempotent,
        deadline: vm.clock.now() + caller.timeout,
    })
}

fn is_idempotent(entry: &ServiceEntry, path: &str, method: &Method) -> bool {
    let once = entry.once.iter().any(|prefix| path.starts_with(prefix.as_str()));
    !(once && *method != Method::GET && *method != Method::HEAD)
}

/// A claim of the call's key by its request.
fn claim(vm: &Data<Vm>, caller: &Caller, call: &Call, reserved: bool) -> Claim {
    let key = call.key.as_deref().unwrap_or_default();
    Claim {
        key: digest(&[
            caller.workspace.name.as_str().as_bytes(),
            call.service.as_str().as_bytes(),
            key.as_bytes(),
        ]),
        body: digest(&[call.method.as_str().as_bytes(), call.path.as_bytes(), &call.body]),
        request: call.request.clone(),
        workspace: caller.workspace.name.clone(),
        holder: vm.origin(),
        date: vm.clock.date(),
        reserved,
    }
}

/// What a call finds out about its key.
enum KeyState {
    /// It holds the key, under that request.
    Acquired(RequestId),
    /// A call with that key ended before.
    Ended(Outcome),
}

/// Agrees on who runs a key's call, from the store or from the word of the key's holder.
async fn acquire_key(vm: &Data<Vm>, claim: &Claim) -> Result<KeyState, Refusal> {
    let (sender, answered) = oneshot::channel();
    vm.send_command(Command::Claim(claim.clone(), sender));
    let holder = match answered.await.unwrap_or(Answer::Unavailable) {
        Answer::Granted => return Ok(KeyState::Acquired(claim.request.clone())),
        Answer::Running(holder) => return Err(refuse_held_key(vm, &holder)),
        Answer::Ended(outcome) => return Ok(KeyState::Ended(outcome)),
        Answer::BodyMismatch => return Err(Refusal::new(Refused::KeyReused)),
        Answer::Reserved(holder) => Some(holder),
        Answer::Unavailable => None,
    };
    let key_use = KeyUse { key: claim.key, user: claim.request.clone(), body: claim.body };
    let (sender, answered) = oneshot::channel();
    vm.send_command(Command::UseKey(key_use, holder.clone().map(|holder| holder.vm), sender));
    match (answered.await.ok().flatten(), holder) {
        (Some(KeyGrant::Granted(reservation)), _) => Ok(KeyState::Acquired(reservation)),
        (Some(KeyGrant::InUse), _) => Err(Refusal::new(Refused::KeyRunning)),
        (Some(KeyGrant::BodyMismatch), _) => Err(Refusal::new(Refused::KeyReused)),
        (None, Some(holder)) => Err(refuse_held_key(vm, &holder)),
        (None, None) => Err(release_claim(vm, claim)),
    }
}

/// Releases a claim that was not agreed on: it may yet stand in the store, and must not hold the
/// key for good.
fn release_claim(vm: &Data<Vm>, claim: &Claim) -> Refusal {
    let Claim { key, request, body, .. } = claim.clone();
    let outcome = Outcome::NotRun;
    vm.send_command(Command::Settle(Settlement { key, request, body, outcome }));
    Refusal::new(Refused::StoreAway)
}

/// Claims the key, runs the call at most once, and records how it ended.
async fn run_once(
    vm: &Data<Vm>,
    engines: &EngineClient,
    caller: &Caller,
    call: &Call,
) -> Result<Response, Refusal> {
    let claim = claim(vm, caller, call, false);
    let request = match acquire_key(vm, &claim).await? {
        KeyState::Acquired(request) => request,
        KeyState::Ended(outcome) => return replay(outcome),
    };
    let settle = |outcome| {
        let (key, body) = (claim.key, claim.body);
        vm.send_command(Command::Settle(Settlement {
            key,
            request: request.clone(),
            body,
            outcome,
        }));
    };
    let outcome = run(vm, engines, caller, call).await;
    match &outcome {
        Ok(response) => settle(Outcome::Ran {
            status: response.status,
            content_type: response.content_type.clone(),
            body: (response.body.len() <= MAX_STORED_BODY_BYTES).then(|| response.body.to_vec()),
        }),
        Err(refusal) if refusal.kind.row().ran == Ran::No => {
            settle(Outcome::NotRun);
        }
        Err(_) => settle(Outcome::InDoubt),
    }
    outcome
}

/// `POST /v1/reservations/NAME`: sets the key of a call to come aside, while the store answers.
pub async fn reserve(vm: Data<Vm>, request: HttpRequest, payload: Payload) -> HttpResponse {
    let id = vm.next_request_id();
    let outcome = async {
        read_body(&vm, payload).await?;
        let caller = admit(&vm, &request)?;
        let call = prepare(&vm, &request, &caller, Bytes::new(), id.clone())?;
        if call.key.is_none() {
            return Err(Refusal::new(Refused::KeyMissing));
        }
        if !vm.reserved.lock().expect("no panic while held").has_room(vm.clock.now()) {
            return Err(Refusal::new(Refused::Limited));
        }
        let claim = claim(&vm, &caller, &call, true);
        let (sender, answered) = oneshot::channel();
        vm.send_command(Command::Claim(claim.clone(), sender));
        match answered.await.unwrap_or(Answer::Unavailable) {
            Answer::Granted => {
                let mut reserved = vm.reserved.lock().expect("no panic while held");
                reserved.add(claim.key, claim.request, vm.clock.now());
                Ok(())
            }
            Answer::Reserved(_) => Ok(()),
            Answer::Running(holder) => Err(refuse_held_key(&vm, &holder)),
            Answer::Ended(_) | Answer::BodyMismatch => Err(Refusal::new(Refused::KeyReused)),
            Answer::Unavailable => Err(release_claim(&vm, &claim)),
        }
    };
    match outcome.await {
        Ok(()) => HttpResponse::Created()
            .insert_header((header::VM, vm.settings.vm.as_str()))
            .json(serde_json::json!({"reserved": true})),
        Err(refusal) => refusal.to_response(vm.settings.vm.as_str(), Some(&id)),
    }
}

/// A call with this key holds it; whether it can still end depends on its VM.
fn refuse_held_key(vm: &Data<Vm>, holder: &crate::evidence::Origin) -> Refusal {
    let gossip = vm.gossip.lock().expect("no panic while held");
    let is_alive = gossip.member(&holder.vm).is_some_and(|member| {
        member.incarnation == holder.incarnation && member.state.is_present()
    });
    Refusal::new(if is_alive { Refused::KeyRunning } else { Refused::InDoubt })
}

fn replay(outcome: Outcome) -> Result<Response, Refusal> {
    match outcome {
        Outcome::Ran { status, content_type, body: Some(body) } => {
            Ok(Response { status, content_type, body: body.into() })
        }
        Outcome::Ran { status, .. } => {
            let words =
                format!("it ran and was answered {status}; the answer was too large to keep");
            Err(Refusal::with_detail(Refused::InDoubt, words))
        }
        Outcome::NotRun => Err(Refusal::new(Refused::StoreAway)),
        Outcome::InDoubt => Err(Refusal::new(Refused::InDoubt)),
    }
}

/// Runs a call, elsewhere again where that is safe, and bills it.
async fn run(
    vm: &Data<Vm>,
    engines: &EngineClient,
    caller: &Caller,
    call: &Call,
) -> Result<Response, Refusal> {
    vm.record_first_attempt();
    let mut may_have_run = false;
    let outcome = try_servers(vm, engines, caller, call, &mut may_have_run).await;
    outcome.map_err(|refusal| match refusal.kind.row().ran {
        // The last attempt's word is not that of those before it.
        Ran::No if may_have_run => Refusal::with_detail(Refused::Broken, refusal.kind.row().title),
        _ => refusal,
    })
}

async fn try_servers(
    vm: &Data<Vm>,
    engines: &EngineClient,
    caller: &Caller,
    call: &Call,
    may_have_run: &mut bool,
) -> Result<Response, Refusal> {
    let group = Group::Service(call.service.clone());
    let content = content_digest(caller, call);
    let mut attempts = 0;
    loop {
        let now = vm.clock.now();
        let (snapshot, dispatch_guard) = vm.begin_dispatch();
        if !vm.may_start(now) {
            return Err(Refusal::new(Refused::CutOff));
        }
        if poison::is_quarantined(vm, &content) {
            return Err(Refusal::new(Refused::HeldBack));
        }
        let allowed = snapshot.workspace(&caller.workspace.name);
        if !allowed.is_some_and(|workspace| workspace.services.contains(&call.service)) {
            return Err(Refusal::new(Refused::NotAllowed));
        }
        let picked = vm.fleet.lock().expect("no panic while held").select_server(
            &group,
            None,
            rand::random(),
            now,
        );
        let Some(picked) = picked else {
            return Err(Refusal::new(Refused::NoServer));
        };
        attempts += 1;
        vm.history.record(|| Event::Started {
            vm: vm.settings.vm.clone(),
            request: call.request.clone(),
            revision: snapshot.revision(),
            target: None,
            server: picked.server.clone(),
        });
        // A service answers only when it is done, so the dispatch ends with the decision.
        drop(dispatch_guard);
        let sent = send(engines, picked.address, call, now).await;
        let now = vm.clock.now();
        {
            let mut fleet = vm.fleet.lock().expect("no panic while held");
            fleet.on_request_end(&picked.server);
            if sent.is_err() {
                fleet.on_failure(&picked.server, now);
            }
        }
        let failure = match sent {
            Ok(response) => {
                poison::on_success(vm, content);
                bill(vm, caller, call).await?;
                return Ok(response);
            }
            Err(failure) => failure,
        };
        if failure == Failure::Broken {
            *may_have_run = true;
            let request = OpenRequest { content, was_stable: false };
            poison::on_broken_response(vm, &picked.server, picked.address, request);
        }
        let may = retry::is_allowed(
            failure,
            call.is_idempotent,
            attempts,
            now,
            call.deadline,
            MIN_RETRY_TIME,
        );
        if !may || !vm.try_spend_retry() {
            let kind = if failure == Failure::Broken { Refused::Broken } else { Refused::NoServer };
            return Err(Refusal::new(kind));
        }
    }
}

/// What a call asks, whoever of the workspace asks it and under whichever key.
fn content_digest(caller: &Caller, call: &Call) -> Digest {
    let texts = [
        caller.workspace.name.as_str(),
        call.service.as_str(),
        call.method.as_str(),
        call.path.as_str(),
    ];
    let [workspace, service, method, path] = texts.map(str::as_bytes);
    digest(&[workspace, service, method, path, &call.body])
}

async fn send(
    engines: &EngineClient,
    to: std::net::SocketAddr,
    call: &Call,
    now: Moment,
) -> Result<Response, Failure> {
    let head = request_head(to, call).ok_or(Failure::NotSent)?;
    let within = Duration::from_micros(call.deadline.since(now).0);
    let exchange = async {
        let sent = engines.call(to, head, &call.body, call.is_idempotent, MAX_RESPONSE_BYTES).await;
        let (head, body) = sent?;
        let content_type = head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let content_type = content_type.unwrap_or("application/octet-stream").to_owned();
        Ok(Response { status: head.status.as_u16(), content_type, body })
    };
    tokio::time::timeout(within, exchange).await.unwrap_or(Err(Failure::Broken))
}

/// The head of a call of a service; nothing if a caller's path or header cannot be one.
fn request_head(to: std::net::SocketAddr, call: &Call) -> Option<RequestHead> {
    let mut head = RequestHead::default();
    head.method = call.method.clone();
    head.uri = call.path.parse().ok()?;
    head.headers.insert(HOST, HeaderValue::from_str(&to.to_string()).ok()?);
    for (name, value) in &call.headers {
        head.headers.insert(HeaderName::from_static(name), HeaderValue::from_str(value).ok()?);
    }
    Some(head)
}

async fn bill(vm: &Data<Vm>, caller: &Caller, call: &Call) -> Result<(), Refusal> {
    let entry = Entry {
        number: 0,
        request: call.request.clone(),
        workspace: caller.workspace.name.clone(),
        date: vm.clock.date(),
        parts: vec![Part { reason: Reason::Call, target: None, tokens: 0, cost: CALL_PRICE }],
    };
    let (sender, safe) = oneshot::channel();
    vm.send_command(Command::RecordBill(entry, sender));
    if safe.await.unwrap_or(false) {
        return Ok(());
    }
    Err(Refusal::new(Refused::Unbilled))
}
