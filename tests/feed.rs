//! Feed of a reader: a follower that polls at any times ends with the same objects. Also the choice
//! of the VM to poll, and rejection of stale states.

mod site;

use std::collections::{BTreeMap, BTreeSet, HashSet};

use kitepulley::decide::reader::{Rank, SourceHistory, is_too_old_to_forward, poll_timeout};
use kitepulley::forward::apply::{self, Source};
use kitepulley::forward::feed::{Cursor, Feed, Origin, Reachability, Status, Update};
use kitepulley::forward::kind::Kind;
use kitepulley::forward::positions::Positions;
use kitepulley::platform::object::Object;
use kitepulley::unit::{Era, Millicores, Moment, Position, Span, Vm};
use quickcheck::quickcheck;
use serde_json::json;
use site::bare_vm;

fn object(name: u8, revision: u64) -> Object {
    let name = format!("o{}", name % 8);
    let value = json!({"metadata": {"name": name, "revision": revision}, "spec": {"n": revision}});
    serde_json::from_value(value).unwrap()
}

/// A position in the first era.
fn at(revision: u64) -> Position {
    Position::new(Era(0), revision)
}

fn kind(number: u8) -> Kind {
    Kind::ALL[number as usize % Kind::ALL.len()]
}

#[derive(Default)]
struct Follower {
    cursor: Cursor,
    objects: BTreeMap<(Kind, String), String>,
}

impl Follower {
    fn apply(&mut self, update: Update) {
        if update.is_full {
            self.objects.clear();
        }
        for change in update.changes.changes().expect("what is packed unpacks") {
            let key = (change.kind, change.name);
            match change.object {
                Some(text) => drop(self.objects.insert(key, text)),
                None => drop(self.objects.remove(&key)),
            }
        }
        self.cursor = update.cursor;
    }
}

fn all_objects(feed: &Feed) -> BTreeMap<(Kind, String), String> {
    let mut fresh = Follower::default();
    fresh.apply(feed.update_since(Cursor::default(), status(), Moment(0)));
    fresh.objects
}

fn status() -> Status {
    let origin = Origin { reader: "vm".parse().unwrap(), hops: 0 };
    let (verdicts, held) = (Vec::new(), Vec::new());
    Status {
        origin,
        store: Reachability::Up,
        proof: None,
        restore: None,
        verdicts,
        quarantined: held,
    }
}

/// Applies a list: removes the objects that it lacks and upserts those that it has.
fn apply_list(feed: &mut Feed, kind: Kind, listed: &[Object]) {
    for (of, name) in all_objects(feed).into_keys() {
        if of == kind && !listed.iter().any(|object| object.metadata.name == name) {
            feed.remove(kind, &name, true);
        }
    }
    listed.iter().for_each(|object| feed.upsert(kind, object));
}

fn rank(name: &str, share: u32) -> Rank {
    Rank::new(Millicores(share), name.parse().unwrap())
}

quickcheck! {
    /// Upserts, removals, lists and restarts of the reader's process in any order, with polls
    /// between them.
    fn a_follower_ends_with_what_its_reader_has(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut feed = Feed::new(7);
        let mut follower = Follower::default();
        for (number, (what, kind_of, name)) in steps.into_iter().enumerate() {
            let (kind, revision) = (kind(kind_of), number as u64 + 1);
            match what % 16 {
                0..=6 => feed.upsert(kind, &object(name, revision)),
                7..=9 => feed.remove(kind, &format!("o{}", name % 8), false),
                10 => apply_list(&mut feed, kind, &[object(name, revision), object(name + (name < 255) as u8, revision)]),
                11 => feed = Feed::new(100 + revision),
                _ => follower.apply(feed.update_since(follower.cursor, status(), Moment(0))),
            }
        }
        follower.apply(feed.update_since(follower.cursor, status(), Moment(0)));
        follower.objects == all_objects(&feed)
    }

    /// Among VMs that all reach one another there is one reader, and all others poll it.
    fn one_of_a_group_reads(names: Vec<u8>) -> bool {
        // One VM per name, some larger than others; larger VMs rank first.
        let group: BTreeSet<u8> = names.into_iter().collect();
        let group: BTreeSet<Rank> = group.into_iter().map(|name| rank(&format!("vm{name}"), u32::from(name % 3))).collect();
        let asked = SourceHistory::default();
        let next = |own: &Rank| asked.next_source(own, group.iter().filter(|one| *one != own), Moment(9)).cloned();
        let first = group.first();
        group.iter().all(|own| next(own).as_ref() == first.filter(|first| *first != own).map(|first| &first.vm))
    }
}

