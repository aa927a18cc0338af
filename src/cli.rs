//! The command line as it is declared; `options.rs` checks it.
//!
//! Each flag `--some-name` may be set by the environment variable `KITEPULLEY_SOME_NAME` too.

use gumdrop::Options;

/// A model-aware router for versions and cascades.
#[derive(Debug, Options)]
pub struct Cli {
    /// Show this help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Show the version.
    #[options(no_short, help = "show the version")]
    pub version: bool,
    /// The command.
    #[options(command)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(Debug, Options)]
pub enum Command {
    /// One entry VM's process.
    #[options(help = "run one entry VM")]
    Serve(Serve),
    /// One entry VM on the users' platform.
    #[options(help = "run one entry VM on a platform that gives it a settings file")]
    Entry(Entry),
    /// A stand-in of an outside system.
    #[options(help = "run a stand-in: platform, engine, service or rating")]
    Standin(Standin),
    /// Everything in one process.
    #[options(help = "show everything in one process, under faults, and judge the promises")]
    Demo(Demo),
    /// A plan.
    #[options(help = "say what declarations or an intent would change; change nothing")]
    Plan(Plan),
    /// A confirm.
    #[options(help = "apply exactly a plan, once")]
    Confirm(Confirm),
    /// The state of the configuration.
    #[options(help = "show the configuration, roll-outs and VMs as one VM sees them")]
    Status(Query),
    /// A decision record.
    #[options(help = "say why a request went where it went")]
    Explain(Query),
    /// The burn report.
    #[options(help = "report service-level burn over all VMs")]
    Burn(Query),
    /// The bills.
    #[options(help = "read the bills from the platform's store")]
    Bill(Bill),
    /// The checker.
    #[options(help = "judge the ten promises from a history")]
    Check(Check),
    /// An experiment.
    #[options(help = "measure a decision or a mechanism")]
    Experiment(Experiment),
    /// A state chart.
    #[options(help = "draw a state chart as Mermaid")]
    Chart(Chart),
}

/// Flags of `serve`.
#[derive(Debug, Default, Options)]
pub struct Serve {
    /// Show this help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Name.
    #[options(no_short, meta = "NAME", help = "the VM's name, used by no other")]
    pub vm: Option<String>,
    /// Data centre.
    #[options(no_short, meta = "NAME", help = "the VM's data centre")]
    pub data_centre: Option<String>,
    /// Callers' address.
    #[options(no_short, meta = "IP:PORT", help = "where callers reach it")]
    pub listen: Option<String>,
    /// Peers' address.
    #[options(no_short, meta = "IP:PORT", help = "where other VMs reach it, by UDP")]
    pub peer: Option<String>,
    /// Platform.
    #[options(no_short, meta = "IP:PORT", help = "the platform's object API")]
    pub platform: Option<String>,
    /// Rating service.
    #[options(no_short, meta = "IP:PORT", help = "the service that rates answers")]
    pub rating: Option<String>,
    /// Seeds.
    #[options(no_short, meta = "IP:PORT,...", help = "peer addresses of other VMs to join by")]
    pub seed: Option<String>,
    /// Workers.
    #[options(no_short, meta = "N", help = "threads that serve callers (default 2)")]
    pub workers: Option<String>,
    /// Grace of a planned stop.
    #[options(no_short, meta = "TIME", help = "longest wait of a planned stop (default 30s)")]
    pub stop_within: Option<String>,
    /// Body limit.
    #[options(no_short, meta = "SIZE", help = "largest body of a request (default 1MB)")]
    pub body_limit: Option<String>,
    /// Rated share.
    #[options(no_short, meta = "SHARE", help = "share of answers to rate (default 5%)")]
    pub rated_share: Option<String>,
    /// Roll-out pace.
    #[options(no_short, meta = "TIME", help = "a roll-out's share doubles at most in (150s)")]
    pub rollout_doubling: Option<String>,
}

/// Flags of `entry`.
#[derive(Debug, Default, Options)]
pub struct Entry {
    /// Show this help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Counters' port.
    #[options(no_short, meta = "PORT", help = "port of the counters on the VM's own address")]
    pub metrics_port: Option<String>,
    /// Confidence of a small model.
    #[options(
        no_short,
        meta = "PERCENT",
        help = "a small model's answer is kept from this confidence of its own on, however idle servers are (default 60)"
    )]
    pub keep_confidence: Option<String>,
}

