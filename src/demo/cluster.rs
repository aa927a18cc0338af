//! VMs, stand-ins and configuration of the demo.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::Node;
use crate::config::{
    self, Cascade, Declarations, Intent, ModelEntry, Objective, PlanSource, ServerEntry,
    ServerKind, ServiceEntry, VersionEntry, WorkspaceEntry, digest,
};
use crate::decide::clients::Limits;
use crate::decide::rollout::Policy;
use crate::error::Error;
use crate::history::Sink;
use crate::operator::{Confirmation, confirm, read_snapshot};
use crate::platform::Store;
use crate::standin;
use crate::standin::engine::{Behaviour, Engine, Profile};
use crate::standin::platform::{Platform, RATES, VmEntry};
use crate::standin::rating::Rater;
use crate::standin::service::Service;
use crate::unit::{Cost, Rate, Revision, Size, Span, Target, Vm, Workspace};
use crate::vm::{Clock, Settings};

/// Address that servers of the demo listen on, with any free port.
const LOOPBACK: &str = "127.0.0.1:0";

/// Names of the data centres.
const DATA_CENTRES: [&str; 2] = ["ulemiste", "kadriorg"];

/// Stand-ins that are started before the engines: the store and the rating service.
const STANDINS_BEFORE_ENGINES: usize = 2;

/// Size and timing of the cluster.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Number of entry VMs at the start.
    pub vms: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Time per token of an engine, in microseconds.
    pub token_us: u64,
    /// Share of good answers of the new version.
    pub candidate_quality: f64,
    /// Delay between an answer and its rating.
    pub rating_lag: Span,
    /// Concurrent requests of an engine.
    pub slots: u32,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            vms: 3,
            engines: 12,
            token_us: 1500,
            candidate_quality: 0.55,
            rating_lag: Span::millis(400),
            slots: 16,
        }
    }
}

/// Running VMs and the stand-ins of the systems around them.
pub struct Cluster {
    /// The store of the platform.
    pub platform: Platform,
    /// The rating service.
    pub rater: Rater,
    /// The model engines.
    pub engines: Vec<Engine>,
    /// The replicas of the plain service.
    pub services: Vec<Service>,
    /// Running VMs, by name.
    pub nodes: BTreeMap<Vm, Node>,
    /// Recorded events.
    pub history: Sink,
    /// Address of the platform's object API.
    pub platform_address: SocketAddr,
    rating_address: SocketAddr,
    started_vms: usize,
    running: Vec<standin::Instance>,
}

/// Returns the API key of a workspace.
pub fn workspace_key(workspace: &str) -> String {
    format!("{workspace}-secret-key")
}

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a name of the demo")
}

/// Plans a change and confirms it, as an operator does.
///
/// # Errors
/// If the plan cannot be made or confirmed, or the platform does not respond.
pub fn apply(platform: SocketAddr, source: &PlanSource, who: &str) -> Result<Revision, Error> {
    crate::command::block_on(async move {
        let store = Store::new(platform);
        let plan = config::make_plan(&read_snapshot(&store).await?, source)?;
        let date = Clock::default().date();
        let (Confirmation::Applied(revision) | Confirmation::AlreadyApplied(revision)) =
            confirm(&store, &plan, who, date).await?;
        Ok(revision)
    })
}

/// Plans and confirms an intent, given in words.
///
/// # Errors
/// If the words are no intent, or as `apply`.
pub fn apply_intent(platform: SocketAddr, words: &str, who: &str) -> Result<Revision, Error> {
    let intent: Intent = words.parse().map_err(|e: crate::unit::ParseError| Error::Plan(e.0))?;
    apply(platform, &PlanSource::Intent(intent), who)
}

/// Returns the settings of a VM of the demo.
pub fn settings(vm: &str, data_centre: &str, platform: SocketAddr) -> Settings {
    let loopback: SocketAddr = name(LOOPBACK);
    Settings {
        vm: name(vm),
        data_centre: name(data_centre),
        listen: loopback,
        peer: loopback,
        platform,
        rating_service: None,
        seeds: Vec::new(),
        workers: 1,
        stop_within: Span::secs(20),
        body_limit: Size(1_000_000),
        clients: Limits::new(Size(1_000_000_000), None),
        rated_share: 0.5,
        rollout: Policy { min_doubling_time: Span::secs(2), ..Policy::default() },
        fleet_key: name("the-demo's-fleet-key"),
        session_keys: name("k1:the-demo's-session-key"),
        operator_key: None,
    }
}

