//! Model check of the lease on a duty: processes with drifting clocks that freeze, restart and lose
//! answers, writes that take effect late, and a store that is restored from backups. No two holders
//! may act at the same time, whatever the order of events.

mod one_holder;

use std::collections::BTreeMap;
use std::time::Duration;

use kitepulley::decide::lease::{Lease, Terms};
use kitepulley::unit::{Era, Fence, Moment, Span};
use one_holder::{Call, broken_rule};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const TERMS: Terms = Terms { duration: Span::secs(3), call_time: Span::millis(800) };

/// Longest wait for an answer of the store, after which a write counts as uncertain.
const STORE_TIMEOUT_MS: u64 = 1200;

const STEP_MS: u64 = 20;
const RUN_MS: u64 = 60_000;
const VMS: usize = 3;

/// From when the holder counts its lease.
#[derive(Clone, Copy, PartialEq)]
enum Counted {
    /// From the moment at which the write was sent.
    FromQuestion,
    /// From the moment at which its answer arrived: a planted fault.
    FromAnswer,
}

/// Content of the object.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Record {
    process: u64,
    write: u64,
    fence: Fence,
    era: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Object {
    revision: u64,
    record: Option<Record>,
}

#[derive(Default)]
struct Store {
    era: u64,
    object: Object,
    backups: Vec<Object>,
}

/// A write on its way to the store.
struct Write {
    effective_at: u64,
    revision: u64,
    era: u64,
    record: Record,
    vm: usize,
}

/// What a process waits for.
enum Pending {
    Read { answered_at: u64 },
    Write { sent_at: Moment, answered_at: u64, record: Record, outcome: Option<bool> },
}

struct Process {
    id: u64,
    lease: Lease,
    known: Option<(u64, u64, Option<Record>)>,
    writes: BTreeMap<u64, Moment>,
    pending: Option<Pending>,
    frozen_until: u64,
    clock_rate: f64,
}

impl Process {
    fn new(id: u64, random: &mut StdRng) -> Process {
        Process {
            id,
            lease: Lease::new(TERMS),
            known: None,
            writes: BTreeMap::new(),
            pending: None,
            frozen_until: 0,
            clock_rate: 1.0 + random.random_range(-0.01..0.01),
        }
    }

    fn clock(&self, now_ms: u64) -> Moment {
        Moment((now_ms as f64 * 1000.0 * self.clock_rate) as u64 + self.id * 7_000_000)
    }
}

struct Model {
    random: StdRng,
    counted: Counted,
    store: Store,
    processes: Vec<Process>,
    writes: Vec<Write>,
    calls: Vec<Call<usize>>,
    next_process: u64,
}

impl Model {
    fn new(seed: u64, counted: Counted) -> Model {
        let mut random = StdRng::seed_from_u64(seed);
        let processes = (0..VMS).map(|id| Process::new(id as u64, &mut random)).collect();
        let (store, writes, calls) = (Store::default(), Vec::new(), Vec::new());
        let next_process = VMS as u64;
        Model { random, counted, store, processes, writes, calls, next_process }
    }

    fn chance(&mut self, per_minute: f64) -> bool {
        self.random.random_bool(per_minute * STEP_MS as f64 / 60_000.0)
    }

    /// Runs the model and returns the calls in the order of their arrival.
    fn run(mut self) -> Vec<Call<usize>> {
        for now in (0..RUN_MS).step_by(STEP_MS as usize) {
            self.disturb(now);
            self.apply_writes(now);
            for vm in 0..VMS {
                if self.processes[vm].frozen_until <= now {
                    self.step(vm, now);
                }
            }
        }
        self.calls.sort_by_key(|call| call.at);
        self.calls
    }

    fn disturb(&mut self, now: u64) {
        for vm in 0..VMS {
            if self.chance(4.0) {
                self.processes[vm].frozen_until = now + self.random.random_range(100..6000);
            }
            if self.chance(2.0) {
                let id = self.next_process;
                self.next_process += 1;
                self.processes[vm] = Process::new(id, &mut self.random);
            }
        }
        if self.chance(30.0) {
            let object = self.store.object;
            self.store.backups.push(object);
        }
        if self.chance(2.0)
            && let Some(backup) = self.store.backups.pop()
        {
            self.store.object = backup;
            self.store.era += 1;
        }
    }

    /// Applies the writes that reach the store, if their condition holds.
    fn apply_writes(&mut self, now: u64) {
        let (due, later): (Vec<Write>, Vec<Write>) =
            std::mem::take(&mut self.writes).into_iter().partition(|one| one.effective_at <= now);
        self.writes = later;
        for write in due {
            let object = &mut self.store.object;
            let holds = write.revision == object.revision && write.era == self.store.era;
            if holds {
                *object = Object { revision: object.revision + 1, record: Some(write.record) };
            }
            if let Some(Pending::Write { record, outcome, .. }) =
                &mut self.processes[write.vm].pending
                && *record == write.record
            {
                *outcome = Some(holds);
            }
        }
    }

