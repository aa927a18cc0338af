//! A run of the demo: work, a roll-out of a bad version, faults in turn, and the verdict.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::caller::{self, Balancer, Progress};
use super::fault::Fault;
use super::world::intend;
use super::{Shape, World, work};
use crate::command::block;
use crate::error::Error;
use crate::history::{Event, Report, judge};
use crate::ledger;
use crate::platform::Store;
use crate::standin::engine;
use crate::standin::platform::Switches;
use crate::unit::{Span, Target, Vm};
use crate::vm::ROOT_KEY;
use crate::watch::{ObjectiveCounts, burn_table};

/// How long a fault that ends by itself lasts.
const LASTS: Duration = Duration::from_millis(1500);

/// A pause lasts longer than a VM's permit.
const PAUSE: Duration = Duration::from_secs(10);

/// The list of VMs lags by so much.
const LIST_LAG: Duration = Duration::from_millis(1500);

/// Answers lost in a fault of that name.
const LOST: u32 = 12;

/// Share of the work after which the roll-out begins.
const ROLLOUT_AT: f64 = 0.08;

/// A run that makes no progress for this long is broken.
const STALLED: Duration = Duration::from_secs(60);

/// What to run.
pub struct Scenario {
    /// Requests.
    pub requests: usize,
    /// Seed of work and faults.
    pub seed: u64,
    /// Faults, several at once in one group, the groups in turn.
    pub faults: Vec<Vec<Fault>>,
    /// How much there is of everything.
    pub shape: Shape,
    /// Whether to print progress.
    pub tell: bool,
}

/// What came of it.
pub struct Outcome {
    /// The verdicts.
    pub report: Report,
    /// The world, whose history may be saved.
    pub world: World,
    /// What happened, in words.
    pub told: Vec<String>,
    /// The burn report.
    pub burn: String,
    /// Requests answered whole, refused, broken.
    pub counts: (usize, usize, usize),
    /// How long the work took.
    pub took: Duration,
}

struct Run {
    world: World,
    balancer: Balancer,
    rng: SmallRng,
    told: Vec<String>,
    tell: bool,
    began: Instant,
    burn: Vec<ObjectiveCounts>,
}

/// Runs a scenario.
///
/// # Errors
/// If something cannot be started.
pub fn run(scenario: &Scenario) -> Result<Outcome, Error> {
    let world = World::start(&scenario.shape)?;
    let mut run = Run {
        balancer: Balancer::default(),
        rng: SmallRng::seed_from_u64(scenario.seed),
        told: Vec::new(),
        tell: scenario.tell,
        began: Instant::now(),
        burn: Vec::new(),
        world,
    };
    run.balance();
    let all = Arc::new(work::draw(scenario.seed, scenario.requests));
    let progress = Arc::new(Progress::default());
    let callers = {
        let (all, progress) = (all.clone(), progress.clone());
        let (balancer, history) = (run.balancer.clone(), run.world.history.clone());
        std::thread::spawn(move || caller::run(&all, &balancer, &history, &progress))
    };
    run.direct(scenario, all.len(), &progress)?;
    let _ = callers.join();
    let took = run.began.elapsed();
    run.finish();
    let report = judge(&run.world.history.lines());
    let load = |counter: &std::sync::atomic::AtomicUsize| counter.load(Ordering::Relaxed);
    Ok(Outcome {
        report,
        burn: burn_table(run.burn),
        told: run.told,
        counts: (load(&progress.whole), load(&progress.refused), load(&progress.broken)),
        took,
        world: run.world,
    })
}

impl Run {
    fn tell(&mut self, words: String) {
        let line = format!("{:>6.1}s  {words}", self.began.elapsed().as_secs_f64());
        if self.tell {
            println!("{line}");
        }
        self.told.push(line);
    }

    fn balance(&self) {
        let ready = |node: &super::Node| (node.vm.settings.vm.clone(), node.address);
        self.balancer.set(self.world.nodes.values().map(ready).collect());
    }

