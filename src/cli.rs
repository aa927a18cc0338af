//! Declares the command line; `options.rs` checks the values of its flags.
//!
//! Each flag `--some-name` can also be set by the environment variable `KITEPULLEY_SOME_NAME`.

use gumdrop::Options;

/// A model-aware router for versions and cascades.
#[derive(Debug, Options)]
pub struct Cli {
    /// Prints the help of the command.
    #[options(help = "show this help")]
    pub help: bool,
    /// Prints the version of the program.
    #[options(no_short, help = "show the version")]
    pub version: bool,
    /// Command to run; without one the help is printed.
    #[options(command)]
    pub command: Option<Command>,
}

/// Commands of the program.
#[derive(Debug, Options)]
pub enum Command {
    /// Runs one entry VM, configured by flags.
    #[options(help = "run one entry VM")]
    Serve(Serve),
    /// Runs one entry VM on the users' platform, configured by its settings file.
    #[options(help = "run one entry VM, configured by the platform's settings file")]
    Entry(Entry),
    /// Runs a stand-in for an external system.
    #[options(help = "run a stand-in: platform, engine, service or rating")]
    Standin(Standin),
    /// Runs VMs, stand-ins and callers in one process, injects faults and checks the history.
    #[options(help = "run the whole system in one process, inject faults and check the promises")]
    Demo(Demo),
    /// Prints what declarations or an intent would change.
    #[options(help = "show what declarations or an intent would change, without changing it")]
    Plan(Plan),
    /// Applies a plan that `plan --out` wrote.
    #[options(help = "apply a plan exactly once")]
    Confirm(Confirm),
    /// Prints the configuration, roll-outs and members, as one VM sees them.
    #[options(help = "show the configuration, roll-outs and VMs as one VM sees them")]
    Status(Query),
    /// Prints the decision record of a request.
    #[options(help = "explain how a request was routed")]
    Explain(Query),
    /// Prints the error-budget burn of the objectives over all VMs.
    #[options(help = "report error-budget burn over all VMs")]
    Burn(Query),
    /// Prints the bills that the platform's store holds.
    #[options(help = "read the bills from the platform's store")]
    Bill(Bill),
    /// Checks a recorded history against the promises.
    #[options(help = "check the ten promises against a recorded history")]
    Check(Check),
    /// Runs an experiment and prints its table.
    #[options(help = "measure a decision or a mechanism")]
    Experiment(Experiment),
    /// Prints a state chart as Mermaid source.
    #[options(help = "print a state chart as Mermaid")]
    Chart(Chart),
}

/// Flags of `serve`.
#[derive(Debug, Default, Options)]
pub struct Serve {
    /// Prints the help of the command.
    #[options(help = "show this help")]
    pub help: bool,
    /// Name of the VM, unique among all VMs.
    #[options(no_short, meta = "NAME", help = "the VM's unique name")]
    pub vm: Option<String>,
    /// Data centre that the VM runs in.
    #[options(no_short, meta = "NAME", help = "the VM's data centre")]
    pub data_centre: Option<String>,
    /// Address that serves callers (HTTP).
    #[options(no_short, meta = "IP:PORT", help = "address that serves callers (HTTP)")]
    pub listen: Option<String>,
    /// Address for messages of other VMs (UDP).
    #[options(no_short, meta = "IP:PORT", help = "address for messages of other VMs (UDP)")]
    pub peer: Option<String>,
    /// Address of the platform's object API.
    #[options(no_short, meta = "IP:PORT", help = "the platform's object API")]
    pub platform: Option<String>,
    /// Address of the service that rates answers; without it no answer is rated.
    #[options(no_short, meta = "IP:PORT", help = "the service that rates answers")]
    pub rating: Option<String>,
    /// Peer addresses of VMs to join through.
    #[options(
        no_short,
        meta = "IP:PORT,...",
        help = "peer addresses of other VMs to join through"
    )]
    pub seed: Option<String>,
    /// Number of HTTP worker threads.
    #[options(no_short, meta = "N", help = "threads that serve callers (default 2)")]
    pub workers: Option<String>,
    /// Longest time that a graceful shutdown waits for open requests.
    #[options(no_short, meta = "TIME", help = "timeout of a graceful shutdown (default 30s)")]
    pub stop_within: Option<String>,
    /// Largest request body.
    #[options(no_short, meta = "SIZE", help = "largest request body (default 1MB)")]
    pub body_limit: Option<String>,
    /// Memory of the VM, of which clients may take a fifth.
    #[options(
        no_short,
        meta = "SIZE",
        help = "memory of the VM; clients may take a fifth of it (default 1000MB)"
    )]
    pub memory: Option<String>,
    /// Connections of clients that may be open.
    #[options(
        no_short,
        meta = "N",
        help = "connections of clients (default: about half of the file descriptors)"
    )]
    pub client_connections: Option<String>,
    /// Share of answers that are sent to the rating service.
    #[options(no_short, meta = "SHARE", help = "share of answers to rate (default 5%)")]
    pub rated_share: Option<String>,
    /// Shortest time in which the share of a roll-out may double.
    #[options(
        no_short,
        meta = "TIME",
        help = "shortest time in which a roll-out's share doubles (default 150s)"
    )]
    pub rollout_doubling: Option<String>,
}

