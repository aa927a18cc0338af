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
const RATE: f64 = 50.0;

/// Share of poor answers of the version in service.
const USUAL: f64 = 0.08;

/// Share of requests that begin a session.
const SESSIONS: f64 = 0.3;

/// Chance that a session sends its next request in a given second.
const TURN: f64 = 0.05;

/// Chance that a session ends with a request.
const END: f64 = 0.25;

/// Seconds after which a run is given up.
const HORIZON: u64 = 7200;

/// Shares of the fixed steps, and their length in seconds.
const STEPS: [f64; 5] = [0.01, 0.05, 0.25, 0.5, 1.0];
const STEP_SECS: u64 = 600;

/// Time until the fixed steps reach all traffic.
const FIXED_SECS: f64 = (STEP_SECS * (STEPS.len() as u64 - 1)) as f64;

/// The threshold of the fixed steps that have one, and the fewest ratings it looks at.
const THRESHOLD: f64 = 0.05;
const FEWEST: f64 = 30.0;

/// A more careful one, which rarely withdraws a good version.
const CAREFUL_THRESHOLD: f64 = 0.08;
const CAREFUL_FEWEST: f64 = 120.0;

/// Seconds before the roll-out whose ratings are known.
const BEFORE_SECS: f64 = 600.0;

/// A hop of the gossip, in seconds: neighbours are probed once a second.
const HOP_SECS: f64 = 1.0;

#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Timed,
    Threshold,
    Careful,
    ThresholdSampled,
    Ours,
}

const KINDS: [(Kind, &str); 5] = [
    (Kind::Timed, "timed fixed steps"),
    (Kind::Threshold, "fixed steps, threshold"),
    (Kind::Careful, "fixed steps, careful threshold"),
    (Kind::ThresholdSampled, "fixed steps, threshold, our sampling"),
    (Kind::Ours, "ours"),
];

#[derive(Clone, Copy, Default)]
struct Result {
    requests: f64,
    sessions: f64,
    withdrawn: Option<u64>,
    full: Option<u64>,
}

struct Run<'a> {
    options: &'a Options,
    kind: Kind,
    harm: f64,
    share: TrafficShare,
    held: bool,
    since: u64,
    new: Count,
    old: Count,
    before: Count,
    takes_sessions: bool,
    rated_at: u64,
    delay: u64,
    ratings: VecDeque<(u64, bool, bool)>,
    sessions: f64,
}

