//! Time of each decision at 20, 100 and 600 replicas.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use kitepulley::decide::admission::{AdmissionController, Outcome};
use kitepulley::decide::availability::Signal;
use kitepulley::decide::cascade::{CONFIDENCE_BINS, Observations, Ratings, Rungs, solve_rules};
use kitepulley::decide::replica::{Replica, select_replica};
use kitepulley::decide::rollout::{Arm, Inputs, Policy, next_step};
use kitepulley::decide::sequential::Count;
use kitepulley::forward::replica::Replica as Life;
use kitepulley::forward::server::Fleet;
use kitepulley::forward::server_index::{Query, Viewpoint};
use kitepulley::unit::{Moment, Span, TrafficShare};

fn replicas(count: u64) -> Vec<Replica> {
    let replica = |id| Replica {
        reported: (id % 12) as f64,
        reported_at: Moment(1_000_000),
        ..Replica::idle(id, 16.0)
    };
    (0..count).map(replica).collect()
}

fn replica(bench: &mut Criterion) {
    let mut group = bench.benchmark_group("replica");
    for count in [20, 100, 600] {
        let all = replicas(count);
        let mut point = 0u64;
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                point = point.wrapping_add(0x9e37_79b9_7f4a_7c15);
                black_box(select_replica(&all, Some(point), point, Moment(1_200_000)))
            });
        });
    }
    group.finish();
}

fn rollout(bench: &mut Criterion) {
    let arm = |all, bad| Arm { poor: Count::of(all, bad), ..Arm::default() };
    let view = Inputs {
        new: arm(1000, 80),
        old: arm(1000, 80),
        earlier_ratings: Count::of(1500, 120),
        share: TrafficShare::from_fraction(0.05),
        is_held: false,
        time_at_share: Span::secs(100),
        request_rate: 50.0,
        rating_lag: Span::secs(60),
        time_since_rating: Span::secs(1),
        declared_poor_share: 0.08,
    };
    let policy = Policy::default();
    bench.bench_function("rollout", |b| b.iter(|| black_box(next_step(&policy, &view))));
}

fn cascade(bench: &mut Criterion) {
    let mut belief = Observations { requests: 1000.0, ..Observations::default() };
    for i in 0..CONFIDENCE_BINS {
        belief.confidence_counts[i] = 60.0;
        belief.cheap[i] = Ratings { all: 20.0, pass: i as f64 * 1.2 };
    }
    let rungs =
        Rungs { cheap_cost: 1.0, strong_cost: 15.0, cheap_quality: 0.7, strong_quality: 0.95 };
    let beliefs = vec![belief; 4];
    bench.bench_function("cascade solve, 4 kinds", |b| {
        b.iter(|| black_box(solve_rules(&beliefs, &rungs, 0.9)));
    });
}

fn gate(bench: &mut Criterion) {
    let mut gate = AdmissionController::new(64.0);
    let workspace = "roasters".parse().expect("a name");
    let mut now = 1_000_000;
    bench.bench_function("gate", |b| {
        b.iter(|| {
            now += 100;
            if gate.try_admit(&workspace, 1.0, Moment(now)) {
                gate.on_end(&workspace, Outcome::Good, Moment(now));
            }
        });
    });
}

/// Filters the servers of a service for one choice, among 20, 100 and 600: 0.21, 0.87 and 6.2
/// microseconds. With only the readiness of entries and the failure record, as two filters, it took
/// 0.10, 0.54 and 3.5.
fn standing(bench: &mut Criterion) {
    let mut group = bench.benchmark_group("standing");
    let now = Moment(10_000_000);
    for count in [20, 100, 600] {
        let mut fleet = Fleet::default();
        for at in 0..count {
            let life = life(at);
            fleet.upsert(life.clone(), now);
            let said =
                Signal { draining: at % 20 == 1, backoff: (at % 10 == 2).then(|| Span::secs(1)) };
            if let Some(server) = fleet.incarnation_mut(&life) {
                server.availability.observe(said, now);
            }
        }
        let service = life(0).service;
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| black_box(fleet.eligible(&service, now + Span::millis(1)).count()));
        });
    }
    group.finish();
}

fn life(at: u64) -> Life {
    Life {
        id: format!("r{at}").parse().expect("a name"),
        started_at_ms: Some(at),
        service: "api".parse().expect("a name"),
        address: ([127, 0, 0, 1], 9).into(),
        data_centre: "here".parse().expect("a name"),
        version: "v1".parse().expect("a name"),
        slots: 16,
        cold: Span(0),
        ready: true,
    }
}

/// Finds the servers that a choice for a prompt considers among all of a service, and their mean
/// failure rate, which the end of an attempt needs. The choice among them is not part of it.
fn selection(bench: &mut Criterion) {
    let mut group = bench.benchmark_group("selection");
    let now = Moment(10_000_000);
    for count in [30, 300, 3000, 10_000, 20_000] {
        let viewpoint = Viewpoint { data_centre: "here".parse().expect("a name"), point: 7 };
        let mut fleet = Fleet::new(viewpoint);
        for at in 0..count {
            fleet.upsert(life(at), now);
        }
        let service = life(0).service;
        let mut prompt = 0u64;
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                prompt = prompt.wrapping_add(0x9e37_79b9_7f4a_7c15);
                let query =
                    Query { is_version: &|_| true, trial_share: None, prompt: Some(prompt) };
                let considered = fleet.considered(&service, &query);
                let open = considered.servers.iter().filter(|one| fleet.is_eligible(one, now));
                black_box(open.count());
                black_box(fleet.failure_rate(&service, now))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, replica, rollout, cascade, gate, standing, selection);
criterion_main!(benches);
