//! The record of a request: what operators see of it in logs and metrics.

mod site;

use kitepulley::forward::selection::Wait;
use kitepulley::unit::Span;
use site::{bare_vm, job};

/// Guards against a time series of its own for each text of a socket error.
#[test]
fn a_stream_that_breaks_off_counts_under_one_label_whatever_the_reason() {
    let vm = bare_vm();
    for reason in ["after event 7: connection reset", "after event 8: unexpected end"] {
        job(&vm, "api").record.set_broken_off(reason);
    }
    let page = vm.metrics.text();
    let lines: Vec<&str> =
        page.lines().filter(|line| line.starts_with("kitepulley_requests{")).collect();
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains(r#"outcome="broken off""#), "{lines:?}");
    assert!(lines[0].ends_with(" 2"), "{lines:?}");
}

/// Guards against a trail in which a wait runs into the end of the attempt before it.
#[test]
fn a_wait_is_apart_from_what_came_before_it_in_the_trail() {
    let vm = bare_vm();
    let job = job(&vm, "api");
    let now = vm.now();
    let wait = Wait { until: now + Span::millis(20), permit: None };
    job.record.add_wait(&wait, now);
    job.record.add_wait(&wait, now);
    assert_eq!(job.record.trail(), "end of a backoff in 20.00ms; end of a backoff in 20.00ms");
}
