//! Stand-in for a model engine, with concurrent slots, delayed load reports and injected faults.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_web::web::{Bytes, Data, Json, ServiceConfig};
use actix_web::{HttpResponse, web};
use serde::{Deserialize, Serialize};
use tokio::sync::{Semaphore, mpsc};

use super::{Instance, complete, digest, launch};
use crate::engine::wire::{Cancel, End, Frame, Generate, Load, NotRun, Order, Reason};
use crate::error::Error;
use crate::history::{Event, Sink};
use crate::unit::{RequestId, Revision, Server, Target};

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 4_000_000;

/// Frames that are buffered for a slow reader.
const MAX_BUFFERED_FRAMES: usize = 64;

/// Quality and errors of one version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Behaviour {
    /// Share of answers that are good.
    pub quality: f64,
    /// Share of requests whose stream breaks off after the first token.
    pub errors: f64,
}

/// Capacity, timing and versions of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Profile {
    /// Name of the server.
    pub name: Server,
    /// Requests that run concurrently.
    pub slots: u32,
    /// Length of the queue; requests beyond it are refused as not run.
    pub queue: u32,
    /// Microseconds before the first token.
    pub first_us: u64,
    /// Microseconds between tokens.
    pub token_us: u64,
    /// Delay of the load report, in milliseconds.
    pub lag_ms: u64,
    /// True if it rejects orders with an older fence than the last one.
    pub checks_orders: bool,
    /// Versions that the engine can serve, and their behaviour.
    pub versions: BTreeMap<Target, Behaviour>,
    /// Versions loaded at the start; others are loaded by an order.
    pub loaded: Vec<Target>,
}

/// Injected faults; the JSON body of `PUT /switches`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Switches {
    /// Drains: it announces that and refuses new requests.
    #[serde(rename = "leaving")]
    pub is_draining: bool,
    /// Breaks every stream off after this many tokens.
    pub cut_after: Option<u32>,
    /// Sends every frame twice, after a frame of another request.
    #[serde(rename = "noise")]
    pub sends_foreign_frames: bool,
    /// Stops sending frames but keeps connections open.
    #[serde(rename = "frozen")]
    pub is_frozen: bool,
    /// Simulates a crash on prompts that contain this text: the request hangs and is counted, and
    /// the owner of the engine is to stop it then.
    pub crashes_on: Option<String>,
}

struct State {
    profile: Profile,
    switches: Switches,
    loaded: HashSet<Target>,
    running: u32,
    waiting: u32,
    cancelled: HashSet<(RequestId, u32)>,
    reported: Load,
    fence: Revision,
    orders: u64,
    crashes: u64,
}

/// The engine; clones share its state.
#[derive(Clone)]
pub struct Engine {
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
    history: Sink,
}

impl Engine {
    /// Returns an idle engine.
    pub fn new(profile: Profile, history: Sink) -> Engine {
        let loaded: HashSet<Target> = profile.loaded.iter().cloned().collect();
        let slots = Arc::new(Semaphore::new(profile.slots as usize));
        let reported = Load { loaded: profile.loaded.clone(), ..Load::default() };
        let state = State {
            profile,
            switches: Switches::default(),
            loaded,
            running: 0,
            waiting: 0,
            cancelled: HashSet::new(),
            reported,
            fence: Revision(0),
            orders: 0,
            crashes: 0,
        };
        Engine { state: Arc::new(Mutex::new(state)), slots, history }
    }

