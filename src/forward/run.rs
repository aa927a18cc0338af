//! Starts the tasks of an entry VM, and stops it on a signal.

use std::rc::Rc;
use std::time::Duration;

use actix_web::rt::signal::unix::{SignalKind, signal};
use actix_web::rt::spawn;

use super::kind::Kind;
use super::settings::Settings;
use super::vm::Vm;
use super::{
    connectivity, duty, follower, lending, listener, peer, pinned_sessions, places, poison, proof,
    restore, rollout_steps, store_watch, suspension, tunnel, usage,
};
use crate::error::Error;
use crate::platform;
use crate::unit::Span;
use crate::vm::Clock;
use crate::watch::log::{Logger, Value};

/// Time between two flushes of the log lines.
const LOG_FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time that a planned stop goes on serving requests: the balancer notices that a VM is not
/// ready after two health checks, a second apart.
const READINESS_NOTICE_TIME: Span = Span::millis(2500);

/// Time between two log lines with the counts of calls to the store.
const STORE_CALLS_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Time between two log lines with what a VM that has just started lacks.
const MISSING_STATE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of the checks during a planned stop that all requests have ended.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs an entry VM until SIGTERM or SIGINT.
///
/// # Errors
/// Fails if a listen address cannot be bound.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let callers = listener::bind(settings.callers)?;
    let readiness = listener::bind(settings.readiness)?;
    let metrics = settings.metrics.map(listener::bind).transpose()?;
    let lines = Logger::to_stdout();
    let vm = Rc::new(Vm::new(settings, Clock::default(), lines));
    log_start(&vm);
    for kind in Kind::ALL {
        spawn(store_watch::watch_kind(vm.clone(), kind));
    }
    spawn(proof::run(vm.clone()));
    spawn(restore::run(vm.clone()));
    spawn(restore::accept_after_grace(vm.clone()));
    spawn(restore::broadcast_disputes(vm.clone()));
    spawn(store_watch::expire_servers(vm.clone()));
    spawn(connectivity::run(vm.clone()));
    spawn(tunnel::run(vm.clone()));
    spawn(places::lending::run(vm.clone()));
    spawn(rollout_steps::run(vm.clone()));
    spawn(pinned_sessions::run(vm.clone()));
    spawn(suspension::run(vm.clone()));
    spawn(usage::run(vm.clone()));
    spawn(lending::run(vm.clone()));
    spawn(duty::run(vm.clone()));
    spawn(peer::run(vm.clone()));
    spawn(follower::run(vm.clone()));
    spawn(listener::serve_callers(vm.clone(), callers));
    spawn(listener::serve_readiness(vm.clone(), readiness));
    if let Some(listener) = metrics {
        spawn(listener::serve_metrics(vm.clone(), listener));
    }
    spawn(log_store_calls(vm.clone()));
    spawn(log_missing_state(vm.clone()));
    spawn(flush_log_lines(vm.clone()));
    spawn(log_settings_changes(vm.clone()));
    stop_signal().await;
    stop(&vm).await;
    Ok(())
}

fn log_start(vm: &Vm) {
    let settings = &vm.settings;
    let (callers, store) = (settings.callers.to_string(), settings.store.to_string());
    let fields = [
        ("vm", settings.vm.as_str().into()),
        ("data_centre", settings.data_centre.as_str().into()),
        ("callers", callers.as_str().into()),
        ("store", store.as_str().into()),
        ("version", env!("CARGO_PKG_VERSION").into()),
    ];
    vm.log("start", &fields);
}

/// Logs what this VM still lacks to serve, until it has it.
async fn log_missing_state(vm: Rc<Vm>) {
    loop {
        tokio::time::sleep(MISSING_STATE_LOG_INTERVAL).await;
        let missing = vm.missing_state();
        if missing.is_empty() {
            return;
        }
        let (missing, role) = (missing.join(","), format!("{:?}", *vm.role.borrow()));
        let fields = [
            ("missing", missing.as_str().into()),
            ("role", role.as_str().into()),
            ("has_links", vm.peers.borrow().links().is_some().into()),
            ("store_lost", vm.store_lost.get().into()),
        ];
        vm.log("waits for its state", &fields);
    }
}