/// A store's objects of one kind after each of its revisions: names and the revisions of their last
/// changes.
fn history(changes: &[(u8, bool)]) -> Vec<BTreeMap<String, u64>> {
    let mut states = vec![BTreeMap::new()];
    for (at, (name, there)) in changes.iter().enumerate() {
        let (name, mut state) = (format!("o{}", name % 5), states[at].clone());
        match there {
            true => drop(state.insert(name, at as u64 + 1)),
            false => drop(state.remove(&name)),
        }
        states.push(state);
    }
    states
}

quickcheck! {
    /// Lists of any revisions, in any order and repeated, leave the objects of the newest of them.
    fn the_newest_list_decides_whenever_it_comes(changes: Vec<(u8, bool)>, order: Vec<u8>) -> bool {
        let states = history(&changes);
        let mut known = Positions::default();
        let mut there = BTreeSet::new();
        let revisions: Vec<usize> = order.iter().map(|at| *at as usize % states.len()).collect();
        for revision in &revisions {
            let (list, as_of) = (&states[*revision], at(*revision as u64));
            let names: HashSet<&str> = list.keys().map(String::as_str).collect();
            for name in known.missing_from_list(Kind::Servers, &names, as_of) {
                if known.record_removal(Kind::Servers, &name, as_of) {
                    there.remove(&name);
                }
            }
            for (name, changed) in list {
                if known.record(Kind::Servers, name, at(*changed), as_of) {
                    there.insert(name.clone());
                }
            }
        }
        let newest = revisions.iter().max().copied().unwrap_or(0);
        there == states[newest].keys().cloned().collect()
    }
}

/// A valid object of a kind, whose content differs by revision.
fn valid_object(kind: Kind, revision: u64) -> Object {
    let (name, spec) = match kind {
        Kind::Config => ("main", json!({"version": revision})),
        Kind::Servers => (
            "r1",
            json!({"service": "api", "address": "127.0.0.1:9", "zone": "here", "version": "v1",
                "capacity": revision, "state": "ready", "cold_remaining_ms": 0, "sequence": 1}),
        ),
        Kind::Rollouts => {
            ("api", json!({"service": "api", "target_version": "v2", "duration_s": revision}))
        }
        Kind::Evacuations => ("here", json!({"n": revision})),
        Kind::Vms => {
            ("vm-b", json!({"address": "127.0.0.1:9", "data_centre": "here", "share": revision}))
        }
    };
    let value = json!({"metadata": {"name": name, "revision": revision}, "spec": spec});
    serde_json::from_value(value).unwrap()
}

#[test]
fn an_older_state_of_an_object_changes_nothing() {
    for kind in Kind::ALL {
        let vm = bare_vm();
        let source = |revision| Source { reader: None, as_of: at(revision) };
        apply::apply_object(&vm, kind, &valid_object(kind, 9), &source(9));
        let before = all_objects(&vm.feed.borrow());
        assert_eq!(before.len(), 1, "{kind:?} is passed on");
        apply::apply_object(&vm, kind, &valid_object(kind, 8), &source(8));
        assert_eq!(all_objects(&vm.feed.borrow()), before, "{kind:?} by an event");
        apply::apply_list(&vm, kind, &[valid_object(kind, 8)], &source(8));
        assert_eq!(all_objects(&vm.feed.borrow()), before, "{kind:?} by a list");
    }
}

