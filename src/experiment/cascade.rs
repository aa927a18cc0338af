//! Cascades from a cheap to a strong model: cost of policies at the quality target, compared on
//! the same requests.
//!
//! Each request has a kind and a confidence of its cheap answer. The probability that either answer
//! passes is a function of the two; the bounds know it, the policies don't.

use std::collections::VecDeque;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::options::Options;
use super::table::{Row, Table, quantile};
use crate::decide::cascade::{
    Answer, CONFIDENCE_BINS, DriftDetector, Observations, RATING_DECAY, RatingBudget, Rule, Rungs,
    confidence_bin, rating_value, solve_rules,
};

/// Costs of a cheap and a strong answer.
const CHEAP: f64 = 1.0;
const STRONG: f64 = 15.0;

/// Mean times of a cheap and a strong answer, in milliseconds.
const CHEAP_MS: f64 = 300.0;
const STRONG_MS: f64 = 900.0;

/// Fraction of answers that must pass.
const TARGET: f64 = 0.9;

/// Number of requests by default, and their rate.
const REQUESTS: usize = 60_000;
const REQUESTS_PER_SECOND: f64 = 50.0;

/// Fraction of the run in which policies learn; `cost_ratio_after` and the worst window exclude it.
const WARM_UP: f64 = 0.15;

/// Requests in a window of which the quality is measured, and step between windows.
const WINDOW: usize = 1000;
const WINDOW_STEP: usize = 100;

/// Requests between two computations of the rules.
const SOLVE_INTERVAL: usize = 100;

struct Request {
    kind: usize,
    /// Stretch of the run between two sudden changes.
    segment: usize,
    /// Confidence of the cheap answer, 0 to 1.
    confidence: f64,
    /// Probabilities that the cheap and the strong answer pass.
    cheap: f64,
    strong: f64,
    /// Outcomes drawn with these probabilities, as a rating shows them.
    cheap_passes: bool,
    strong_passes: bool,
    cheap_ms: f64,
    strong_ms: f64,
    /// Random numbers for the decisions of the policy: exploration, the choices that the cascade's
    /// rule makes with a probability (to begin with the strong model, to keep a cheap answer), and
    /// whether an answer and an escalated answer are rated.
    explore_random: f64,
    rule_random: f64,
    rating_random: f64,
    escalated_rating_random: f64,
}

/// Probability that a cheap answer of a kind passes, as a function of its confidence.
struct Curve {
    /// Probabilities at confidence 0 and 1.
    low: f64,
    high: f64,
    exponent: f64,
    /// Exponent of the distribution of confidences; above 1, low confidences are more frequent.
    skew: f64,
}

impl Curve {
    fn draw(rng: &mut SmallRng, mean: f64) -> Curve {
        let mut curve = Curve {
            low: rng.random_range(0.1..0.35),
            high: rng.random_range(0.93..0.99),
            exponent: rng.random_range(0.7..1.6),
            skew: 1.0,
        };
        // Bisects for the skew at which the mean probability has the wanted value.
        let (mut low, mut high) = (0.02f64, 50.0f64);
        for _ in 0..60 {
            curve.skew = (low * high).sqrt();
            let points =
                (0..200).map(|i| curve.pass(((f64::from(i) + 0.5) / 200.0).powf(curve.skew)));
            let met = points.sum::<f64>() / 200.0;
            if met > mean { low = curve.skew } else { high = curve.skew }
        }
        curve
    }

    fn pass(&self, confidence: f64) -> f64 {
        self.low + (self.high - self.low) * confidence.powf(self.exponent)
    }
}

