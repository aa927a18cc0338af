//! Stand-in for the platform's object store: kinds of objects, conditional writes, watches over a
//! change log. The list of VMs is one of the kinds; it lags behind the VMs.

mod state;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::web::{Bytes, Data, Json, Path, Query, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder, web};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::Notify;

use super::{Instance, launch};
use crate::error::Error;
use crate::history::Sink;
use crate::unit::{DataCentre, Vm};
pub use state::Snapshot;
use state::{Object, ROOT, State, confirmed};

/// Kind of the objects that list the VMs.
const VM_KIND: &str = "vms";

/// Response header with the era of the store, a number that rises with each restore of a backup.
const ERA_HEADER: &str = "Store-Era";

/// Largest body of a write.
const MAX_OBJECT_BYTES: usize = 1_048_576;

/// Longest wait of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Objects per page of a list.
const PAGE_SIZE: usize = 500;

/// Delay after which a late write takes effect.
const LATE_WRITE_DELAY: Duration = Duration::from_secs(1);

/// Injected faults; the JSON body of `PUT /switches`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Switches {
    /// Responds to every call with 503.
    #[serde(rename = "down")]
    pub is_down: bool,
    /// Delay of each response, in milliseconds.
    pub slow_ms: u64,
    /// Number of next writes that take effect but whose connection is reset.
    pub lose: u32,
    /// Number of next writes that get no response and take effect a second later, if their
    /// condition still holds.
    pub late: u32,
    /// Responds to every call with 429.
    #[serde(rename = "busy")]
    pub is_rate_limiting: bool,
    /// Watches report no changes.
    #[serde(rename = "quiet")]
    pub hides_changes: bool,
    /// Responds to every call of a duty with 503.
    pub duties_down: bool,
    /// Era that responses name instead of the true one; an empty one omits the header.
    pub era: Option<String>,
    /// Objects per page of a list; the usual number if none is given.
    pub page_size: Option<usize>,
    /// Kind whose list repeats its first page without end.
    pub repeating_kind: Option<String>,
    /// Kind whose list is refused as malformed.
    pub refused_kind: Option<String>,
}

/// Number of calls since the start; the JSON body of `GET /calls`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Calls {
    /// Reads and lists, except those that allow stale data.
    pub reads: u64,
    /// Reads and lists that allow data some seconds old; the platform charges a tenth for them.
    pub stale: u64,
    /// Watches opened.
    pub watches: u64,
    /// Writes: creations, replacements and deletions.
    pub writes: u64,
    /// Calls refused by the rate limits.
    pub refused: u64,
}

/// A usage report that was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// VM that holds the duty, as the report names it.
    pub holder: String,
    /// Fencing token of the holder.
    pub fence: u64,
    /// Number of the reporting window.
    pub window: u64,
    /// Body of the report.
    pub body: String,
    /// When the report was received.
    pub received_at: Instant,
}

impl UsageReport {
    /// Returns the count of a workspace.
    pub fn count(&self, workspace: &str) -> u64 {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["counts"][workspace].as_u64().unwrap_or_default()
    }
}

/// An entry of the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub vm: Vm,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// True if the VM is shutting down.
    #[serde(rename = "leaving")]
    pub is_leaving: bool,
}

/// Rate limits, in calls per second.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Creations, replacements and deletions.
    pub writes: f64,
    /// Reads, watches and lists.
    pub reads: f64,
}

/// Rate limits of the users' platform.
pub const RATES: Rates = Rates { writes: 100.0, reads: 2000.0 };

/// The store; clones share its state.
#[derive(Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    history: Sink,
}

impl Platform {
    /// Returns an empty store.
    pub fn new(rates: Rates, history: Sink) -> Platform {
        let state = State::new(rates);
        Platform { state: Arc::new(Mutex::new(state)), changed: Arc::new(Notify::new()), history }
    }

