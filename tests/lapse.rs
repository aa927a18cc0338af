//! Entries of backend servers that were taken away, and entries that lapsed while the store was
//! away.
//!
//! Guards against requests that undisturbed VMs send to a server more than two seconds after its
//! entry was taken away, since the VM that they follow had been turned away by the store before: it
//! took each entry that went as one that may only have lapsed, and its followers believed it, though
//! they had read the store through another VM meanwhile.

mod site;

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use kitepulley::decide::freshness::{Bounds, Schedules};
use kitepulley::decide::lapse::{LAPSED_ENTRY_GRACE, Lapses};
use kitepulley::forward::Vm;
use kitepulley::forward::apply::{self, Source};
use kitepulley::forward::feed::Reachability;
use kitepulley::forward::kind::Kind;
use kitepulley::platform::object::Object;
use kitepulley::unit::{Era, Moment, Position, Span};
use kitepulley::vm::{Clock, Reading};
use quickcheck::{TestResult, quickcheck};
use serde_json::json;
use site::proxy::{Proxy, Rejection};
use site::{Site, are_ready, ask, eventually, follows, head, vm_with_clock};

/// Interval of the checks for servers that are kept no longer.
const EXPIRY_INTERVAL: Span = Span::millis(200);

fn schedules(drain_within: Span) -> Schedules {
    let long = Span::secs(60);
    Schedules::new(Bounds {
        config: drain_within,
        servers: drain_within,
        rollouts: long,
        evacuations: long,
        key_proof: None,
    })
}

/// Returns how long after its removal a server is used by a VM that reads at these intervals, in
/// milliseconds; its entry is taken away just after one of the reads.
fn used_after_removal(intervals: &[u16], drain_within: Span, at: usize, failed: bool) -> Span {
    let schedules = schedules(drain_within);
    let mut lapses = Lapses::default();
    let mut now = Moment(0);
    lapses.on_read(now, drain_within);
    for interval in &intervals[..at] {
        now = now + Span::millis(u64::from(*interval));
        lapses.on_read(now, drain_within);
    }
    let removed_at = now;
    now = now + Span::millis(u64::from(intervals[at]));
    lapses.on_read(now, drain_within);
    let kept_until = lapses.kept_until(failed, schedules.max_followed_age(), now);
    let end = kept_until.map_or(now, |until| until + EXPIRY_INTERVAL);
    end.since(removed_at)
}

quickcheck! {
    /// A VM whose state of the servers is never older than it may be uses no server for longer than
    /// the bound after its entry was taken away, whether or not reads failed in between.
    fn a_vm_that_reads_in_time_uses_no_server_past_the_bound(
        intervals: Vec<u16>,
        failed: bool,
        secs: u8
    ) -> TestResult {
        let drain_within = Span::secs(2 + u64::from(secs % 4));
        let longest = schedules(drain_within).max_servers_age().as_millis() as u16;
        let intervals: Vec<u16> = intervals.iter().map(|ms| ms % (longest + 1)).collect();
        if intervals.is_empty() {
            return TestResult::discard();
        }
        TestResult::from_bool((0..intervals.len()).all(|at| {
            used_after_removal(&intervals, drain_within, at, failed) <= drain_within
        }))
    }
}

#[test]
fn a_server_whose_entry_lapsed_in_an_outage_stays_until_entries_are_back() {
    let drain_within = Span::secs(2);
    let mut lapses = Lapses::default();
    lapses.on_read(Moment(0), drain_within);
    let back = Moment(0) + Span::millis(2600);
    assert!(lapses.may_be_missing(drain_within, back));
    assert_eq!(lapses.on_read(back, drain_within), Some(Span::millis(2600)));
    let end = back + LAPSED_ENTRY_GRACE;
    let kept_until = |lapses: &Lapses, now| lapses.kept_until(true, Span::millis(1600), now);
    assert_eq!(kept_until(&lapses, back), Some(end));
    // Some entries lapse only after the return.
    let next = back + Span::millis(600);
    assert_eq!(lapses.on_read(next, drain_within), None);
    assert_eq!(kept_until(&lapses, next), Some(end));
    assert!(!lapses.may_be_missing(drain_within, end));
}

/// Guards against an outage shorter than the bound that starts the grace time of an earlier one
/// anew.
#[test]
fn a_short_outage_within_the_grace_time_does_not_start_it_anew() {
    let drain_within = Span::secs(2);
    let mut lapses = Lapses::default();
    lapses.on_read(Moment(0), drain_within);
    let back = Moment(0) + Span::secs(4);
    lapses.on_read(back, drain_within);
    let again = back + Span::millis(1500);
    lapses.on_read(again, drain_within);
    let kept_until = lapses.kept_until(true, Span::millis(1600), again);
    assert_eq!(kept_until, Some(back + LAPSED_ENTRY_GRACE));
}

