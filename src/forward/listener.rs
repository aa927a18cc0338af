//! HTTP listeners of an entry VM: for callers, the load balancer's readiness probe and metrics.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use actix_http::{
    ConnectionType, HttpService, KeepAlive, Payload, Request, RequestHead, Response, ResponseHead,
    StatusCode,
};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::call::Call;
use super::dispatch::{self, Reply};
use super::job::{Job, Record};
use super::vm::Vm;
use super::{content, rate_limit, relay};
use crate::client::stream::{REFUSAL_LINGER, limit_socket_buffers};
use crate::client::{Account, Stream as Client, body};
use crate::config::{KeyHolder, Route, Table};
use crate::entry::refusal::{Kind, Refusal};
use crate::error::Error;
use crate::platform::header;
use crate::unit::{Span, hash};

/// Length of the accept queue; a burst of callers must fit.
const ACCEPT_BACKLOG: u32 = 4096;

/// Delay after a failed accept, such as for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// `Retry-After` of a refusal, unless a better value is known. Either is capped at a third of the
/// caller's remaining time.
const DEFAULT_RETRY_AFTER: Span = Span::millis(300);

/// Maximum age of the proof that the configuration is the newest for denying a route or key, as a
/// fraction of the time within which a configuration change must be in force.
const DENIAL_PROOF_AGE_FRACTION: f64 = 0.75;

/// Time after the start of a VM during which requests wait until the VM has its first complete
/// state. Later, requests are refused at once while the state is incomplete.
const STARTUP_GRACE: Span = Span::millis(1200);

/// Longest time that a request waits for a proof that the configuration is the newest.
const PROOF_TIMEOUT: Span = Span::millis(900);

/// Time within which a readiness probe or metrics scrape must send its request.
const PROBE_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

type HttpResponse = Response<BoxBody>;

/// Binds and listens on an address.
///
/// # Errors
/// `Error::Bind` if the address cannot be bound.
pub fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let fault = |e: std::io::Error| Error::Bind(address.to_string(), e.to_string());
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    };
    let socket = socket.map_err(fault)?;
    // A restarted process can bind while connections of its predecessor are still in TIME_WAIT.
    socket.set_reuseaddr(true).map_err(fault)?;
    socket.bind(address).map_err(fault)?;
    socket.listen(ACCEPT_BACKLOG).map_err(fault)
}