fn generate_requests(options: &Options) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let requests = options.requests.unwrap_or(REQUESTS);
    let segments = options.drift + 1;
    let mut curves_by_segment = Vec::new();
    for _ in 0..segments {
        let mut curves = Vec::new();
        for kind in 0..options.kinds {
            let kind_offset = if options.kinds > 1 {
                0.3 * (kind as f64 / (options.kinds - 1) as f64 - 0.5)
            } else {
                0.0
            };
            let segment_offset = if segments > 1 { rng.random_range(-0.12..0.12) } else { 0.0 };
            let mean = (options.cheap_pass + kind_offset + segment_offset).clamp(0.15, 0.92);
            curves.push(Curve::draw(&mut rng, mean));
        }
        curves_by_segment.push(curves);
    }
    let request = |i: usize| {
        let segment = i * segments / requests;
        let kind = rng.random_range(0..options.kinds);
        let curve = &curves_by_segment[segment][kind];
        let confidence = rng.random::<f64>().powf(curve.skew);
        let cheap = curve.pass(confidence);
        let strong = 0.98 - 0.06 * (1.0 - confidence);
        let exponential = |rng: &mut SmallRng| -(1.0 - rng.random::<f64>()).ln();
        Request {
            kind,
            segment,
            confidence,
            cheap,
            strong,
            cheap_passes: rng.random::<f64>() < cheap,
            strong_passes: rng.random::<f64>() < strong,
            cheap_ms: CHEAP_MS * (0.5 + 0.5 * exponential(&mut rng)),
            strong_ms: STRONG_MS * (0.5 + 0.5 * exponential(&mut rng)),
            explore_random: rng.random(),
            rule_random: rng.random(),
            rating_random: rng.random(),
            escalated_rating_random: rng.random(),
        }
    };
    (0..requests).map(request).collect()
}

/// Cost, quality and latency of each request under a policy.
struct Outcomes {
    cost: Vec<f64>,
    quality: Vec<f64>,
    latency: Vec<f64>,
}

impl Outcomes {
    fn new() -> Outcomes {
        Outcomes { cost: Vec::new(), quality: Vec::new(), latency: Vec::new() }
    }

    fn cheap(&mut self, request: &Request) {
        self.push(CHEAP, request.cheap, request.cheap_ms);
    }

    fn escalate(&mut self, request: &Request) {
        self.push(CHEAP + STRONG, request.strong, request.cheap_ms + request.strong_ms);
    }

    fn direct(&mut self, request: &Request) {
        self.push(STRONG, request.strong, request.strong_ms);
    }

    fn push(&mut self, cost: f64, quality: f64, latency: f64) {
        self.cost.push(cost);
        self.quality.push(quality);
        self.latency.push(latency);
    }

    fn row(mut self, name: &str, bound: &Outcomes, target: f64) -> Row {
        let warm = (self.cost.len() as f64 * WARM_UP) as usize;
        let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
        let worst = (warm..self.quality.len().saturating_sub(WINDOW))
            .step_by(WINDOW_STEP)
            .map(|at| mean(&self.quality[at..at + WINDOW]))
            .fold(1.0, f64::min);
        Row::named("policy", name)
            .number("cost", mean(&self.cost), 4)
            .number("cost_ratio", mean(&self.cost) / mean(&bound.cost), 4)
            .number("cost_ratio_after", mean(&self.cost[warm..]) / mean(&bound.cost[warm..]), 4)
            .number("quality", mean(&self.quality), 4)
            .number("target", target, 2)
            .number("worst_window_quality", worst, 4)
            .number("latency_p50_ms", quantile(&mut self.latency, 0.5), 0)
            .number("latency_p99_ms", quantile(&mut self.latency, 0.99), 0)
    }
}

/// Returns the lowest cost if all probabilities are known: each segment has one price of quality,
/// the lowest that meets the target.
fn informed_bound(requests: &[Request]) -> Outcomes {
    let mut outcomes = Outcomes::new();
    for segment in requests.chunk_by(|a, b| a.segment == b.segment) {
        let kinds = 1 + segment.iter().map(|request| request.kind).max().unwrap_or(0);
        let quality = |price: f64| {
            let mut part = Outcomes::new();
            apply_price(segment, kinds, price, &mut part);
            part.quality.iter().sum::<f64>() / part.quality.len() as f64
        };
        let (mut low, mut high) = (0.0, 1e5);
        for _ in 0..60 {
            let middle = (low + high) / 2.0;
            if quality(middle) >= TARGET { high = middle } else { low = middle }
        }
        apply_price(segment, kinds, high, &mut outcomes);
    }
    outcomes
}

