//! Stalls of a process, and the gate that holds requests back after them, without a network.

use kitepulley::command::block_on;
use kitepulley::decide::poison::refusal::MAX_REFUSAL_WAIT;
use kitepulley::decide::stall::{CHECK_INTERVAL, Detector};
use kitepulley::peer::stall::Gate;
use kitepulley::unit::{Moment, Span};

const START: Moment = Moment(1_000_000);

#[test]
fn only_a_long_pause_between_two_observations_is_a_stall() {
    let mut detector = Detector::new(START);
    let in_time = START + CHECK_INTERVAL;
    assert_eq!(detector.observe(in_time), None);
    assert_eq!(detector.observe(in_time + CHECK_INTERVAL + Span::millis(50)), None);
    let pause = Span::secs(2);
    let mut detector = Detector::new(START);
    assert_eq!(detector.observe(START + pause), Some(pause));
    assert_eq!(detector.observe(START + pause), None);
}

/// A VM that a refusal did not wait for any longer holds requests back when it continues.
#[test]
fn a_pause_that_outlasts_the_wait_of_a_refusal_is_a_stall() {
    let mut detector = Detector::new(START);
    assert!(detector.observe(START + MAX_REFUSAL_WAIT).is_some());
}

#[test]
fn the_gate_opens_once_the_messages_of_all_stalls_were_read() {
    block_on(async {
        let gate = Gate::default();
        assert_eq!(gate.observe(START), None);
        assert_eq!(gate.observe(START + Span::secs(1)), None, "the process is not watched");
        gate.start(START);
        assert!(gate.is_open());
        assert!(gate.observe(START + Span::secs(1)).is_some());
        assert!(gate.observe(START + Span::secs(2)).is_some());
        gate.reopen(true).await;
        assert!(!gate.is_open());
        gate.wait(Span::millis(20)).await;
        assert!(!gate.is_open());
        let (wait, reopen) = (gate.wait(Span::secs(10)), gate.reopen(false));
        futures_util::future::join(wait, reopen).await;
        assert!(gate.is_open());
    });
}