#[test]
fn a_vm_without_news_is_passed_over_for_a_while() {
    let vm = |name: &str| name.parse::<Vm>().unwrap();
    let group = ["a", "b", "d"].map(|name| rank(name, 0));
    let own = rank("c", 0);
    let mut asked = SourceHistory::default();
    assert_eq!(asked.next_source(&own, group.iter(), Moment(0)), Some(&vm("a")));
    asked.on_timeout(&vm("a"), Moment(0));
    assert_eq!(asked.next_source(&own, group.iter(), Moment(1)), Some(&vm("b")));
    asked.on_declined(&vm("b"), Moment(1));
    assert_eq!(asked.next_source(&own, group.iter(), Moment(2)), None, "it reads for itself");
    assert_eq!(
        asked.next_source(&own, group.iter(), Moment(1_600_000)),
        Some(&vm("b")),
        "it answered"
    );
    assert_eq!(asked.next_source(&own, group.iter(), Moment(3_000_000)), Some(&vm("a")));
    asked.on_timeout(&vm("a"), Moment(3_000_000));
    assert_eq!(
        asked.next_source(&own, group.iter(), Moment(5_500_000)),
        Some(&vm("b")),
        "longer now"
    );
    asked.on_update(&vm("a"));
    assert_eq!(asked.next_source(&own, group.iter(), Moment(5_500_000)), Some(&vm("a")));
}

#[test]
fn knowledge_of_servers_is_never_older_than_a_leave_allows() {
    let leave_within = Span::secs(2);
    // The oldest state that a reader serves, plus the longest time until its follower reads the
    // store itself: polls, one after the other, of VMs that don't answer.
    let oldest = (0..2000)
        .map(Span::millis)
        .rfind(|age| !is_too_old_to_forward(*age, leave_within))
        .unwrap();
    let known = Moment(10_000_000);
    let mut now = Moment(known.0 + oldest.0);
    let mut asked = 0;
    while let Some(time) = poll_timeout(Some(known), leave_within, now) {
        now = now + time;
        asked += 1;
        assert!(asked < 10, "each question takes time");
    }
    let read = now.since(known);
    assert!(read <= Span::millis(1600), "{read} old when it reads for itself");
    assert!(oldest >= Span::millis(800), "a reader that asks every 0.6 s is never stale");
    assert!(poll_timeout(None, leave_within, now).is_some(), "one that reads for itself has time");
}

/// When the store recovers, VMs that had reported it down or served no updates are polled at once;
/// VMs that did not answer still wait for their back-off.
#[test]
fn those_that_had_lost_the_store_are_asked_again_when_it_answers() {
    let (own, group) = (rank("c", 0), [rank("a", 0), rank("b", 0)]);
    let now = Moment(1_000_000);
    let mut asked = SourceHistory::default();
    asked.on_timeout(&group[0].vm, now);
    asked.on_store_unavailable(&group[1].vm, now);
    assert_eq!(asked.next_source(&own, group.iter(), now), None);
    asked.clear_declined();
    assert_eq!(asked.next_source(&own, group.iter(), now), Some(&group[1].vm));
}

#[test]
fn a_follower_that_missed_a_change_of_every_object_gets_no_full_update() {
    for count in [100, 3000, 12_000] {
        let mut feed = Feed::new(7);
        let named = |at: usize, revision: u64| -> Object {
            let metadata = json!({"name": format!("o{at}"), "revision": revision});
            serde_json::from_value(json!({"metadata": metadata, "spec": {}})).unwrap()
        };
        (0..count).for_each(|at| feed.upsert(Kind::Servers, &named(at, 1)));
        let cursor = feed.update_since(Cursor::default(), status(), Moment(0)).cursor;
        (0..count).for_each(|at| feed.upsert(Kind::Servers, &named(at, 2)));
        let update = feed.update_since(cursor, status(), Moment(0));
        assert!(!update.is_full, "all of {count} objects changed");
        assert_eq!(update.changes.changes().map(|changes| changes.len()), Some(count));
    }
}
