//! Seeded runs on real sockets under injected faults; their histories must keep all promises.

use kitepulley::demo::{Fault, Outcome, Scenario, Shape, run};
use kitepulley::history::{Event, Line};

/// Requests per run, enough for work of every kind during each fault.
const REQUESTS: usize = 2500;

/// Runs the faults and asserts that all promises held.
fn run_checked(seed: u64, vms: usize, faults: &[&[Fault]]) -> Outcome {
    let scenario = Scenario {
        requests: REQUESTS,
        seed,
        faults: faults.iter().map(|group| group.to_vec()).collect(),
        shape: Shape { vms, ..Shape::default() },
        verbose: false,
    };
    let outcome = run(&scenario).expect("the run starts");
    assert_eq!(outcome.report.broken(), 0, "{}\n{}", outcome.log.join("\n"), outcome.report);
    outcome
}

/// Returns the log of a run and the history of each answer that broke off or never came.
fn broken_answers(outcome: &Outcome) -> String {
    let lines = outcome.cluster.history.lines();
    let text = |line: &Line| serde_json::to_string(line).unwrap_or_default();
    let mut report = vec!["answers broken".to_owned(), outcome.log.join("\n")];
    for line in &lines {
        let Event::Answered { ask, request, status, ran, is_complete: false, .. } = &line.event
        else {
            continue;
        };
        if ran.is_some() && *status >= 300 {
            continue;
        }
        let asked = format!("\"ask\":{ask},");
        let request = request.as_ref().map(ToString::to_string);
        let mut about: Vec<String> = lines.iter().map(text).collect();
        about.retain(|one| {
            one.contains(&asked) || request.as_ref().is_some_and(|request| one.contains(request))
        });
        report.extend(about);
    }
    report.join("\n")
}

#[test]
fn promises_hold_when_the_store_fails_in_each_way_while_vms_are_replaced() {
    let faults: [&[Fault]; 3] = [
        &[Fault::StoreDown, Fault::Kill],
        &[Fault::AnswerLost, Fault::Stop],
        &[Fault::StoreSlow, Fault::WatchQuiet],
    ];
    let outcome = run_checked(11, 4, &faults);
    let occasions = |i: usize| outcome.report.verdicts[i].occasions;
    assert!(occasions(3) > 1000, "bills");
    assert!(occasions(6) > 100, "keys");
}

#[test]
fn promises_hold_when_engines_cut_repeat_and_mix_frames() {
    run_checked(12, 3, &[&[Fault::Cut, Fault::Noise], &[Fault::Leave], &[Fault::RatingsStop]]);
}

#[test]
fn a_region_cut_breaks_no_answer_even_without_the_store() {
    let cut: &[Fault] = &[Fault::RegionCut, Fault::StoreDown];
    let outcome = run_checked(14, 6, &[&[Fault::RegionCut], cut]);
    assert_eq!(outcome.counts.2, 0, "{}", broken_answers(&outcome));
}

#[test]
fn promises_hold_when_links_are_cut_and_operators_race() {
    run_checked(13, 9, &[&[Fault::LinkCut, Fault::Race], &[Fault::Kill, Fault::LinkCut]]);
}
