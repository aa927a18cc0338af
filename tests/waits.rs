//! Queues that VMs tell one another: the load of many VMs before many servers, played with the decisions alone.

use kitepulley::decide::backlog::Backlog;
use kitepulley::decide::place::{self, Candidate};
use kitepulley::unit::{Moment, Span};

const VMS: usize = 40;
const SERVERS: usize = 60;

/// Time between two tellings, and how old the sum of all is when it comes.
const TOLD_EVERY: u64 = 350_000;
const TOLD_LATE: u64 = 350_000;

/// Prompts: most are read in 30 ms, one in 25 in 2.5 s, as the longest are by the largest model; half of the servers' time
/// is used.
const GAP: u64 = 4_000;
const SHORT: u64 = 30_000;
const LONG: u64 = 2_500_000;
const LONG_ONE_IN: u64 = 25;

/// A repeatable sequence of numbers.
struct Numbers(u64);

impl Numbers {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// A prompt that a VM waits for.
struct Waiting {
    vm: usize,
    server: usize,
    reads: u64,
    read_at: u64,
}

/// Waits of all prompts of a minute, shortest first.
fn waits(are_told: bool) -> Vec<u64> {
    let mut numbers = Numbers(7);
    let mut known = vec![[Backlog::default(); SERVERS]; VMS];
    let mut free_at = [0u64; SERVERS];
    let mut waiting: Vec<Waiting> = Vec::new();
    let mut told: Vec<(u64, [[u64; SERVERS]; VMS])> = Vec::new();
    let mut all = Vec::new();
    for at in (0..60_000_000).step_by(GAP as usize) {
        let now = Moment(at);
        waiting.retain(|one| {
            let is_read = one.read_at <= at;
            if is_read {
                known[one.vm][one.server].came(Span(one.reads));
            }
            !is_read
        });
        if are_told && at % TOLD_EVERY < GAP {
            let mut own = [[0; SERVERS]; VMS];
            waiting.iter().for_each(|one| own[one.vm][one.server] += one.reads);
            told.push((at, own));
        }
        if told.first().is_some_and(|(of, _)| *of + TOLD_LATE <= at) {
            let (_, own) = told.remove(0);
            for (vm, backlogs) in known.iter_mut().enumerate() {
                for (server, backlog) in backlogs.iter_mut().enumerate() {
                    let others = (0..VMS).filter(|other| *other != vm);
                    backlog.hear(Span(others.map(|other| own[other][server]).sum()), now);
                }
            }
        }
        let vm = numbers.below(VMS as u64) as usize;
        let reads = if numbers.below(LONG_ONE_IN) == 0 { LONG } else { SHORT };
        // Which of equal ones it takes is chance.
        let first = numbers.below(SERVERS as u64) as usize;
        let order: Vec<usize> = (0..SERVERS).map(|step| (first + step) % SERVERS).collect();
        let candidate = |server: &usize| Candidate {
            load: 0.0,
            slots: 16.0,
            near: true,
            until_read: Span(known[vm][*server].left(now).0 + reads),
            reads: Span(reads),
        };
        let candidates: Vec<Candidate> = order.iter().map(candidate).collect();
        let server = order[place::soonest(&candidates, 0).unwrap()];
        let begins = free_at[server].max(at);
        all.push(begins - at);
        free_at[server] = begins + reads;
        known[vm][server].add(Span(reads), now);
        known[vm][server].wait_for(Span(reads));
        waiting.push(Waiting { vm, server, reads, read_at: begins + reads });
    }
    all.sort_unstable();
    all
}

/// Share of prompts that wait longer than 0.5 s.
fn late(waits: &[u64]) -> f64 {
    waits.iter().filter(|wait| **wait > 500_000).count() as f64 / waits.len() as f64
}

#[test]
fn queues_that_are_told_halve_the_prompts_that_wait_long() {
    let (without, with) = (late(&waits(false)), late(&waits(true)));
    println!("prompts that wait over 0.5 s: {without:.3} without, {with:.3} with");
    assert!(without > 0.04, "{without}");
    assert!(with < without / 2.0, "{with} of {without}");
}

#[test]
fn what_others_said_fades_as_servers_work_and_own_prompts_count_beside_it() {
    let mut backlog = Backlog::default();
    backlog.hear(Span::millis(400), Moment(0));
    assert_eq!(backlog.left(Moment(100_000)), Span::millis(300));
    backlog.wait_for(Span::millis(200));
    assert_eq!(backlog.left(Moment(100_000)), Span::millis(400));
    assert_eq!(backlog.left(Moment(500_000)), Span::millis(100), "its own may be half read");
    backlog.hear(Span(0), Moment(500_000));
    backlog.came(Span::millis(200));
    assert_eq!(backlog.left(Moment(500_000)), Span(0));
}