/// Flags of `entry`.
#[derive(Debug, Default, Options)]
pub struct Entry {
    /// Prints the help of the command.
    #[options(help = "show this help")]
    pub help: bool,
    /// Port of the metrics endpoint; without it there is none.
    #[options(
        no_short,
        meta = "PORT",
        help = "port of the metrics endpoint on the VM's own address"
    )]
    pub metrics_port: Option<String>,
    /// Local address of connections to backend servers.
    #[options(
        no_short,
        meta = "IP",
        help = "local address of connections to backend servers, on a VM that has several (default: any)"
    )]
    pub source_ip: Option<String>,
    /// Confidence, in percent, from which an answer of a small model is not escalated.
    #[options(
        no_short,
        meta = "PERCENT",
        help = "keep answers of a small model from this confidence on, however idle servers are (default 60)"
    )]
    pub keep_confidence: Option<String>,
    /// Connections of clients that may be open.
    #[options(
        no_short,
        meta = "N",
        help = "connections of clients (default: about half of the file descriptors)"
    )]
    pub client_connections: Option<String>,
}

/// Flags of `standin`.
#[derive(Debug, Options)]
pub struct Standin {
    /// Prints the help of the command.
    #[options(help = "show this help")]
    pub help: bool,
    /// Which system to stand in for: `platform`, `engine`, `service` or `rating`.
    #[options(free, help = "platform, engine, service or rating")]
    pub which: Option<String>,
    /// Address to listen on.
    #[options(no_short, meta = "IP:PORT", help = "address to listen on")]
    pub listen: Option<String>,
    /// Name of the server.
    #[options(no_short, meta = "NAME", help = "engine, service: name of the server")]
    pub name: Option<String>,
    /// Versions that an engine serves, each with the share of its answers that are good.
    #[options(
        no_short,
        meta = "MODEL@VERSION=QUALITY,...",
        help = "engine: versions, each with the share of its answers that are good"
    )]
    pub versions: Option<String>,
    /// Requests that an engine runs concurrently.
    #[options(no_short, meta = "N", help = "engine: concurrent requests (default 16)")]
    pub slots: Option<String>,
    /// Time that an engine needs per token.
    #[options(no_short, meta = "TIME", help = "engine: time per token (default 5ms)")]
    pub token_time: Option<String>,
    /// Delay of an engine's load reports, or of ratings.
    #[options(no_short, meta = "TIME", help = "delay of load reports or ratings (default 500ms)")]
    pub lag: Option<String>,
}

/// Flags of `demo`.
#[derive(Debug, Options)]
pub struct Demo {
    /// Prints the help of the command.
    #[options(help = "show this help")]
    pub help: bool,
    /// Number of requests to send.
    #[options(no_short, meta = "N", help = "requests to send (default 6000)")]
    pub requests: Option<String>,
    /// Seed of the random numbers that draw the workload and the faults.
    #[options(no_short, meta = "N", help = "seed of the workload and the faults (default 1)")]
    pub seed: Option<String>,
    /// Number of entry VMs at the start.
    #[options(no_short, meta = "N", help = "entry VMs at the start (default 3)")]
    pub vms: Option<String>,
    /// Faults to inject: names joined by `+` (together) and `,` (in turn), or a preset.
    #[options(no_short, meta = "LIST", help = "faults to inject, `all`, `pairs` or `none`")]
    pub faults: Option<String>,
    /// File that the recorded history is written to, one JSON event a line.
    #[options(no_short, meta = "FILE", help = "write the recorded history to this file")]
    pub history: Option<String>,
}

/// Flags of `plan`.
#[derive(Debug, Options)]
pub struct Plan {
    /// Prints the help of the command.
    #[options(help = "show this help")]
    pub help: bool,
    /// Path of declarations, or the words of an intent.
    #[options(free, help = "a file or folder of declarations, or an intent in words")]
    pub wish: Vec<String>,
    /// Address of the platform's object API.
    #[options(no_short, meta = "IP:PORT", help = "the platform's object API")]
    pub platform: Option<String>,
    /// File that the plan is written to, for `confirm`.
    #[options(no_short, meta = "FILE", help = "write the plan to this file, for `confirm`")]
    pub out: Option<String>,
    /// Prints JSON instead of text.
    #[options(no_short, help = "print JSON")]
    pub json: bool,
}

/// Flags of `confirm`.
#[derive(Debug, Options)]
pub struct Confirm {
    /// Prints the help of the command.
    #[options(help = "show this help")]
    pub help: bool,
    /// Path of the plan.
    #[options(free, help = "the file that `plan --out` wrote")]
    pub plan: Option<String>,
    /// Address of the platform's object API.
    #[options(no_short, meta = "IP:PORT", help = "the platform's object API")]
    pub platform: Option<String>,
    /// Name of the operator, recorded with the revision.
    #[options(no_short, meta = "NAME", help = "name of the operator, for the record")]
    pub who: Option<String>,
    /// VM that is polled until the revision is in force everywhere; without it nothing is awaited.
    #[options(no_short, meta = "IP:PORT", help = "VM to poll until it is in force everywhere")]
    pub vm: Option<String>,
}