impl Run<'_> {
    fn go(&mut self, seed: u64) -> Result {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut result = Result::default();
        // Ratings of the version in service from the ten minutes before.
        let ratings = (RATE * self.options.rated_share * BEFORE_SECS) as u64;
        let poor = (0..ratings).filter(|_| rng.random::<f64>() < USUAL).count();
        self.before = Count::of(ratings, poor as u64);
        for now in 0..HORIZON {
            self.second(now, &mut rng, &mut result);
            while self.ratings.front().is_some_and(|(due, ..)| *due <= now) {
                let (_, is_new, poor) = self.ratings.pop_front().expect("there is one");
                let count = if is_new { &mut self.new } else { &mut self.old };
                count.all += 1.0;
                count.bad += f64::from(u8::from(poor));
                self.rated_at = now;
            }
            self.decide(now, &mut result);
            if result.withdrawn.is_some() || result.full.is_some() && self.harm == 0.0 {
                break;
            }
        }
        result
    }

    fn second(&mut self, now: u64, rng: &mut SmallRng, result: &mut Result) {
        let arrivals = RATE as u64;
        let (sample_new, sample_old) = match self.kind {
            Kind::Timed | Kind::Threshold | Kind::Careful => {
                (self.options.rated_share, self.options.rated_share)
            }
            _ => rollout::rating_shares(
                self.share,
                RATE,
                RATE * self.options.rated_share,
                self.new.all,
            ),
        };
        let turns = (self.sessions * TURN + rng.random::<f64>()) as u64;
        for i in 0..arrivals + turns {
            let (route, quality, rated, session): (f64, f64, f64, f64) = rng.random();
            let pinned = i >= arrivals;
            let begins = !pinned && session < SESSIONS;
            let open = !begins || self.takes_sessions;
            let is_new = pinned || open && route < self.share.fraction();
            if is_new {
                result.requests += 1.0;
            }
            if pinned {
                self.sessions -= f64::from(u8::from(session < END));
            } else if is_new && begins {
                self.sessions += 1.0;
                result.sessions += 1.0;
            }
            let chance = if is_new { sample_new } else { sample_old };
            if rated < chance {
                let usual = if is_new { USUAL + self.harm } else { USUAL };
                let due = now + self.options.rating_lag.as_secs() as u64 + self.delay;
                self.ratings.push_back((due, is_new, quality < usual));
            }
        }
    }

    fn decide(&mut self, now: u64, result: &mut Result) {
        if self.kind == Kind::Ours {
            self.decide_ours(now, result);
            return;
        }
        let step = (now / STEP_SECS) as usize;
        self.share = TrafficShare::from_fraction(STEPS[step.min(STEPS.len() - 1)]);
        if self.share == TrafficShare::ALL {
            result.full.get_or_insert(now);
        }
        let (threshold, fewest) = match self.kind {
            Kind::Careful => (CAREFUL_THRESHOLD, CAREFUL_FEWEST),
            _ => (THRESHOLD, FEWEST),
        };
        if self.kind == Kind::Timed || self.new.all < fewest {
            return;
        }
        let more = self.new.bad / self.new.all - self.old.bad / self.old.all.max(1.0);
        if more > threshold {
            result.withdrawn = Some(now);
        }
    }

    fn view(&self, now: u64) -> Inputs {
        Inputs {
            new: Arm { poor: self.new, ..Arm::default() },
            old: Arm { poor: self.old, ..Arm::default() },
            earlier_ratings: self.before,
            share: self.share,
            is_held: self.held,
            time_at_share: Span::secs(now - self.since),
            request_rate: RATE,
            rating_lag: Span(self.options.rating_lag.0 + Span::secs(self.delay).0),
            time_since_rating: Span::secs(now - self.rated_at),
            declared_bad_share: USUAL,
        }
    }

    fn decide_ours(&mut self, now: u64, result: &mut Result) {
        let policy = Policy::default();
        let view = self.view(now);
        self.takes_sessions = rollout::admits_sessions(&policy, &view);
        let share = match rollout::next_step(&policy, &view) {
            Action::Stay => return,
            Action::Withdraw(_) => {
                result.withdrawn = Some(now);
                return;
            }
            Action::Complete(_) => {
                result.full.get_or_insert(now);
                TrafficShare::ALL
            }
            Action::Grow(share, _) | Action::Shrink(share, _) => share,
            Action::Hold(share, _) => {
                self.held = true;
                share
            }
            Action::Resume(_) => {
                self.held = false;
                self.share
            }
        };
        self.share = share;
        self.since = now;
    }
}

fn one(options: &Options, kind: Kind, harm: f64, vms: usize, seed: u64) -> Result {
    let mut run = Run {
        options,
        kind,
        harm,
        share: TrafficShare(0),
        held: false,
        since: 0,
        new: Count::default(),
        old: Count::default(),
        before: Count::default(),
        takes_sessions: kind != Kind::Ours,
        rated_at: 0,
        delay: ((vms as f64).log2() * HOP_SECS).ceil() as u64,
        ratings: VecDeque::new(),
        sessions: 0.0,
    };
    run.go(seed)
}

fn many(options: &Options, kind: Kind, harm: f64, vms: usize) -> Vec<Result> {
    let threads = 4;
    let part = |at: u64| {
        let seeds = (0..options.runs).filter(move |i| i % threads == at);
        seeds.map(|i| one(options, kind, harm, vms, options.seed + i)).collect::<Vec<_>>()
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
    for (kind, name) in KINDS {
        let good = many(options, kind, 0.0, vms);
        let withdrawn = good.iter().filter(|result| result.withdrawn.is_some()).count();
        let mut full: Vec<f64> =
            good.iter().map(|result| result.full.unwrap_or(HORIZON) as f64).collect();
        let mut row = Row::named("policy", name);
        if !options.good {
            let bad = many(options, kind, options.harm, vms);
            let mut requests: Vec<f64> = bad.iter().map(|result| result.requests).collect();
            let mut sessions: Vec<f64> = bad.iter().map(|result| result.sessions).collect();
            let detected = bad.iter().filter(|result| result.withdrawn.is_some()).count();
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
        "{} seeds, {RATE}/s, usual poor share {USUAL}, harm {}, rated share {}, rating lag {}, {vms} VMs.",
        options.runs, options.harm, options.rated_share, options.rating_lag
    ));
    table.notes.push(
        "bad_requests counts every request that the harmful version served; a run without \
         detection ends after two hours."
            .to_owned(),
    );
    table
}