/// Logs the total calls to the store, by call and outcome, whenever there were more.
async fn log_store_calls(vm: Rc<Vm>) {
    let mut logged = 0;
    loop {
        tokio::time::sleep(STORE_CALLS_LOG_INTERVAL).await;
        poison::expire(&vm);
        let calls = vm.metrics.calls();
        let all = calls.iter().map(|(_, count)| count).sum();
        if all != logged {
            logged = all;
            log_store_call_counts(&vm, &calls);
        }
    }
}

/// Logs the total calls to the store, by call and outcome.
fn log_store_call_counts(vm: &Vm, calls: &[(String, u64)]) {
    let fields: Vec<(&str, Value)> =
        calls.iter().map(|(name, count)| (name.as_str(), (*count).into())).collect();
    vm.log("store calls", &fields);
}

async fn flush_log_lines(vm: Rc<Vm>) {
    loop {
        tokio::time::sleep(LOG_FLUSH_INTERVAL).await;
        log_evictions(&vm);
        vm.logger.flush();
    }
}

/// Logs the clients that were closed to make room for others.
fn log_evictions(vm: &Vm) {
    for eviction in vm.clients.take_evictions() {
        let (used, open) = vm.clients.usage();
        let client = eviction.id.to_string();
        let fields = [
            ("client", client.as_str().into()),
            ("stage", eviction.stage.name().into()),
            ("held_bytes", eviction.held.0.into()),
            ("stalled_ms", eviction.stalled.as_millis().into()),
            ("used_bytes", used.0.into()),
            ("clients", open.into()),
        ];
        vm.log("client closed to make room", &fields);
    }
}

/// Reads the settings file again at each SIGHUP. Addresses can't change while the process runs, so
/// a changed store address is only logged.
async fn log_settings_changes(vm: Rc<Vm>) {
    let mut hangups = signal(SignalKind::hangup()).expect("signal handlers can be installed");
    while hangups.recv().await.is_some() {
        let outcome = match platform::settings::from_environment() {
            Ok(read) if read.store == vm.settings.store => {
                "no change that needs a restart".to_owned()
            }
            Ok(_) => "the store's address changed; restart to apply it".to_owned(),
            Err(fault) => fault.to_string(),
        };
        vm.log("settings read again", &[("outcome", outcome.as_str().into())]);
    }
}

async fn stop_signal() {
    let mut terminate = signal(SignalKind::terminate()).expect("signal handlers can be installed");
    let mut interrupt = signal(SignalKind::interrupt()).expect("signal handlers can be installed");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Runs a planned stop: the VM is no longer ready, serves its open connections, and returns once
/// they are idle or the time is up.
async fn stop(vm: &Rc<Vm>) {
    let started = vm.now();
    vm.stopping_since.send_replace(Some(started));
    vm.log("stop started", &[("running", vm.running.get().into())]);
    tunnel::withdraw(vm);
    let latest = vm.stop_ends_at(started);
    let earliest = started + READINESS_NOTICE_TIME;
    let mut was_idle = false;
    loop {
        let now = vm.now();
        let is_serving =
            vm.running.get() > 0 || vm.tunnels_relayed.get() > 0 || vm.clients.is_responding();
        let idle = now >= earliest && !is_serving;
        // A request may still arrive on an open connection, so the VM must be idle at two checks in
        // a row; nothing runs between the second one and the end of the process.
        if now >= latest || (idle && was_idle) {
            break;
        }
        if idle {
            peer::broadcast(vm, &peer::Message::Goodbye);
        }
        was_idle = idle;
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
    }
    usage::send_own_counts(vm);
    if !was_idle {
        peer::broadcast(vm, &peer::Message::Goodbye);
    }
    if !was_idle || vm.usage.is_some() {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
    }
    let took = vm.now().since(started).as_millis();
    log_store_call_counts(vm, &vm.metrics.calls());
    vm.log("stop", &[("cut_off", vm.running.get().into()), ("took_ms", took.into())]);
    vm.logger.flush();
}
