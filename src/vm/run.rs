//! Starts and stops the tasks and the HTTP server of a VM.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_http::HttpService;
use actix_service::{ServiceFactoryExt, fn_service, map_config};
use actix_web::App;
use actix_web::dev::{AppConfig, ServerHandle};
use actix_web::middleware::from_fn;
use actix_web::rt::net::TcpStream;
use actix_web::web::Data;
use tokio::sync::mpsc;

use super::control::Control;
use super::{Clock, Settings, Vm, bills, config_watch, duty, poison, ratings, stall};
use crate::client::stream::{REFUSAL_LINGER, limit_socket_buffers};
use crate::client::{Stream as Client, Table as Clients};
use crate::engine::client::EngineClient;
use crate::entry;
use crate::error::Error;
use crate::history::{Event, Sink};
use crate::ledger::Buffer;
use crate::once::ShardOwner;
use crate::peer::{Gossip, Links, Member, State};
use crate::platform::{RatingClient, Store};
use crate::unit::{Incarnation, Moment};

/// Length of the queue of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 4096;

/// Maximum number of connections of callers per worker thread.
const MAX_WORKER_CONNECTIONS: usize = 20_000;

/// Time within which a caller must send the head of a request. It is longer than any suspension
/// that a VM resumes from, since the HTTP library counts suspended time as the caller's.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two checks for clients that were closed.
const EVICTION_LOG_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two checks, during a planned stop, if all requests have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time that open connections get after a planned stop, in seconds.
const SHUTDOWN_TIMEOUT_SECS: u64 = 1;

/// Handle to a VM whose control thread is this thread.
pub struct Handle {
    /// The VM.
    pub vm: Arc<Vm>,
    /// The address on which it serves callers.
    pub address: SocketAddr,
    control: Control,
    server: ServerHandle,
}

/// Starts a VM on this thread, which must have an `actix` system.
///
/// # Errors
/// If an address cannot be bound.
pub fn start(settings: Settings, history: Sink) -> Result<Handle, Error> {
    let clock = Clock::default();
    let bind_error = |e: std::io::Error| Error::Bind(settings.listen.to_string(), e.to_string());
    let listener = TcpListener::bind(settings.listen).map_err(bind_error)?;
    let address = listener.local_addr().map_err(bind_error)?;
    let (to_control, incoming) = mpsc::unbounded_channel();
    let links = Links::bind(settings.peer, settings.fleet_key.bytes(), to_control)?;
    let own_member = Member {
        vm: settings.vm.clone(),
        address: links.address().unwrap_or(settings.peer),
        data_centre: settings.data_centre.clone(),
        incarnation: Incarnation(clock.date().0),
        refutations: 0,
        state: State::Alive,
    };
    let (command_sender, commands) = mpsc::unbounded_channel();
    let gossip = Gossip::new(own_member, clock.now());
    let vm = Arc::new(Vm::new(settings, clock, gossip, history, command_sender));
    let store = Store::new(vm.settings.platform);
    let (bill_queue, bills) = mpsc::unbounded_channel();
    let control = Control {
        vm: vm.clone(),
        links,
        owner: ShardOwner::start(&store, clock),
        store,
        unflushed: Rc::new(RefCell::new(Buffer::new(vm.origin()))),
        bill_queue,
        ratings: vm.settings.rating_service.map(RatingClient::new),
        engines: EngineClient::new(),
    };
    actix_web::rt::spawn(control.clone().run(incoming, commands));
    actix_web::rt::spawn(control.clone().join());
    actix_web::rt::spawn(bills::replicate_bills(control.clone(), bills));
    actix_web::rt::spawn(bills::flush_periodically(control.clone()));
    actix_web::rt::spawn(bills::flush_orphaned(control.clone()));
    actix_web::rt::spawn(config_watch::watch_root(control.clone()));
    actix_web::rt::spawn(duty::probe_servers(control.clone()));
    actix_web::rt::spawn(duty::step_rollouts(control.clone()));
    actix_web::rt::spawn(duty::monitor_versions(control.clone()));
    actix_web::rt::spawn(duty::update_policies(control.clone()));
    actix_web::rt::spawn(ratings::exchange(control.clone()));
    actix_web::rt::spawn(poison::send_reminders(control.clone()));
    actix_web::rt::spawn(stall::watch(control.clone()));
    actix_web::rt::spawn(log_evictions(vm.clients.clone()));
    let server = serve_http(vm.clone(), listener)?;
    log::info!("{} {} listening for callers on {address}", vm.settings.vm, vm.incarnation);
    Ok(Handle { vm, address, control, server })
}