    /// Starts the HTTP server on `address`.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn launch(&self, address: SocketAddr) -> Result<Instance, Error> {
        let platform = self.clone();
        launch(address, move |app| platform.routes(app))
    }

    /// Replaces the injected faults.
    pub fn set_switches(&self, switches: Switches) {
        self.lock().switches = switches;
        self.changed.notify_waiters();
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> Calls {
        self.lock().calls.clone()
    }

    /// Returns the usage reports that were accepted so far, in the order of their arrival.
    pub fn usage_reports(&self) -> Vec<UsageReport> {
        self.lock().usage_reports.clone()
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, listed: Vec<VmEntry>) {
        let mut state = self.lock();
        let old: Vec<String> = state.names(VM_KIND);
        for name in old.iter().filter(|name| !listed.iter().any(|one| one.vm.as_str() == **name)) {
            state.delete(VM_KIND, name);
        }
        for one in listed {
            let spec = serde_json::to_value(&one).expect("an entry can be serialised");
            state.write(VM_KIND, one.vm.as_str(), |object| object.spec = spec);
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns key and spec of all objects whose key (`kind/name`, with `~` in the name as `/`)
    /// begins with `prefix`.
    pub fn specs_with_prefix(&self, prefix: &str) -> Vec<(String, Bytes)> {
        let state = self.lock();
        let keys = state.objects.iter().map(|((kind, name), object)| {
            (format!("{kind}/{}", name.replace('~', "/")), Bytes::from(object.spec.to_string()))
        });
        keys.filter(|(key, _)| key.starts_with(prefix)).collect()
    }

    /// Writes the spec of an object, bypassing injected faults, and returns its revision.
    pub fn write_spec(&self, kind: &str, name: &str, spec: Value) -> u64 {
        let revision = self.lock().write(kind, name, |object| object.spec = spec);
        self.changed.notify_waiters();
        revision
    }

    /// Deletes an object, bypassing injected faults.
    pub fn delete_object(&self, kind: &str, name: &str) {
        self.lock().delete(kind, name);
        self.changed.notify_waiters();
    }

    /// Returns the status of an object; null if there is none.
    pub fn status(&self, kind: &str, name: &str) -> Value {
        let state = self.lock();
        let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
        object.map(|object| object.status.clone()).unwrap_or_default()
    }

    /// Writes the status of an object, bypassing injected faults.
    pub fn set_status(&self, kind: &str, name: &str, status: Value) {
        self.lock().write(kind, name, |object| object.status = status);
        self.changed.notify_waiters();
    }

    /// Drops the change log, so that watches from an earlier revision are answered 410.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.changes.clear();
        state.compacted_revision = state.clock;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns a backup of the current objects.
    pub fn snapshot(&self) -> Snapshot {
        self.lock().snapshot()
    }

    /// Restores a backup: the revision goes back to that of the backup, and a new era begins.
    pub fn restore(&self, snapshot: Snapshot) {
        self.lock().restore(snapshot);
        self.changed.notify_waiters();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no panic while held")
    }

    fn routes(&self, app: &mut ServiceConfig) {
        app.app_data(Data::new(self.clone()))
            .app_data(web::PayloadConfig::new(MAX_OBJECT_BYTES + 1))
            .app_data(web::JsonConfig::default().limit(MAX_OBJECT_BYTES + 1))
            .route("/v1/objects/{kind}", web::get().to(list_or_watch))
            .route("/v1/objects/{kind}", web::post().to(create))
            .route("/v1/objects/{kind}/{name}", web::get().to(get))
            .route("/v1/objects/{kind}/{name}", web::put().to(replace))
            .route("/v1/objects/{kind}/{name}", web::delete().to(delete))
            .route("/v1/objects/{kind}/{name}/status", web::put().to(replace_status))
            .route("/usage", web::post().to(report_usage))
            .route("/calls", web::get().to(calls))
            .route("/switches", web::put().to(set_switches));
    }

    /// Counts a call; returns the response that refuses it, if a fault or a rate limit does.
    async fn admit_call(&self, write: bool) -> Option<HttpResponse> {
        let (switches, within) = {
            let mut state = self.lock();
            let bucket = if write { &mut state.writes } else { &mut state.reads };
            let within = bucket.try_take(Instant::now());
            match (within, write) {
                (false, _) => state.calls.refused += 1,
                (_, true) => state.calls.writes += 1,
                (_, false) => state.calls.reads += 1,
            }
            (state.switches.clone(), within)
        };
        let stopped = self.injected_fault(&switches).await;
        stopped.or_else(|| (!within).then(|| self.refuse(HttpResponse::TooManyRequests())))
    }

    /// Counts a read; returns the response that refuses it, if a fault or a rate limit does. Reads
    /// that allow stale data are not rate-limited.
    async fn admit_read(&self, allows_stale: bool) -> Option<HttpResponse> {
        if !allows_stale {
            return self.admit_call(false).await;
        }
        let switches = {
            let mut state = self.lock();
            state.calls.stale += 1;
            state.switches.clone()
        };
        self.injected_fault(&switches).await
    }

    /// Delays the call as injected, and returns the response of an injected outage, if any.
    async fn injected_fault(&self, switches: &Switches) -> Option<HttpResponse> {
        if switches.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(switches.slow_ms)).await;
        }
        if switches.is_down {
            return Some(self.refuse(HttpResponse::ServiceUnavailable()));
        }
        switches.is_rate_limiting.then(|| self.refuse(HttpResponse::TooManyRequests()))
    }

    fn refuse(&self, answer: HttpResponseBuilder) -> HttpResponse {
        with_era(&self.lock(), answer).finish()
    }

    /// Executes a write and responds to it. An injected fault can break the connection instead of
    /// responding, after the write took effect; a late write also takes effect only after
    /// `LATE_WRITE_DELAY`.
    async fn respond_to_write(
        &self,
        write: impl Fn(&mut State) -> Result<Value, WriteError>,
    ) -> HttpResponse {
        let (late, lose) = {
            let mut state = self.lock();
            let late = decrement(&mut state.switches.late);
            (late, !late && decrement(&mut state.switches.lose))
        };
        if late {
            tokio::time::sleep(LATE_WRITE_DELAY).await;
        }
        let mut state = self.lock();
        let written = write(&mut state);
        self.changed.notify_waiters();
        if late || lose {
            return broken_response();
        }
        match written {
            Ok(object) => with_era(&state, HttpResponse::Ok()).json(object),
            Err(WriteError::Conflict(object)) => {
                with_era(&state, HttpResponse::Conflict()).json(object)
            }
            Err(WriteError::Missing) => with_era(&state, HttpResponse::NotFound()).finish(),
        }
    }
}