static NOW_MS: AtomicU64 = AtomicU64::new(1_000);

fn read_clock() -> Reading {
    Reading { monotonic: Duration::from_millis(NOW_MS.load(Ordering::SeqCst)), boottime: None }
}

fn entry(name: &str, revision: u64) -> Object {
    let spec = json!({"service": "api", "address": "127.0.0.1:9", "zone": "here", "version": "v1",
        "capacity": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1});
    let value = json!({"metadata": {"name": name, "revision": revision}, "spec": spec});
    serde_json::from_value(value).unwrap()
}

fn is_used(vm: &Vm, name: &str) -> bool {
    let (fleet, service) = (vm.fleet.borrow(), "api".parse().unwrap());
    let mut eligible = fleet.eligible(&service, vm.now());
    eligible.any(|server| server.replica.id.as_str() == name)
}

/// The worst moment: the entry is taken away just after a read through another VM, and the removal
/// comes from the reader that was turned away, with the news that the store is back.
#[test]
fn a_follower_that_read_through_another_vm_does_not_take_an_entry_as_lapsed() {
    let vm = vm_with_clock(Clock::new(read_clock), None);
    let read = |as_of: u64| {
        vm.on_servers_read(vm.now());
        Source { reader: None, as_of: Position::new(Era(0), as_of) }
    };
    let pass = |ms: u64| NOW_MS.fetch_add(ms, Ordering::SeqCst);
    apply::apply_list(&vm, Kind::Servers, &[entry("r1", 3), entry("r2", 4)], &read(4));
    for as_of in 5..10 {
        pass(600);
        read(as_of);
    }
    let removed_at = vm.now();
    pass(650);
    vm.on_store_report(Reachability::Recovered(Span(0)), vm.now());
    apply::remove_object(&vm, Kind::Servers, "r1", true, &read(10));
    while vm.now().since(removed_at) < Span::secs(2) {
        pass(50);
        if !vm.may_entries_be_missing(vm.now()) {
            vm.fleet.borrow_mut().expire(vm.now());
        }
    }
    assert!(!is_used(&vm, "r1"), "it was taken away {} ago", vm.now().since(removed_at));
    assert!(is_used(&vm, "r2"));
}

/// Takes the entries of two servers away just as the store serves the reader again, which it has
/// turned away for 1.5 s, and checks that the two other VMs send them nothing after two seconds.
fn remove_at_return(rejection: Rejection) {
    let mut site = Site::new().route("safe", "idempotent", json!({}));
    site.bounds["revoke_ms"] = json!(5000);
    site.publish();
    let servers: Vec<_> = (0..4).map(|at| site.replica(&format!("r{at}"), "v1")).collect();
    let proxies: Vec<Proxy> = (0..3).map(|_| Proxy::new(site.store_server.address)).collect();
    let vms: Vec<site::Vm> =
        proxies.iter().map(|proxy| site.start_through(proxy.address)).collect();
    are_ready(&vms);
    eventually("all but the first follow", || !follows(&vms[0]) && vms[1..].iter().all(follows));
    std::thread::sleep(Duration::from_secs(1));
    for removed in [0, 1] {
        proxies[0].reject(Some(rejection));
        std::thread::sleep(Duration::from_millis(1500));
        proxies[0].reject(None);
        site.store.delete_object("servers", &format!("r{removed}"));
        let removed_at = Instant::now();
        std::thread::sleep(Duration::from_secs(2));
        let before = servers[removed].requests().len();
        while removed_at.elapsed() < Duration::from_millis(3500) {
            for vm in &vms[1..] {
                assert_eq!(ask(vm.callers, &head("GET /safe/x", "id", ""), b"").status, 200);
            }
            let received = servers[removed].requests().len() - before;
            let late = removed_at.elapsed();
            assert_eq!(
                received,
                0,
                "{late:?} after the removal, {rejection:?}\n{}",
                vms[1].log_end()
            );
        }
    }
}

#[test]
fn a_reader_that_got_503_does_not_make_its_followers_keep_a_server() {
    remove_at_return(Rejection::Status(503));
}

#[test]
fn a_reader_that_got_429_does_not_make_its_followers_keep_a_server() {
    remove_at_return(Rejection::Status(429));
}

#[test]
fn a_reader_whose_calls_were_reset_does_not_make_its_followers_keep_a_server() {
    remove_at_return(Rejection::Reset);
}

#[test]
fn a_reader_that_got_no_answers_does_not_make_its_followers_keep_a_server() {
    remove_at_return(Rejection::Silence);
}
