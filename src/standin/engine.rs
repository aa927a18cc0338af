//! Stand-in of a model engine: batching, late load reports, faults on request.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_web::web::{Bytes, Data, Json, ServiceConfig};
use actix_web::{HttpResponse, web};
use serde::{Deserialize, Serialize};
use tokio::sync::{Semaphore, mpsc};

use super::{Running, digest, draft, launch};
use crate::engine::wire::{Cancel, End, Frame, Generate, Load, NotRun, Order, Reason};
use crate::error::Error;
use crate::history::{Event, Sink};
use crate::unit::{RequestId, Revision, Server, Target};

/// Largest prompt it takes.
const LARGEST: usize = 4_000_000;

/// Frames made ahead of a slow reader.
const AHEAD: usize = 64;

/// How one version behaves.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Behaviour {
    /// Share of answers that are good.
    pub quality: f64,
    /// Share of requests that break off after the first token.
    pub errors: f64,
}

/// What an engine is and does wrong.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Traits {
    /// Its name.
    pub name: Server,
    /// Requests it runs at once.
    pub slots: u32,
    /// Requests that may wait; more are told that they did not run.
    pub queue: u32,
    /// Microseconds before the first token.
    pub first_us: u64,
    /// Microseconds between tokens.
    pub token_us: u64,
    /// Milliseconds that its load report lags.
    pub lag_ms: u64,
    /// Whether it refuses late orders.
    pub checks_orders: bool,
    /// Versions and how they behave.
    pub versions: BTreeMap<Target, Behaviour>,
    /// Versions loaded at the start; the others wait for an order.
    pub loaded: Vec<Target>,
}

/// What the stand-in does wrong on request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Switches {
    /// It is leaving: it tells so and takes nothing new.
    pub leaving: bool,
    /// Every answer breaks off after this many tokens.
    pub cut_after: Option<u32>,
    /// Every frame is sent twice, and a foreign one before it.
    pub noise: bool,
    /// It stops sending frames, without closing.
    pub frozen: bool,
    /// A prompt that holds this crashes it as soon as it runs; whoever launched it is to end it then.
    pub crashes_on: Option<String>,
}

