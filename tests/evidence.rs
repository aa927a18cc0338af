//! Which contents are quarantined, decided without a network: crashes and successes in any order,
//! and the limits of what is remembered.

use kitepulley::decide::poison::{BrokenRequest, Evidence, EvidenceChange, ServerIncarnation};
use kitepulley::unit::{Digest, Moment, Span, digest};
use quickcheck::quickcheck;

const NOW: Moment = Moment(1_000_000_000);

fn content(number: u64) -> Digest {
    digest(&[&number.to_be_bytes()])
}

fn incarnation(number: u64) -> ServerIncarnation {
    ServerIncarnation::new(&format!("server{number}"), Some(number))
}

fn fresh(number: u64) -> BrokenRequest {
    BrokenRequest { fingerprint: content(number).into(), was_stable: false }
}

fn stable(number: u64) -> BrokenRequest {
    BrokenRequest { fingerprint: content(number).into(), was_stable: true }
}

/// Records crashes of different incarnations under a request, a second apart, and returns the
/// changes.
fn crash(evidence: &mut Evidence, request: BrokenRequest, crashes: u64) -> Vec<EvidenceChange> {
    let crash = |number: u64| {
        let at = NOW + Span::secs(number);
        evidence.on_crash(&request, incarnation(number), at, at)
    };
    (0..crashes).map(crash).collect()
}

#[test]
fn three_lives_that_end_under_a_content_hold_it_back() {
    let mut evidence = Evidence::default();
    let changes = crash(&mut evidence, fresh(1), 4);
    let expected = [
        EvidenceChange::Suspected,
        EvidenceChange::Suspected,
        EvidenceChange::Quarantined,
        EvidenceChange::Suspected,
    ];
    assert_eq!(changes, expected);
    assert_eq!(evidence.quarantine_crashes(&content(1), NOW + Span::secs(4)), Some(4));
    assert_eq!(evidence.quarantine_crashes(&content(2), NOW), None);
}

#[test]
fn one_life_ends_once_however_many_say_so() {
    let mut evidence = Evidence::default();
    for _ in 0..10 {
        evidence.on_crash(&fresh(1), incarnation(1), NOW, NOW);
    }
    assert_eq!(evidence.quarantine_crashes(&content(1), NOW), None);
    let again = ServerIncarnation::new("server1", Some(2));
    assert!(again != incarnation(1), "a later incarnation under the same id is another one");
}

#[test]
fn a_run_that_went_well_for_a_while_is_suspected_less() {
    let mut evidence = Evidence::default();
    let changes = crash(&mut evidence, stable(1), 5);
    assert_eq!(changes.iter().position(|change| *change == EvidenceChange::Quarantined), Some(4));
}

#[test]
fn a_content_that_runs_well_is_free_again_and_stays_so_for_a_while() {
    let mut evidence = Evidence::default();
    crash(&mut evidence, fresh(1), 3);
    let at = NOW + Span::secs(4);
    assert_eq!(
        evidence.on_success(content(1), at, at),
        EvidenceChange::Cleared { was_quarantined: true }
    );
    assert_eq!(evidence.quarantine_crashes(&content(1), at), None);
    // If many callers send the content, it is open at all servers that crash in the next seconds.
    for number in 10..20 {
        assert_eq!(
            evidence.on_crash(&fresh(1), incarnation(number), at + Span::secs(9), at),
            EvidenceChange::None
        );
    }
    // Other VMs may not know of the success yet.
    assert_eq!(
        evidence.on_quarantine_report(content(1), 3, NOW + Span::secs(3), at),
        EvidenceChange::None
    );
    // A success does not clear a content for ever.
    let later = at + Span::secs(40);
    let held =
        (10..13).map(|number| evidence.on_crash(&fresh(1), incarnation(number), later, later));
    assert_eq!(held.last(), Some(EvidenceChange::Quarantined));
}

