//! Roll-outs of a harmful and of a harmless version, policies compared on the same requests.
//!
//! Virtual time in seconds; requests, sessions, sampled and late ratings are drawn from the seed.

use std::collections::VecDeque;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::options::Options;
use super::table::{Row, Table, quantile};
use crate::decide::rollout::{self, Action, Arm, Inputs, Policy};
use crate::decide::sequential::Count;
use crate::unit::{Span, TrafficShare};

/// Requests a second for the model.
const REQUESTS_PER_SECOND: f64 = 50.0;

/// Share of poor answers of the version in service.
const BASELINE_POOR_SHARE: f64 = 0.08;

/// Share of requests that begin a session.
const SESSION_SHARE: f64 = 0.3;

/// Chance that a session sends its next request in a given second.
const SESSION_REQUEST_CHANCE: f64 = 0.05;

/// Chance that a session ends with a request.
const SESSION_END_CHANCE: f64 = 0.25;

/// Seconds after which a run is given up.
const MAX_RUN_SECS: u64 = 7200;

/// Shares of the fixed steps, and their length in seconds.
const STEPS: [f64; 5] = [0.01, 0.05, 0.25, 0.5, 1.0];
const STEP_SECS: u64 = 600;

/// Time until the fixed steps reach all traffic.
const FIXED_SECS: f64 = (STEP_SECS * (STEPS.len() as u64 - 1)) as f64;

/// The threshold of the fixed steps that have one, and the fewest ratings it looks at.
const THRESHOLD: f64 = 0.05;
const MIN_RATINGS: f64 = 30.0;

/// A more careful one, which rarely withdraws a good version.
const CAREFUL_THRESHOLD: f64 = 0.08;
const CAREFUL_MIN_RATINGS: f64 = 120.0;

/// Seconds before the roll-out whose ratings are known.
const BASELINE_SECS: f64 = 600.0;

/// A hop of the gossip, in seconds: neighbours are probed once a second.
const GOSSIP_HOP_SECS: f64 = 1.0;

#[derive(Clone, Copy, PartialEq)]
enum Method {
    Timed,
    Threshold,
    Careful,
    ThresholdSampled,
    Kitepulley,
}

const METHODS: [(Method, &str); 5] = [
    (Method::Timed, "timed fixed steps"),
    (Method::Threshold, "fixed steps, threshold"),
    (Method::Careful, "fixed steps, careful threshold"),
    (Method::ThresholdSampled, "fixed steps, threshold, our sampling"),
    (Method::Kitepulley, "ours"),
];

#[derive(Clone, Copy, Default)]
struct Outcome {
    requests: f64,
    sessions: f64,
    withdrawn: Option<u64>,
    full: Option<u64>,
}

struct Run<'a> {
    options: &'a Options,
    method: Method,
    harm: f64,
    share: TrafficShare,
    is_held: bool,
    share_since: u64,
    new: Count,
    old: Count,
    baseline: Count,
    takes_sessions: bool,
    last_rating_at: u64,
    gossip_delay: u64,
    ratings: VecDeque<(u64, bool, bool)>,
    sessions: f64,
}