impl Cluster {
    /// Starts the stand-ins, confirms the declarations and starts the VMs.
    ///
    /// # Errors
    /// If a server cannot be started or the declarations are refused.
    pub fn start(shape: &Shape) -> Result<Cluster, Error> {
        let history = Sink::in_memory();
        let loopback: SocketAddr = name(LOOPBACK);
        let platform = Platform::new(RATES, history.clone());
        let platform_running = platform.launch(loopback)?;
        let rater = Rater::new(shape.rating_lag.duration());
        let rating_running = rater.launch(loopback)?;
        let mut cluster = Cluster {
            platform_address: platform_running.address,
            rating_address: rating_running.address,
            platform,
            rater,
            engines: Vec::new(),
            services: Vec::new(),
            nodes: BTreeMap::new(),
            history,
            started_vms: 0,
            running: vec![platform_running, rating_running],
        };
        let declared = cluster.start_servers(shape)?;
        apply(cluster.platform_address, &PlanSource::Declarations(declared), "demo")?;
        for _ in 0..shape.vms {
            cluster.add_vm()?;
        }
        cluster.wait_ready(shape.vms)?;
        Ok(cluster)
    }

    fn start_servers(&mut self, shape: &Shape) -> Result<Declarations, Error> {
        let loopback: SocketAddr = name(LOOPBACK);
        let mut declared = declarations();
        for i in 0..shape.engines {
            let profile = profile(i, shape);
            let engine = Engine::new(profile.clone(), self.history.clone());
            let running = engine.launch(loopback)?;
            declared.servers.push(ServerEntry {
                name: profile.name,
                address: running.address,
                data_centre: name(DATA_CENTRES[i % DATA_CENTRES.len()]),
                kind: ServerKind::Engine,
                versions: profile.versions.keys().cloned().collect(),
                service: None,
                slots: profile.slots,
                checks_orders: true,
            });
            self.engines.push(engine);
            self.running.push(running);
        }
        for (i, data_centre) in DATA_CENTRES.iter().enumerate() {
            let server = format!("tellimus-{i}");
            let service =
                Service::new(name(&server), Duration::from_millis(3), self.history.clone());
            let running = service.launch(loopback)?;
            declared.servers.push(ServerEntry {
                name: name(&server),
                address: running.address,
                data_centre: name(data_centre),
                kind: ServerKind::Service,
                versions: Vec::new(),
                service: Some(name("tellimus-api")),
                slots: 64,
                checks_orders: false,
            });
            self.services.push(service);
            self.running.push(running);
        }
        Ok(declared)
    }

    /// Starts another VM and adds it to the platform's list.
    ///
    /// # Errors
    /// If one of its addresses cannot be bound.
    pub fn add_vm(&mut self) -> Result<Vm, Error> {
        self.started_vms += 1;
        let vm = format!("vm{}", self.started_vms);
        let data_centre = DATA_CENTRES[self.started_vms % DATA_CENTRES.len()];
        let settings = Settings {
            rating_service: Some(self.rating_address),
            seeds: self.nodes.values().map(|node| node.peer).collect(),
            ..settings(&vm, data_centre, self.platform_address)
        };
        let node = Node::start(settings, self.history.clone())?;
        let vm = node.vm.settings.vm.clone();
        self.nodes.insert(vm.clone(), node);
        self.publish_vms();
        Ok(vm)
    }

    /// Writes the running VMs to the platform's list.
    pub fn publish_vms(&self) {
        let entry = |node: &Node| VmEntry {
            vm: node.vm.settings.vm.clone(),
            data_centre: node.vm.settings.data_centre.clone(),
            is_leaving: false,
        };
        self.platform.set_vms(self.nodes.values().map(entry).collect());
    }

