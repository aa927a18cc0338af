//! Bounds on the age of what a VM knows of the platform's objects, at the worst moment of each part
//! of the way: a reader's repeated read, a follower's poll, a VM that replaces its reader.

mod site;

use std::time::{Duration, Instant};

use kitepulley::decide::freshness::{Bounds, Schedule, Schedules};
use kitepulley::decide::reader::{MAX_HOPS, may_accept_update};
use kitepulley::forward::apply;
use kitepulley::forward::proof;
use kitepulley::forward::role::Role;
use kitepulley::unit::{Revision, Span};
use kitepulley::vm::{Clock, Reading};
use quickcheck::{TestResult, quickcheck};
use serde_json::json;
use site::proxy::Proxy;
use site::{Site, ask, eventually, head, vm_with_clock};

/// Bounds of the users' sites in seconds (configuration, servers, roll-outs, evacuations).
const SITES: [(u64, u64, u64, u64); 4] = [(2, 2, 5, 5), (3, 3, 5, 5), (4, 4, 5, 5), (5, 5, 5, 5)];

fn schedules(config: Span, servers: Span, rollouts: Span, evacuations: Span) -> Schedules {
    let key_proof = Some(Span::millis(4750));
    Schedules::new(Bounds { config, servers, rollouts, evacuations, key_proof })
}

#[test]
fn every_kind_stays_within_its_bound_in_every_state() {
    for (config, servers, rollouts, evacuations) in SITES {
        let [config, servers, rollouts, evacuations] =
            [config, servers, rollouts, evacuations].map(Span::secs);
        let schedules = schedules(config, servers, rollouts, evacuations);
        let kinds = [
            (config, &schedules.config),
            (rollouts, &schedules.rollouts),
            (evacuations, &schedules.evacuations),
        ];
        for (bound, schedule) in kinds {
            assert!(schedule.max_age() <= bound, "a reader: {schedule:?}, {bound}");
            let age = schedules.max_follower_age(schedule, MAX_HOPS);
            assert!(age <= bound, "a follower: {schedule:?}, {age} of {bound}");
        }
        assert!(schedules.servers.max_age() <= servers, "{:?}", schedules.servers);
        assert!(schedules.max_servers_age() <= servers);
    }
}

/// Guards against updates that are accepted by more polls than the bounds allow for.
#[test]
fn no_update_is_accepted_by_more_polls_than_the_bounds_allow_for() {
    let (reader, own) = ("vm-1".parse().unwrap(), "vm-2".parse().unwrap());
    for hops_to_sender in 0..u8::MAX {
        let is_accepted = may_accept_update(&reader, hops_to_sender, &own);
        assert_eq!(is_accepted, hops_to_sender < MAX_HOPS, "{hops_to_sender} hops");
    }
}

quickcheck! {
    /// The shortest bound limits the time without contact, whichever kind has it.
    fn a_follower_stays_within_the_shortest_bound(config: u16, servers: u16) -> TestResult {
        let [config, servers] = [config, servers].map(|ms| Span::millis(u64::from(ms)));
        if config < Span::secs(2) || servers < Span::secs(2) {
            return TestResult::discard();
        }
        let long = Span::secs(60);
        let schedules = schedules(config, servers, long, long);
        let is_within = |schedule: &Schedule, bound: Span| schedule.max_age() <= bound;
        let shortest = config.min(servers);
        TestResult::from_bool(
            schedules.max_servers_age() <= shortest
                && is_within(&schedules.config, config)
                && is_within(&schedules.servers, servers),
        )
    }
}

/// Guards against a reader without followers, on a site that does not bound the use of revoked keys,
/// that reads the configuration only by a watch, whose answer may be lost.
#[test]
fn a_reader_proves_the_configuration_whether_it_has_followers_or_not() {
    for key_staleness in [None, Some(Span::secs(5))] {
        let read = || Reading { monotonic: Duration::from_secs(100), boottime: None };
        let vm = vm_with_clock(Clock::new(read), key_staleness);
        vm.role.send_replace(Role::Reads);
        apply::record_proof(&vm, vm.now(), Revision(0));
        let due = proof::time_until_due(&vm).expect("a reader makes proofs");
        let bound = vm.settings.bounds.config_propagation;
        assert!(due < bound.half(), "{due} of {bound}");
    }
}

/// Guards against an old configuration, with a key that was taken away, that a VM which reads the
/// store for itself alone uses for 6.6 s after an answer was lost.
#[test]
fn a_lost_answer_does_not_delay_a_configuration_at_a_vm_alone() {
    for strict in [false, true] {
        let mut site = Site::new().route("safe", "idempotent", json!({}));
        site.bounds["strict_revocation"] = json!(strict);
        site.bounds["revoke_ms"] = json!(5000);
        site = site.workspace("ward", &["kept"]).workspace("desk", &["dropped"]);
        site.publish();
        site.replica("r1", "v1");
        let proxy = Proxy::new(site.store_server.address);
        let vm = site.start_through(proxy.address);
        eventually("the VM is ready", || vm.is_ready());
        // Longer than a proof that followers or the start asked for stays recent.
        std::thread::sleep(Duration::from_secs(4));
        eventually("its watch hangs", || proxy.silence("objects/config?watch=") > 0);
        site.config["tenants"][1]["api_keys"] = json!([]);
        site.publish();
        let changed_at = Instant::now();
        let status = |key: &str| {
            let authorization = format!("Authorization: Token {key}\r\n");
            ask(vm.callers, &head("GET /safe/x", "id", &authorization), b"").status
        };
        std::thread::sleep(Duration::from_secs(2));
        while changed_at.elapsed() < Duration::from_secs(5) {
            let late = changed_at.elapsed();
            assert_eq!(
                status("dropped"),
                401,
                "{late:?} after it was taken away\n{}",
                vm.log_end()
            );
            std::thread::sleep(Duration::from_millis(50));
        }
        assert_eq!(status("kept"), 200);
    }
}
