//! Tests of the history checker: it reports each planted breach of a promise, passes a clean
//! history and detects mutations of it.

mod common;

use common::{HistoryBuilder, clean};
use kitepulley::history::{Event, Line, Ran, judge};
use kitepulley::unit::{Date, Revision};

/// Returns the numbers of the broken promises, from 1, in the order of the report.
fn broken(lines: &[Line]) -> Vec<usize> {
    let report = judge(lines);
    let verdicts = report.verdicts.iter().enumerate();
    verdicts.filter(|(_, verdict)| verdict.breaches > 0).map(|(i, _)| i + 1).collect()
}

fn planted(story: HistoryBuilder) -> Vec<usize> {
    broken(&story.lines())
}

#[test]
fn a_clean_history_holds_and_tests_every_promise() {
    let report = judge(&clean().lines());
    for verdict in &report.verdicts {
        assert_eq!(verdict.outcome(), "held", "{}", verdict.promise);
    }
}

#[test]
fn a_promise_without_occasion_is_not_called_held() {
    for verdict in &judge(&[]).verdicts {
        assert_eq!(verdict.outcome(), "not tested");
    }
}

#[test]
fn work_on_a_version_that_is_not_allowed_is_named() {
    assert_eq!(planted(clean().request(20, "m@v9", 2, None)), vec![1]);
}

#[test]
fn work_on_a_withdrawn_version_is_named() {
    assert_eq!(planted(clean().request(20, "m@v2", 2, None)), vec![1, 2]);
}

#[test]
fn a_session_that_changes_its_version_is_named() {
    let story = HistoryBuilder::default()
        .revision(1, &["m@v1", "m@v2"], &[])
        .request(1, "m@v1", 1, Some(7))
        .request(2, "m@v2", 1, Some(7));
    assert_eq!(planted(story), vec![3]);
}

#[test]
fn a_doubled_a_missing_and_a_baseless_bill_are_named() {
    assert_eq!(planted(clean().billed(1)), vec![4]);
    let missing = clean().asked(20, None, None).ran(20, "m@v1", "e1");
    assert_eq!(planted(missing.answered(20, Some("m@v1"), "d", None)), vec![4]);
    assert_eq!(planted(clean().billed(99)), vec![4]);
}

#[test]
fn an_answer_that_no_run_made_is_named() {
    let story = clean().asked(20, None, None).ran(20, "m@v1", "e1").billed(20);
    assert_eq!(planted(story.answered(20, Some("m@v1"), "other", None)), vec![5]);
}

#[test]
fn a_refusal_that_lies_is_named() {
    let story = clean().asked(20, None, None).ran(20, "m@v1", "e1");
    assert_eq!(planted(story.answered(20, None, "", Some(Ran::No))), vec![6]);
}

#[test]
fn a_call_that_ran_twice_is_named() {
    assert_eq!(planted(clean().asked(20, Some("k"), None).served(20, "k")), vec![7]);
}

#[test]
fn work_long_after_a_server_began_to_leave_is_named() {
    let story = clean().leaving("e1").advance_seconds(5).request(20, "m@v1", 2, None);
    assert_eq!(planted(story), vec![8]);
}

#[test]
fn an_answer_cut_off_by_a_planned_stop_is_named() {
    assert_eq!(planted(clean().asked(20, None, None).cut(20)), vec![9]);
}

#[test]
fn a_revision_that_falls_and_one_obeyed_too_late_are_named() {
    assert_eq!(planted(clean().adopted(1)), vec![10]);
    assert_eq!(planted(clean().request(20, "m@v1", 1, None)), vec![10]);
}

/// Drops or doubles one event at a time; the checker must report those that break a promise.
#[test]
fn mutations_that_break_a_promise_are_caught() {
    let lines = clean().lines();
    let (mut caught, mut tried) = (0, 0);
    for at in 0..lines.len() {
        let dropped: Vec<Line> =
            lines.iter().enumerate().filter(|(i, _)| *i != at).map(|(_, l)| l.clone()).collect();
        let mut doubled = lines.clone();
        doubled.insert(at, lines[at].clone());
        let matters = match &lines[at].event {
            Event::Billed { .. } => [true, true],
            Event::Served { .. } => [true, true],
            Event::Ran { .. } => [true, false],
            _ => [false, false],
        };
        for (mutation, must) in [dropped, doubled].iter().zip(matters) {
            if must {
                tried += 1;
                caught += usize::from(!broken(mutation).is_empty());
            }
        }
    }
    assert!(tried > 10);
    assert_eq!(caught, tried);
}

#[test]
fn swapped_digests_and_moved_times_are_caught() {
    let mut swapped = clean().lines();
    for line in &mut swapped {
        if let Event::Answered { ask: 1, digest, .. } = &mut line.event {
            *digest = Some("swapped".to_owned());
        }
    }
    assert_eq!(broken(&swapped), vec![5]);
    let mut moved = clean().lines();
    let end = moved.last().unwrap().at;
    for line in &mut moved {
        if matches!(&line.event, Event::Started { revision: Revision(1), .. }) {
            line.at = Date(end.0 + 1);
            break;
        }
    }
    moved.sort_by_key(|line| line.at);
    assert_eq!(broken(&moved), vec![10]);
}