/// Reason why a write had no effect.
enum WriteError {
    /// The condition did not hold; carries the current object.
    Conflict(Value),
    /// The object does not exist.
    Missing,
}

/// Adds the header with the era (number of restores) of the state that the response is made from.
fn with_era(state: &State, mut answer: HttpResponseBuilder) -> HttpResponseBuilder {
    let era = state.switches.era.clone().unwrap_or_else(|| state.era.to_string());
    if !era.is_empty() {
        answer.insert_header((ERA_HEADER, era));
    }
    answer
}

/// Decrements a counter; returns false if it was 0.
fn decrement(count: &mut u32) -> bool {
    let had_some = *count > 0;
    *count = count.saturating_sub(1);
    had_some
}

/// Returns a response whose connection is reset before its end.
fn broken_response() -> HttpResponse {
    let broken = futures_util::stream::once(async {
        Err::<Bytes, std::io::Error>(std::io::ErrorKind::ConnectionReset.into())
    });
    HttpResponse::Ok().streaming(broken)
}

#[derive(Deserialize)]
struct ReadQuery {
    watch: Option<u64>,
    wait_ms: Option<u64>,
    /// Name after which the page of a list begins.
    since_revision: Option<String>,
    /// 1 if the response may be some seconds old.
    stale_ok: Option<u8>,
}

impl ReadQuery {
    fn allows_stale(&self) -> bool {
        self.stale_ok == Some(1)
    }
}

async fn list_or_watch(
    platform: Data<Platform>,
    kind: Path<String>,
    query: Query<ReadQuery>,
) -> HttpResponse {
    if let Some(stop) = platform.admit_read(query.allows_stale()).await {
        return stop;
    }
    let switches = platform.lock().switches.clone();
    match query.watch {
        Some(after) => watch(&platform, &kind, after, query.wait_ms).await,
        None if switches.refused_kind.as_deref() == Some(kind.as_str()) => {
            platform.refuse(HttpResponse::BadRequest())
        }
        None if switches.repeating_kind.as_deref() == Some(kind.as_str()) => {
            page(&platform, &kind, "")
        }
        None => page(&platform, &kind, query.since_revision.as_deref().unwrap_or_default()),
    }
}

fn page(platform: &Platform, kind: &str, after: &str) -> HttpResponse {
    let state = platform.lock();
    let mut found = state
        .objects
        .iter()
        .filter(|((of, name), _)| of == kind && name.as_str() > after)
        .map(|((_, name), object)| object.to_json(name));
    let size = state.switches.page_size.unwrap_or(PAGE_SIZE);
    let items: Vec<Value> = found.by_ref().take(size).collect();
    let has_more = found.next().is_some();
    let revision = state.clock;
    let list = json!({"items": items, "has_more": has_more, "store_revision": revision});
    with_era(&state, HttpResponse::Ok()).json(list)
}