impl Run<'_> {
    fn simulate(&mut self, seed: u64) -> Outcome {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut outcome = Outcome::default();
        // Ratings of the version in service from the ten minutes before.
        let ratings = (REQUESTS_PER_SECOND * self.options.rated_share * BASELINE_SECS) as u64;
        let poor = (0..ratings).filter(|_| rng.random::<f64>() < BASELINE_POOR_SHARE).count();
        self.baseline = Count::of(ratings, poor as u64);
        for now in 0..MAX_RUN_SECS {
            self.simulate_second(now, &mut rng, &mut outcome);
            while self.ratings.front().is_some_and(|(due, ..)| *due <= now) {
                let (_, is_new, poor) = self.ratings.pop_front().expect("there is one");
                let count = if is_new { &mut self.new } else { &mut self.old };
                count.all += 1.0;
                count.bad += f64::from(u8::from(poor));
                self.last_rating_at = now;
            }
            self.decide(now, &mut outcome);
            if outcome.withdrawn.is_some() || outcome.full.is_some() && self.harm == 0.0 {
                break;
            }
        }
        outcome
    }

    fn simulate_second(&mut self, now: u64, rng: &mut SmallRng, outcome: &mut Outcome) {
        let arrivals = REQUESTS_PER_SECOND as u64;
        let (sample_new, sample_old) = match self.method {
            Method::Timed | Method::Threshold | Method::Careful => {
                (self.options.rated_share, self.options.rated_share)
            }
            _ => rollout::rating_shares(
                self.share,
                REQUESTS_PER_SECOND,
                REQUESTS_PER_SECOND * self.options.rated_share,
                self.new.all,
            ),
        };
        let turns = (self.sessions * SESSION_REQUEST_CHANCE + rng.random::<f64>()) as u64;
        for i in 0..arrivals + turns {
            let (route, quality, rated, session): (f64, f64, f64, f64) = rng.random();
            let pinned = i >= arrivals;
            let starts_session = !pinned && session < SESSION_SHARE;
            let open = !starts_session || self.takes_sessions;
            let is_new = pinned || open && route < self.share.fraction();
            if is_new {
                outcome.requests += 1.0;
            }
            if pinned {
                self.sessions -= f64::from(u8::from(session < SESSION_END_CHANCE));
            } else if is_new && starts_session {
                self.sessions += 1.0;
                outcome.sessions += 1.0;
            }
            let chance = if is_new { sample_new } else { sample_old };
            if rated < chance {
                let usual =
                    if is_new { BASELINE_POOR_SHARE + self.harm } else { BASELINE_POOR_SHARE };
                let due = now + self.options.rating_lag.as_secs() as u64 + self.gossip_delay;
                self.ratings.push_back((due, is_new, quality < usual));
            }
        }
    }

    fn decide(&mut self, now: u64, outcome: &mut Outcome) {
        if self.method == Method::Kitepulley {
            self.decide_kitepulley(now, outcome);
            return;
        }
        let step = (now / STEP_SECS) as usize;
        self.share = TrafficShare::from_fraction(STEPS[step.min(STEPS.len() - 1)]);
        if self.share == TrafficShare::ALL {
            outcome.full.get_or_insert(now);
        }
        let (threshold, min_ratings) = match self.method {
            Method::Careful => (CAREFUL_THRESHOLD, CAREFUL_MIN_RATINGS),
            _ => (THRESHOLD, MIN_RATINGS),
        };
        if self.method == Method::Timed || self.new.all < min_ratings {
            return;
        }
        let more = self.new.bad / self.new.all - self.old.bad / self.old.all.max(1.0);
        if more > threshold {
            outcome.withdrawn = Some(now);
        }
    }

    fn inputs(&self, now: u64) -> Inputs {
        Inputs {
            new: Arm { poor: self.new, ..Arm::default() },
            old: Arm { poor: self.old, ..Arm::default() },
            earlier_ratings: self.baseline,
            share: self.share,
            is_held: self.is_held,
            time_at_share: Span::secs(now - self.share_since),
            request_rate: REQUESTS_PER_SECOND,
            rating_lag: Span(self.options.rating_lag.0 + Span::secs(self.gossip_delay).0),
            time_since_rating: Span::secs(now - self.last_rating_at),
            declared_bad_share: BASELINE_POOR_SHARE,
        }
    }

    fn decide_kitepulley(&mut self, now: u64, outcome: &mut Outcome) {
        let policy = Policy::default();
        let inputs = self.inputs(now);
        self.takes_sessions = rollout::admits_sessions(&policy, &inputs);
        let share = match rollout::next_step(&policy, &inputs) {
            Action::Stay => return,
            Action::Withdraw(_) => {
                outcome.withdrawn = Some(now);
                return;
            }
            Action::Complete(_) => {
                outcome.full.get_or_insert(now);
                TrafficShare::ALL
            }
            Action::Grow(share, _) | Action::Shrink(share, _) => share,
            Action::Hold(share, _) => {
                self.is_held = true;
                share
            }
            Action::Resume(_) => {
                self.is_held = false;
                self.share
            }
        };
        self.share = share;
        self.share_since = now;
    }
}

