//! Which VMs read the store and which sources a VM polls, decided without a network: fleets of up
//! to a thousand VMs in six data centres, with VMs that do not answer, decline, or report the store
//! as lost.

use std::collections::BTreeMap;

use kitepulley::decide::reader::{
    FollowerState, GroupPosition, Rank, STARTUP_SILENCE, STARTUP_WAIT, SourceHistory,
    may_accept_update, should_read_store, startup_wait,
};
use kitepulley::forward::rollout_trial::Source;
use kitepulley::forward::rollout_trial::{RolloutTrial, Sample, Verdict};
use kitepulley::unit::{Millicores, Moment, Span, Version, Vm};
use quickcheck::quickcheck;

const DATA_CENTRES: usize = 6;

fn rank(number: usize) -> Rank {
    // The first three VMs of each data centre are large, as on the users' site.
    let share = if number / DATA_CENTRES < 3 { 500 } else { 120 };
    Rank::new(Millicores(share), format!("vm{number:04}").parse().unwrap())
}

/// A fleet: the ranks of each data centre.
fn fleet(vms: usize) -> Vec<Vec<Rank>> {
    let of = |at: usize| (0..vms).filter(move |number| number % DATA_CENTRES == at).map(rank);
    (0..DATA_CENTRES).map(|at| of(at).collect()).collect()
}

/// Returns the state of a VM without an update, as it would determine it itself.
fn follower_state(
    history: &SourceHistory,
    groups: &[Vec<Rank>],
    at: usize,
    own: &Rank,
) -> FollowerState {
    let now = Moment(1);
    let place = history.group_position(own, groups[at].iter(), now);
    let others = groups.iter().enumerate().filter(|(group, _)| *group != at);
    let firsts: Vec<&Rank> =
        others.filter_map(|(_, group)| history.first_responsive(group.iter(), now)).collect();
    let next = match place {
        GroupPosition::First => history.next_source(own, firsts.iter().copied(), now),
        GroupPosition::Next | GroupPosition::Behind => {
            history.next_source(own, groups[at].iter(), now)
        }
    };
    FollowerState {
        group_position: place,
        has_other_groups: !firsts.is_empty(),
        has_source: next.is_some(),
        is_store_unavailable: history.is_store_reported_unavailable(own, groups[at].iter(), now),
        has_snapshot: true,
        is_starting: false,
        is_overdue: false,
    }
}

/// Returns how many VMs of a fleet read the store if each has applied `observe` to its
/// possible sources.
fn readers(vms: usize, observe: impl Fn(&mut SourceHistory, &Vm)) -> usize {
    let groups = fleet(vms);
    let mut readers = 0;
    for (at, group) in groups.iter().enumerate() {
        for own in group {
            let mut history = SourceHistory::default();
            groups
                .iter()
                .flatten()
                .filter(|other| *other != own)
                .for_each(|other| observe(&mut history, &other.vm));
            readers += usize::from(should_read_store(&follower_state(&history, &groups, at, own)));
        }
    }
    readers
}

#[test]
fn one_vm_of_a_fleet_reads_in_calm_whatever_its_size() {
    for vms in [10, 60, 300, 1000] {
        assert_eq!(readers(vms, |_, _| {}), 1, "of {vms}");
    }
}

/// Guards against a VM that takes the first of its group for gone after one unanswered poll, when
/// both have just started.
#[test]
fn a_vm_that_starts_gives_the_first_of_its_group_time_to_start_too() {
    let groups = &fleet(60)[..1];
    let (first, own) = (&groups[0][0], &groups[0][1]);
    let mut history = SourceHistory::default();
    let asked = Moment(1);
    let reads = |history: &SourceHistory| {
        let state = follower_state(history, groups, 0, own);
        should_read_store(&FollowerState { has_snapshot: false, is_starting: true, ..state })
    };
    history.on_startup_timeout(&first.vm, asked);
    assert!(!reads(&history));
    let later = asked + STARTUP_SILENCE;
    history.on_startup_timeout(&first.vm, later);
    let place = history.group_position(own, groups[0].iter(), later);
    assert_eq!(place, GroupPosition::First, "it has not answered for long");
}