/// Flags of `standin`.
#[derive(Debug, Options)]
pub struct Standin {
    /// Show this help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Which.
    #[options(free, help = "platform, engine, service or rating")]
    pub which: Option<String>,
    /// Address.
    #[options(no_short, meta = "IP:PORT", help = "where it listens")]
    pub listen: Option<String>,
    /// Name.
    #[options(no_short, meta = "NAME", help = "its name, for an engine or a service")]
    pub name: Option<String>,
    /// Versions.
    #[options(
        no_short,
        meta = "MODEL@VERSION=QUALITY,...",
        help = "an engine's versions, and the share of their answers that are good"
    )]
    pub versions: Option<String>,
    /// Slots.
    #[options(no_short, meta = "N", help = "requests an engine runs at once (default 16)")]
    pub slots: Option<String>,
    /// Token time.
    #[options(no_short, meta = "TIME", help = "an engine's time for a token (default 5ms)")]
    pub token_time: Option<String>,
    /// Lag.
    #[options(no_short, meta = "TIME", help = "lag of load reports or ratings (default 500ms)")]
    pub lag: Option<String>,
}

/// Flags of `demo`.
#[derive(Debug, Options)]
pub struct Demo {
    /// Show this help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Requests.
    #[options(no_short, meta = "N", help = "requests to send (default 6000)")]
    pub requests: Option<String>,
    /// Seed.
    #[options(no_short, meta = "N", help = "seed of the work and of the faults (default 1)")]
    pub seed: Option<String>,
    /// VMs.
    #[options(no_short, meta = "N", help = "entry VMs at the start (default 3)")]
    pub vms: Option<String>,
    /// Faults.
    #[options(no_short, meta = "LIST", help = "faults to cause, `all`, `pairs` or `none`")]
    pub faults: Option<String>,
    /// History.
    #[options(no_short, meta = "FILE", help = "write the history there")]
    pub history: Option<String>,
}

/// Flags of `plan`.
#[derive(Debug, Options)]
pub struct Plan {
    /// Show this help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Declarations or intent.
    #[options(free, help = "a file or folder of declarations, or an intent in words")]
    pub wish: Vec<String>,
    /// Platform.
    #[options(no_short, meta = "IP:PORT", help = "the platform's object API")]
    pub platform: Option<String>,
    /// Where to write the plan.
    #[options(no_short, meta = "FILE", help = "write the plan there, to confirm it")]
    pub out: Option<String>,
    /// JSON.
    #[options(no_short, help = "print JSON")]
    pub json: bool,
}

/// Flags of `confirm`.
#[derive(Debug, Options)]
pub struct Confirm {
    /// Show this help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Plan.
    #[options(free, help = "the file that `plan --out` wrote")]
    pub plan: Option<String>,
    /// Platform.
    #[options(no_short, meta = "IP:PORT", help = "the platform's object API")]
    pub platform: Option<String>,
    /// Who.
    #[options(no_short, meta = "NAME", help = "who confirms, for the record")]
    pub who: Option<String>,
    /// VM to ask.
    #[options(no_short, meta = "IP:PORT", help = "a VM to ask until it is in force everywhere")]
    pub vm: Option<String>,
}

/// Flags of commands that ask a VM.
#[derive(Debug, Options)]
pub struct Query {
    /// Show this help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Request.
    #[options(free, help = "a request's id, for `explain`")]
    pub request: Option<String>,
    /// VM.
    #[options(no_short, meta = "IP:PORT", help = "a VM's address for callers")]
    pub vm: Option<String>,
    /// JSON.
    #[options(no_short, help = "print JSON")]
    pub json: bool,
}

/// Flags of `bill`.
#[derive(Debug, Options)]
pub struct Bill {
    /// Show this help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Platform.
    #[options(no_short, meta = "IP:PORT", help = "the platform's object API")]
    pub platform: Option<String>,
    /// Workspace.
    #[options(no_short, meta = "NAME", help = "this workspace only")]
    pub workspace: Option<String>,
    /// JSON.
    #[options(no_short, help = "print JSON")]
    pub json: bool,
}

