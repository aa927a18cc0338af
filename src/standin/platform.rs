//! Stand-in of the platform: versioned objects, watches and the lagging list of VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::web::{Bytes, Data, Json, Path, Query, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse, web};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::Notify;

use super::{Running, launch};
use crate::error::Error;
use crate::history::{Event, Sink};
use crate::unit::{DataCentre, Revision, Target, Vm, Workspace};

/// The object whose changes go to the history.
const ROOT: &str = "config/root";

/// Largest value of an object.
const LARGEST: usize = 1_000_000;

/// Longest that a watch waits.
const LONGEST_WATCH: Duration = Duration::from_secs(30);

/// What the stand-in does wrong on request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Switches {
    /// Answers nothing but 503.
    pub down: bool,
    /// Waits this long before each answer, in milliseconds.
    pub slow_ms: u64,
    /// So many coming writes take effect and are then answered by 503.
    pub lose: u32,
    /// Watches never report a change.
    pub quiet: bool,
}

/// Calls since the start.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Calls {
    /// Reads and lists.
    pub reads: u64,
    /// Watches.
    pub watches: u64,
    /// Writes.
    pub writes: u64,
    /// Calls refused over the rates.
    pub refused: u64,
}

/// A VM on the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    /// The VM.
    pub vm: Vm,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it is leaving.
    pub leaving: bool,
}

#[derive(Clone)]
struct Object {
    version: u64,
    body: Bytes,
}

/// Writes and reads a second that the stand-in takes.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Writes.
    pub writes: f64,
    /// Reads, watches and lists.
    pub reads: f64,
}

/// The rates that the brief names.
pub const RATES: Rates = Rates { writes: 100.0, reads: 2000.0 };

struct Bucket {
    rate: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    fn take(&mut self, now: Instant) -> bool {
        let gained = now.duration_since(self.at).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.rate);
        self.at = now;
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}

struct State {
    objects: BTreeMap<String, Object>,
    clock: u64,
    switches: Switches,
    calls: Calls,
    listed: Vec<Listed>,
    writes: Bucket,
    reads: Bucket,
}

/// The stand-in, shared by its handlers and whoever embeds it.
#[derive(Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    history: Sink,
}

impl Platform {
    /// A platform that holds nothing yet.
    pub fn new(rates: Rates, history: Sink) -> Platform {
        let bucket = |rate| Bucket { rate, level: rate, at: Instant::now() };
        let state = State {
            objects: BTreeMap::new(),
            clock: 0,
            switches: Switches::default(),
            calls: Calls::default(),
            listed: Vec::new(),
            writes: bucket(rates.writes),
            reads: bucket(rates.reads),
        };
        Platform { state: Arc::new(Mutex::new(state)), changed: Arc::new(Notify::new()), history }
    }

    /// Serves at `address`.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn launch(&self, address: SocketAddr) -> Result<Running, Error> {
        let platform = self.clone();
        launch(address, move |app| platform.routes(app))
    }

    /// Sets the switches.
    pub fn switch(&self, switches: Switches) {
        self.lock().switches = switches;
        self.changed.notify_waiters();
    }

    /// The calls so far.
    pub fn calls(&self) -> Calls {
        self.lock().calls.clone()
    }

    /// Sets the list of VMs.
    pub fn list(&self, listed: Vec<Listed>) {
        self.lock().listed = listed;
    }

    /// The bodies of all objects whose key begins so.
    pub fn bodies(&self, prefix: &str) -> Vec<(String, Bytes)> {
        let state = self.lock();
        let found = state.objects.iter().filter(|(key, _)| key.starts_with(prefix));
        found.map(|(key, object)| (key.clone(), object.body.clone())).collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no panic while held")
    }

    fn routes(&self, app: &mut ServiceConfig) {
        app.app_data(Data::new(self.clone()))
            .app_data(web::PayloadConfig::new(LARGEST + 1))
            .route("/objects/{key:.*}", web::get().to(get))
            .route("/objects/{key:.*}", web::put().to(put))
            .route("/objects/{key:.*}", web::delete().to(delete))
            .route("/list", web::get().to(list))
            .route("/vms", web::get().to(vms))
            .route("/vms", web::put().to(set_vms))
            .route("/calls", web::get().to(calls))
            .route("/switches", web::put().to(set_switches));
    }

    /// Counts a call and says what stops it, if anything.
    async fn enter(&self, write: bool) -> Option<HttpResponse> {
        let (switches, within) = {
            let mut state = self.lock();
            let now = Instant::now();
            let bucket = if write { &mut state.writes } else { &mut state.reads };
            let within = bucket.take(now);
            match (within, write) {
                (false, _) => state.calls.refused += 1,
                (_, true) => state.calls.writes += 1,
                (_, false) => state.calls.reads += 1,
            }
            (state.switches.clone(), within)
        };
        if switches.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(switches.slow_ms)).await;
        }
        if switches.down {
            return Some(HttpResponse::ServiceUnavailable().finish());
        }
        (!within).then(|| HttpResponse::TooManyRequests().finish())
    }

    /// The answer to a write that took effect, which a switch may lose.
    fn written(&self, version: u64) -> HttpResponse {
        self.changed.notify_waiters();
        let mut state = self.lock();
        if state.switches.lose > 0 {
            state.switches.lose -= 1;
            return HttpResponse::ServiceUnavailable().finish();
        }
        HttpResponse::Ok().insert_header(("etag", version.to_string())).finish()
    }
}

