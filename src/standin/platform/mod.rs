//! Stand-in of the platform's object store: kinds of objects, conditional writes, watches over a
//! history of changes, and the lagging list of VMs as one of the kinds.

mod state;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::web::{Bytes, Data, Json, Path, Query, ServiceConfig};
use actix_web::{HttpResponse, HttpResponseBuilder, web};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::Notify;

use super::{Running, launch};
use crate::error::Error;
use crate::history::Sink;
use crate::unit::{DataCentre, Vm};
pub use state::Snapshot;
use state::{Object, ROOT, State, confirmed};

/// The kind of the objects that list the VMs.
const VMS: &str = "vms";

/// Names the store's era on each answer.
const ERA: &str = "Store-Era";

/// Largest value of an object.
const LARGEST: usize = 1_048_576;

/// Longest that a watch waits.
const LONGEST_WATCH: Duration = Duration::from_secs(30);

/// Objects on one page of a list.
const PAGE: usize = 500;

/// A late write takes effect after this.
const LATE: Duration = Duration::from_secs(1);

/// What the stand-in does wrong on request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Switches {
    /// Answers nothing but 503.
    pub down: bool,
    /// Waits this long before each answer, in milliseconds.
    pub slow_ms: u64,
    /// So many coming writes take effect and are then answered by a cut connection.
    pub lose: u32,
    /// So many coming writes get no answer and take effect a second later, if their condition
    /// still holds.
    pub late: u32,
    /// Answers nothing but 429.
    pub busy: bool,
    /// Watches never report a change.
    pub quiet: bool,
    /// What answers name as the era, if not the true one; nothing if it is empty.
    pub era: Option<String>,
}

/// Calls since the start.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Calls {
    /// Reads and lists, those that may be old apart.
    pub reads: u64,
    /// Reads and lists that may be some seconds old, which cost a tenth.
    pub stale: u64,
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
        let state = State::new(rates);
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
        let mut state = self.lock();
        let old: Vec<String> = state.names(VMS);
        for name in old.iter().filter(|name| !listed.iter().any(|one| one.vm.as_str() == **name)) {
            state.delete(VMS, name);
        }
        for one in listed {
            let spec = serde_json::to_value(&one).expect("an entry is plain data");
            state.write(VMS, one.vm.as_str(), |object| object.spec = spec);
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// The values of all objects whose key, kind and name with `/` between, begins so.
    pub fn bodies(&self, prefix: &str) -> Vec<(String, Bytes)> {
        let state = self.lock();
        let keys = state.objects.iter().map(|((kind, name), object)| {
            (format!("{kind}/{}", name.replace('~', "/")), Bytes::from(object.spec.to_string()))
        });
        keys.filter(|(key, _)| key.starts_with(prefix)).collect()
    }

    /// Writes an object as its owner does, whatever the switches; its revision.
    pub fn put(&self, kind: &str, name: &str, spec: Value) -> u64 {
        let revision = self.lock().write(kind, name, |object| object.spec = spec);
        self.changed.notify_waiters();
        revision
    }

    /// Deletes an object as its owner does, whatever the switches.
    pub fn remove(&self, kind: &str, name: &str) {
        self.lock().delete(kind, name);
        self.changed.notify_waiters();
    }

    /// The status of an object.
    pub fn status(&self, kind: &str, name: &str) -> Value {
        let state = self.lock();
        let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
        object.map(|object| object.status.clone()).unwrap_or_default()
    }

    /// Writes the status of an object, whatever the switches.
    pub fn set_status(&self, kind: &str, name: &str, status: Value) {
        self.lock().write(kind, name, |object| object.status = status);
        self.changed.notify_waiters();
    }

    /// Forgets all changes so far, so that watches from before them are answered 410.
    pub fn forget(&self) {
        let mut state = self.lock();
        state.changes.clear();
        state.forgotten = state.clock;
        drop(state);
        self.changed.notify_waiters();
    }

    /// A copy of all objects as they stand.
    pub fn snapshot(&self) -> Snapshot {
        self.lock().snapshot()
    }

    /// Restores all objects from a copy: revisions go back to that of the copy, and a new era begins.
    pub fn restore(&self, snapshot: Snapshot) {
        self.lock().restore(snapshot);
        self.changed.notify_waiters();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no panic while held")
    }

    fn routes(&self, app: &mut ServiceConfig) {
        app.app_data(Data::new(self.clone()))
            .app_data(web::PayloadConfig::new(LARGEST + 1))
            .app_data(web::JsonConfig::default().limit(LARGEST + 1))
            .route("/v1/objects/{kind}", web::get().to(list_or_watch))
            .route("/v1/objects/{kind}", web::post().to(create))
            .route("/v1/objects/{kind}/{name}", web::get().to(get))
            .route("/v1/objects/{kind}/{name}", web::put().to(replace))
            .route("/v1/objects/{kind}/{name}", web::delete().to(delete))
            .route("/v1/objects/{kind}/{name}/status", web::put().to(replace_status))
            .route("/calls", web::get().to(calls))
            .route("/switches", web::put().to(set_switches));
    }

    /// Counts a call and says what stops it, if anything.
    async fn enter(&self, write: bool) -> Option<HttpResponse> {
        let (switches, within) = {
            let mut state = self.lock();
            let bucket = if write { &mut state.writes } else { &mut state.reads };
            let within = bucket.take(Instant::now());
            match (within, write) {
                (false, _) => state.calls.refused += 1,
                (_, true) => state.calls.writes += 1,
                (_, false) => state.calls.reads += 1,
            }
            (state.switches.clone(), within)
        };
        let stopped = self.stopped(&switches).await;
        stopped.or_else(|| (!within).then(|| self.refuse(HttpResponse::TooManyRequests())))
    }

    /// The same for a read; one that may be old falls outside the rate.
    async fn enter_read(&self, may_be_old: bool) -> Option<HttpResponse> {
        if !may_be_old {
            return self.enter(false).await;
        }
        let switches = {
            let mut state = self.lock();
            state.calls.stale += 1;
            state.switches.clone()
        };
        self.stopped(&switches).await
    }

    /// What the switches answer in place of the store, after the time that they take.
    async fn stopped(&self, switches: &Switches) -> Option<HttpResponse> {
        if switches.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(switches.slow_ms)).await;
        }
        if switches.down {
            return Some(self.refuse(HttpResponse::ServiceUnavailable()));
        }
        switches.busy.then(|| self.refuse(HttpResponse::TooManyRequests()))
    }

    fn refuse(&self, answer: HttpResponseBuilder) -> HttpResponse {
        in_era(&self.lock(), answer).finish()
    }

    /// Does a write, unless a switch delays it, and answers it, unless a switch loses the answer.
    async fn written(&self, write: impl Fn(&mut State) -> Result<Value, Failure>) -> HttpResponse {
        let (late, lose) = {
            let mut state = self.lock();
            let late = take_one(&mut state.switches.late);
            (late, !late && take_one(&mut state.switches.lose))
        };
        if late {
            tokio::time::sleep(LATE).await;
        }
        let mut state = self.lock();
        let written = write(&mut state);
        self.changed.notify_waiters();
        if late || lose {
            return cut();
        }
        match written {
            Ok(object) => in_era(&state, HttpResponse::Ok()).json(object),
            Err(Failure::Conflict(object)) => in_era(&state, HttpResponse::Conflict()).json(object),
            Err(Failure::Missing) => in_era(&state, HttpResponse::NotFound()).finish(),
        }
    }
}

