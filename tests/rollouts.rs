//! Rollouts whose trial gets few answers: the new version is promoted only if its answers show that
//! it is good.

mod site;

use std::time::{Duration, Instant};

use kitepulley::decide::canary::{self, Comparison, Inputs, Step};
use kitepulley::decide::rollout::{self, Arm, Policy};
use kitepulley::decide::sequential::Count;
use kitepulley::forward::replica::Phase;
use kitepulley::forward::rollout_trial::{RolloutTrial, Sample, Source, Totals, Verdict};
use kitepulley::standin::replica::Action;
use kitepulley::unit::{Moment, Span, TrafficShare, Version};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::json;
use site::{Site, Vm, ask, eventually, head};

/// Time limit of the rollouts, in seconds.
const TIME_LIMIT_S: u64 = 8;

/// Time between two requests: of 40 a second, a trial gets some 15.
const PAUSE: Duration = Duration::from_millis(20);

fn site() -> Site {
    let mut site = Site::new().route("once", "non_idempotent", json!({}));
    site.bounds["exposure_share"] = json!(0.15);
    site
}

fn source(vm: &str) -> Source {
    Source::Vm(vm.parse().unwrap())
}

fn state(site: &Site) -> serde_json::Value {
    site.store.status("rollouts", "api")["state"].clone()
}

/// Sends requests for twice the time limit of the rollout, or until it has ended.
fn load_until_decided(site: &Site, vm: &Vm) {
    let order = json!({"service": "api", "target_version": "v2", "duration_s": TIME_LIMIT_S});
    site.store.write_spec("rollouts", "api", order);
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < Duration::from_secs(2 * TIME_LIMIT_S)
        && (state(site).is_null() || state(site) == "in_progress")
    {
        number += 1;
        ask(vm.callers, &head("POST /once/x", &format!("id{number}"), ""), b"x");
        std::thread::sleep(PAUSE);
    }
}

/// Guards against the promotion of a bad version whose trial got too few answers to find it.
#[test]
fn a_version_is_not_promoted_because_its_trial_could_not_tell() {
    let mut site = site();
    site.replica("r1", "v1");
    let vm = site.start_ready();
    let bad = site.replica("r2", "v2");
    for number in 0..600 {
        let status = if number % 8 == 3 { 500 } else { 200 };
        bad.push_action(Action::Whole(status, "answer".to_owned()));
    }
    load_until_decided(&site, &vm);
    let moves = vm.lines().into_iter().filter(|line| line["event"] == "roll-out moved");
    assert_ne!(state(&site), "completed", "{:#?}", moves.collect::<Vec<_>>());
}

/// Guards against a mend that sends good versions back: the same traffic has to be enough for one.
#[test]
fn a_good_version_is_promoted_after_a_trial_of_few_answers() {
    let mut site = site();
    site.replica("r1", "v1");
    let vm = site.start_ready();
    site.replica("r2", "v2");
    load_until_decided(&site, &vm);
    eventually("it is promoted", || state(&site) == "completed");
}

/// Requests of a service, and how its new version answers them.
#[derive(Clone, Copy)]
struct Traffic {
    /// Requests per second; three of four are on the first of two routes.
    rate: f64,
    time_limit: Span,
    /// Share of failed answers of the new version, by route.
    bad_shares: [f64; 2],
}

/// How a simulated rollout ended.
#[derive(Debug)]
struct End {
    phase: Phase,
    /// Time since the order.
    after: Span,
    /// Requests that the new version got before its promotion or rollback.
    exposed: f64,
    /// Number of requests that a bad version may get.
    max_exposed: f64,
}

/// Requests that the sites' operators tolerate in addition to a share of 0.15.
const TOLERATED_REQUESTS: f64 = 30.0;

/// Interval between two steps, as on a VM.
const STEP: Span = Span::millis(200);

/// Plays a rollout with random requests, whose answers one VM knows at once.
fn play(traffic: Traffic, seed: u64) -> End {
    let mut random = SmallRng::seed_from_u64(seed);
    let (old, new): (Version, Version) = ("v1".parse().unwrap(), "v2".parse().unwrap());
    let mut trial = RolloutTrial::default();
    trial.track_version(&new, Moment(0));
    let (mut phase, mut exposed, mut now) = (None, 0.0, Moment(0));
    let mut in_time = 0.0;
    loop {
        now = now + STEP;
        let share = match phase {
            Some(Phase::Running { share }) => share,
            None => 0.0,
            Some(phase) => {
                // Requests still arrive until the time limit.
                let after = now.since(Moment(0));
                let left = traffic.time_limit.0.saturating_sub(after.0);
                let all = in_time + traffic.rate * Span(left).as_secs();
                let max_exposed = 0.15 * all + TOLERATED_REQUESTS;
                return End { phase, after, exposed, max_exposed };
            }
        };
        assert!(now < Moment(0) + Span::secs(3600), "undecided for an hour: {phase:?}, {exposed}");
        let requests = traffic.rate * STEP.as_secs() + random.random::<f64>();
        let is_in_time = now.since(Moment(0)) <= traffic.time_limit;
        in_time += if is_in_time { requests.floor() } else { 0.0 };
        for _ in 0..requests as u64 {
            let is_new = random.random::<f64>() < share;
            let route = usize::from(random.random::<f64>() < 0.25);
            let bad_share = if is_new { traffic.bad_shares[route] } else { 0.0 };
            exposed += f64::from(u8::from(is_new));
            trial.record(&Sample {
                route: ["often", "seldom"][route],
                version: if is_new { &new } else { &old },
                failed: random.random::<f64>() < bad_share,
                response_time: None,
                reported_slow_levels: 0,
                expected_time: None,
                latency_goal: Span::millis(100),
            });
        }
        if let Step::Move(next) = canary::next_step(&inputs(&trial, phase, traffic, now)) {
            phase = Some(next);
        }
    }
}