fn run_seed(options: &Options, method: Method, harm: f64, vms: usize, seed: u64) -> Outcome {
    let mut run = Run {
        options,
        method,
        harm,
        share: TrafficShare(0),
        is_held: false,
        share_since: 0,
        new: Count::default(),
        old: Count::default(),
        baseline: Count::default(),
        takes_sessions: method != Method::Kitepulley,
        last_rating_at: 0,
        gossip_delay: ((vms as f64).log2() * GOSSIP_HOP_SECS).ceil() as u64,
        ratings: VecDeque::new(),
        sessions: 0.0,
    };
    run.simulate(seed)
}

fn run_seeds(options: &Options, method: Method, harm: f64, vms: usize) -> Vec<Outcome> {
    let threads = 4;
    let part = |at: u64| {
        let seeds = (0..options.runs).filter(move |i| i % threads == at);
        seeds.map(|i| run_seed(options, method, harm, vms, options.seed + i)).collect::<Vec<_>>()
    };
    std::thread::scope(|scope| {
        let handles: Vec<_> = (0..threads).map(|at| scope.spawn(move || part(at))).collect();
        handles.into_iter().flat_map(|handle| handle.join().expect("no panic")).collect()
    })
}

/// Runs all policies on the same seeds.
pub fn run(options: &Options) -> Table {
    let vms = options.vms.first().copied().unwrap_or(9);
    let mut table = Table::default();
    for (method, name) in METHODS {
        let good = run_seeds(options, method, 0.0, vms);
        let withdrawn = good.iter().filter(|outcome| outcome.withdrawn.is_some()).count();
        let mut full: Vec<f64> =
            good.iter().map(|outcome| outcome.full.unwrap_or(MAX_RUN_SECS) as f64).collect();
        let mut row = Row::named("policy", name);
        if !options.good {
            let bad = run_seeds(options, method, options.harm, vms);
            let mut requests: Vec<f64> = bad.iter().map(|outcome| outcome.requests).collect();
            let mut sessions: Vec<f64> = bad.iter().map(|outcome| outcome.sessions).collect();
            let detected = bad.iter().filter(|outcome| outcome.withdrawn.is_some()).count();
            row = row
                .number("bad_requests_p50", quantile(&mut requests, 0.5), 0)
                .number("bad_requests_p95", quantile(&mut requests, 0.95), 0)
                .number("bad_sessions_p50", quantile(&mut sessions, 0.5), 0)
                .number("detected", detected as f64 / options.runs as f64, 4);
        }
        row = row
            .number("false_withdrawals", withdrawn as f64 / options.runs as f64, 4)
            .number("time_to_full_s", quantile(&mut full, 0.5), 0)
            .number("time_to_full_p95_s", quantile(&mut full, 0.95), 0);
        let slow = full.iter().filter(|time| **time > 1.25 * FIXED_SECS).count();
        row = row.number("full_late", slow as f64 / options.runs as f64, 4);
        table.rows.push(row);
    }
    table.notes.push(format!(
        "{} seeds, {REQUESTS_PER_SECOND}/s, usual poor share {BASELINE_POOR_SHARE}, harm {}, rated share {}, rating lag {}, {vms} VMs.",
        options.runs, options.harm, options.rated_share, options.rating_lag
    ));
    table.notes.push(
        "bad_requests counts every request that the harmful version served; a run without \
         detection ends after two hours."
            .to_owned(),
    );
    table
}