/// Serves each request at the lowest cost if quality has a price, deciding for each kind whether
/// requests go to the strong model at once.
fn apply_price(segment: &[Request], kinds: usize, price: f64, outcomes: &mut Outcomes) {
    let mut cheap_first_excess = vec![0.0; kinds];
    for request in segment {
        let keep_cost = -price * request.cheap;
        let escalate_cost = STRONG - price * request.strong;
        let direct_cost = STRONG - price * request.strong;
        cheap_first_excess[request.kind] += CHEAP + keep_cost.min(escalate_cost) - direct_cost;
    }
    for request in segment {
        if cheap_first_excess[request.kind] > 0.0 {
            outcomes.direct(request);
        } else if -price * request.cheap <= STRONG - price * request.strong {
            outcomes.cheap(request);
        } else {
            outcomes.escalate(request);
        }
    }
}

/// Returns the lowest cost if all outcomes are known beforehand.
fn clairvoyant(requests: &[Request]) -> Outcomes {
    let mut outcomes = Outcomes::new();
    let passes = requests.iter().filter(|request| request.cheap_passes).count();
    let mut missing_passes = (TARGET * requests.len() as f64) as usize - passes.min(requests.len());
    for request in requests {
        if !request.cheap_passes && request.strong_passes && missing_passes > 0 {
            missing_passes -= 1;
            outcomes.push(STRONG, 1.0, request.strong_ms);
        } else {
            let passed = f64::from(u8::from(request.cheap_passes));
            outcomes.push(CHEAP, passed, request.cheap_ms);
        }
    }
    outcomes
}

/// Returns the outcomes of the lowest confidence threshold, the same for all kinds, that meets the
/// target over the whole run.
fn best_threshold(requests: &[Request]) -> Outcomes {
    let at = |threshold: f64| {
        let mut outcomes = Outcomes::new();
        for request in requests {
            if request.confidence >= threshold {
                outcomes.cheap(request)
            } else {
                outcomes.escalate(request)
            }
        }
        outcomes
    };
    let meets = |outcomes: &Outcomes| {
        outcomes.quality.iter().sum::<f64>() / outcomes.quality.len() as f64 >= TARGET
    };
    let found = (0..=100).map(|i| at(f64::from(i) / 100.0)).find(meets);
    found.unwrap_or_else(|| at(1.01))
}

/// A rating that arrives later.
struct PendingRating {
    /// Number of the request at which it arrives.
    due: usize,
    kind: usize,
    bin: usize,
    answer: Answer,
    /// Probability that the answer passes, as the policy estimated it.
    expected: f64,
    pass: bool,
}

/// The router's policy: learns from the ratings of a fraction of the answers.
struct CascadePolicy {
    beliefs: Vec<Observations>,
    drift_detectors: Vec<DriftDetector>,
    rules: Vec<Rule>,
    rungs: Rungs,
    ratings: VecDeque<PendingRating>,
    credit: RatingBudget,
    ratings_requested: usize,
}

impl CascadePolicy {
    fn new(options: &Options) -> CascadePolicy {
        CascadePolicy {
            beliefs: vec![Observations::default(); options.kinds],
            drift_detectors: vec![DriftDetector::default(); options.kinds],
            rules: vec![Rule::default(); options.kinds],
            rungs: Rungs {
                cheap_cost: CHEAP,
                strong_cost: STRONG,
                cheap_quality: options.cheap_pass,
                strong_quality: 0.95,
            },
            ratings: VecDeque::new(),
            credit: RatingBudget::default(),
            ratings_requested: 0,
        }
    }

    fn run(&mut self, requests: &[Request], options: &Options) -> Outcomes {
        let mut outcomes = Outcomes::new();
        let lag = (options.rating_lag.as_secs() * REQUESTS_PER_SECOND) as usize;
        for (i, request) in requests.iter().enumerate() {
            self.apply_ratings(i);
            if i % SOLVE_INTERVAL == 0 {
                self.rules = solve_rules(&self.beliefs, &self.rungs, TARGET);
            }
            self.decide(i + lag, request, options.rated_share, &mut outcomes);
        }
        outcomes
    }