/// Why a write did nothing.
enum Failure {
    /// The object stands otherwise, like this.
    Conflict(Value),
    /// There is no such object.
    Missing,
}

/// An answer that names the era of the state from which it is made.
fn in_era(state: &State, mut answer: HttpResponseBuilder) -> HttpResponseBuilder {
    let era = state.switches.era.clone().unwrap_or_else(|| state.era.to_string());
    if !era.is_empty() {
        answer.insert_header((ERA, era));
    }
    answer
}

fn take_one(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}

/// An answer that breaks off before its end.
fn cut() -> HttpResponse {
    let broken = futures_util::stream::once(async {
        Err::<Bytes, std::io::Error>(std::io::ErrorKind::ConnectionReset.into())
    });
    HttpResponse::Ok().streaming(broken)
}

#[derive(Deserialize)]
struct Asked {
    watch: Option<u64>,
    wait_ms: Option<u64>,
    /// The name after which a list goes on.
    since_revision: Option<String>,
    /// 1 if the answer may be some seconds old.
    stale_ok: Option<u8>,
}

impl Asked {
    fn may_be_old(&self) -> bool {
        self.stale_ok == Some(1)
    }
}

async fn list_or_watch(
    platform: Data<Platform>,
    kind: Path<String>,
    asked: Query<Asked>,
) -> HttpResponse {
    if let Some(stop) = platform.enter_read(asked.may_be_old()).await {
        return stop;
    }
    match asked.watch {
        Some(after) => watch(&platform, &kind, after, asked.wait_ms).await,
        None => page(&platform, &kind, asked.since_revision.as_deref().unwrap_or_default()),
    }
}

fn page(platform: &Platform, kind: &str, after: &str) -> HttpResponse {
    let state = platform.lock();
    let mut found = state
        .objects
        .iter()
        .filter(|((of, name), _)| of == kind && name.as_str() > after)
        .map(|((_, name), object)| object.shown(name));
    let items: Vec<Value> = found.by_ref().take(PAGE).collect();
    let has_more = found.next().is_some();
    let revision = state.clock;
    let list = json!({"items": items, "has_more": has_more, "store_revision": revision});
    in_era(&state, HttpResponse::Ok()).json(list)
}

