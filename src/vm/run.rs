//! Starts a VM's tasks and its door, and stops them.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::web::Data;
use actix_web::{App, HttpServer};
use tokio::sync::mpsc;

use super::control::Control;
use super::{Clock, Settings, Vm, bills, duty, poison, ratings, spread};
use crate::engine::client::Engines;
use crate::entry;
use crate::error::Error;
use crate::history::{Event, Sink};
use crate::ledger::Book;
use crate::once::Owner;
use crate::peer::{Gossip, Links, Member, State};
use crate::platform::{Ratings, Store};
use crate::unit::{Incarnation, Moment};

/// Connections that may wait to be taken.
const BACKLOG: u32 = 4096;

/// Connections of one worker.
const CONNECTIONS: usize = 20_000;

/// A caller's request head must come within this; longer than pauses that a VM wakes from, since the
/// library counts them as the caller's.
const HEAD_WITHIN: Duration = Duration::from_secs(60);

/// Time between two looks whether the last request has ended.
const LOOK: Duration = Duration::from_millis(20);

/// After a planned stop, connections that are idle get this long, in seconds.
const IDLE_SECS: u64 = 1;

/// A VM that runs on this thread.
pub struct Handle {
    /// The VM.
    pub vm: Arc<Vm>,
    /// Where callers reach it.
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
    let fault = |e: std::io::Error| Error::Bind(settings.listen.to_string(), e.to_string());
    let listener = TcpListener::bind(settings.listen).map_err(fault)?;
    let address = listener.local_addr().map_err(fault)?;
    let (to_control, incoming) = mpsc::unbounded_channel();
    let links = Links::bind(settings.peer, settings.fleet_key.bytes(), to_control)?;
    let me = Member {
        vm: settings.vm.clone(),
        address: links.address().unwrap_or(settings.peer),
        data_centre: settings.data_centre.clone(),
        incarnation: Incarnation(clock.date().0),
        refutations: 0,
        state: State::Alive,
    };
    let (errands, asked) = mpsc::unbounded_channel();
    let gossip = Gossip::new(me, clock.now());
    let vm = Arc::new(Vm::new(settings, clock, gossip, history, errands));
    let store = Store::new(vm.settings.platform);
    let (bill, billed) = mpsc::unbounded_channel();
    let control = Control {
        vm: vm.clone(),
        links,
        owner: Owner::start(&store, clock),
        store,
        book: Rc::new(RefCell::new(Book::new(vm.origin()))),
        bills: bill,
        ratings: vm.settings.rating.map(Ratings::new),
        engines: Engines::new(),
    };
    actix_web::rt::spawn(control.clone().run(incoming, asked));
    actix_web::rt::spawn(control.clone().greet());
    actix_web::rt::spawn(bills::stand(control.clone(), billed));
    actix_web::rt::spawn(bills::keep(control.clone()));
    actix_web::rt::spawn(bills::finish(control.clone()));
    actix_web::rt::spawn(spread::watch(control.clone()));
    actix_web::rt::spawn(duty::look_in_turn(control.clone()));
    actix_web::rt::spawn(duty::step_rollouts(control.clone()));
    actix_web::rt::spawn(duty::watch_service(control.clone()));
    actix_web::rt::spawn(duty::learn(control.clone()));
    actix_web::rt::spawn(ratings::exchange(control.clone()));
    actix_web::rt::spawn(poison::remind(control.clone()));
    let server = door(vm.clone(), listener)?;
    log::info!("{} {} serves callers at {address}", vm.settings.vm, vm.incarnation);
    Ok(Handle { vm, address, control, server })
}

fn door(vm: Arc<Vm>, listener: TcpListener) -> Result<ServerHandle, Error> {
    let address = vm.settings.listen.to_string();
    let workers = vm.settings.workers;
    let app = move || {
        let engines = Data::new(Engines::new());
        let vm = Data::from(vm.clone());
        App::new().app_data(vm.clone()).app_data(engines).configure(|app| entry::routes(&vm, app))
    };
    let server = HttpServer::new(app)
        .on_connect(crate::standin::no_delay)
        .client_request_timeout(HEAD_WITHIN)
        .workers(workers)
        .backlog(BACKLOG)
        .max_connections(CONNECTIONS)
        .disable_signals()
        .shutdown_timeout(IDLE_SECS)
        .listen(listener)
        .map_err(|fault| Error::Bind(address, fault.to_string()))?
        .run();
    let handle = server.handle();
    actix_web::rt::spawn(server);
    Ok(handle)
}

impl Handle {
    /// A planned stop: refuse new work, finish what runs, hand over, leave.
    ///
    /// Returns the requests that were still running when the time was up.
    pub async fn stop(self) -> usize {
        let vm = &self.vm;
        vm.history.record(|| Event::Stopping { vm: vm.settings.vm.clone() });
        log::info!("{} {} stops as planned", vm.settings.vm, vm.incarnation);
        vm.stopping.store(true, Ordering::SeqCst);
        let until = vm.clock.now() + vm.settings.stop_within;
        while vm.running.load(Ordering::SeqCst) > 0 && vm.clock.now() < until {
            tokio::time::sleep(LOOK).await;
        }
        let cut = vm.running.load(Ordering::SeqCst);
        self.control.leave().await;
        self.server.stop(true).await;
        self.control.links.close();
        cut
    }

    /// Ends at once, as a crash would: nothing is handed over.
    pub fn kill(self) {
        self.vm.history.record(|| Event::Killed { vm: self.vm.settings.vm.clone() });
        self.vm.set_permit(Moment(0));
        drop(self.server.stop(false));
        self.control.links.close();
    }

    /// The VM's links, for faults in tests.
    pub fn links(&self) -> &Links {
        &self.control.links
    }
}
