//! A run of the demo: callers, a roll-out of a bad version, groups of faults, and the verdicts.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::caller::{self, Balancer, Progress};
use super::cluster::apply_intent;
use super::fault::Fault;
use super::{Cluster, Shape, work};
use crate::command::block_on;
use crate::error::Error;
use crate::history::{Event, Report, judge};
use crate::ledger;
use crate::platform::Store;
use crate::standin::engine;
use crate::standin::platform::Switches;
use crate::unit::{Span, Target, Vm};
use crate::vm::ROOT_KEY;
use crate::watch::{ObjectiveCounts, burn_table};

/// Duration of a fault that is cleared.
const FAULT_DURATION: Duration = Duration::from_millis(1500);

/// Duration of `Fault::Pause`, longer than a VM's start lease.
const PAUSE_DURATION: Duration = Duration::from_secs(10);

/// Delay after which the platform's list shows that a VM is gone.
const LIST_LAG: Duration = Duration::from_millis(1500);

/// Responses that `Fault::AnswerLost` loses.
const LOST_ANSWERS: u32 = 12;

/// Fraction of the work after which the roll-out starts.
const ROLLOUT_AT: f64 = 0.08;

/// Time without progress after which a run fails.
const STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Parameters of a run.
pub struct Scenario {
    /// Number of requests to send.
    pub requests: usize,
    /// Seed of the workload and the faults.
    pub seed: u64,
    /// Groups of faults: a group is injected together, the groups one after the other.
    pub faults: Vec<Vec<Fault>>,
    /// Size and timing of the cluster.
    pub shape: Shape,
    /// Prints each line of the log as it is written.
    pub verbose: bool,
}

/// Result of a run.
pub struct Outcome {
    /// Verdicts on the promises.
    pub report: Report,
    /// The cluster with the recorded history; its servers have stopped.
    pub cluster: Cluster,
    /// Log lines of the run, each with the time since its start.
    pub log: Vec<String>,
    /// Error-budget burn of the objectives, as text.
    pub burn: String,
    /// Number of complete answers, refusals and broken answers.
    pub counts: (usize, usize, usize),
    /// Time until all work was finished.
    pub duration: Duration,
}

struct Run {
    cluster: Cluster,
    balancer: Balancer,
    rng: SmallRng,
    log_lines: Vec<String>,
    verbose: bool,
    started_at: Instant,
    burn: Vec<ObjectiveCounts>,
}

/// Runs a scenario.
///
/// # Errors
/// If a server cannot be started, or the run makes no progress.
pub fn run(scenario: &Scenario) -> Result<Outcome, Error> {
    let cluster = Cluster::start(&scenario.shape)?;
    let mut run = Run {
        balancer: Balancer::default(),
        rng: SmallRng::seed_from_u64(scenario.seed),
        log_lines: Vec::new(),
        verbose: scenario.verbose,
        started_at: Instant::now(),
        burn: Vec::new(),
        cluster,
    };
    run.update_balancer();
    let all = Arc::new(work::draw(scenario.seed, scenario.requests));
    let progress = Arc::new(Progress::default());
    let callers = {
        let (all, progress) = (all.clone(), progress.clone());
        let (balancer, history) = (run.balancer.clone(), run.cluster.history.clone());
        std::thread::spawn(move || caller::run(&all, &balancer, &history, &progress))
    };
    run.run_faults(scenario, all.len(), &progress)?;
    let _ = callers.join();
    let duration = run.started_at.elapsed();
    run.finish();
    let report = judge(&run.cluster.history.lines());
    let load = |counter: &std::sync::atomic::AtomicUsize| counter.load(Ordering::Relaxed);
    Ok(Outcome {
        report,
        burn: burn_table(run.burn),
        log: run.log_lines,
        counts: (load(&progress.whole), load(&progress.refused), load(&progress.broken)),
        duration,
        cluster: run.cluster,
    })
}

impl Run {
    fn log(&mut self, text: String) {
        let line = format!("{:>6.1}s  {text}", self.started_at.elapsed().as_secs_f64());
        if self.verbose {
            println!("{line}");
        }
        self.log_lines.push(line);
    }

    fn update_balancer(&self) {
        let ready = |node: &super::Node| (node.vm.settings.vm.clone(), node.address);
        self.balancer.set(self.cluster.nodes.values().map(ready).collect());
    }