    /// Waits until a share of the work is taken.
    fn wait(&mut self, progress: &Progress, until: usize) -> Result<(), Error> {
        let mut last = (0, Instant::now());
        loop {
            let taken = progress.taken.load(Ordering::Relaxed);
            if taken >= until {
                return Ok(());
            }
            if taken != last.0 {
                last = (taken, Instant::now());
            } else if last.1.elapsed() > STALLED {
                let what = format!("No request ended for {STALLED:?}; {taken} were sent.");
                return Err(Error::Unreachable(what));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn direct(
        &mut self,
        scenario: &Scenario,
        all: usize,
        progress: &Progress,
    ) -> Result<(), Error> {
        self.wait(progress, (all as f64 * ROLLOUT_AT) as usize)?;
        match intend(self.world.platform_at, "roll out roastmind v4", "mari") {
            Ok(revision) => self.tell(format!("mari: roll out roastmind v4 (revision {revision})")),
            Err(fault) => self.tell(format!("mari's roll-out was refused: {fault}")),
        }
        let groups = scenario.faults.len();
        for (i, group) in scenario.faults.iter().enumerate() {
            let share = 0.15 + 0.7 * i as f64 / groups.max(1) as f64;
            self.wait(progress, (all as f64 * share) as usize)?;
            self.group(group)?;
        }
        self.wait(progress, (all as f64 * 0.92) as usize)?;
        self.withdraw();
        self.wait(progress, all)
    }

    fn withdraw(&mut self) {
        let target: Target = "roastmind@v4".parse().expect("a name of the demo");
        let withdrawn =
            self.world.nodes.values().any(|n| n.vm.config().root.withdrawn.contains(&target));
        if withdrawn {
            self.tell("the system had withdrawn roastmind v4 by itself".to_owned());
            return;
        }
        match intend(self.world.platform_at, "withdraw roastmind v4", "juri") {
            Ok(revision) => {
                let accepted = self.world.accepted(revision, Span::secs(15));
                self.tell(format!("juri: withdraw roastmind v4 (revision {revision}, in force everywhere: {accepted})"));
            }
            Err(fault) => self.tell(format!("juri's withdrawal was refused: {fault}")),
        }
    }

    /// Causes the faults of a group at once, and mends what mends.
    fn group(&mut self, group: &[Fault]) -> Result<(), Error> {
        let names: Vec<String> = group.iter().map(ToString::to_string).collect();
        let name = names.join("+");
        self.tell(format!("fault: {name}"));
        self.note(&name, true);
        let mut switches = Switches::default();
        for fault in group {
            match fault {
                Fault::StoreDown => switches.down = true,
                Fault::StoreSlow => switches.slow_ms = 250,
                Fault::AnswerLost => switches.lose = LOST,
                Fault::WatchQuiet => switches.quiet = true,
                _ => {}
            }
        }
        self.world.platform.switch(switches);
        let mut paused = false;
        for fault in group {
            paused |= *fault == Fault::Pause;
            self.cause(*fault)?;
        }
        std::thread::sleep(LASTS);
        self.mend(group);
        if paused {
            std::thread::sleep(PAUSE.saturating_sub(LASTS));
        }
        self.note(&name, false);
        self.balance();
        Ok(())
    }

    fn note(&self, name: &str, began: bool) {
        self.world.history.record(|| Event::Fault { name: name.to_owned(), began });
    }

    fn any_vm(&mut self) -> Vm {
        let at = self.rng.random_range(0..self.world.nodes.len());
        self.world.nodes.keys().nth(at).expect("some VM runs").clone()
    }

    fn cause(&mut self, fault: Fault) -> Result<(), Error> {
        match fault {
            Fault::Stop | Fault::Kill => self.replace(fault == Fault::Stop)?,
            Fault::Pause => {
                let vm = self.any_vm();
                self.tell(format!("{vm} is paused for {PAUSE:?}"));
                self.world.nodes[&vm].pause(PAUSE);
            }
            Fault::LinkCut => {
                let vm = self.any_vm();
                let others = self.world.nodes.values().filter(|n| n.vm.settings.vm != vm);
                let others: HashSet<_> = others.map(|node| node.peer).collect();
                self.world.nodes[&vm].cut(others);
            }
            Fault::RegionCut => self.cut_regions(),
            Fault::Race => self.race(),
            Fault::Leave => {
                let at = self.rng.random_range(0..self.world.engines.len());
                let leaving = engine::Switches { leaving: true, ..engine::Switches::default() };
                self.world.engines[at].switch(leaving);
            }
            Fault::Cut => {
                self.engines(&engine::Switches { cut_after: Some(5), ..Default::default() })
            }
            Fault::Noise => self.engines(&engine::Switches { noise: true, ..Default::default() }),
            Fault::RatingsStop => self.world.rater.silence(true),
            Fault::StoreDown | Fault::StoreSlow | Fault::AnswerLost | Fault::WatchQuiet => {}
        }
        Ok(())
    }

    /// Sets the switches of a few engines that are not leaving.
    fn engines(&self, switches: &engine::Switches) {
        for engine in self.world.engines.iter().take(4) {
            engine.turn(|now| {
                now.cut_after = switches.cut_after;
                now.noise = switches.noise;
            });
        }
    }

    fn mend(&mut self, group: &[Fault]) {
        self.world.platform.switch(Switches::default());
        for fault in group {
            match fault {
                Fault::LinkCut | Fault::RegionCut => {
                    self.world.nodes.values().for_each(|node| node.cut(HashSet::new()));
                }
                Fault::Cut | Fault::Noise => self.engines(&engine::Switches::default()),
                Fault::RatingsStop => self.world.rater.silence(false),
                _ => {}
            }
        }
    }

    /// Replaces a VM; the new one may have to start without the store.
    fn replace(&mut self, planned: bool) -> Result<(), Error> {
        let vm = self.any_vm();
        let node = self.world.nodes.remove(&vm).expect("it runs");
        self.balance();
        if planned {
            let cut = node.stop();
            self.tell(format!("{vm} stopped as planned; {cut} request(s) cut off"));
        } else {
            node.kill();
            self.tell(format!("{vm} was killed"));
        }
        std::thread::sleep(LIST_LAG);
        let new = self.world.add_vm()?;
        self.tell(format!("{new} takes its place"));
        self.balance();
        Ok(())
    }

    fn cut_regions(&self) {
        for node in self.world.nodes.values() {
            let home = &node.vm.settings.data_centre;
            let others = self.world.nodes.values();
            let far = others.filter(|other| other.vm.settings.data_centre != *home);
            node.cut(far.map(|other| other.peer).collect());
        }
    }

    fn race(&mut self) {
        let outcomes = std::thread::scope(|scope| {
            let at = self.world.platform_at;
            let one = scope.spawn(move || intend(at, "drain data centre kadriorg", "mari"));
            let two = scope.spawn(move || intend(at, "drain data centre ulemiste", "juri"));
            [one.join(), two.join()]
        });
        let mut won = 0;
        for outcome in outcomes {
            match outcome {
                Ok(Ok(_)) => won += 1,
                Ok(Err(fault)) => self.tell(format!("one operator was told: {fault}")),
                Err(_) => {}
            }
        }
        self.tell(format!("{won} of two racing plans took effect"));
        for name in ["kadriorg", "ulemiste"] {
            let _ = intend(self.world.platform_at, &format!("fill data centre {name}"), "mari");
        }
    }

    /// Stops all VMs as planned, gathers the bills, and notes them.
    fn finish(&mut self) {
        let date = crate::vm::Clock::default().date();
        for node in self.world.nodes.values() {
            self.burn.extend(node.vm.burn.lock().expect("no panic while held").counts(date));
        }
        // Peers bring the bills of the killed to the store; give them the time they state.
        std::thread::sleep(Duration::from_secs(7));
        let names: Vec<Vm> = self.world.nodes.keys().cloned().collect();
        for name in names {
            if let Some(node) = self.world.nodes.remove(&name) {
                node.stop();
            }
        }
        let store = Store::new(self.world.platform_at);
        let bills = block(ledger::read_all(&store)).unwrap_or_default();
        for bill in &bills {
            self.world.history.record(|| Event::Billed {
                request: bill.request.clone(),
                workspace: bill.workspace.clone(),
                cost: bill.cost().0,
            });
        }
        let calls = self.world.platform.calls();
        let roots = self.world.platform.bodies(ROOT_KEY).len();
        self.tell(format!(
            "{} bills in the store; {} reads, {} watches, {} writes of the platform, {roots} root",
            bills.len(),
            calls.reads,
            calls.watches,
            calls.writes
        ));
        self.world.end();
    }
}