/// Starts the HTTP server for callers.
fn serve_http(vm: Arc<Vm>, listener: TcpListener) -> Result<ServerHandle, Error> {
    let address = vm.settings.listen.to_string();
    limit_socket_buffers(&listener, &vm.clients);
    let workers = vm.settings.workers;
    let serve = move || {
        let engines = Data::new(EngineClient::new());
        let vm = Data::from(vm.clone());
        let clients = vm.clients.clone();
        let app = App::new()
            .app_data(vm.clone())
            .app_data(engines)
            .wrap(from_fn(entry::account_for))
            .configure(|app| entry::routes(&vm, app));
        let http = HttpService::build()
            .client_request_timeout(REQUEST_HEAD_TIMEOUT)
            .client_disconnect_timeout(REFUSAL_LINGER)
            .on_connect_ext(|client: &Client, data| _ = data.insert(client.account()))
            .h1(map_config(app, |()| AppConfig::default()))
            .map_err(|_| ());
        fn_service(move |stream: TcpStream| {
            let client = accept(stream, &clients);
            async move { client.ok_or(()) }
        })
        .and_then(http)
    };
    let server = actix_server::Server::build()
        .workers(workers)
        .backlog(LISTEN_BACKLOG)
        .max_concurrent_connections(MAX_WORKER_CONNECTIONS)
        .disable_signals()
        .shutdown_timeout(SHUTDOWN_TIMEOUT_SECS)
        .listen("callers", listener, serve)
        .map_err(|error| Error::Bind(address, error.to_string()))?
        .run();
    let handle = server.handle();
    actix_web::rt::spawn(server);
    Ok(handle)
}

/// Logs the clients that were closed to make room for others, until the process ends.
async fn log_evictions(clients: Clients) {
    loop {
        tokio::time::sleep(EVICTION_LOG_INTERVAL).await;
        for eviction in clients.take_evictions() {
            let (used, open) = clients.usage();
            log::info!(
                "client {} closed to make room: {}, held {}, stalled {}; {open} clients hold {used}",
                eviction.id,
                eviction.stage.name(),
                eviction.held,
                eviction.stalled
            );
        }
    }
}

/// Adds a connection to the clients of the VM; `None` if there is no room for it.
fn accept(stream: TcpStream, clients: &Clients) -> Option<(Client, Option<SocketAddr>)> {
    let address = stream.peer_addr().ok();
    // Without it, a small frame waits for an acknowledgement.
    let _ = stream.set_nodelay(true);
    Some((Client::new(stream, clients)?, address))
}

impl Handle {
    /// Stops the VM as planned: refuses new work, waits for running requests, writes bills and
    /// releases keys, and leaves the fleet.
    ///
    /// Returns the number of requests that were still running when the time limit was reached.
    pub async fn stop(self) -> usize {
        let vm = &self.vm;
        vm.history.record(|| Event::Stopping { vm: vm.settings.vm.clone() });
        log::info!("{} {} planned stop started", vm.settings.vm, vm.incarnation);
        vm.stopping.store(true, Ordering::SeqCst);
        let until = vm.clock.now() + vm.settings.stop_within;
        while vm.in_flight.load(Ordering::SeqCst) > 0 && vm.clock.now() < until {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
        let cut = vm.in_flight.load(Ordering::SeqCst);
        self.control.leave().await;
        self.server.stop(true).await;
        self.control.links.close();
        cut
    }

    /// Stops the VM at once, as in a crash: nothing is written or announced.
    pub fn kill(self) {
        self.vm.history.record(|| Event::Killed { vm: self.vm.settings.vm.clone() });
        self.vm.set_start_lease_until(Moment(0));
        drop(self.server.stop(false));
        self.control.links.close();
    }

    /// Returns the VM's transport to other VMs, for fault injection in tests.
    pub fn links(&self) -> &Links {
        &self.control.links
    }
}