/// Flags of the commands that query a VM: `status`, `explain` and `burn`.
#[derive(Debug, Options)]
pub struct Query {
    /// Prints the help of the command.
    #[options(help = "show this help")]
    pub help: bool,
    /// Id of the request to explain.
    #[options(free, help = "id of a request, for `explain`")]
    pub request: Option<String>,
    /// Address at which the VM serves callers.
    #[options(no_short, meta = "IP:PORT", help = "address at which the VM serves callers")]
    pub vm: Option<String>,
    /// Prints JSON instead of text.
    #[options(no_short, help = "print JSON")]
    pub json: bool,
}

/// Flags of `bill`.
#[derive(Debug, Options)]
pub struct Bill {
    /// Prints the help of the command.
    #[options(help = "show this help")]
    pub help: bool,
    /// Address of the platform's object API.
    #[options(no_short, meta = "IP:PORT", help = "the platform's object API")]
    pub platform: Option<String>,
    /// Workspace whose bills are printed; all if none is given.
    #[options(no_short, meta = "NAME", help = "this workspace only")]
    pub workspace: Option<String>,
    /// Prints JSON instead of text.
    #[options(no_short, help = "print JSON")]
    pub json: bool,
}

/// Flags of `check`.
#[derive(Debug, Options)]
pub struct Check {
    /// Prints the help of the command.
    #[options(help = "show this help")]
    pub help: bool,
    /// Path of the history, one JSON event a line.
    #[options(free, help = "file of a recorded history")]
    pub file: Option<String>,
    /// Prints JSON instead of text.
    #[options(no_short, help = "print JSON")]
    pub json: bool,
}

/// Flags of `experiment`.
#[derive(Debug, Default, Options)]
pub struct Experiment {
    /// Prints the help of the command.
    #[options(help = "show this help")]
    pub help: bool,
    /// Name of the experiment.
    #[options(
        free,
        help = "cascade, rollout, replica, overload, spread, reading, poison, path, once or slopes"
    )]
    pub name: Option<String>,
    /// Seed of the random numbers.
    #[options(no_short, meta = "N", help = "seed (default 1)")]
    pub seed: Option<String>,
    /// Prints JSON instead of text.
    #[options(no_short, help = "print JSON")]
    pub json: bool,
    /// Number of runs, each with its own seed.
    #[options(no_short, meta = "N", help = "rollout: seeds to run (default 1000)")]
    pub runs: Option<String>,
    /// Number of requests.
    #[options(no_short, meta = "N", help = "number of requests")]
    pub requests: Option<String>,
    /// Fleet sizes to measure.
    #[options(no_short, meta = "N,...", help = "fleet sizes, in VMs")]
    pub vms: Option<String>,
    /// Share of the cheap model's answers that pass.
    #[options(
        no_short,
        meta = "SHARE",
        help = "cascade: share of cheap answers that pass (default 70%)"
    )]
    pub cheap_pass: Option<String>,
    /// Share of answers that are sent to the rating service.
    #[options(no_short, meta = "SHARE", help = "share of answers that are rated (default 5%)")]
    pub rated_share: Option<String>,
    /// Delay between an answer and its rating.
    #[options(no_short, meta = "TIME", help = "delay of ratings (default 60s)")]
    pub rating_lag: Option<String>,
    /// Number of kinds of work.
    #[options(no_short, meta = "N", help = "cascade: kinds of work (default 4)")]
    pub kinds: Option<String>,
    /// Number of abrupt quality changes during the run.
    #[options(
        no_short,
        meta = "N",
        help = "cascade: abrupt quality changes during the run (default 0)"
    )]
    pub drift: Option<String>,
    /// Additional share of bad answers of the new version.
    #[options(
        no_short,
        meta = "SHARE",
        help = "rollout: additional share of bad answers (default 10%)"
    )]
    pub harm: Option<String>,
    /// Makes the new version as good as the old one.
    #[options(no_short, help = "rollout: the version does no harm")]
    pub good: bool,
    /// Delay of load reports.
    #[options(no_short, meta = "TIME", help = "replica: delay of load reports (default 500ms)")]
    pub report_lag: Option<String>,
    /// Number of replicas.
    #[options(no_short, meta = "N", help = "number of replicas")]
    pub replicas: Option<String>,
    /// Offered load, as a fraction of the capacity.
    #[options(no_short, meta = "F", help = "offered load, as a fraction of the capacity")]
    pub load: Option<String>,
}

/// Flags of `chart`.
#[derive(Debug, Options)]
pub struct Chart {
    /// Prints the help of the command.
    #[options(help = "show this help")]
    pub help: bool,
    /// Name of the chart.
    #[options(free, help = "request, rollout, server, session or vm")]
    pub name: Option<String>,
}

/// Returns an example of a command line, for the help of the command.
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