    /// Starts the HTTP server on `address`.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn launch(&self, address: SocketAddr) -> Result<Instance, Error> {
        let engine = self.clone();
        launch(address, move |app| engine.routes(app))
    }

    /// Replaces the injected faults; a drain that begins is recorded in the history.
    pub fn set_switches(&self, switches: Switches) {
        let mut state = self.lock();
        if switches.is_draining && !state.switches.is_draining {
            let server = state.profile.name.clone();
            self.history.record(|| Event::Leaving { server });
        }
        state.switches = switches;
    }

    /// Changes some of the injected faults.
    pub fn update_switches(&self, change: impl FnOnce(&mut Switches)) {
        change(&mut self.lock().switches);
    }

    /// Replaces the behaviour of a version.
    pub fn set_behaviour(&self, target: &Target, behaviour: Behaviour) {
        self.lock().profile.versions.insert(target.clone(), behaviour);
    }

    /// Returns the number of prompts that triggered a crash.
    pub fn crashes(&self) -> u64 {
        self.lock().crashes
    }

    /// Returns the number of orders that were executed and of requests that run now.
    pub fn counts(&self) -> (u64, u32) {
        let state = self.lock();
        (state.orders, state.running)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no panic while held")
    }

    fn routes(&self, app: &mut ServiceConfig) {
        app.app_data(Data::new(self.clone()))
            .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
            .route("/v1/generate", web::post().to(generate))
            .route("/v1/cancel", web::post().to(cancel))
            .route("/v1/load", web::get().to(load))
            .route("/v1/orders", web::post().to(order))
            .route("/switches", web::put().to(set_switches));
    }

    fn admit(&self, work: &Generate) -> Result<(), Reason> {
        let mut state = self.lock();
        if state.switches.is_draining {
            return Err(Reason::Leaving);
        }
        if !state.loaded.contains(&work.target) {
            return Err(Reason::NotLoaded);
        }
        let full = state.running + state.waiting >= state.profile.slots;
        if state.waiting >= state.profile.queue || full && !work.wait {
            return Err(Reason::Full);
        }
        state.waiting += 1;
        let behaviour = state.profile.versions.get(&work.target).cloned();
        let quality = behaviour.map_or(1.0, |behaviour| behaviour.quality);
        let server = state.profile.name.clone();
        drop(state);
        let text = complete(&work.prompt, &work.target, quality, work.max_tokens).tokens.concat();
        // An admitted request counts as run, even while it waits for a slot.
        self.history.record(|| Event::Ran {
            server,
            request: work.request.clone(),
            workspace: work.workspace.clone(),
            target: work.target.clone(),
            offset: work.offset,
            digest: digest(&text),
        });
        Ok(())
    }

    fn start_running(&self) {
        let mut state = self.lock();
        state.waiting -= 1;
        state.running += 1;
    }

    /// Returns true, and counts the crash, if this prompt triggers one.
    fn triggers_crash(&self, work: &Generate) -> bool {
        let mut state = self.lock();
        let needle = state.switches.crashes_on.as_deref();
        let crashes = needle.is_some_and(|needle| work.prompt.contains(needle));
        state.crashes += u64::from(crashes);
        crashes
    }

    fn remove_cancel(&self, work: &Generate) -> bool {
        self.lock().cancelled.remove(&(work.request.clone(), work.attempt))
    }

    /// Streams an answer until its end, a cancellation, a disconnect of the reader or a fault.
    async fn run(self, work: Generate, to: mpsc::Sender<Result<Bytes, std::io::Error>>) {
        let (profile, behaviour) = {
            let state = self.lock();
            let behaviour = state.profile.versions.get(&work.target).cloned();
            (state.profile.clone(), behaviour.unwrap_or(Behaviour { quality: 1.0, errors: 0.0 }))
        };
        let draft = complete(&work.prompt, &work.target, behaviour.quality, work.max_tokens);
        let Ok(_slot) = self.slots.acquire().await else {
            return;
        };
        if to.is_closed() {
            self.lock().waiting -= 1;
            return;
        }
        self.start_running();
        if self.triggers_crash(&work) {
            to.closed().await;
            self.lock().running -= 1;
            return;
        }
        let breaks = draft.confidence.fract() * 997.0 % 1.0 < behaviour.errors;
        tokio::time::sleep(Duration::from_micros(profile.first_us)).await;
        let mut whole = true;
        for (i, token) in draft.tokens.iter().enumerate().skip(work.offset as usize) {
            let switches = self.lock().switches.clone();
            if switches.is_frozen {
                to.closed().await;
            }
            let cut = switches.cut_after.is_some_and(|n| i as u32 >= n) || (breaks && i > 0);
            if cut || self.remove_cancel(&work) {
                let broken = std::io::Error::other("cut");
                let _ = to.send(Err(broken)).await;
                whole = false;
                break;
            }
            let line = frame(&work, i as u32, token, None);
            let line = if switches.sends_foreign_frames {
                with_stray_frames(&work, i as u32, &line)
            } else {
                line
            };
            if to.send(Ok(line)).await.is_err() {
                whole = false;
                break;
            }
            if profile.token_us > 0 {
                tokio::time::sleep(Duration::from_micros(profile.token_us)).await;
            }
        }
        if whole {
            let end = End { tokens: draft.tokens.len() as u32, confidence: draft.confidence };
            let _ = to.send(Ok(frame(&work, end.tokens, "", Some(end)))).await;
        }
        self.lock().running -= 1;
    }
}