    /// Waits until at least this many VMs accept requests.
    ///
    /// # Errors
    /// If they do not within 10 s.
    pub fn wait_ready(&self, vms: usize) -> Result<(), Error> {
        for _ in 0..1000 {
            let may = |node: &&Node| node.vm.may_start(node.vm.clock.now());
            if self.nodes.values().filter(may).count() >= vms {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Err(Error::Unreachable("The VMs did not become ready within 10 s.".to_owned()))
    }

    /// Waits until a VM knows that a revision is accepted (no VM starts work under an older one);
    /// returns false on timeout.
    pub fn wait_accepted(&self, revision: Revision, within: Span) -> bool {
        let started = std::time::Instant::now();
        while started.elapsed() < within.duration() {
            let knows = |node: &Node| node.vm.metrics.accepted() >= revision;
            if self.nodes.values().any(knows) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Stops an engine as a crash does: its open connections are reset.
    pub fn crash_engine(&self, at: usize) {
        self.running[STANDINS_BEFORE_ENGINES + at].kill();
    }

    /// Restarts an engine at its previous address.
    ///
    /// # Errors
    /// If the address cannot be bound within a second.
    pub fn start_engine(&mut self, at: usize) -> Result<(), Error> {
        let running = &mut self.running[STANDINS_BEFORE_ENGINES + at];
        let mut launched = self.engines[at].launch(running.address);
        for _ in 0..100 {
            if launched.is_ok() {
                break;
            }
            std::thread::sleep(Duration::from_millis(10));
            launched = self.engines[at].launch(running.address);
        }
        *running = launched?;
        Ok(())
    }

    /// Returns the addresses of the engines, in the order of `engines`.
    pub fn engine_addresses(&self) -> Vec<SocketAddr> {
        let engines = self.running.iter().skip(STANDINS_BEFORE_ENGINES).take(self.engines.len());
        engines.map(|running| running.address).collect()
    }

    /// Returns the address of a replica of the plain service.
    pub fn service_address(&self) -> SocketAddr {
        self.running.last().expect("stand-ins run").address
    }

    /// Stops the stand-ins.
    pub fn stop_standins(&self) {
        self.running.iter().for_each(standin::Instance::kill);
    }
}

fn profile(i: usize, shape: &Shape) -> Profile {
    let good = |quality| Behaviour { quality, errors: 0.0 };
    let mut versions = BTreeMap::new();
    // A third of the engines run the cheap model, the others both versions of the strong one.
    if i.is_multiple_of(3) {
        versions.insert(name::<Target>("roasttag@v1"), good(0.75));
    } else {
        versions.insert(name("roastmind@v3"), good(0.95));
        versions.insert(name("roastmind@v4"), good(shape.candidate_quality));
    }
    let loaded =
        versions.keys().filter(|target| target.version.as_str() != "v4").cloned().collect();
    Profile {
        name: name(&format!("engine-{i}")),
        slots: shape.slots,
        queue: shape.slots * 4,
        first_us: shape.token_us * 2,
        token_us: shape.token_us,
        lag_ms: 300,
        checks_orders: true,
        versions,
        loaded,
    }
}

fn version(text: &str, cost: u64, quality: f64) -> VersionEntry {
    VersionEntry { name: name(text), cost: Cost(cost), quality, context: 32_000 }
}

fn declarations() -> Declarations {
    let workspace = |workspace: &str| WorkspaceEntry {
        name: name::<Workspace>(workspace),
        key_digest: digest(workspace_key(workspace).as_bytes()),
        versions: ["roasttag@v1", "roastmind@v3", "roastmind@v4"].map(name).to_vec(),
        services: vec![name("tellimus-api")],
        cascades: vec![Cascade {
            name: name("auto"),
            target: 0.9,
            rungs: vec![name("roasttag"), name("roastmind")],
        }],
        limit: Rate(5000.0),
        objectives: vec![Objective { kind: None, good: 0.95, first_token_ms: 1400 }],
    };
    // This workspace may not use the new version, so none of its requests may reach it.
    let mut careful = workspace("nestwise");
    careful.versions.retain(|target| target.version.as_str() != "v4");
    Declarations {
        models: vec![
            ModelEntry {
                name: name("roasttag"),
                serving: name("v1"),
                versions: vec![version("v1", 100, 0.75)],
            },
            ModelEntry {
                name: name("roastmind"),
                serving: name("v3"),
                versions: vec![version("v3", 1500, 0.95), version("v4", 1200, 0.95)],
            },
        ],
        servers: Vec::new(),
        services: vec![ServiceEntry {
            name: name("tellimus-api"),
            once: vec!["/enrolments".to_owned(), "/orders".to_owned()],
        }],
        workspaces: vec![workspace("roasters"), careful],
    }
}
