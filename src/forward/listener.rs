//! The doors of an entry VM: callers, the balancer's question, the counters.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use actix_http::{
    ConnectionType, HttpService, KeepAlive, Payload, Request, Response, ResponseHead, StatusCode,
};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::call::Call;
use super::content;
use super::dispatch::{self, Reply};
use super::job::{Job, Record};
use super::rate_limit;
use super::relay;
use super::vm::Vm;
use crate::config::{Holder, Route, Table};
use crate::entry::refusal::{Kind, Refusal};
use crate::error::Error;
use crate::platform::header;
use crate::unit::{Span, hash};

/// Connections that may wait to be taken; a burst of callers must fit.
const BACKLOG: u32 = 4096;

/// Pause after a connection could not be taken, for want of descriptors.
const PAUSE: Duration = Duration::from_millis(50);

/// A refusal tells to come back after this, unless more is known; callers wait at most a third of
/// their time.
const COME_BACK: Span = Span::millis(300);

/// An answer that a route or key is not there needs a proof no older than this part of the time in
/// which a change must be in force.
const DENIAL_PROOF: f64 = 0.75;

/// A VM that started longer ago than this, and still knows too little, refuses at once.
const KNOWS_WITHIN: Span = Span::millis(1200);

/// Longest wait for a proof of freshness.
const PROOF_WITHIN: Span = Span::millis(900);

/// Time that the balancer's questions and readers of counters may take.
const QUESTION_WITHIN: Duration = Duration::from_secs(5);

type HttpResponse = Response<BoxBody>;

/// Binds an address for callers.
///
/// # Errors
/// If it cannot be bound.
pub fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let fault = |e: std::io::Error| Error::Bind(address.to_string(), e.to_string());
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    };
    let socket = socket.map_err(fault)?;
    // A process that starts again takes its address over from connections that still close.
    socket.set_reuseaddr(true).map_err(fault)?;
    socket.bind(address).map_err(fault)?;
    socket.listen(BACKLOG).map_err(fault)
}

/// Serves callers until the process ends.
pub async fn serve_callers(vm: Rc<Vm>, listener: TcpListener) {
    loop {
        let limits = vm.routes().map(|table| table.limits).unwrap_or_default();
        let handler = vm.clone();
        let service = HttpService::build()
            .keep_alive(KeepAlive::Timeout(limits.idle.duration()))
            .client_request_timeout(limits.head_within.duration())
            .h1_allow_half_closed(false)
            .tcp_nodelay(true)
            .graceful_shutdown_signal(closing(&vm))
            .h1(fn_service(move |request: Request| {
                let vm = handler.clone();
                async move { Ok::<_, std::convert::Infallible>(answer(vm, request).await) }
            }))
            .tcp();
        // Connections taken from here on go by these limits.
        let same = || vm.routes().map(|table| table.limits).unwrap_or_default() == limits;
        match service.new_service(()).await {
            Ok(service) => take(&listener, Rc::new(service), same).await,
            Err(()) => tokio::time::sleep(PAUSE).await,
        }
    }
}

/// Closes connections that rest when a planned stop begins, and others after their answer. Those
/// that are taken during the stop are served first.
fn closing(vm: &Rc<Vm>) -> impl Fn() -> LocalBoxFuture<'static, ()> + 'static {
    let vm = vm.clone();
    move || {
        let mut stop = vm.stopping_since.subscribe();
        let stopping = vm.is_stopping();
        Box::pin(async move {
            if stopping || stop.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        })
    }
}

/// Answers whether the VM takes new connections.
pub async fn serve_readiness(vm: Rc<Vm>, listener: TcpListener) {
    serve_questions(listener, move |request: &Request| {
        let ready = header::asks_readiness(request.head()) && vm.is_ready(vm.now());
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        Response::with_body(status, BoxBody::new(()))
    })
    .await;
}

/// Serves the counters.
pub async fn serve_metrics(vm: Rc<Vm>, listener: TcpListener) {
    serve_questions(listener, move |_: &Request| {
        let age = vm.proof_age(vm.now()).map_or(f64::INFINITY, Span::as_secs);
        vm.metrics.proof_age.set(age);
        rate_limit::update_gauges(&vm);
        Response::with_body(StatusCode::OK, BoxBody::new(vm.metrics.text()))
    })
    .await;
}