/// Guards against a whole fleet that reads the store at the same moment, since the first VMs of the
/// groups take too long for it at a start.
#[test]
fn when_the_first_are_slow_at_a_start_those_next_to_them_read_before_all_others() {
    let readers_after = |time: Span| {
        let groups = fleet(300);
        let not_ready = |history: &mut SourceHistory, vm: &Vm| history.on_not_ready(vm, Moment(0));
        let mut readers = 0;
        for (at, group) in groups.iter().enumerate() {
            for own in group {
                let mut history = SourceHistory::default();
                let others = groups.iter().flatten().filter(|other| *other != own);
                others.for_each(|other| not_ready(&mut history, &other.vm));
                let state = follower_state(&history, &groups, at, own);
                let is_starting = time < startup_wait(state.group_position);
                let state = FollowerState { has_snapshot: false, is_starting, ..state };
                readers += usize::from(should_read_store(&state));
            }
        }
        readers
    };
    assert_eq!(readers_after(STARTUP_WAIT), 3 * DATA_CENTRES);
    assert_eq!(readers_after(Span(2 * STARTUP_WAIT.0)), 300);
}

#[test]
fn while_the_store_is_lost_the_first_of_each_data_centre_tries() {
    for vms in [60, 300, 1000] {
        let tried = readers(vms, |history, vm| history.on_store_unavailable(vm, Moment(0)));
        assert_eq!(tried, DATA_CENTRES, "of {vms}");
    }
}

#[test]
fn when_all_decline_those_next_to_the_first_read_and_nobody_behind() {
    for vms in [60, 300, 1000] {
        let read = readers(vms, |history, vm| history.on_declined(vm, Moment(0)));
        assert_eq!(read, 3 * DATA_CENTRES, "of {vms}");
    }
}

#[test]
fn a_vm_that_answers_nobody_is_passed_over() {
    let first = rank(0).vm;
    let silent = |history: &mut SourceHistory, vm: &Vm| {
        if *vm == first {
            history.on_timeout(vm, Moment(0));
        }
    };
    // The first of all VMs is still up and reads. The next in its data centre polls the firsts of
    // the others, of which the first reads.
    assert_eq!(readers(300, silent), 2);
}

#[test]
fn what_is_too_old_is_read_unless_the_store_is_lost() {
    let behind = FollowerState {
        group_position: GroupPosition::Behind,
        has_other_groups: true,
        has_source: true,
        is_store_unavailable: false,
        has_snapshot: true,
        is_starting: false,
        is_overdue: true,
    };
    assert!(should_read_store(&behind), "draining servers must not get work beyond the bound");
    assert!(
        !should_read_store(&FollowerState { is_store_unavailable: true, ..behind }),
        "the VMs that try the store report the result"
    );
    let young = FollowerState {
        has_snapshot: false,
        is_starting: true,
        is_overdue: false,
        has_source: false,
        ..behind
    };
    assert!(!should_read_store(&young), "its first update may still come");
    assert!(should_read_store(&FollowerState { is_starting: false, ..young }), "no update came");
}

#[test]
fn what_a_vm_read_itself_is_no_news_to_it() {
    let (own, other) = (rank(1).vm, rank(2).vm);
    assert!(!may_accept_update(&own, 1, &own));
    assert!(may_accept_update(&other, 2, &own));
    assert!(!may_accept_update(&other, 9, &own), "it was forwarded too often");
}