fn inputs(trial: &RolloutTrial, phase: Option<Phase>, traffic: Traffic, now: Moment) -> Inputs {
    let verdict = trial.verdict();
    let basis = trial.basis(now);
    Inputs {
        phase,
        order_age: trial.age(now),
        time_limit: traffic.time_limit,
        max_exposure: 0.15,
        ready_servers: 1,
        is_found_bad: trial.is_bad(),
        answers_seen: verdict.seen,
        evidence: verdict.evidence,
        support: basis.support,
        request_rate: basis.request_rate,
        tolerated_requests: TOLERATED_REQUESTS,
        knows_most_answers: basis.knows_most_answers,
    }
}

const SEEDS: u64 = 200;

/// Odds against the promotion of a version that does the least harm that a trial has to rule out:
/// 15 in 100 answers of the service beyond the usual 3.
const PROMOTION_ODDS: u64 = 12;

/// A service with few requests, and rollouts with little time.
const SERVICES: [(f64, Span); 4] =
    [(37.0, Span::secs(10)), (37.0, Span::secs(6)), (3.0, Span::secs(6)), (400.0, Span::secs(24))];

#[test]
fn bad_versions_are_rolled_back_within_their_share_of_the_requests() {
    for (rate, time_limit) in SERVICES {
        for bad_shares in [[0.3, 0.3], [0.5, 0.5], [0.0, 0.65], [0.3, 0.0]] {
            let traffic = Traffic { rate, time_limit, bad_shares };
            let ends: Vec<End> = (0..SEEDS).map(|seed| play(traffic, seed)).collect();
            let promoted = ends.iter().filter(|end| end.phase == Phase::Completed).count();
            let left = ends.iter().map(|end| end.max_exposed - end.exposed);
            let left = left.fold(f64::INFINITY, f64::min);
            let case = format!("{rate}/s in {time_limit}, {bad_shares:?}");
            println!("{case}: {promoted} promoted, {left:.0} requests left at least");
            assert!(promoted as u64 * PROMOTION_ODDS <= SEEDS, "{case}: {promoted} promoted");
            assert!(left >= 0.0, "{case}: {left} requests left");
        }
    }
}

/// Guards against a mend that sends good versions back, or lets them wait.
#[test]
fn good_versions_are_promoted_in_time_if_their_service_has_requests() {
    for (rate, time_limit) in SERVICES {
        let traffic = Traffic { rate, time_limit, bad_shares: [0.0, 0.0] };
        let ends: Vec<End> = (0..SEEDS).map(|seed| play(traffic, seed)).collect();
        assert!(ends.iter().all(|end| end.phase == Phase::Completed), "{rate}/s, {time_limit}");
        let in_time = ends.iter().filter(|end| end.after <= time_limit).count();
        println!("{rate}/s in {time_limit}: {in_time} in time");
        // At three requests a second, six seconds bring too few answers of any version.
        let is_busy = rate > 10.0;
        assert!(!is_busy || in_time * 20 >= ends.len() * 19, "{rate}/s: {in_time} in time");
    }
}

/// A trial that can't tell ends once the version has had as many requests as a bad one may get.
#[test]
fn a_trial_that_can_not_tell_ends_within_the_exposure_bound() {
    for (rate, time_limit) in SERVICES {
        let traffic = Traffic { rate, time_limit, bad_shares: [0.12, 0.12] };
        for seed in 0..SEEDS {
            let end = play(traffic, seed);
            assert!(end.exposed <= end.max_exposed, "{rate}/s, seed {seed}: {end:?}");
        }
    }
}

/// Guards against a bad version that is promoted, since it is compared with the one that was rolled
/// back before it.
#[test]
fn answers_of_a_version_that_was_rolled_back_say_nothing_about_the_next_one() {
    let versions: [Version; 3] = ["v1", "v2", "v3"].map(|name| name.parse().unwrap());
    let [old, rolled_back, new] = &versions;
    let sample = |version, failed| Sample {
        route: "r",
        version,
        failed,
        response_time: Some(Span::millis(20)),
        reported_slow_levels: 0,
        expected_time: None,
        latency_goal: Span::millis(100),
    };
    let mut trial = RolloutTrial::default();
    trial.track_version(rolled_back, Moment(0));
    trial.track_version(new, Moment(1));
    for number in 0..60 {
        trial.record(&sample(old, false));
        trial.record(&sample(rolled_back, true));
        trial.record(&sample(new, number % 3 == 0));
    }
    assert!(trial.is_bad(), "{}", trial.describe_counts());
    assert_eq!(trial.rejected_versions().collect::<Vec<_>>(), [rolled_back]);
    // A version that was promoted is the old one of the next rollout.
    let mut trial = RolloutTrial::default();
    trial.track_version(rolled_back, Moment(0));
    trial.on_promoted();
    trial.track_version(new, Moment(1));
    assert_eq!(trial.rejected_versions().count(), 0);
}