#[derive(Deserialize)]
struct Watch {
    after: Option<u64>,
    wait_ms: Option<u64>,
}

async fn get(platform: Data<Platform>, key: Path<String>, watch: Query<Watch>) -> HttpResponse {
    if let Some(stop) = platform.enter(false).await {
        return stop;
    }
    let Some(after) = watch.after else {
        return found(&platform, &key);
    };
    platform.lock().calls.watches += 1;
    let wait = Duration::from_millis(watch.wait_ms.unwrap_or(1000)).min(LONGEST_WATCH);
    let until = tokio::time::Instant::now() + wait;
    loop {
        let changed = platform.changed.notified();
        {
            let state = platform.lock();
            let newer = state.objects.get(key.as_str()).is_some_and(|o| o.version > after);
            if newer && !state.switches.quiet {
                drop(state);
                return found(&platform, &key);
            }
            if state.switches.down {
                return HttpResponse::ServiceUnavailable().finish();
            }
        }
        if tokio::time::timeout_at(until, changed).await.is_err() {
            return HttpResponse::NotModified().finish();
        }
    }
}

fn found(platform: &Platform, key: &str) -> HttpResponse {
    match platform.lock().objects.get(key) {
        Some(object) => HttpResponse::Ok()
            .insert_header(("etag", object.version.to_string()))
            .body(object.body.clone()),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn put(
    platform: Data<Platform>,
    key: Path<String>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    if body.len() > LARGEST {
        return HttpResponse::PayloadTooLarge().finish();
    }
    if let Some(stop) = platform.enter(true).await {
        return stop;
    }
    let version = {
        let mut state = platform.lock();
        let current = state.objects.get(key.as_str()).map(|object| object.version);
        if !condition(&request, current) {
            return HttpResponse::PreconditionFailed().finish();
        }
        state.clock += 1;
        let version = state.clock;
        let is_root = key.as_str() == ROOT;
        state.objects.insert(key.into_inner(), Object { version, body });
        if is_root {
            platform.history.note(|| confirmed(&state));
        }
        version
    };
    platform.written(version)
}

/// What the root that just took effect allows, resolved from the pieces beside it.
fn confirmed(state: &State) -> Event {
    let parse = |key: &str| {
        let object = state.objects.get(key);
        object.and_then(|object| serde_json::from_slice::<Value>(&object.body).ok())
    };
    let root = parse(ROOT).unwrap_or_default();
    let mut allowed: BTreeMap<Workspace, Vec<Target>> = BTreeMap::new();
    for (name, digest) in root["pieces"].as_object().into_iter().flatten() {
        let Some(name) = name.strip_prefix("workspace/") else {
            continue;
        };
        let body = parse(&format!("config/piece/{}", digest.as_str().unwrap_or_default()));
        let versions = body.map(|body| body["versions"].clone()).unwrap_or_default();
        if let Ok(name) = name.parse() {
            allowed.insert(name, serde_json::from_value(versions).unwrap_or_default());
        }
    }
    let withdrawn: Vec<Target> =
        serde_json::from_value(root["withdrawn"].clone()).unwrap_or_default();
    for list in allowed.values_mut() {
        list.retain(|target| !withdrawn.contains(target));
    }
    let revision = Revision(root["revision"].as_u64().unwrap_or_default());
    Event::Confirmed { revision, allowed, withdrawn }
}

async fn delete(platform: Data<Platform>, key: Path<String>) -> HttpResponse {
    if let Some(stop) = platform.enter(true).await {
        return stop;
    }
    platform.lock().objects.remove(key.as_str());
    platform.written(0)
}

fn condition(request: &HttpRequest, current: Option<u64>) -> bool {
    let header = |name| request.headers().get(name).and_then(|value| value.to_str().ok());
    if header("if-none-match") == Some("*") {
        return current.is_none();
    }
    match header("if-match") {
        Some(wanted) => wanted.parse().ok() == current,
        None => true,
    }
}

#[derive(Deserialize)]
struct Prefix {
    prefix: String,
}

async fn list(platform: Data<Platform>, prefix: Query<Prefix>) -> HttpResponse {
    if let Some(stop) = platform.enter(false).await {
        return stop;
    }
    let state = platform.lock();
    let from = state.objects.range(prefix.prefix.clone()..);
    let keys: Vec<&String> =
        from.map(|(key, _)| key).take_while(|key| key.starts_with(&prefix.prefix)).collect();
    HttpResponse::Ok().json(keys)
}

async fn vms(platform: Data<Platform>) -> HttpResponse {
    if let Some(stop) = platform.enter(false).await {
        return stop;
    }
    HttpResponse::Ok().json(&platform.lock().listed)
}

async fn set_vms(platform: Data<Platform>, listed: Json<Vec<Listed>>) -> HttpResponse {
    platform.list(listed.into_inner());
    HttpResponse::Ok().finish()
}

async fn calls(platform: Data<Platform>) -> HttpResponse {
    HttpResponse::Ok().json(platform.calls())
}

async fn set_switches(platform: Data<Platform>, switches: Json<Switches>) -> HttpResponse {
    platform.switch(switches.into_inner());
    HttpResponse::Ok().finish()
}