/// Flags of `check`.
#[derive(Debug, Options)]
pub struct Check {
    /// Show this help.
    #[options(help = "show this help")]
    pub help: bool,
    /// File.
    #[options(free, help = "a history")]
    pub file: Option<String>,
    /// JSON.
    #[options(no_short, help = "print JSON")]
    pub json: bool,
}

/// Flags of `experiment`.
#[derive(Debug, Default, Options)]
pub struct Experiment {
    /// Show this help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Which.
    #[options(
        free,
        help = "cascade, rollout, replica, overload, spread, reading, poison, path, once or slopes"
    )]
    pub name: Option<String>,
    /// Seed.
    #[options(no_short, meta = "N", help = "seed (default 1)")]
    pub seed: Option<String>,
    /// JSON.
    #[options(no_short, help = "print JSON")]
    pub json: bool,
    /// Runs.
    #[options(no_short, meta = "N", help = "rollout: seeds to run (default 1000)")]
    pub runs: Option<String>,
    /// Requests.
    #[options(no_short, meta = "N", help = "requests")]
    pub requests: Option<String>,
    /// VMs.
    #[options(no_short, meta = "N,...", help = "numbers of VMs")]
    pub vms: Option<String>,
    /// Cheap pass share.
    #[options(no_short, meta = "SHARE", help = "cascade: cheap answers that pass (default 70%)")]
    pub cheap_pass: Option<String>,
    /// Rated share.
    #[options(no_short, meta = "SHARE", help = "answers that are rated (default 5%)")]
    pub rated_share: Option<String>,
    /// Rating lag.
    #[options(no_short, meta = "TIME", help = "lag of ratings (default 60s)")]
    pub rating_lag: Option<String>,
    /// Kinds.
    #[options(no_short, meta = "N", help = "cascade: kinds of work (default 4)")]
    pub kinds: Option<String>,
    /// Drift.
    #[options(no_short, meta = "N", help = "cascade: sudden changes on the way (default 0)")]
    pub drift: Option<String>,
    /// Harm.
    #[options(no_short, meta = "SHARE", help = "rollout: bad answers more (default 10%)")]
    pub harm: Option<String>,
    /// Good.
    #[options(no_short, help = "rollout: the version does no harm")]
    pub good: bool,
    /// Report lag.
    #[options(no_short, meta = "TIME", help = "replica: lag of load reports (default 500ms)")]
    pub report_lag: Option<String>,
    /// Replicas.
    #[options(no_short, meta = "N", help = "replicas")]
    pub replicas: Option<String>,
    /// Load.
    #[options(no_short, meta = "F", help = "offered load in shares of the capacity")]
    pub load: Option<String>,
}

/// Flags of `chart`.
#[derive(Debug, Options)]
pub struct Chart {
    /// Show this help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Which.
    #[options(free, help = "request, rollout, server, session or vm")]
    pub name: Option<String>,
}

/// An example of each command, for its help.
pub fn example(command: &str) -> &'static str {
    match command {
        "serve" => {
            "KITEPULLEY_FLEET_KEY=... KITEPULLEY_SESSION_KEYS=k1:... kitepulley serve --vm vm1 \
             --data-centre ulemiste --listen 127.0.0.1:8001 --peer 127.0.0.1:9001 \
             --platform 127.0.0.1:7000"
        }
        "entry" => "KITEPULLEY_CONFIG=node.json kitepulley entry --metrics-port 9464",
        "standin" => "kitepulley standin platform --listen 127.0.0.1:7000",
        "demo" => "kitepulley demo --seed 7 --faults store-down,kill --history run.jsonl",
        "plan" => "kitepulley plan withdraw roastmind v3 --platform 127.0.0.1:7000 --out plan.json",
        "confirm" => {
            "kitepulley confirm plan.json --who mari --platform 127.0.0.1:7000 --vm 127.0.0.1:8001"
        }
        "status" => "kitepulley status --vm 127.0.0.1:8001",
        "explain" => "kitepulley explain vm1-64a1-0 --vm 127.0.0.1:8001",
        "burn" => "kitepulley burn --vm 127.0.0.1:8001",
        "bill" => "kitepulley bill --platform 127.0.0.1:7000 --workspace roasters",
        "check" => "kitepulley check run.jsonl",
        "experiment" => "kitepulley experiment rollout --harm 10% --json",
        _ => "kitepulley chart rollout",
    }
}