async fn watch(platform: &Platform, kind: &str, after: u64, wait_ms: Option<u64>) -> HttpResponse {
    platform.lock().calls.watches += 1;
    let wait = Duration::from_millis(wait_ms.unwrap_or(1000)).min(LONGEST_WATCH);
    let until = tokio::time::Instant::now() + wait;
    loop {
        let changed = platform.changed.notified();
        {
            let state = platform.lock();
            if state.switches.down {
                return in_era(&state, HttpResponse::ServiceUnavailable()).finish();
            }
            let is_ahead = after > state.clock && !state.switches.quiet;
            if after < state.forgotten || is_ahead {
                return in_era(&state, HttpResponse::Gone()).finish();
            }
            let events = state.events(kind, after);
            let waited = tokio::time::Instant::now() >= until;
            if waited || (!events.is_empty() && !state.switches.quiet) {
                let events = if state.switches.quiet { Vec::new() } else { events };
                let revision = if state.switches.quiet { after } else { state.clock };
                return in_era(&state, HttpResponse::Ok())
                    .json(json!({"events": events, "store_revision": revision}));
            }
        }
        // Whether it was a change or the time, the next round tells.
        let _ = tokio::time::timeout_at(until, changed).await;
    }
}

async fn get(
    platform: Data<Platform>,
    path: Path<(String, String)>,
    asked: Query<Asked>,
) -> HttpResponse {
    if let Some(stop) = platform.enter_read(asked.may_be_old()).await {
        return stop;
    }
    let (kind, name) = path.into_inner();
    let state = platform.lock();
    match state.get(&kind, &name) {
        Some(object) => in_era(&state, HttpResponse::Ok()).json(object.shown(&name)),
        None => in_era(&state, HttpResponse::NotFound()).finish(),
    }
}

#[derive(Default, Deserialize)]
struct Body {
    #[serde(default)]
    metadata: Metadata,
    #[serde(default)]
    spec: Value,
    #[serde(default)]
    status: Value,
}

#[derive(Default, Deserialize)]
struct Metadata {
    name: Option<String>,
    revision: Option<u64>,
}

async fn create(platform: Data<Platform>, kind: Path<String>, body: Json<Body>) -> HttpResponse {
    if let Some(stop) = platform.enter(true).await {
        return stop;
    }
    let Some(name) = body.metadata.name.clone() else {
        return HttpResponse::BadRequest().finish();
    };
    let write = |state: &mut State| {
        if let Some(object) = state.get(&kind, &name) {
            return Err(Failure::Conflict(object.shown(&name)));
        }
        Ok(platform.change(state, &kind, &name, |object| object.spec = body.spec.clone()))
    };
    platform.written(write).await
}

async fn replace(
    platform: Data<Platform>,
    path: Path<(String, String)>,
    body: Json<Body>,
) -> HttpResponse {
    change(&platform, &path, &body, |object| object.spec = body.spec.clone()).await
}

async fn replace_status(
    platform: Data<Platform>,
    path: Path<(String, String)>,
    body: Json<Body>,
) -> HttpResponse {
    change(&platform, &path, &body, |object| object.status = body.status.clone()).await
}

async fn change(
    platform: &Data<Platform>,
    (kind, name): &(String, String),
    body: &Body,
    change: impl Fn(&mut Object),
) -> HttpResponse {
    if let Some(stop) = platform.enter(true).await {
        return stop;
    }
    let write = |state: &mut State| {
        let object = state.get(kind, name).ok_or(Failure::Missing)?;
        if body.metadata.revision.is_some_and(|revision| revision != object.revision) {
            return Err(Failure::Conflict(object.shown(name)));
        }
        Ok(platform.change(state, kind, name, &change))
    };
    platform.written(write).await
}

async fn delete(platform: Data<Platform>, path: Path<(String, String)>) -> HttpResponse {
    if let Some(stop) = platform.enter(true).await {
        return stop;
    }
    let (kind, name) = path.into_inner();
    let write = |state: &mut State| {
        let object = state.get(&kind, &name).ok_or(Failure::Missing)?.shown(&name);
        state.delete(&kind, &name);
        Ok(object)
    };
    platform.written(write).await
}

impl Platform {
    /// Changes an object and notes a new root in the history.
    fn change(
        &self,
        state: &mut State,
        kind: &str,
        name: &str,
        change: impl FnOnce(&mut Object),
    ) -> Value {
        state.write(kind, name, change);
        if (kind, name) == ROOT {
            self.history.record(|| confirmed(state));
        }
        state.get(kind, name).map(|object| object.shown(name)).unwrap_or_default()
    }
}

async fn calls(platform: Data<Platform>) -> HttpResponse {
    HttpResponse::Ok().json(platform.calls())
}

async fn set_switches(platform: Data<Platform>, switches: Json<Switches>) -> HttpResponse {
    platform.switch(switches.into_inner());
    HttpResponse::Ok().finish()
}
