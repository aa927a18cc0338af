//! When a request may be refused after servers broke off their responses to it, decided without a
//! network.

use std::time::{Duration, Instant};

use kitepulley::command::block_on;
use kitepulley::decide::poison::Topology;
use kitepulley::decide::poison::refusal::{
    CheckProgress, MAX_REFUSAL_WAIT, max_wait, required_deliveries,
};
use kitepulley::engine::crash_check::{Check, Checks};
use kitepulley::unit::{Moment, Span};
use quickcheck::quickcheck;

/// Time limit of waits that are to end by themselves.
const LIMIT: Span = Span::secs(10);

/// Time limit of waits that are to end by it.
const SHORT_LIMIT: Span = Span::millis(40);

fn checks(all: &[Check]) -> Checks {
    let mut checks = Checks::default();
    checks.extend(all.iter().cloned());
    checks
}

#[test]
fn a_server_that_accepts_connections_delays_only_the_refusal_of_a_suspect() {
    let allowed = |progress: CheckProgress| [false, true].map(|is| progress.allows_refusal(is));
    assert_eq!(allowed(CheckProgress::Connecting), [false, false]);
    assert_eq!(allowed(CheckProgress::Accepted), [true, false]);
    assert_eq!(allowed(CheckProgress::Complete), [true, true]);
}

quickcheck! {
    fn a_refusal_waits_neither_past_the_deadline_nor_for_longer_than_the_limit(
        now: u32, left: u32
    ) -> bool {
        let (now, left) = (Moment(u64::from(now)), Span(u64::from(left)));
        let wait = max_wait(now + left, now);
        wait <= MAX_REFUSAL_WAIT && wait <= left && max_wait(now, now + left) == Span::default()
    }
}

#[test]
fn a_refusal_waits_for_all_vms_of_a_full_mesh_and_for_most_where_they_forward_messages() {
    let required = |topology| [0, 1, 2, 3, 8].map(|vms| required_deliveries(topology, vms));
    assert_eq!(required(Topology::Direct), [0, 1, 2, 3, 8]);
    assert_eq!(required(Topology::Gossip), [0, 1, 2, 2, 5]);
}

#[test]
fn a_request_without_broken_responses_is_refused_at_once() {
    block_on(async {
        let started_at = Instant::now();
        assert!(Checks::default().wait(true, LIMIT).await);
        assert!(started_at.elapsed() < SHORT_LIMIT.duration());
    });
}

#[test]
fn a_refusal_waits_for_the_check_of_each_server() {
    block_on(async {
        let (first, first_check) = Check::start();
        let (second, second_check) = Check::start();
        let checks = checks(&[first_check, second_check]);
        drop(first);
        assert!(!checks.wait(false, SHORT_LIMIT).await);
        // One of two servers that broke off their responses may have crashed, so the content is a
        // suspect.
        second.on_accepted();
        assert!(!checks.wait(false, SHORT_LIMIT).await);
        actix_web::rt::spawn(async move {
            tokio::time::sleep(Duration::from_millis(20)).await;
            drop(second);
        });
        assert!(checks.wait(false, LIMIT).await);
    });
}

#[test]
fn the_only_server_that_broke_off_a_response_and_runs_delays_no_refusal() {
    block_on(async {
        let (reporter, check) = Check::start();
        reporter.on_accepted();
        let checks = checks(&[check]);
        assert!(checks.wait(false, LIMIT).await);
        assert!(!checks.wait(true, SHORT_LIMIT).await);
    });
}