    fn decide(&mut self, due: usize, request: &Request, share: f64, outcomes: &mut Outcomes) {
        self.credit.earn(share);
        self.beliefs[request.kind].requests += 1.0;
        let rule = self.rules[request.kind];
        let strong = rule.begins_strong(request.rule_random);
        if strong && request.explore_random >= rule.explore_probability {
            outcomes.direct(request);
            self.rate(due, request, Answer::Direct, CONFIDENCE_BINS, request.rating_random);
            return;
        }
        let bin = confidence_bin(request.confidence);
        self.beliefs[request.kind].confidence_counts[bin] += 1.0;
        self.rate(due, request, Answer::Cheap(bin), bin, request.rating_random);
        if rule.keeps(bin, request.rule_random) && !strong {
            outcomes.cheap(request);
            return;
        }
        outcomes.escalate(request);
        self.rate(due, request, Answer::Escalated, bin, request.escalated_rating_random);
    }

    fn rate(&mut self, due: usize, request: &Request, answer: Answer, bin: usize, point: f64) {
        let rule = &self.rules[request.kind];
        if !self.credit.spend(rating_value(rule, answer), point) {
            return;
        }
        let cheap = matches!(answer, Answer::Cheap(_));
        let expected = if cheap { rule.cheap_pass_rate[bin] } else { self.rungs.strong_quality };
        let pass = if cheap { request.cheap_passes } else { request.strong_passes };
        self.ratings.push_back(PendingRating {
            due,
            kind: request.kind,
            bin,
            answer,
            expected,
            pass,
        });
        self.ratings_requested += 1;
    }

    fn apply_ratings(&mut self, now: usize) {
        while self.ratings.front().is_some_and(|rated| rated.due <= now) {
            let rated = self.ratings.pop_front().expect("there is one");
            let belief = &mut self.beliefs[rated.kind];
            belief.decay(RATING_DECAY);
            let cell = match rated.answer {
                Answer::Cheap(bin) => &mut belief.cheap[bin],
                Answer::Escalated => &mut belief.strong[rated.bin],
                Answer::Direct => &mut belief.direct,
            };
            cell.add(rated.pass);
            let is_monitored = matches!(rated.answer, Answer::Cheap(_)) && rated.expected > 0.0;
            if is_monitored && self.drift_detectors[rated.kind].record(rated.expected, rated.pass) {
                belief.discount();
            }
        }
    }
}

/// Runs all policies and bounds on the same requests.
pub fn run(options: &Options) -> Table {
    let requests = generate_requests(options);
    let bound = informed_bound(&requests);
    let mut table = Table::default();
    let mut always_cheap = Outcomes::new();
    let mut always_strong = Outcomes::new();
    for request in &requests {
        always_cheap.cheap(request);
        always_strong.direct(request);
    }
    let mut policy = CascadePolicy::new(options);
    let ours = policy.run(&requests, options);
    let clairvoyant = clairvoyant(&requests);
    let rows = [
        ("always cheap", always_cheap),
        ("always strong", always_strong),
        ("best fixed threshold", best_threshold(&requests)),
        ("ours", ours),
        ("clairvoyant", clairvoyant),
        ("informed bound", informed_bound(&requests)),
    ];
    table.rows =
        rows.into_iter().map(|(name, outcomes)| outcomes.row(name, &bound, TARGET)).collect();
    table.notes.push(format!(
        "{} requests, {} kinds, cheap pass rate {}, {} sudden changes, rated share {}, \
         rating lag {}.",
        requests.len(),
        options.kinds,
        options.cheap_pass,
        options.drift,
        options.rated_share,
        options.rating_lag
    ));
    let rated = policy.ratings_requested as f64 / requests.len() as f64;
    table.notes.push(format!("The policy `ours` had {:.2}% of the requests rated.", rated * 100.0));
    table.notes.push(
        "Quality is the mean true probability that the served answers pass; the threshold and the \
         bounds are chosen in hindsight."
            .to_owned(),
    );
    table
}
