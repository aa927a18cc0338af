//! Which VMs read the store and which sources a VM polls, decided without a network: fleets of up
//! to a thousand VMs in six data centres, with VMs that do not answer, decline, or report the store
//! as lost.

use std::collections::BTreeMap;

use kitepulley::decide::reader::{
    FAST_POLL_INTERVAL, FollowerState, GroupPosition, POLL_INTERVAL, Rank, STARTUP_SILENCE,
    STARTUP_WAIT, SourceHistory, is_detour, max_probe_delay, may_accept_update, may_stop_reading,
    poll_pause, poll_timeout, read_store_age, should_read_store, startup_wait,
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

/// Returns a state for each combination of positions, sources and reports.
fn follower_states() -> Vec<FollowerState> {
    let positions = [GroupPosition::First, GroupPosition::Next, GroupPosition::Behind];
    let mut states = Vec::new();
    for group_position in positions {
        for bits in 0..64_u8 {
            let is_set = |bit: u8| bits & 1 << bit != 0;
            states.push(FollowerState {
                group_position,
                has_other_groups: is_set(0),
                has_source: is_set(1),
                is_store_unavailable: is_set(2),
                has_snapshot: is_set(3),
                is_starting: is_set(4),
                is_overdue: is_set(5),
            });
        }
    }
    states
}

/// Guards against VMs that the store serves and that go on with old state for as long as others
/// report the store as lost.
#[test]
fn what_is_too_old_is_read_whatever_others_report() {
    for state in follower_states() {
        if state.is_overdue {
            assert!(should_read_store(&state), "its data is too old: {state:?}");
        }
        if !state.has_snapshot && !state.is_starting {
            assert!(should_read_store(&state), "no update came: {state:?}");
        }
    }
    let young = FollowerState {
        group_position: GroupPosition::Behind,
        has_other_groups: true,
        has_source: false,
        is_store_unavailable: false,
        has_snapshot: false,
        is_starting: true,
        is_overdue: false,
    };
    assert!(!should_read_store(&young), "its first update may still come");
    assert!(
        !should_read_store(&FollowerState {
            is_store_unavailable: true,
            has_snapshot: true,
            ..young
        }),
        "the VMs that try the store report the result"
    );
}

/// Returns the age of its data at which a VM reads the store itself if each of its sources answers
/// at the end of the time for a poll, and reports the store as lost.
fn age_at_first_read(group: &[Rank], own: &Rank, bound: Span) -> Span {
    let known = Moment(0) + Span::secs(100);
    let (mut history, mut now) = (SourceHistory::default(), known);
    let others: Vec<Rank> = group.iter().filter(|other| *other != own).cloned().collect();
    loop {
        let source = history.next_source(own, others.iter(), now).cloned();
        if let (Some(source), Some(time)) = (source, poll_timeout(Some(known), bound, now)) {
            now = now + time;
            history.on_store_unavailable(&source, now);
        }
        let is_lost = history.is_store_reported_unavailable(own, others.iter(), now);
        let ranked_before = history.count_ranked_before(own, others.iter(), now).responsive();
        let read_age = read_store_age(bound, is_lost.then_some(ranked_before));
        let state = FollowerState {
            group_position: history.group_position(own, others.iter(), now),
            has_other_groups: true,
            has_source: history.next_source(own, others.iter(), now).is_some(),
            is_store_unavailable: is_lost,
            has_snapshot: true,
            is_starting: false,
            is_overdue: now.since(known) >= read_age,
        };
        if should_read_store(&state) {
            return now.since(known);
        }
        let latest = read_store_age(bound, None);
        now = now + poll_pause(POLL_INTERVAL, Some(known), read_age, latest, now);
        assert!(now.since(known) < bound, "{} waits for others for {bound}", own.vm);
    }
}

/// Guards against VMs that the store serves and that act on old state, since VMs that it turns away
/// report it as lost to them.
#[test]
fn a_vm_whose_sources_report_the_store_as_lost_reads_it_within_its_bound() {
    for seconds in 2..=5 {
        let bound = Span::secs(seconds);
        for vms in [14, 84, 295] {
            for group in fleet(vms) {
                for own in &group[1..] {
                    let age = age_at_first_read(&group, own, bound);
                    assert!(age <= bound.mul_f64(0.8), "{}: {age} of {bound}", own.vm);
                }
            }
        }
    }
}

/// Guards against VMs that poll only those of highest rank, although these report the store as lost
/// and others reach it.
#[test]
fn a_vm_polls_others_than_those_that_report_the_store_as_lost() {
    let group = &fleet(60)[0];
    let own = &group[6];
    let mut history = SourceHistory::default();
    let now = Moment(0) + Span::secs(1);
    group[..3].iter().for_each(|rank| history.on_store_unavailable(&rank.vm, now));
    assert_eq!(history.next_source(own, group.iter(), now), Some(&group[3].vm));
    // They are polled again, to learn when the store is back.
    let later = now + Span::secs(2);
    assert_eq!(history.next_source(own, group.iter(), later), Some(&group[0].vm));
}

/// Guards against two readers that stop reading for each other, and against two VMs that follow each
/// other, so that no VM has current data.
#[test]
fn no_two_vms_wait_for_each_other() {
    let ranks: Vec<Rank> = (0..12).map(rank).collect();
    for one in &ranks {
        for other in ranks.iter().filter(|other| *other != one) {
            assert!(may_stop_reading(one, other) != may_stop_reading(other, one));
        }
    }
    let (reader, another) = (&ranks[0].vm, &ranks[1].vm);
    // A VM has the updates of a reader by one hop, and its follower by two.
    assert!(is_detour(reader, 2, reader, 1), "it offers what it got from this VM");
    assert!(is_detour(reader, 1, reader, 1));
    assert!(!is_detour(reader, 0, reader, 1), "the reader itself");
    assert!(!is_detour(another, 2, reader, 1), "another reader");
}

/// Guards against a VM that polls without a pause while its source has data that is old and still
/// accepted.
#[test]
fn a_poll_follows_after_a_pause_whatever_the_age_of_the_data() {
    let known = Moment(0) + Span::secs(100);
    let (read_age, latest) = (Span::millis(1400), Span::millis(1600));
    let pause = |age: u64| {
        poll_pause(POLL_INTERVAL, Some(known), read_age, latest, known + Span::millis(age))
    };
    assert_eq!(pause(0), POLL_INTERVAL);
    assert_eq!(pause(1300), Span::millis(100));
    assert_eq!(pause(1400), FAST_POLL_INTERVAL);
    assert_eq!(pause(1570), Span::millis(30), "it may have to read the store then");
    assert_eq!(pause(1600), FAST_POLL_INTERVAL);
    assert_eq!(poll_pause(POLL_INTERVAL, None, read_age, latest, known), POLL_INTERVAL);
}

/// Guards against a group whose probes of a lost store grow with its size.
#[test]
fn vms_of_lower_rank_probe_a_lost_store_more_rarely() {
    let probes_per_second = |vms: usize| -> f64 {
        (0..vms).map(|before| 1.0 / max_probe_delay(before).as_secs()).sum()
    };
    assert!(probes_per_second(1000) < 2.0 * probes_per_second(50));
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
        assert!(
            figure("oldest at VMs served ms") <= 4000.0 * 0.8,
            "the store turns away three VMs of each data centre: {row}"
        );
        assert!(figure("ready after p99 ms") <= 1000.0, "{row}");
    }
}