    /// Lets a process do what [`kitepulley::decide::lease`] allows it now.
    fn step(&mut self, vm: usize, now: u64) {
        let clock = self.processes[vm].clock(now);
        match self.processes[vm].pending.take() {
            Some(Pending::Read { answered_at }) if now < answered_at => {
                self.processes[vm].pending = Some(Pending::Read { answered_at });
                return;
            }
            Some(Pending::Read { .. }) => self.observe(vm, clock),
            Some(Pending::Write { sent_at, answered_at, record, outcome }) => {
                let gave_up = clock.since(sent_at) >= Span::millis(STORE_TIMEOUT_MS);
                if now < answered_at && !gave_up {
                    let pending = Pending::Write { sent_at, answered_at, record, outcome };
                    self.processes[vm].pending = Some(pending);
                    return;
                }
                self.on_write_ended(vm, clock, sent_at, record, outcome.filter(|_| !gave_up));
            }
            None => {}
        }
        let process = &mut self.processes[vm];
        if process.known.is_none() {
            let answered_at = now + self.random.random_range(1..100);
            process.pending = Some(Pending::Read { answered_at });
        } else if process.lease.may_call(clock) {
            // Usually the holder has nothing to report; its lease runs out between two reports.
            if self.random.random_bool(0.8) {
                return;
            }
            let fence = process.lease.fence().expect("a holder has a token");
            let at_ms = now + self.random.random_range(0..800);
            self.calls.push(Call { at: Duration::from_millis(at_ms), holder: vm, fence });
            // A process makes one call at a time.
            process.frozen_until = at_ms;
        } else if process.lease.is_own() {
            if self.random.random_bool(0.02) {
                self.send_write(vm, now, clock);
            }
        } else if process.lease.may_write(clock) || process.known.is_some_and(|one| one.2.is_none())
        {
            self.send_write(vm, now, clock);
        }
    }

    fn on_write_ended(
        &mut self,
        vm: usize,
        clock: Moment,
        sent_at: Moment,
        record: Record,
        outcome: Option<bool>,
    ) {
        let (counted, process) = (self.counted, &mut self.processes[vm]);
        match outcome {
            Some(true) => {
                let from = if counted == Counted::FromAnswer { clock } else { sent_at };
                process.lease.on_own_write(record.fence, from);
                let (revision, era, _) = process.known.expect("a write follows a read");
                process.known = Some((revision + 1, era, Some(record)));
            }
            Some(false) | None => process.known = None,
        }
    }

    /// Reads the object, as it is when the answer arrives.
    fn observe(&mut self, vm: usize, clock: Moment) {
        let (era, object) = (self.store.era, self.store.object);
        let process = &mut self.processes[vm];
        process.known = Some((object.revision, era, object.record));
        let Some(record) = object.record else { return };
        if record.era < era && process.lease.may_call(clock) {
            return;
        }
        let own = (record.process == process.id && record.era == era)
            .then(|| process.writes.get(&record.write));
        match own.flatten() {
            Some(sent_at) => process.lease.on_own_write(record.fence, *sent_at),
            None => process.lease.on_other_holder(record.fence, clock),
        }
    }

    fn send_write(&mut self, vm: usize, now: u64, clock: Moment) {
        let process = &mut self.processes[vm];
        let (revision, era, _) = process.known.expect("checked before");
        let write = process.writes.len() as u64;
        let fence = process.lease.next_fence(Era(era));
        let record = Record { process: process.id, write, fence, era };
        process.writes.insert(write, clock);
        let late = if self.random.random_bool(0.1) { 3000 } else { 40 };
        let effective_at = now + self.random.random_range(1..late);
        let answered_at = effective_at + self.random.random_range(1..1150);
        let outcome = None;
        process.pending = Some(Pending::Write { sent_at: clock, answered_at, record, outcome });
        self.writes.push(Write { effective_at, revision, era, record, vm });
    }
}

fn first_broken(seeds: std::ops::Range<u64>, counted: Counted) -> Option<String> {
    seeds.into_iter().find_map(|seed| {
        let calls = Model::new(seed, counted).run();
        broken_rule(&calls, TERMS.duration.duration()).map(|why| format!("seed {seed}: {why}"))
    })
}

#[test]
fn two_holders_never_act_at_the_same_time() {
    assert_eq!(first_broken(0..400, Counted::FromQuestion), None);
}

#[test]
fn the_duty_changes_hands_in_the_model() {
    let calls = Model::new(1, Counted::FromQuestion).run();
    let mut holders: Vec<Fence> = calls.iter().map(|call| call.fence).collect();
    holders.dedup();
    assert!(calls.len() > 20 && holders.len() > 3, "{} calls by {holders:?}", calls.len());
}

#[test]
fn a_lease_counted_from_the_answer_is_found_to_be_wrong() {
    assert!(first_broken(0..2000, Counted::FromAnswer).is_some());
}
