//! Calls of plain services (backend servers without models). Calls that are not idempotent need an
//! idempotency key and run at most once.

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
use crate::decide::poison::{BrokenRequest, Fingerprint};
use crate::decide::retry::{self, Failure};
use crate::engine::client::EngineClient;
use crate::engine::crash_check::Checks;
use crate::history::{Event, Ran};
use crate::ledger::{Entry, Part, Reason};
use crate::once::{Answer, Claim, KeyGrant, Outcome, Settlement};
use crate::unit::{Cost, Digest, Moment, RequestId, Service, Span, digest};
use crate::vm::{Command, Group, KeyUse, Vm, poison, stall};

/// Price of a call, in micro-euros.
const CALL_PRICE: Cost = Cost(10);

/// Maximum size of a service's response body.
const MAX_RESPONSE_BYTES: usize = 4_000_000;

/// Maximum size of a response body that is stored with the idempotency key. Larger ones are not
/// stored, so that the objects with the keys in the store stay small.
const MAX_STORED_BODY_BYTES: usize = 2_000;

/// Maximum length of an idempotency key; a longer one counts as missing.
const MAX_KEY_BYTES: usize = 256;

/// Minimum time until the deadline at which a retry is still made.
const MIN_RETRY_TIME: Span = Span::millis(20);

