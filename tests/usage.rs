//! Usage counts: merged from any paths in any order they count once, and a clock that is off moves
//! no window.

use std::collections::BTreeMap;

use kitepulley::decide::usage::{Acknowledged, Counts, Schedule, Source, Totals, median_offset};
use kitepulley::unit::{Date, Span, Vm, Window, Workspace};
use quickcheck::quickcheck;

const WINDOW: Window = Window(7);

fn workspace(number: u8) -> Workspace {
    format!("w{}", number % 4).parse().unwrap()
}

fn process(number: u8) -> Source {
    Source::Process { vm: format!("vm{}", number % 5).parse().unwrap(), process: 1 }
}

fn group(name: &str) -> Source {
    Source::Group(Some(name.parse().unwrap()))
}

fn counts(of: &[(u8, u64)]) -> Counts {
    of.iter().map(|(number, count)| (workspace(*number), *count)).collect()
}

quickcheck! {
    /// Totals arrive repeatedly and in any order; the sum is that of the largest of each source.
    fn totals_count_once_however_they_arrive(arrivals: Vec<(u8, u8, u8)>) -> bool {
        let mut totals = Totals::default();
        let mut expected: BTreeMap<(u8, u8), u64> = BTreeMap::new();
        for (source, of, count) in arrivals {
            totals.merge(&process(source), WINDOW, &counts(&[(of, u64::from(count))]));
            let known = expected.entry((source % 5, of % 4)).or_default();
            *known = (*known).max(u64::from(count));
        }
        let sum = totals.fleet_sum(WINDOW, &group("here"));
        (0..4).all(|of| {
            let expected = expected.iter().filter(|((_, one), _)| *one == of).map(|(_, n)| n);
            sum.get(&workspace(of)).copied().unwrap_or_default() == expected.sum::<u64>()
        })
    }

    /// What a follower sends piece by piece adds up to its totals, also if some answers are lost.
    fn what_is_sent_adds_up_to_the_totals(steps: Vec<(u8, bool)>) -> bool {
        let (own, reader): (Source, Vm) = (process(1), "reader".parse().unwrap());
        let (mut sent, mut here, mut there) = (Acknowledged::default(), Totals::default(), Totals::default());
        for (of, is_answered) in steps.into_iter().chain([(0, true)]) {
            here.record(&own, WINDOW, &workspace(of));
            let unsent = sent.unsent(&reader, &own, here.of(&own));
            unsent.iter().for_each(|(window, counts)| there.merge(&own, *window, counts));
            if is_answered {
                sent.record(&reader, &own, unsent);
            }
        }
        let sum = |totals: &Totals| totals.fleet_sum(WINDOW, &group("here"));
        sum(&here) == sum(&there) && sent.unsent(&reader, &own, here.of(&own)).is_empty()
    }
}

#[test]
fn groups_add_up_and_a_second_sum_of_the_own_group_does_not_count_twice() {
    let mut totals = Totals::default();
    totals.merge(&process(1), WINDOW, &counts(&[(0, 5)]));
    totals.merge(&process(2), WINDOW, &counts(&[(0, 3), (1, 1)]));
    totals.merge(&group("there"), WINDOW, &counts(&[(0, 10)]));
    assert_eq!(totals.fleet_sum(WINDOW, &group("here")), counts(&[(0, 18), (1, 1)]));
    // A VM of the own group was cut off, and took itself for the first of the group.
    totals.merge(&group("here"), WINDOW, &counts(&[(0, 6), (1, 2)]));
    assert_eq!(totals.fleet_sum(WINDOW, &group("here")), counts(&[(0, 18), (1, 2)]));
    assert!(totals.fleet_sum(Window(8), &group("here")).is_empty());
    totals.drop_before(Window(8));
    assert!(totals.fleet_sum(WINDOW, &group("here")).is_empty());
}

#[test]
fn a_window_is_reported_once_its_counts_have_settled_and_before_it_is_due() {
    let schedule = Schedule { length: Span::secs(5), due_after: Span::secs(10) };
    let at = |ms: u64| Date(1_700_000_000_000_000 + ms * 1000);
    let window = schedule.window(at(0));
    let ended = 5000;
    assert_eq!(schedule.window(at(4999)), window);
    assert!(schedule.last_settled(at(ended + 4900)) < window);
    assert_eq!(schedule.last_settled(at(ended + 5100)), window);
    assert!(schedule.first_kept(at(ended + 30_000)) <= window);
}

#[test]
fn one_clock_that_is_off_moves_no_window() {
    const HOUR: i64 = 3_600_000_000;
    assert_eq!(median_offset([]), 0);
    assert_eq!(median_offset([100, -200, HOUR]), 0);
    // The own clock is an hour behind three others.
    assert_eq!(median_offset([HOUR, HOUR + 5, HOUR - 5]), HOUR - 5);
}