fn frame(work: &Generate, offset: u32, text: &str, end: Option<End>) -> Bytes {
    let request = work.request.clone();
    let frame = Frame { request, attempt: work.attempt, offset, text: text.to_owned(), end };
    let mut line = serde_json::to_vec(&frame).expect("a frame can be serialised");
    line.push(b'\n');
    line.into()
}

/// Returns a frame of another request, then the frame itself twice.
fn with_stray_frames(work: &Generate, offset: u32, line: &Bytes) -> Bytes {
    let foreign = Generate { request: "another".parse().expect("a name"), ..work.clone() };
    let mut out = frame(&foreign, offset, "foreign ", None).to_vec();
    out.extend_from_slice(line);
    out.extend_from_slice(line);
    out.into()
}

async fn generate(engine: Data<Engine>, work: Json<Generate>) -> HttpResponse {
    let work = work.into_inner();
    let admitted = engine.admit(&work);
    let (running, waiting) = {
        let state = engine.lock();
        (state.running, state.waiting)
    };
    if let Err(reason) = admitted {
        return HttpResponse::Conflict().json(NotRun { reason, load: (running, waiting) });
    }
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_FRAMES);
    actix_web::rt::spawn(engine.get_ref().clone().run(work, sender));
    HttpResponse::Ok()
        .insert_header((crate::engine::wire::LOAD, format!("{running}/{waiting}")))
        .content_type("application/x-ndjson")
        .streaming(crate::entry::channel_body(receiver))
}

async fn cancel(engine: Data<Engine>, cancel: Json<Cancel>) -> HttpResponse {
    let cancel = cancel.into_inner();
    engine.lock().cancelled.insert((cancel.request, cancel.attempt));
    HttpResponse::Ok().finish()
}

/// Responds with the load of `lag_ms` ago; loaded versions and `leaving` are current.
async fn load(engine: Data<Engine>) -> HttpResponse {
    let lag = engine.lock().profile.lag_ms;
    let report = {
        let mut state = engine.lock();
        let mut loaded: Vec<Target> = state.loaded.iter().cloned().collect();
        loaded.sort();
        state.reported.leaving = state.switches.is_draining;
        state.reported.loaded = loaded;
        state.reported.clone()
    };
    let later = engine.clone();
    actix_web::rt::spawn(async move {
        let (running, waiting) = {
            let state = later.lock();
            (state.running, state.waiting)
        };
        tokio::time::sleep(Duration::from_millis(lag)).await;
        let mut state = later.lock();
        state.reported.running = running;
        state.reported.waiting = waiting;
    });
    HttpResponse::Ok().json(report)
}

async fn order(engine: Data<Engine>, order: Json<Order>) -> HttpResponse {
    let mut state = engine.lock();
    if state.profile.checks_orders && order.fence < state.fence {
        return HttpResponse::PreconditionFailed().finish();
    }
    state.fence = state.fence.max(order.fence);
    state.loaded.insert(order.load.clone());
    state.orders += 1;
    HttpResponse::Ok().finish()
}

async fn set_switches(engine: Data<Engine>, switches: Json<Switches>) -> HttpResponse {
    engine.set_switches(switches.into_inner());
    HttpResponse::Ok().finish()
}