/// A VM that follows one with more answers leaves the promotion to that VM.
#[test]
fn only_a_vm_that_knows_most_answers_promotes() {
    let new: Version = "v2".parse().unwrap();
    let mut trial = RolloutTrial::default();
    trial.track_version(&new, Moment(0));
    let good = |answers| Comparison { new: Count::of(answers, 0), old: Count::of(500, 0) };
    let totals = Totals { failures: good(40), slow: [good(40); 3] };
    trial.merge_totals(source("vm1"), &new, [("r".to_owned(), totals)]);
    let now = Moment(0) + Span::millis(9_500);
    let traffic = Traffic { rate: 40.0, time_limit: Span::secs(10), bad_shares: [0.0, 0.0] };
    let phase = Some(Phase::Running { share: 1.0 });
    let step = |trial: &RolloutTrial| canary::next_step(&inputs(trial, phase, traffic, now));
    assert_eq!(step(&trial), Step::Move(Phase::Completed));
    trial.set_upstream_verdict(&new, Verdict { seen: 60.0, evidence: 0.0 });
    assert_eq!(step(&trial), Step::Hold);
    trial.clear_upstream_verdict();
    assert_eq!(step(&trial), Step::Move(Phase::Completed));
}

/// In a large fleet no VM sees enough alone.
#[test]
fn the_answers_of_three_hundred_vms_promote_a_version_together() {
    let new: Version = "v2".parse().unwrap();
    let mut trial = RolloutTrial::default();
    trial.track_version(&new, Moment(0));
    let seen = |all| Comparison { new: Count::of(all, 0), old: Count::of(4, 0) };
    let totals = |all| Totals { failures: seen(all), slow: [seen(all); 3] };
    for vm in 0..300 {
        let few = totals(u64::from(vm % 10 == 0));
        trial.merge_totals(source(&format!("vm{vm}")), &new, [("r".to_owned(), few)]);
        let is_enough = trial.basis(Moment(0) + Span::secs(10)).support > 2.5;
        assert!(vm > 100 || !is_enough, "after {vm} VMs");
    }
    assert!(trial.basis(Moment(0) + Span::secs(10)).support > 2.5);
}

/// Before a VM knows the usual time of a route, an answer that misses its goal is a slow one.
#[test]
fn a_slow_answer_counts_before_the_usual_time_is_known() {
    let (old, new): (Version, Version) = ("v1".parse().unwrap(), "v2".parse().unwrap());
    let mut trial = RolloutTrial::default();
    trial.track_version(&new, Moment(0));
    let mut record = |version, millis| {
        trial.record(&Sample {
            route: "r",
            version,
            failed: false,
            response_time: Some(Span::millis(millis)),
            reported_slow_levels: 0,
            expected_time: None,
            latency_goal: Span::millis(100),
        });
    };
    record(&old, 20);
    (0..4).for_each(|_| record(&new, 138));
    (0..4).for_each(|_| record(&new, 20));
    let slow = trial.own_totals()["r"].slow;
    assert_eq!(slow.map(|level| level.new.bad), [4.0, 0.0, 0.0]);
    assert_eq!(slow[0].old.bad, 0.0);
}

/// Guards against the same cause in the own API's rollouts: good ratings alone completed one whose
/// errors had not been ruled out.
#[test]
fn good_ratings_do_not_complete_a_rollout_whose_errors_could_be_many() {
    let with = |errors, slow| rollout::Inputs {
        new: Arm { errors, slow, poor: Count::of(90, 0) },
        old: Arm { errors: Count::of(900, 9), slow: Count::of(900, 36), poor: Count::of(90, 1) },
        earlier_ratings: Count::of(800, 8),
        share: TrafficShare::from_fraction(0.5),
        is_held: false,
        time_at_share: Span::secs(600),
        request_rate: 0.5,
        rating_lag: Span::secs(60),
        time_since_rating: Span::secs(1),
        declared_poor_share: 0.01,
    };
    let completes = |errors, slow| {
        matches!(
            rollout::next_step(&Policy::default(), &with(errors, slow)),
            rollout::Action::Complete(_)
        )
    };
    assert!(completes(Count::of(900, 9), Count::of(900, 36)));
    assert!(!completes(Count::of(90, 5), Count::of(900, 36)), "5 in 100 answers are errors");
    assert!(!completes(Count::of(900, 9), Count::of(90, 9)), "10 in 100 answers are slow");
}