/// Returns the answers in the verdict and those in fact seen, if VMs report their counts repeatedly
/// and some restart.
fn verdict_of(reports: &[(u8, u8)]) -> (f64, f64) {
    let (old, new): (Version, Version) = ("v1".parse().unwrap(), "v2".parse().unwrap());
    let mut first = RolloutTrial::default();
    first.track_version(&new, Moment(0));
    let mut vms: BTreeMap<u8, RolloutTrial> = BTreeMap::new();
    let mut seen: BTreeMap<u8, f64> = BTreeMap::new();
    for (vm, action) in reports {
        let name: Vm = format!("vm{}", vm % 7).parse().unwrap();
        let vm = vm % 7;
        if action % 5 == 0 {
            // The VM restarts and loses its counts.
            vms.remove(&vm);
            seen.remove(&vm);
        }
        let trials = vms.entry(vm).or_default();
        trials.track_version(&new, Moment(0));
        for version in [&old, &new] {
            let time = Some(Span::millis(20));
            let sample = Sample {
                route: "r",
                version,
                failed: false,
                response_time: time,
                reported_slow_levels: 0,
                expected_time: time,
                latency_goal: Span::millis(100),
            };
            trials.record(&sample);
        }
        *seen.entry(vm).or_default() += 1.0;
        first.merge_totals(Source::Vm(name), &new, trials.own_totals().clone());
    }
    // Counts of a VM that restarted would stay as last reported, but each VM reports again after
    // its last action.
    (first.verdict().seen, seen.values().sum())
}

quickcheck! {
    fn nothing_counts_twice(reports: Vec<(u8, u8)>) -> bool {
        let (counted, seen) = verdict_of(&reports);
        counted == seen
    }
}

#[test]
fn of_two_verdicts_that_counts_which_rests_on_more_answers() {
    let new: Version = "v2".parse().unwrap();
    let mut trials = RolloutTrial::default();
    trials.track_version(&new, Moment(0));
    trials.set_upstream_verdict(&new, Verdict { seen: 50.0, evidence: 0.5 });
    assert_eq!(trials.verdict(), Verdict { seen: 50.0, evidence: 0.5 });
    trials.set_upstream_verdict(&"v3".parse().unwrap(), Verdict { seen: 90.0, evidence: 9.0 });
    assert_eq!(trials.verdict().seen, 50.0, "the verdict is of another version");
    trials.set_upstream_verdict(&new, Verdict { seen: 60.0, evidence: 9.0 });
    assert!(trials.is_bad(), "the fleet found the version bad");
    trials.clear_upstream_verdict();
    assert_eq!(trials.verdict().seen, 0.0);
}

/// Rows of the emulation, by strategy and number of VMs.
fn emulated(vms: &str) -> Vec<serde_json::Value> {
    let program = env!("CARGO_BIN_EXE_kitepulley");
    let played = std::process::Command::new(program)
        .args(["experiment", "reading", "--json", "--seed", "1", "--vms", vms])
        .output()
        .expect("the program runs");
    assert!(played.status.success(), "{}", String::from_utf8_lossy(&played.stderr));
    let table: serde_json::Value = serde_json::from_slice(&played.stdout).expect("it prints JSON");
    table["rows"].as_array().expect("there are rows").clone()
}

#[test]
fn calls_to_the_store_grow_with_starts_and_not_with_vms() {
    for row in emulated("23,60,300").iter().filter(|row| row["way"] == "passed on") {
        let figure = |name: &str| row[name].as_f64().expect("a number");
        assert!(figure("start, calls a VM") <= 4.0, "{row}");
        assert!(figure("again, calls a VM") <= 4.0, "{row}");
        assert!(figure("calm, calls/s") <= 3.0, "{row}");
        assert!(figure("away 8 s, calls") <= 3.0 * 8.0 * figure("calm, calls/s"), "{row}");
        assert!(figure("return 10 s, calls") <= 3.0 * 10.0 * figure("calm, calls/s"), "{row}");
        assert!(figure("fall, VMs that read") <= 3.0, "{row}");
        assert!(figure("ready after p99 ms") <= 1000.0, "{row}");
    }
}