async fn serve_questions(
    listener: TcpListener,
    reply: impl Fn(&Request) -> HttpResponse + 'static,
) {
    let reply = Rc::new(reply);
    let service = HttpService::build()
        .client_request_timeout(QUESTION_WITHIN)
        .tcp_nodelay(true)
        .h1(fn_service(move |request: Request| {
            let reply = reply.clone();
            async move { Ok::<_, std::convert::Infallible>(reply(&request)) }
        }))
        .tcp();
    if let Ok(service) = service.new_service(()).await {
        take(&listener, Rc::new(service), || true).await;
    }
}

/// Takes connections while `go_on` says so.
async fn take<S>(listener: &TcpListener, service: Rc<S>, go_on: impl Fn() -> bool)
where
    S: Service<TcpStream> + 'static,
{
    while go_on() {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = service.call(stream);
                // A connection that breaks concerns nobody else; its requests tell their ends.
                actix_web::rt::spawn(async move { drop(connection.await) });
            }
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

/// Answers one request of a caller.
async fn answer(vm: Rc<Vm>, mut request: Request) -> HttpResponse {
    let arrived = vm.now();
    let call = header::call(request.head());
    let id = header::answer_id(&call);
    let mut record = Record::new(vm.clone(), &call, arrived);
    let payload = request.take_payload();
    let admitted = admit(&vm, &call, payload, &mut record).await;
    let mut response = match admitted {
        Ok(Admitted { route, holder, body }) => {
            let deadline = arrived + call.timeout.min(route.timeout);
            let weight = hash::point(hash::stable(&[call.id.as_str()]));
            let head = request.head().clone();
            let content = content::request_digest(&head, &call, holder.as_deref(), &body);
            record.set_content(content);
            match route.service(weight).cloned() {
                Some(service) => {
                    let vm = vm.clone();
                    let job = Job {
                        vm,
                        head,
                        call,
                        body,
                        route,
                        service,
                        holder,
                        content,
                        arrived,
                        deadline,
                        record,
                    };
                    forward(job).await
                }
                None => {
                    record.set_outcome("no service");
                    refusal(&vm, &Refusal::new(Kind::NoServer), call.timeout)
                }
            }
        }
        Err(refused) => {
            record.set_outcome(refused.kind.row().name);
            refusal(&vm, &refused, call.timeout)
        }
    };
    if let Some((name, value)) = id.filter(|(name, _)| !response.headers().contains_key(name)) {
        response.headers_mut().insert(name, value);
    }
    if vm.is_stopping() {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    response
}

/// What a request needs to be sent on.
struct Admitted {
    route: Rc<Route>,
    holder: Option<Rc<Holder>>,
    body: Bytes,
}

async fn admit(
    vm: &Rc<Vm>,
    call: &Call,
    payload: Payload,
    record: &mut Record,
) -> Result<Admitted, Refusal> {
    catch_up(vm).await;
    let table = vm.routes().ok_or_else(|| Refusal::new(Kind::Behind))?;
    let most = table.limits.body;
    let body = read(payload, most);
    let body = tokio::time::timeout(call.timeout.duration(), body).await;
    let body = body.map_err(|_| Refusal::new(Kind::Malformed))??;
    let (table, found) = match allowed(&table, call) {
        Ok(found) => (table, Ok(found)),
        // What this VM does not know may have been added since its last proof.
        Err(_) if confirm(vm).await => {
            let newest = vm.routes().unwrap_or(table);
            let found = allowed(&newest, call);
            (newest, found)
        }
        Err(_) => return Err(Refusal::new(Kind::Behind)),
    };
    let route = found?.0;
    record.set_route(&route.name);
    if vm.would_outlast(route.streams, vm.now()) {
        return Err(Refusal::with_retry_after(Kind::Stopping, Span(0)));
    }
    if table.keyed && !route.public && !fresh(vm).await {
        return Err(Refusal::new(Kind::CutOff));
    }
    if !vm.has_required_state() {
        return Err(Refusal::new(Kind::Behind));
    }
    // A key may have been taken away while the proof was awaited.
    let newest = vm.routes().unwrap_or(table);
    let (route, holder) = allowed(&newest, call)?;
    Ok(Admitted { route, holder, body })
}

/// Waits for what a VM that has just started does not know yet. It comes some tenths of a second after the start, and a
/// request that waits is served where one that is refused comes back to another VM that has just started: when all of
/// 23 VMs started again, 108 tries of a few hundred were refused.
async fn catch_up(vm: &Rc<Vm>) {
    let until = vm.started + KNOWS_WITHIN;
    while !vm.has_required_state() && vm.now() < until {
        let left = until.since(vm.now()).duration();
        let _ = tokio::time::timeout(left, vm.proof_received.notified()).await;
    }
}

/// The route of a request, and who holds its key.
fn allowed(table: &Table, call: &Call) -> Result<(Rc<Route>, Option<Rc<Holder>>), Refusal> {
    let route = table.route(&call.host, &call.path);
    let route = route.ok_or_else(|| Refusal::new(Kind::NotFound))?.clone();
    if !table.keyed || route.public {
        return Ok((route, None));
    }
    let holder = call.api_key.as_deref().and_then(|key| table.holder(key));
    let holder = holder.ok_or_else(|| Refusal::new(Kind::Unauthorised))?.clone();
    Ok((route, Some(holder)))
}

/// Waits until a proof is there that is young enough to deny a route or key. Whether it came.
async fn confirm(vm: &Rc<Vm>) -> bool {
    let now = vm.now();
    let longest = vm.settings.bounds.config_propagation.part(DENIAL_PROOF);
    let young = |vm: &Vm| vm.proved_at.get().is_some_and(|at| now.since(at) < longest);
    young(vm) || await_proof(vm, young).await
}

/// Whether requests with a key may be sent on, waiting for a proof if need be.
async fn fresh(vm: &Rc<Vm>) -> bool {
    let now = vm.now();
    vm.may_use_keys(now) || await_proof(vm, |vm| vm.may_use_keys(vm.now())).await
}

async fn await_proof(vm: &Rc<Vm>, enough: impl Fn(&Vm) -> bool) -> bool {
    let until = vm.now() + PROOF_WITHIN;
    // While the store is known to be away a proof is tried for all the time; nobody waits for it.
    while vm.now() < until && !vm.store_lost.get() {
        let heard = vm.proof_received.notified();
        vm.proof_requested.notify_one();
        let left = until.since(vm.now()).duration();
        let _ = tokio::time::timeout(left, heard).await;
        if enough(vm) {
            return true;
        }
    }
    false
}

async fn read(mut payload: Payload, most: usize) -> Result<Bytes, Refusal> {
    let mut whole = BytesMut::new();
    while let Some(piece) = payload.next().await {
        let piece = piece.map_err(|_| Refusal::new(Kind::Malformed))?;
        if whole.len() + piece.len() > most {
            return Err(Refusal::new(Kind::TooLarge));
        }
        whole.extend_from_slice(&piece);
    }
    Ok(whole.freeze())
}

async fn forward(job: Job) -> HttpResponse {
    let vm = job.vm.clone();
    match dispatch::run(&job).await {
        Reply::Complete(whole) => {
            let (head, body) = *whole;
            relayed(&head, BoxBody::new(body))
        }
        Reply::Stream(begun) => {
            let response = relayed(&begun.head, BoxBody::new(()));
            let body = BodyStream::new(Box::pin(relay::body(job, *begun)));
            response.set_body(BoxBody::new(body))
        }
        Reply::Refused(refused) => refusal(&vm, &refused, job.left(vm.now())),
    }
}

/// A server's answer, with its status and headers as they are.
fn relayed(head: &ResponseHead, body: BoxBody) -> HttpResponse {
    let mut response = Response::with_body(head.status, body);
    for (name, value) in header::answer_headers(head) {
        response.headers_mut().append(name, value);
    }
    response
}

/// An answer of this VM's own.
fn refusal(vm: &Vm, refused: &Refusal, left: Span) -> HttpResponse {
    let row = refused.kind.row();
    let status = StatusCode::from_u16(row.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let body = refused.to_json().to_string();
    let mut response = Response::with_body(status, BoxBody::new(body));
    let headers = response.headers_mut();
    let mut set = |name: HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    set(actix_http::header::CONTENT_TYPE, "application/problem+json");
    set(HeaderName::from_static(crate::entry::header::VM), vm.settings.vm.as_str());
    if row.retry_after_s.is_some() {
        let again = refused.delay.unwrap_or(COME_BACK).min(Span(left.0 / 3));
        set(RETRY_AFTER, &format!("{:.3}", again.as_secs()));
    }
    response
}