    /// Waits until callers have taken this many units of work.
    fn wait_for_progress(&mut self, progress: &Progress, until: usize) -> Result<(), Error> {
        let mut last = (0, Instant::now());
        loop {
            let taken = progress.taken.load(Ordering::Relaxed);
            if taken >= until {
                return Ok(());
            }
            if taken != last.0 {
                last = (taken, Instant::now());
            } else if last.1.elapsed() > STALL_TIMEOUT {
                let what =
                    format!("No progress for {STALL_TIMEOUT:?}; {taken} units of work were taken.");
                return Err(Error::Unreachable(what));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn run_faults(
        &mut self,
        scenario: &Scenario,
        all: usize,
        progress: &Progress,
    ) -> Result<(), Error> {
        self.wait_for_progress(progress, (all as f64 * ROLLOUT_AT) as usize)?;
        match apply_intent(self.cluster.platform_address, "roll out roastmind v4", "mari") {
            Ok(revision) => self.log(format!("mari: roll out roastmind v4 (revision {revision})")),
            Err(fault) => self.log(format!("mari's roll-out was refused: {fault}")),
        }
        let groups = scenario.faults.len();
        for (i, group) in scenario.faults.iter().enumerate() {
            let share = 0.15 + 0.7 * i as f64 / groups.max(1) as f64;
            self.wait_for_progress(progress, (all as f64 * share) as usize)?;
            self.run_fault_group(group)?;
        }
        self.wait_for_progress(progress, (all as f64 * 0.92) as usize)?;
        self.withdraw();
        self.wait_for_progress(progress, all)
    }

    fn withdraw(&mut self) {
        let target: Target = "roastmind@v4".parse().expect("a name of the demo");
        let withdrawn =
            self.cluster.nodes.values().any(|n| n.vm.config().root.withdrawn.contains(&target));
        if withdrawn {
            self.log("roastmind v4 was already withdrawn automatically".to_owned());
            return;
        }
        match apply_intent(self.cluster.platform_address, "withdraw roastmind v4", "juri") {
            Ok(revision) => {
                let accepted = self.cluster.wait_accepted(revision, Span::secs(15));
                let state = format!("revision {revision}, in force everywhere: {accepted}");
                self.log(format!("juri: withdraw roastmind v4 ({state})"));
            }
            Err(fault) => self.log(format!("juri's withdrawal was refused: {fault}")),
        }
    }

    /// Injects the faults of a group together and clears those that can be cleared.
    fn run_fault_group(&mut self, group: &[Fault]) -> Result<(), Error> {
        let names: Vec<String> = group.iter().map(ToString::to_string).collect();
        let name = names.join("+");
        self.log(format!("fault: {name}"));
        self.record_fault(&name, true);
        let mut switches = Switches::default();
        for fault in group {
            match fault {
                Fault::StoreDown => switches.is_down = true,
                Fault::StoreSlow => switches.slow_ms = 250,
                Fault::AnswerLost => switches.lose = LOST_ANSWERS,
                Fault::WatchQuiet => switches.hides_changes = true,
                _ => {}
            }
        }
        self.cluster.platform.set_switches(switches);
        let mut paused = false;
        for fault in group {
            paused |= *fault == Fault::Pause;
            self.inject(*fault)?;
        }
        std::thread::sleep(FAULT_DURATION);
        self.clear_faults(group);
        if paused {
            std::thread::sleep(PAUSE_DURATION.saturating_sub(FAULT_DURATION));
        }
        self.record_fault(&name, false);
        self.update_balancer();
        Ok(())
    }

    fn record_fault(&self, name: &str, is_start: bool) {
        self.cluster.history.record(|| Event::Fault { name: name.to_owned(), is_start });
    }

    fn random_vm(&mut self) -> Vm {
        let at = self.rng.random_range(0..self.cluster.nodes.len());
        self.cluster.nodes.keys().nth(at).expect("some VM runs").clone()
    }

    fn inject(&mut self, fault: Fault) -> Result<(), Error> {
        match fault {
            Fault::Stop | Fault::Kill => self.replace(fault == Fault::Stop)?,
            Fault::Pause => {
                let vm = self.random_vm();
                self.log(format!("{vm} is paused for {PAUSE_DURATION:?}"));
                self.cluster.nodes[&vm].pause(PAUSE_DURATION);
            }
            Fault::LinkCut => {
                let vm = self.random_vm();
                let others = self.cluster.nodes.values().filter(|n| n.vm.settings.vm != vm);
                let others: HashSet<_> = others.map(|node| node.peer).collect();
                self.cluster.nodes[&vm].cut_links(others);
            }
            Fault::RegionCut => self.cut_regions(),
            Fault::Race => self.race_operators(),
            Fault::Leave => {
                let at = self.rng.random_range(0..self.cluster.engines.len());
                let leaving = engine::Switches { is_draining: true, ..engine::Switches::default() };
                self.cluster.engines[at].set_switches(leaving);
            }
            Fault::Cut => self
                .set_engine_faults(&engine::Switches { cut_after: Some(5), ..Default::default() }),
            Fault::Noise => self.set_engine_faults(&engine::Switches {
                sends_foreign_frames: true,
                ..Default::default()
            }),
            Fault::RatingsStop => self.cluster.rater.set_silent(true),
            Fault::StoreDown | Fault::StoreSlow | Fault::AnswerLost | Fault::WatchQuiet => {}
        }
        Ok(())
    }

    /// Sets cut and noise of the first four engines; a drain that was announced stays.
    fn set_engine_faults(&self, switches: &engine::Switches) {
        for engine in self.cluster.engines.iter().take(4) {
            engine.update_switches(|now| {
                now.cut_after = switches.cut_after;
                now.sends_foreign_frames = switches.sends_foreign_frames;
            });
        }
    }

    fn clear_faults(&mut self, group: &[Fault]) {
        self.cluster.platform.set_switches(Switches::default());
        for fault in group {
            match fault {
                Fault::LinkCut | Fault::RegionCut => {
                    self.cluster.nodes.values().for_each(|node| node.cut_links(HashSet::new()));
                }
                Fault::Cut | Fault::Noise => self.set_engine_faults(&engine::Switches::default()),
                Fault::RatingsStop => self.cluster.rater.set_silent(false),
                _ => {}
            }
        }
    }

    /// Stops a VM and starts another, possibly while the store is down.
    fn replace(&mut self, planned: bool) -> Result<(), Error> {
        let vm = self.random_vm();
        let node = self.cluster.nodes.remove(&vm).expect("it runs");
        self.update_balancer();
        if planned {
            let cut = node.stop();
            self.log(format!("{vm} shut down gracefully; {cut} request(s) cut off"));
        } else {
            node.kill();
            self.log(format!("{vm} was killed"));
        }
        std::thread::sleep(LIST_LAG);
        let new = self.cluster.add_vm()?;
        self.log(format!("{new} replaces it"));
        self.update_balancer();
        Ok(())
    }

    fn cut_regions(&self) {
        for node in self.cluster.nodes.values() {
            let home = &node.vm.settings.data_centre;
            let others = self.cluster.nodes.values();
            let far = others.filter(|other| other.vm.settings.data_centre != *home);
            node.cut_links(far.map(|other| other.peer).collect());
        }
    }

    fn race_operators(&mut self) {
        let outcomes = std::thread::scope(|scope| {
            let at = self.cluster.platform_address;
            let one = scope.spawn(move || apply_intent(at, "drain data centre kadriorg", "mari"));
            let two = scope.spawn(move || apply_intent(at, "drain data centre ulemiste", "juri"));
            [one.join(), two.join()]
        });
        let mut won = 0;
        for outcome in outcomes {
            match outcome {
                Ok(Ok(_)) => won += 1,
                Ok(Err(fault)) => self.log(format!("one operator was refused: {fault}")),
                Err(_) => {}
            }
        }
        self.log(format!("{won} of two racing plans took effect"));
        for name in ["kadriorg", "ulemiste"] {
            let _ = apply_intent(
                self.cluster.platform_address,
                &format!("fill data centre {name}"),
                "mari",
            );
        }
    }

    /// Collects the burn counts (requests, and those that missed an objective) of the VMs, shuts
    /// them down gracefully, records the bills found in the store in the history, and stops the
    /// stand-ins.
    fn finish(&mut self) {
        let date = crate::vm::Clock::default().date();
        for node in self.cluster.nodes.values() {
            self.burn.extend(node.vm.burn.lock().expect("no panic while held").counts(date));
        }
        // Peers write the bills of killed VMs to the store; wait as long as they may take.
        std::thread::sleep(Duration::from_secs(7));
        let names: Vec<Vm> = self.cluster.nodes.keys().cloned().collect();
        for name in names {
            if let Some(node) = self.cluster.nodes.remove(&name) {
                node.stop();
            }
        }
        let store = Store::new(self.cluster.platform_address);
        let bills = block_on(ledger::read_all(&store)).unwrap_or_default();
        for bill in &bills {
            self.cluster.history.record(|| Event::Billed {
                request: bill.request.clone(),
                workspace: bill.workspace.clone(),
                cost: bill.cost().0,
            });
        }
        let calls = self.cluster.platform.calls();
        let roots = self.cluster.platform.specs_with_prefix(ROOT_KEY).len();
        self.log(format!(
            "{} bills in the store; {} reads, {} watches, {} writes of the platform, {roots} root",
            bills.len(),
            calls.reads,
            calls.watches,
            calls.writes
        ));
        self.cluster.stop_standins();
    }
}