/// A validated call of a service.
struct Call {
    request: RequestId,
    service: Service,
    method: Method,
    path: String,
    body: Bytes,
    headers: Vec<(&'static str, String)>,
    key: Option<String>,
    is_retryable: bool,
    deadline: Moment,
}

/// State of the attempts at a call so far.
#[derive(Default)]
struct Progress {
    /// True if an attempt failed after it was sent.
    may_have_run: bool,
    /// Checks of the servers that broke off their responses.
    checks: Checks,
}

/// Response of a service, or a stored one.
struct Response {
    status: u16,
    content_type: String,
    body: Bytes,
}

/// `/v1/services/NAME/...`: forwards a call to a service; a call with an idempotency key runs at
/// most once.
pub async fn call(
    vm: Data<Vm>,
    engines: Data<EngineClient>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let id = vm.next_request_id();
    let in_flight = InFlightGuard::new(&vm);
    let outcome = async {
        let bytes = read_body(&vm, &request, payload).await?;
        let caller = admit(&vm, &request)?;
        let call = prepare_call(&vm, &request, &caller, bytes, id.clone())?;
        if call.is_retryable {
            run_call(&vm, &engines, &caller, &call).await
        } else {
            run_call_once(&vm, &engines, &caller, &call).await
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

/// Checks that the workspace may call the service and that a call that is not idempotent has a key.
fn prepare_call(
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
    let decoded = format!("/{}", request.match_info().get("path").unwrap_or_default());
    let path = service_path(request.uri().path());
    let key = text(header::IDEMPOTENCY_KEY).filter(|key| key.len() <= MAX_KEY_BYTES);
    let may_repeat = |path| is_idempotent(entry, path, request.method());
    let is_retryable = may_repeat(&decoded) && may_repeat(&path) && key.is_none();
    if !is_retryable && key.is_none() {
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
        is_retryable,
        deadline: vm.clock.now() + caller.timeout,
    })
}

/// Returns the path at the service that a path of the VM names, as the client encoded it.
fn service_path(path: &str) -> String {
    let after_name = path.strip_prefix("/v1/services/").and_then(|rest| rest.split_once('/'));
    format!("/{}", after_name.map_or("", |(_, path)| path))
}

/// Returns true unless the path has a prefix that is configured as `once` and the method changes
/// state.
fn is_idempotent(entry: &ServiceEntry, path: &str, method: &Method) -> bool {
    let once = entry.once.iter().any(|prefix| path.starts_with(prefix.as_str()));
    !(once && *method != Method::GET && *method != Method::HEAD)
}

/// Builds the claim of a call's idempotency key. Keys are scoped to workspace and service.
fn build_claim(vm: &Data<Vm>, caller: &Caller, call: &Call, reserved: bool) -> Claim {
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

/// State of an idempotency key that decides how its call goes on.
enum KeyState {
    /// The call holds the key under this request id, that of the call or of the earlier
    /// reservation, and may run.
    Acquired(RequestId),
    /// An earlier call with the key ended; its outcome is the answer.
    Ended(Outcome),
}

/// Acquires the idempotency key of a call through the store, or from the VM that reserved the key
/// beforehand.
///
/// If the store is unavailable, all VMs are asked for a reservation of the key.
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
    let key_use = KeyUse { key: claim.key, request: claim.request.clone(), body: claim.body };
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

/// Releases a claim without an answer, since it may have reached the store, where it would block
/// the key. Returns the refusal of the call.
fn release_claim(vm: &Data<Vm>, claim: &Claim) -> Refusal {
    let Claim { key, request, body, .. } = claim.clone();
    let outcome = Outcome::NotRun;
    vm.send_command(Command::Settle(Settlement { key, request, body, outcome }));
    Refusal::new(Refused::StoreAway)
}

/// Acquires the idempotency key of a call, runs the call at most once, and records its outcome.
async fn run_call_once(
    vm: &Data<Vm>,
    engines: &EngineClient,
    caller: &Caller,
    call: &Call,
) -> Result<Response, Refusal> {
    let claim = build_claim(vm, caller, call, false);
    let request = match acquire_key(vm, &claim).await? {
        KeyState::Acquired(request) => request,
        KeyState::Ended(outcome) => return replay_outcome(outcome),
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
    let outcome = run_call(vm, engines, caller, call).await;
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

/// `POST /v1/reservations/NAME`: reserves the key of a later call, so that the call can run even if
/// the store is unavailable by then.
pub async fn reserve(vm: Data<Vm>, request: HttpRequest, payload: Payload) -> HttpResponse {
    let id = vm.next_request_id();
    let outcome = async {
        read_body(&vm, &request, payload).await?;
        let caller = admit(&vm, &request)?;
        let call = prepare_call(&vm, &request, &caller, Bytes::new(), id.clone())?;
        if call.key.is_none() {
            return Err(Refusal::new(Refused::KeyMissing));
        }
        if !vm.reserved.lock().expect("no panic while held").has_room(vm.clock.now()) {
            return Err(Refusal::new(Refused::Limited));
        }
        let claim = build_claim(&vm, &caller, &call, true);
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

/// Returns the refusal of a call whose key another call holds. If the VM that runs the other call
/// (`holder`) is gone, the outcome of that call stays unknown.
fn refuse_held_key(vm: &Data<Vm>, holder: &crate::evidence::Origin) -> Refusal {
    let gossip = vm.gossip.lock().expect("no panic while held");
    let is_alive = gossip.member(&holder.vm).is_some_and(|member| {
        member.incarnation == holder.incarnation && member.state.is_present()
    });
    Refusal::new(if is_alive { Refused::KeyRunning } else { Refused::InDoubt })
}

/// Returns the stored response of an earlier call with the same key.
fn replay_outcome(outcome: Outcome) -> Result<Response, Refusal> {
    match outcome {
        Outcome::Ran { status, content_type, body: Some(body) } => {
            Ok(Response { status, content_type, body: body.into() })
        }
        Outcome::Ran { status, .. } => {
            let detail =
                format!("it ran and was answered {status}; the answer was too large to keep");
            Err(Refusal::with_detail(Refused::InDoubt, detail))
        }
        Outcome::NotRun => Err(Refusal::new(Refused::StoreAway)),
        Outcome::InDoubt => Err(Refusal::new(Refused::InDoubt)),
    }
}

/// Runs a call, with retries on other servers where that is safe, and bills it.
async fn run_call(
    vm: &Data<Vm>,
    engines: &EngineClient,
    caller: &Caller,
    call: &Call,
) -> Result<Response, Refusal> {
    vm.record_first_attempt();
    let fingerprint = Fingerprint::from(content_digest(caller, call));
    let mut progress = Progress::default();
    let outcome = try_servers(vm, engines, caller, call, &fingerprint, &mut progress).await;
    if outcome.is_err() {
        let Call { request, deadline, .. } = call;
        poison::await_crash_checks(vm, request, &fingerprint, *deadline, &progress.checks).await;
    }
    outcome.map_err(|refusal| match refusal.kind.row().ran {
        // The last attempt did not run, but an earlier one may have.
        Ran::No if progress.may_have_run => {
            Refusal::with_detail(Refused::Broken, refusal.kind.row().title)
        }
        _ => refusal,
    })
}

/// Sends a call to one server after another until one responds or no retry is allowed. Before each
/// attempt, checks again that the configuration allows the call and that its content is not
/// quarantined.
async fn try_servers(
    vm: &Data<Vm>,
    engines: &EngineClient,
    caller: &Caller,
    call: &Call,
    fingerprint: &Fingerprint,
    progress: &mut Progress,
) -> Result<Response, Refusal> {
    let group = Group::Service(call.service.clone());
    let mut attempts = 0;
    loop {
        poison::await_decisive_checks(vm, fingerprint, call.deadline, &progress.checks).await;
        stall::catch_up(vm, call.deadline).await;
        let now = vm.clock.now();
        let (snapshot, dispatch_guard) = vm.begin_dispatch();
        if !vm.may_start(now) {
            return Err(Refusal::new(Refused::CutOff));
        }
        if poison::is_quarantined(vm, fingerprint) {
            return Err(Refusal::new(Refused::HeldBack));
        }
        let allowed = snapshot.workspace(&caller.workspace.name);
        if !allowed.is_some_and(|workspace| workspace.services.contains(&call.service)) {
            return Err(Refusal::new(Refused::NotAllowed));
        }
        let selected = vm.fleet.lock().expect("no panic while held").select_server(
            &group,
            None,
            rand::random(),
            now,
        );
        let Some(selected) = selected else {
            return Err(Refusal::new(Refused::NoServer));
        };
        attempts += 1;
        vm.history.record(|| Event::Started {
            vm: vm.settings.vm.clone(),
            request: call.request.clone(),
            revision: snapshot.revision(),
            target: None,
            server: selected.server.clone(),
        });
        // A service responds only when the call is done, so the guard is released before sending.
        drop(dispatch_guard);
        let result = send(engines, selected.address, call, now).await;
        let now = vm.clock.now();
        {
            let mut fleet = vm.fleet.lock().expect("no panic while held");
            fleet.on_request_end(&selected.server);
            if result.is_err() {
                fleet.on_failure(&selected.server, now);
            }
        }
        let failure = match result {
            Ok(response) => {
                poison::on_success(vm, fingerprint.digests());
                record_bill(vm, caller, call).await?;
                return Ok(response);
            }
            Err(failure) => failure,
        };
        if failure == Failure::Broken {
            progress.may_have_run = true;
            let request = BrokenRequest { fingerprint: fingerprint.clone(), was_stable: false };
            let check = poison::on_broken_response(vm, &selected.server, selected.address, request);
            progress.checks.push(check);
        }
        let can_retry = retry::is_retry_allowed(
            failure,
            call.is_retryable,
            attempts,
            now,
            call.deadline,
            MIN_RETRY_TIME,
        );
        if !can_retry || !vm.try_spend_retry() {
            let kind = if failure == Failure::Broken { Refused::Broken } else { Refused::NoServer };
            return Err(Refusal::new(kind));
        }
    }
}

/// Returns the digest of workspace, service, method, path and body of a call, whatever its
/// idempotency key, to recognise calls that crash servers.
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

/// Sends a call to a server and reads the response until the deadline.
async fn send(
    engines: &EngineClient,
    to: std::net::SocketAddr,
    call: &Call,
    now: Moment,
) -> Result<Response, Failure> {
    let head = request_head(to, call).ok_or(Failure::NotSent)?;
    let timeout = Duration::from_micros(call.deadline.since(now).0);
    let exchange = async {
        let result =
            engines.call(to, head, &call.body, call.is_retryable, MAX_RESPONSE_BYTES).await;
        let (head, body) = result?;
        let content_type = head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let content_type = content_type.unwrap_or("application/octet-stream").to_owned();
        Ok(Response { status: head.status.as_u16(), content_type, body })
    };
    tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(Failure::Broken))
}

/// Builds the head of the request to a service, or `None` if a path or header value from the client
/// is invalid.
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

/// Bills a call and waits until other VMs or the store hold the bill.
async fn record_bill(vm: &Data<Vm>, caller: &Caller, call: &Call) -> Result<(), Refusal> {
    let entry = Entry {
        number: 0,
        request: call.request.clone(),
        workspace: caller.workspace.name.clone(),
        date: vm.clock.date(),
        parts: vec![Part { reason: Reason::Call, target: None, tokens: 0, cost: CALL_PRICE }],
    };
    let (sender, is_stored) = oneshot::channel();
    vm.send_command(Command::RecordBill(entry, sender));
    if is_stored.await.unwrap_or(false) {
        return Ok(());
    }
    Err(Refusal::new(Refused::Unbilled))
}
