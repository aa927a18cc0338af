//! Suspended VMs: the steady clock stops meanwhile, the clock that includes suspended time does
//! not.
//!
//! A test can't suspend its machine, so it replaces the clocks: `awake` is the steady clock, and
//! `asleep` the suspended time. Guards against ages that miss the time of a suspension.

mod site;

use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kitepulley::decide::poison::{BrokenRequest, Exchange, ServerIncarnation, Topology};
use kitepulley::decide::reader::is_too_old_to_forward;
use kitepulley::decide::server_limit::{Pacer, RateLimit, Share};
use kitepulley::forward::{Vm, apply, suspension};
use kitepulley::unit::{Moment, Rate, Revision, Span, digest};
use kitepulley::vm::{Clock, Reading};
use site::vm_with_clock;

/// Declares the clocks of one test, in microseconds. A reading takes no argument, so each test
/// needs its own statics.
macro_rules! machine {
    ($awake:ident, $asleep:ident, $read:ident) => {
        static $awake: AtomicU64 = AtomicU64::new(1_000_000);
        static $asleep: AtomicU64 = AtomicU64::new(0);

        fn $read() -> Reading {
            let awake = Duration::from_micros($awake.load(Ordering::SeqCst));
            let asleep = Duration::from_micros($asleep.load(Ordering::SeqCst));
            Reading { monotonic: awake, boottime: Some(awake + asleep) }
        }
    };
}

fn suspend(asleep: &AtomicU64, time: Span) {
    asleep.fetch_add(time.0, Ordering::SeqCst);
}

machine!(KEYS_AWAKE, KEYS_ASLEEP, keys);

fn vm_that_proved(read: fn() -> Reading) -> Rc<Vm> {
    let vm = vm_with_clock(Clock::new(read), Some(Span::secs(5)));
    apply::record_proof(&vm, vm.now(), Revision(0));
    vm
}

/// A key that was revoked during a suspension must not be used afterwards, whether or not the store
/// can be reached.
#[test]
fn a_vm_that_slept_past_its_proof_sends_nothing_on_with_a_key() {
    let vm = vm_that_proved(keys);
    suspend(&KEYS_ASLEEP, Span::secs(1));
    assert!(vm.may_use_keys(vm.now()), "a proof of a second ago is recent enough");
    suspend(&KEYS_ASLEEP, Span::secs(4));
    assert!(!vm.may_use_keys(vm.now()));
    assert!(!vm.is_ready(vm.now()));
    apply::record_proof(&vm, vm.now(), Revision(0));
    assert!(vm.may_use_keys(vm.now()));
    KEYS_AWAKE.fetch_add(1, Ordering::SeqCst);
}

machine!(WAKE_AWAKE, WAKE_ASLEEP, wakes);

#[test]
fn a_sleep_is_told_once_and_news_wait_for_what_happened_meanwhile() {
    let vm = vm_that_proved(wakes);
    let known = suspension::check(&vm, Span::default());
    assert_eq!((known, vm.stalled_at.get()), (Span::default(), None));
    WAKE_AWAKE.fetch_add(700_000, Ordering::SeqCst);
    assert_eq!(suspension::check(&vm, known), Span::default(), "time awake is no suspension");
    suspend(&WAKE_ASLEEP, Span::secs(30));
    let known = suspension::check(&vm, known);
    assert_eq!(known, Span::secs(30));
    assert_eq!(vm.stalled_at.get(), Some(vm.now()));
    vm.stalled_at.set(None);
    assert_eq!(suspension::check(&vm, known), known);
    assert_eq!(vm.stalled_at.get(), None);
}

machine!(AGES_AWAKE, AGES_ASLEEP, ages);

/// Ages that the decisions use include suspended time.
#[test]
fn ages_count_the_time_asleep() {
    let clock = Clock::new(ages);
    let before = clock.now();
    let bound = RateLimit { rate: Rate(2.0), window: Span::secs(1) };
    let share = Share::new(&bound, 1);
    let mut pacer = Pacer::default();
    pacer.reserve(&share, before);
    let mut contents = Exchange::default();
    let content = digest(&[b"a question"]);
    for life in 0..3 {
        let life = ServerIncarnation::new("server", Some(life));
        contents.on_server_crash(
            life,
            &[BrokenRequest { fingerprint: content.into(), was_stable: false }],
            Topology::Direct,
            before,
        );
    }
    for (sleeps, stale, held) in [(1, false, true), (5, true, true), (600, true, false)] {
        AGES_AWAKE.fetch_add(1000, Ordering::SeqCst);
        suspend(&AGES_ASLEEP, Span::secs(sleeps));
        let now = clock.now();
        assert_eq!(
            is_too_old_to_forward(now.since(before), Span::secs(2)),
            stale,
            "servers after {sleeps} s"
        );
        assert_eq!(
            pacer.next_send(&share, now),
            now.max(before + share.interval),
            "next send after {sleeps} s"
        );
        assert_eq!(
            contents.refusal_cause(&content.into(), now).is_some(),
            held,
            "quarantine after {sleeps} s"
        );
    }
}

fn without() -> Reading {
    Reading { monotonic: Duration::from_secs(7), boottime: None }
}

#[test]
fn without_such_a_clock_the_steady_one_goes_on() {
    let clock = Clock::new(without);
    assert_eq!((clock.now(), clock.suspended_time()), (Moment(1_000_000), None));
    let real = Clock::default();
    let first = real.now();
    std::thread::sleep(Duration::from_millis(20));
    assert!(real.now() >= first + Span::millis(20));
    assert!(real.suspended_time().is_some(), "Linux counts the time asleep");
}