async fn watch(platform: &Platform, kind: &str, after: u64, wait_ms: Option<u64>) -> HttpResponse {
    platform.lock().calls.watches += 1;
    let wait = Duration::from_millis(wait_ms.unwrap_or(1000)).min(MAX_WATCH_WAIT);
    let until = tokio::time::Instant::now() + wait;
    loop {
        let changed = platform.changed.notified();
        {
            let state = platform.lock();
            if state.switches.is_down {
                return with_era(&state, HttpResponse::ServiceUnavailable()).finish();
            }
            let is_ahead = after > state.clock && !state.switches.hides_changes;
            if after < state.compacted_revision || is_ahead {
                return with_era(&state, HttpResponse::Gone()).finish();
            }
            let events = state.events(kind, after);
            let waited = tokio::time::Instant::now() >= until;
            if waited || (!events.is_empty() && !state.switches.hides_changes) {
                let events = if state.switches.hides_changes { Vec::new() } else { events };
                let revision = if state.switches.hides_changes { after } else { state.clock };
                return with_era(&state, HttpResponse::Ok())
                    .json(json!({"events": events, "store_revision": revision}));
            }
        }
        // The next iteration finds out whether a change or the timeout ended the wait.
        let _ = tokio::time::timeout_at(until, changed).await;
    }
}

async fn get(
    platform: Data<Platform>,
    path: Path<(String, String)>,
    query: Query<ReadQuery>,
) -> HttpResponse {
    if let Some(stop) = platform.admit_read(query.allows_stale()).await {
        return stop;
    }
    let (kind, name) = path.into_inner();
    let state = platform.lock();
    match state.get(&kind, &name) {
        Some(object) => with_era(&state, HttpResponse::Ok()).json(object.to_json(&name)),
        None => with_era(&state, HttpResponse::NotFound()).finish(),
    }
}

/// Records a usage report. As on the platform, the fencing token is not compared.
async fn report_usage(
    platform: Data<Platform>,
    request: HttpRequest,
    body: String,
) -> HttpResponse {
    let mut state = platform.lock();
    if state.switches.duties_down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
    let fence = header("X-Fencing-Token").and_then(|fence| fence.parse().ok());
    let decoded: Value = serde_json::from_str(&body).unwrap_or_default();
    let (Some(holder), Some(fence), Some(window)) =
        (header("X-Duty-Holder"), fence, decoded["window_id"].as_u64())
    else {
        return HttpResponse::BadRequest().finish();
    };
    let holder = holder.to_owned();
    let received_at = Instant::now();
    state.usage_reports.push(UsageReport { holder, fence, window, body, received_at });
    HttpResponse::Ok().finish()
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
    if let Some(stop) = platform.admit_call(true).await {
        return stop;
    }
    let Some(name) = body.metadata.name.clone() else {
        return HttpResponse::BadRequest().finish();
    };
    let write = |state: &mut State| {
        if let Some(object) = state.get(&kind, &name) {
            return Err(WriteError::Conflict(object.to_json(&name)));
        }
        Ok(platform.change(state, &kind, &name, |object| object.spec = body.spec.clone()))
    };
    platform.respond_to_write(write).await
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
    if let Some(stop) = platform.admit_call(true).await {
        return stop;
    }
    let write = |state: &mut State| {
        let object = state.get(kind, name).ok_or(WriteError::Missing)?;
        if body.metadata.revision.is_some_and(|revision| revision != object.revision) {
            return Err(WriteError::Conflict(object.to_json(name)));
        }
        Ok(platform.change(state, kind, name, &change))
    };
    platform.respond_to_write(write).await
}

async fn delete(platform: Data<Platform>, path: Path<(String, String)>) -> HttpResponse {
    if let Some(stop) = platform.admit_call(true).await {
        return stop;
    }
    let (kind, name) = path.into_inner();
    let write = |state: &mut State| {
        let object = state.get(&kind, &name).ok_or(WriteError::Missing)?.to_json(&name);
        state.delete(&kind, &name);
        Ok(object)
    };
    platform.respond_to_write(write).await
}

impl Platform {
    /// Changes an object and records a new root in the history.
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
        state.get(kind, name).map(|object| object.to_json(name)).unwrap_or_default()
    }
}

async fn calls(platform: Data<Platform>) -> HttpResponse {
    HttpResponse::Ok().json(platform.calls())
}

async fn set_switches(platform: Data<Platform>, switches: Json<Switches>) -> HttpResponse {
    platform.set_switches(switches.into_inner());
    HttpResponse::Ok().finish()
}