struct State {
    traits: Traits,
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

/// The stand-in.
#[derive(Clone)]
pub struct Engine {
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
    history: Sink,
}

impl Engine {
    /// An idle engine.
    pub fn new(traits: Traits, history: Sink) -> Engine {
        let loaded: HashSet<Target> = traits.loaded.iter().cloned().collect();
        let slots = Arc::new(Semaphore::new(traits.slots as usize));
        let reported = Load { loaded: traits.loaded.clone(), ..Load::default() };
        let state = State {
            traits,
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

    /// Serves at `address`.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn launch(&self, address: SocketAddr) -> Result<Running, Error> {
        let engine = self.clone();
        launch(address, move |app| engine.routes(app))
    }

    /// Sets the switches.
    pub fn switch(&self, switches: Switches) {
        let mut state = self.lock();
        if switches.leaving && !state.switches.leaving {
            let server = state.traits.name.clone();
            self.history.record(|| Event::Leaving { server });
        }
        state.switches = switches;
    }

    /// Changes some of the switches.
    pub fn turn(&self, change: impl FnOnce(&mut Switches)) {
        change(&mut self.lock().switches);
    }

    /// Changes how a version behaves.
    pub fn behave(&self, target: &Target, behaviour: Behaviour) {
        self.lock().traits.versions.insert(target.clone(), behaviour);
    }

    /// How many prompts that crash it it began to run.
    pub fn crashes(&self) -> u64 {
        self.lock().crashes
    }

    /// Orders obeyed and requests running now.
    pub fn counts(&self) -> (u64, u32) {
        let state = self.lock();
        (state.orders, state.running)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no panic while held")
    }

    fn routes(&self, app: &mut ServiceConfig) {
        app.app_data(Data::new(self.clone()))
            .app_data(web::JsonConfig::default().limit(LARGEST))
            .route("/v1/generate", web::post().to(generate))
            .route("/v1/cancel", web::post().to(cancel))
            .route("/v1/load", web::get().to(load))
            .route("/v1/orders", web::post().to(order))
            .route("/switches", web::put().to(set_switches));
    }

    fn admit(&self, work: &Generate) -> Result<(), Reason> {
        let mut state = self.lock();
        if state.switches.leaving {
            return Err(Reason::Leaving);
        }
        if !state.loaded.contains(&work.target) {
            return Err(Reason::NotLoaded);
        }
        let full = state.running + state.waiting >= state.traits.slots;
        if state.waiting >= state.traits.queue || full && !work.wait {
            return Err(Reason::Full);
        }
        state.waiting += 1;
        let behaviour = state.traits.versions.get(&work.target).cloned();
        let quality = behaviour.map_or(1.0, |behaviour| behaviour.quality);
        let server = state.traits.name.clone();
        drop(state);
        let text = draft(&work.prompt, &work.target, quality, work.max_tokens).tokens.concat();
        // What an engine took counts as run, though it may still wait for a slot.
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

    fn begin(&self) {
        let mut state = self.lock();
        state.waiting -= 1;
        state.running += 1;
    }

    /// Whether this prompt crashes it, which is counted.
    fn falls_over(&self, work: &Generate) -> bool {
        let mut state = self.lock();
        let needle = state.switches.crashes_on.as_deref();
        let falls = needle.is_some_and(|needle| work.prompt.contains(needle));
        state.crashes += u64::from(falls);
        falls
    }

    fn take_cancel(&self, work: &Generate) -> bool {
        self.lock().cancelled.remove(&(work.request.clone(), work.attempt))
    }

    /// Streams an answer until its end, a cancel, a vanished reader or a fault.
    async fn run(self, work: Generate, to: mpsc::Sender<Result<Bytes, std::io::Error>>) {
        let (traits, behaviour) = {
            let state = self.lock();
            let behaviour = state.traits.versions.get(&work.target).cloned();
            (state.traits.clone(), behaviour.unwrap_or(Behaviour { quality: 1.0, errors: 0.0 }))
        };
        let draft = draft(&work.prompt, &work.target, behaviour.quality, work.max_tokens);
        let Ok(_slot) = self.slots.acquire().await else {
            return;
        };
        if to.is_closed() {
            self.lock().waiting -= 1;
            return;
        }
        self.begin();
        if self.falls_over(&work) {
            to.closed().await;
            self.lock().running -= 1;
            return;
        }
        let breaks = draft.confidence.fract() * 997.0 % 1.0 < behaviour.errors;
        tokio::time::sleep(Duration::from_micros(traits.first_us)).await;
        let mut whole = true;
        for (i, token) in draft.tokens.iter().enumerate().skip(work.offset as usize) {
            let switches = self.lock().switches.clone();
            if switches.frozen {
                to.closed().await;
            }
            let cut = switches.cut_after.is_some_and(|n| i as u32 >= n) || (breaks && i > 0);
            if cut || self.take_cancel(&work) {
                let broken = std::io::Error::other("cut");
                let _ = to.send(Err(broken)).await;
                whole = false;
                break;
            }
            let line = frame(&work, i as u32, token, None);
            let line = if switches.noise { noisy(&work, i as u32, &line) } else { line };
            if to.send(Ok(line)).await.is_err() {
                whole = false;
                break;
            }
            if traits.token_us > 0 {
                tokio::time::sleep(Duration::from_micros(traits.token_us)).await;
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
    let mut line = serde_json::to_vec(&frame).expect("a frame is plain data");
    line.push(b'\n');
    line.into()
}

/// A foreign frame, the frame, and the frame again.
fn noisy(work: &Generate, offset: u32, line: &Bytes) -> Bytes {
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
    let (sender, receiver) = mpsc::channel(AHEAD);
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

/// The report lags: it answers with what it noted `lag_ms` ago, but leaving is told at once.
async fn load(engine: Data<Engine>) -> HttpResponse {
    let lag = engine.lock().traits.lag_ms;
    let report = {
        let mut state = engine.lock();
        let mut loaded: Vec<Target> = state.loaded.iter().cloned().collect();
        loaded.sort();
        state.reported.leaving = state.switches.leaving;
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
    if state.traits.checks_orders && order.fence < state.fence {
        return HttpResponse::PreconditionFailed().finish();
    }
    state.fence = state.fence.max(order.fence);
    state.loaded.insert(order.load.clone());
    state.orders += 1;
    HttpResponse::Ok().finish()
}

async fn set_switches(engine: Data<Engine>, switches: Json<Switches>) -> HttpResponse {
    engine.switch(switches.into_inner());
    HttpResponse::Ok().finish()
}