#[test]
fn a_belief_ends_by_itself() {
    let mut evidence = Evidence::default();
    crash(&mut evidence, fresh(1), 3);
    assert!(evidence.quarantine_crashes(&content(1), NOW + Span::secs(590)).is_some());
    assert!(evidence.quarantine_crashes(&content(1), NOW + Span::secs(610)).is_none());
    evidence.expire(NOW + Span::secs(610));
    assert!(evidence.is_empty());
    assert_eq!(
        evidence.on_quarantine_report(content(1), 3, NOW, NOW + Span::secs(610)),
        EvidenceChange::None
    );
}

#[test]
fn a_caller_of_many_contents_pushes_out_nothing_that_is_held_back() {
    let mut evidence = Evidence::default();
    crash(&mut evidence, fresh(0), 3);
    let now = NOW + Span::secs(5);
    for number in 1..200_000 {
        evidence.on_crash(&fresh(number), incarnation(number % 600 + 10), now, now);
        evidence.on_success(content(number), now, now);
        if number % 3 == 0 {
            evidence.on_crash(&fresh(number + 1_000_000), incarnation(9_999), now, now);
        }
        assert!(evidence.len() <= 20_000, "{}", evidence.len());
    }
    assert_eq!(evidence.quarantine_crashes(&content(0), now), Some(3));
}

#[test]
fn what_others_hold_back_is_held_back_with_its_age() {
    let (mut one, mut other) = (Evidence::default(), Evidence::default());
    crash(&mut one, fresh(1), 3);
    let now = NOW + Span::secs(10);
    let reports = one.quarantined(10, now);
    assert_eq!((reports.len(), reports[0].crashes, reports[0].age), (1, 3, Span::secs(8)));
    let last = Moment(now.0 - reports[0].age.0);
    assert_eq!(
        other.on_quarantine_report(reports[0].content, reports[0].crashes, last, now),
        EvidenceChange::Quarantined
    );
    assert_eq!(
        other.on_quarantine_report(reports[0].content, reports[0].crashes, last, now),
        EvidenceChange::None
    );
    assert_eq!(other.quarantine_crashes(&content(1), now), Some(3));
    assert_eq!(other.quarantine_crashes(&content(1), last + Span::secs(601)), None);
}

quickcheck! {
    /// The order and number of crash reports do not matter.
    fn ends_add_up_in_any_order(events: Vec<(u8, u8, bool)>) -> bool {
        let apply = |events: &mut dyn Iterator<Item = &(u8, u8, bool)>| {
            let mut evidence = Evidence::default();
            for (asked, server, ran) in events {
                let fingerprint = content(u64::from(asked % 4)).into();
                let request = BrokenRequest { fingerprint, was_stable: *ran };
                evidence.on_crash(&request, incarnation(u64::from(server % 6)), NOW, NOW);
            }
            (0..4).map(|number| evidence.quarantine_crashes(&content(number), NOW)).collect::<Vec<_>>()
        };
        let twice = events.iter().chain(&events);
        apply(&mut events.iter()) == apply(&mut events.iter().rev())
            && apply(&mut events.iter()) == apply(&mut twice.into_iter())
    }

    /// Whatever the mix of crashes and successes, a content is quarantined only after three crashes
    /// since its last success.
    fn a_good_run_speaks_for_a_content(before: u8, after: u8) -> bool {
        let mut evidence = Evidence::default();
        let (before, after) = (u64::from(before % 8), u64::from(after % 8));
        (0..before).for_each(|number| {
            evidence.on_crash(&fresh(1), incarnation(number), NOW, NOW);
        });
        let ran = NOW + Span::secs(1);
        evidence.on_success(content(1), ran, ran);
        let later = ran + Span::secs(31);
        (0..after).for_each(|number| {
            evidence.on_crash(&fresh(1), incarnation(100 + number), later, later);
        });
        evidence.quarantine_crashes(&content(1), later).is_some() == (after >= 3)
    }
}