/// Serves callers until the process ends. New connections follow changes of the configured limits.
pub async fn serve_callers(vm: Rc<Vm>, listener: TcpListener) {
    limit_socket_buffers(&listener, &vm.clients);
    loop {
        let limits = vm.routes().map(|table| table.limits).unwrap_or_default();
        let handler = vm.clone();
        let service = HttpService::build()
            .keep_alive(KeepAlive::Timeout(limits.idle_timeout.duration()))
            .client_request_timeout(limits.header_timeout.duration())
            .client_disconnect_timeout(REFUSAL_LINGER)
            .h1_allow_half_closed(false)
            .graceful_shutdown_signal(shutdown_signal(&vm))
            .on_connect_ext(|client: &Client, data| _ = data.insert(client.account()))
            .h1(fn_service(move |request: Request| {
                let vm = handler.clone();
                async move { Ok::<_, std::convert::Infallible>(serve_request(vm, request).await) }
            }));
        // Accepts with these limits until they change; open connections keep theirs.
        let same = || vm.routes().map(|table| table.limits).unwrap_or_default() == limits;
        match service.new_service(()).await {
            Ok(service) => accept_clients(&vm, &listener, Rc::new(service), same).await,
            Err(()) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Returns a signal that closes idle connections when a planned stop begins or the links to the
/// backend servers are lost, and busy ones after their response. Connections accepted afterwards
/// don't get the signal, so that they are served first.
fn shutdown_signal(vm: &Rc<Vm>) -> impl Fn() -> LocalBoxFuture<'static, ()> + 'static {
    let vm = vm.clone();
    move || {
        let mut stop = vm.stopping_since.subscribe();
        let stopping = vm.is_stopping();
        let stop = async move {
            if stopping || stop.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        let mut lost = vm.links_lost.subscribe();
        let loss = async move {
            let is_next_loss = lost.wait_for(|lost| !lost).await.is_ok()
                && lost.wait_for(|lost| *lost).await.is_ok();
            if !is_next_loss {
                std::future::pending::<()>().await;
            }
        };
        Box::pin(async move {
            tokio::select! {
                () = stop => {}
                () = loss => {}
            }
        })
    }
}

/// Serves the readiness probe: 200 if the VM accepts requests now, else 503.
pub async fn serve_readiness(vm: Rc<Vm>, listener: TcpListener) {
    serve_probes(listener, move |request: &Request| {
        let ready = header::is_readiness_probe(request.head()) && vm.is_ready(vm.now());
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        Response::with_body(status, BoxBody::new(()))
    })
    .await;
}

/// Serves the metrics in the text format.
pub async fn serve_metrics(vm: Rc<Vm>, listener: TcpListener) {
    serve_probes(listener, move |_: &Request| {
        let age = vm.proof_age(vm.now()).map_or(f64::INFINITY, Span::as_secs);
        vm.metrics.proof_age.set(age);
        rate_limit::update_gauges(&vm);
        vm.clients.update_gauges();
        Response::with_body(StatusCode::OK, BoxBody::new(vm.metrics.text()))
    })
    .await;
}

/// Serves responses that are computed at once from the request head.
async fn serve_probes(listener: TcpListener, reply: impl Fn(&Request) -> HttpResponse + 'static) {
    let reply = Rc::new(reply);
    let service = HttpService::build()
        .client_request_timeout(PROBE_REQUEST_TIMEOUT)
        .tcp_nodelay(true)
        .h1(fn_service(move |request: Request| {
            let reply = reply.clone();
            async move { Ok::<_, std::convert::Infallible>(reply(&request)) }
        }))
        .tcp();
    if let Ok(service) = service.new_service(()).await {
        accept_connections(&listener, Rc::new(service), || true).await;
    }
}

/// Accepts clients while `keep_accepting` returns true; it is called after each connection.
async fn accept_clients<S>(
    vm: &Vm,
    listener: &TcpListener,
    service: Rc<S>,
    keep_accepting: impl Fn() -> bool,
) where
    S: Service<(Client, Option<SocketAddr>)> + 'static,
{
    while keep_accepting() {
        match listener.accept().await {
            Ok((stream, address)) => {
                // Without it, only small responses are late.
                let _ = stream.set_nodelay(true);
                let Some(client) = Client::new(stream, &vm.clients) else { continue };
                let connection = service.call((client, Some(address)));
                // A broken connection affects no other; its requests log their own ends.
                actix_web::rt::spawn(async move { drop(connection.await) });
            }
            Err(_) => {
                vm.clients.close_idlest();
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts connections while `keep_accepting` returns true; it is called after each connection.
async fn accept_connections<S>(
    listener: &TcpListener,
    service: Rc<S>,
    keep_accepting: impl Fn() -> bool,
) where
    S: Service<TcpStream> + 'static,
{
    while keep_accepting() {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = service.call(stream);
                // A broken connection affects no other; its requests log their own ends.
                actix_web::rt::spawn(async move { drop(connection.await) });
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Handles one request of a caller, and accounts for it until its response has ended.
async fn serve_request(vm: Rc<Vm>, request: Request) -> HttpResponse {
    let account = request.conn_data::<Arc<Account>>().expect("each connection has one").clone();
    let open = account.begin_request();
    body::earlier_responses(&account).await;
    let has_body = body::has_body(&request.head().headers);
    let mut response = handle_request(vm, request, &account).await;
    if has_body && account.is_body_unread() {
        account.close_input();
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    body::reserve_response(&account, response.body().size(), body::MAX_RESPONSE_WAIT).await;
    response.map_body(|_, content| BoxBody::new(body::Response::new(content, open)))
}

/// Handles one request of a caller.
async fn handle_request(vm: Rc<Vm>, mut request: Request, account: &Arc<Account>) -> HttpResponse {
    let arrived = vm.now();
    let call = header::decode_call(request.head());
    let id = header::attempt_id_header(&call);
    let mut record = Record::new(vm.clone(), &call, arrived);
    let incoming = Incoming { payload: request.take_payload(), head: request.head(), account };
    let admitted = admit(&vm, &call, incoming, &mut record).await;
    let mut response = match admitted {
        Ok(Admitted { route, holder, body }) => {
            let deadline = arrived + call.timeout.min(route.timeout);
            let weight = hash::to_unit_interval(hash::stable(&[call.id.as_str()]));
            let head = request.head().clone();
            let content = content::request_digest(&head, &call, holder.as_deref(), &body);
            record.set_content(content);
            match route.service(weight).cloned() {
                Some(service) => {
                    let vm = vm.clone();
                    let fingerprint = content::fingerprint(content, &call, &service);
                    let job = Job {
                        vm,
                        head,
                        call,
                        body,
                        route,
                        service,
                        holder,
                        fingerprint,
                        arrived,
                        deadline,
                        client: Some(account.clone()),
                        record,
                    };
                    forward(job).await
                }
                None => {
                    record.set_outcome("no service");
                    refusal_response(&vm, &Refusal::new(Kind::NoServer), call.timeout)
                }
            }
        }
        Err(refused) => {
            record.set_outcome(refused.kind.row().name);
            refusal_response(&vm, &refused, call.timeout)
        }
    };
    if let Some((name, value)) = id.filter(|(name, _)| !response.headers().contains_key(name)) {
        response.headers_mut().insert(name, value);
    }
    if vm.is_stopping() || vm.has_lost_links() {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    response
}

/// A request whose body is still to be read.
struct Incoming<'a> {
    payload: Payload,
    head: &'a RequestHead,
    account: &'a Arc<Account>,
}

impl Incoming<'_> {
    /// Reads the body, of at most `max_size` bytes, within a time.
    async fn read_body(self, max_size: usize, within: Span) -> Result<Bytes, Refusal> {
        let body = body::read(self.payload, &self.head.headers, self.account, max_size);
        let body = tokio::time::timeout(within.duration(), body).await;
        body.map_err(|_| Refusal::new(Kind::Malformed))?.map_err(|error| match error {
            body::Error::TooLarge => Refusal::new(Kind::TooLarge),
            body::Error::Broken(_) => Refusal::new(Kind::Malformed),
            body::Error::NoRoom => Refusal::new(Kind::Crowded),
        })
    }
}

/// What admission establishes about a request.
struct Admitted {
    route: Rc<Route>,
    holder: Option<Rc<KeyHolder>>,
    body: Bytes,
}

/// Reads the body and checks route, API key and freshness of the configuration.
async fn admit(
    vm: &Rc<Vm>,
    call: &Call,
    incoming: Incoming<'_>,
    record: &mut Record,
) -> Result<Admitted, Refusal> {
    wait_until_synced(vm).await;
    let table = vm.routes().ok_or_else(|| Refusal::new(Kind::Behind))?;
    let body = incoming.read_body(table.limits.max_body_bytes, call.timeout).await?;
    let (table, found) = match authorize(&table, call) {
        Ok(found) => (table, Ok(found)),
        // The unknown route or key may have been added since this VM's last proof.
        Err(_) if await_denial_proof(vm).await => {
            let newest = vm.routes().unwrap_or(table);
            let found = authorize(&newest, call);
            (newest, found)
        }
        Err(_) => return Err(Refusal::new(Kind::Behind)),
    };
    let route = found?.0;
    record.set_route(&route.name);
    if vm.would_outlast(vm.now()) {
        return Err(Refusal::with_retry_after(Kind::Stopping, Span(0)));
    }
    if table.requires_key && !route.is_public && !await_key_proof(vm).await {
        return Err(Refusal::new(Kind::CutOff));
    }
    if !vm.has_required_state() {
        return Err(Refusal::new(Kind::Behind));
    }
    // The key may have been revoked while the request waited for the proof.
    let newest = vm.routes().unwrap_or(table);
    let (route, holder) = authorize(&newest, call)?;
    Ok(Admitted { route, holder, body })
}

/// Waits, on a VM that has just started, until its state is complete.
///
/// That takes some tenths of a second. A request that waits is then served, while a refused one
/// comes back to another VM that has just started: when all of 23 VMs restarted, 108 attempts out
/// of a few hundred were refused.
async fn wait_until_synced(vm: &Rc<Vm>) {
    let until = vm.started + STARTUP_GRACE;
    while !vm.has_required_state() && vm.now() < until {
        let left = until.since(vm.now()).duration();
        let _ = tokio::time::timeout(left, vm.proof_received.notified()).await;
    }
}

/// Returns the route of a request and the holder of its API key.
///
/// # Errors
/// `NotFound` without a route, `Unauthorised` if the route needs a key and this one is unknown.
fn authorize(table: &Table, call: &Call) -> Result<(Rc<Route>, Option<Rc<KeyHolder>>), Refusal> {
    let route = table.route(&call.host, &call.path);
    let route = route.ok_or_else(|| Refusal::new(Kind::NotFound))?.clone();
    if !table.requires_key || route.is_public {
        return Ok((route, None));
    }
    let holder = call.api_key.as_deref().and_then(|key| table.key_holder(key));
    let holder = holder.ok_or_else(|| Refusal::new(Kind::Unauthorised))?.clone();
    Ok((route, Some(holder)))
}

/// Waits for a proof that is recent enough to deny a route or key. Returns false if none came.
async fn await_denial_proof(vm: &Rc<Vm>) -> bool {
    let now = vm.now();
    let max_age = vm.settings.bounds.config_propagation.mul_f64(DENIAL_PROOF_AGE_FRACTION);
    let is_recent = |vm: &Vm| vm.proved_at.get().is_some_and(|at| now.since(at) < max_age);
    is_recent(vm) || await_proof(vm, is_recent).await
}

/// Returns true if requests with a key may be forwarded, waiting for a proof if needed.
async fn await_key_proof(vm: &Rc<Vm>) -> bool {
    let now = vm.now();
    vm.may_use_keys(now) || await_proof(vm, |vm| vm.may_use_keys(vm.now())).await
}

/// Requests proofs until `is_enough` holds. Returns false after the timeout.
async fn await_proof(vm: &Rc<Vm>, is_enough: impl Fn(&Vm) -> bool) -> bool {
    let until = vm.now() + PROOF_TIMEOUT;
    // While the store is known to be lost, proofs are attempted continuously in the background, and
    // no request waits for one.
    while vm.now() < until && !vm.store_lost.get() {
        let proof = vm.proof_received.notified();
        vm.proof_requested.notify_one();
        let left = until.since(vm.now()).duration();
        let _ = tokio::time::timeout(left, proof).await;
        if is_enough(vm) {
            return true;
        }
    }
    false
}

/// Dispatches an admitted request and builds the caller's response.
async fn forward(job: Job) -> HttpResponse {
    let vm = job.vm.clone();
    match dispatch::run(&job).await {
        Reply::Complete(complete) => {
            let (head, body) = *complete;
            relay_response(&head, BoxBody::new(body))
        }
        Reply::Stream(started) => {
            let response = relay_response(&started.head, BoxBody::new(()));
            let body = BodyStream::new(Box::pin(relay::body(job, *started)));
            response.set_body(BoxBody::new(body))
        }
        Reply::Refused(refused) => {
            let mut response = refusal_response(&vm, &refused, job.left(vm.now()));
            if refused.kind == Kind::Unreachable {
                // On a new connection the caller may reach another VM.
                response.head_mut().set_connection_type(ConnectionType::Close);
            }
            response
        }
    }
}

/// Returns a server's response with its status and end-to-end headers unchanged.
fn relay_response(head: &ResponseHead, body: BoxBody) -> HttpResponse {
    let mut response = Response::with_body(head.status, body);
    for (name, value) in header::response_headers(head) {
        response.headers_mut().append(name, value);
    }
    response
}

/// Returns the response for a refusal by this VM; `left` is the caller's remaining time.
fn refusal_response(vm: &Vm, refused: &Refusal, left: Span) -> HttpResponse {
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
        let again = refused.retry_delay.unwrap_or(DEFAULT_RETRY_AFTER).min(Span(left.0 / 3));
        set(RETRY_AFTER, &format!("{:.3}", again.as_secs()));
    }
    response
}
