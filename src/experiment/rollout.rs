//! Rollouts of a harmful and of a harmless version: methods compared on the same requests.
//!
//! Runs in virtual time, in steps of a second. Requests, sessions and the sampled, delayed ratings
//! depend only on the seed.

use std::collections::VecDeque;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::options::Options;
use super::table::{Row, Table, quantile};
use crate::decide::rollout::{self, Action, Arm, Inputs, Policy};
use crate::decide::sequential::Count;
use crate::unit::{Span, TrafficShare};

/// Rate of requests to the model, without those that continue a session.
const REQUESTS_PER_SECOND: f64 = 50.0;

/// Fraction of poor answers of the old version.
const BASELINE_POOR_SHARE: f64 = 0.08;

/// Fraction of requests that start a session.
const SESSION_SHARE: f64 = 0.3;

/// Probability that a session sends a request in a given second.
const SESSION_REQUEST_CHANCE: f64 = 0.05;

/// Probability that a session ends with a given request.
const SESSION_END_CHANCE: f64 = 0.25;

/// Length of a run that ends neither with a withdrawal nor, for a harmless version, with all
/// traffic.
const MAX_RUN_SECS: u64 = 7200;

/// Traffic shares of the methods with fixed steps, and the length of a step.
const STEPS: [f64; 5] = [0.01, 0.05, 0.25, 0.5, 1.0];
const STEP_SECS: u64 = 600;

/// Time after which the fixed steps reach all traffic.
const FIXED_SECS: f64 = (STEP_SECS * (STEPS.len() as u64 - 1)) as f64;

/// Excess fraction of poor answers above which the method with a threshold withdraws, and the
/// smallest number of ratings for that.
const THRESHOLD: f64 = 0.05;
const MIN_RATINGS: f64 = 30.0;

/// Values of a more careful threshold, which rarely withdraws a good version.
const CAREFUL_THRESHOLD: f64 = 0.08;
const CAREFUL_MIN_RATINGS: f64 = 120.0;

/// Period before the rollout whose ratings are known.
const BASELINE_SECS: f64 = 600.0;

/// Delay of one gossip hop: neighbours are probed once a second.
const GOSSIP_HOP_SECS: f64 = 1.0;

#[derive(Clone, Copy, PartialEq)]
enum Method {
    /// Fixed steps without any check.
    Timed,
    /// Fixed steps with a threshold.
    Threshold,
    /// Fixed steps with the careful threshold.
    Careful,
    /// Fixed steps with a threshold and the router's sampling of ratings.
    ThresholdSampled,
    /// The router's policy.
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
    /// Requests that the new version served.
    requests: f64,
    /// Sessions that started on the new version.
    sessions: f64,
    /// Second of the withdrawal.
    withdrawn: Option<u64>,
    /// Second at which the new version first had all traffic.
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
    /// Seconds until ratings have reached all VMs.
    gossip_delay: u64,
    /// Ratings on their way: second of arrival, true for the new version, true for a poor answer.
    ratings: VecDeque<(u64, bool, bool)>,
    /// Open sessions on the new version.
    sessions: f64,
}

impl Run<'_> {
    fn simulate(&mut self, seed: u64) -> Outcome {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut outcome = Outcome::default();
        // Ratings of the old version from the ten minutes before the rollout.
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
            new: arm(self.new),
            old: arm(self.old),
            earlier_ratings: self.baseline,
            share: self.share,
            is_held: self.is_held,
            time_at_share: Span::secs(now - self.share_since),
            request_rate: REQUESTS_PER_SECOND,
            rating_lag: Span(self.options.rating_lag.0 + Span::secs(self.gossip_delay).0),
            time_since_rating: Span::secs(now - self.last_rating_at),
            declared_poor_share: BASELINE_POOR_SHARE,
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

/// Returns the counts of a version with these ratings. All rated answers ended well and in time.
fn arm(poor: Count) -> Arm {
    let ended = Count { all: poor.all, bad: 0.0 };
    Arm { errors: ended, slow: ended, poor }
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

/// Runs all methods on the same seeds.
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
        "{} seeds, {REQUESTS_PER_SECOND}/s, baseline poor share {BASELINE_POOR_SHARE}, harm {}, \
         rated share {}, rating lag {}, {vms} VMs.",
        options.runs, options.harm, options.rated_share, options.rating_lag
    ));
    table.notes.push(
        "bad_requests counts all requests that the harmful version served; a run without \
         detection ends after two hours."
            .to_owned(),
    );
    table
}
