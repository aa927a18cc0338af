//! Loans of shares in rate limits between VMs: the shares in use never exceed the limit, whatever
//! messages are lost or late.

use kitepulley::decide::lending::{LEASE_TIME, Lending, REQUEST_INTERVAL};
use kitepulley::decide::server_limit::{Pacer, RateLimit, Share};
use kitepulley::unit::{Moment, Rate, Span, Vm};
use quickcheck::quickcheck;

const START: Moment = Moment(1_000_000_000);

/// Excess over a limit in a window that the router allows itself.
const WINDOW_EXCESS: usize = 2;

fn name(number: usize) -> Vm {
    format!("vm{number}").parse().unwrap()
}

/// Returns a VM with this demand at the moment `now`.
fn with_demand(per_second: usize, now: Moment) -> Lending {
    let mut lending = Lending::default();
    record_demand(&mut lending, per_second, now);
    lending
}

/// Records a second of requests at this rate, until `now`.
fn record_demand(lending: &mut Lending, per_second: usize, now: Moment) {
    for number in 0..per_second as u64 {
        lending.demand.record(Moment(now.0 - 1_000_000 + number * 1_000_000 / per_second as u64));
    }
}

#[test]
fn a_vm_with_few_requests_lends_most_of_its_shares_and_gets_them_back() {
    let mut idle = with_demand(1, START);
    let part = idle.lend(&name(1), Rate(50.0), START);
    assert!((0.6..=0.75).contains(&part), "{part}");
    assert_eq!(idle.kept(START), 1.0 - part);
    assert_eq!(idle.kept(START + Span::secs(2)), 1.0);
}

#[test]
fn a_vm_lends_nothing_to_one_with_similar_demand_or_while_it_is_throttled() {
    assert_eq!(with_demand(10, START).lend(&name(1), Rate(12.0), START), 0.0);
    let mut throttled = with_demand(1, START);
    throttled.on_throttled(START);
    assert_eq!(throttled.lend(&name(1), Rate(50.0), START), 0.0);
}

#[test]
fn two_vms_that_ask_get_equal_parts_within_a_lease_time() {
    let mut idle = with_demand(0, START);
    let mut now = START;
    assert_eq!(idle.lend(&name(1), Rate(50.0), now), 0.75);
    let mut parts = [0.0; 2];
    while now < START + LEASE_TIME + REQUEST_INTERVAL + REQUEST_INTERVAL {
        now = now + REQUEST_INTERVAL;
        parts = [1, 2].map(|vm| idle.lend(&name(vm), Rate(50.0), now));
        assert!(idle.kept(now) >= 0.25 - 1e-9);
    }
    assert_eq!(parts, [0.375, 0.375]);
}

/// Returns how often a VM asks in a number of seconds in which its requests are throttled.
fn requests_in(lending: &mut Lending, seconds: u64, from: Moment) -> usize {
    let checks = (0..seconds * 4).map(|quarter| from + Span::millis(quarter * 250));
    checks
        .filter(|now| {
            lending.on_throttled(*now);
            lending.next_request(*now).is_some()
        })
        .count()
}

#[test]
fn a_vm_asks_often_at_first_and_rarely_where_nobody_lends() {
    let mut lending = Lending::default();
    assert_eq!(lending.next_request(START), None);
    assert_eq!(requests_in(&mut lending, 3, START), 6);
    let later = START + Span::secs(3);
    assert!(requests_in(&mut lending, 20, later) <= 6);
    lending.on_lent(name(1), 0.5, later + Span::secs(20), later + Span::secs(20));
    assert_eq!(requests_in(&mut lending, 3, later + Span::secs(25)), 6);
}

#[test]
fn a_loan_ends_a_lease_time_after_it_was_asked_for_however_late_it_arrives() {
    let mut borrower = Lending::default();
    borrower.on_lent(name(1), 0.5, START, START + Span::millis(1400));
    assert_eq!(borrower.borrowed(START + Span::millis(1400)).len(), 1);
    assert!(borrower.borrowed(START + LEASE_TIME).is_empty());
    borrower.on_lent(name(2), 0.5, START, START + LEASE_TIME);
    assert!(borrower.borrowed(START + LEASE_TIME).is_empty());
}

#[test]
fn shares_of_whole_requests_stay_with_the_lender() {
    let limit = RateLimit::advertised(Rate(1.75));
    let share = Share::new(&limit, 7);
    assert_eq!(share.with_parts(&limit, 0.25, &[]), Some(share));
    assert_eq!(share.with_parts(&limit, 0.0, &[0.75; 6]), None);
}

/// Seven VMs send as fast as their shares allow, and every four seconds most requests come to
/// another one.
#[test]
fn all_vms_together_stay_within_a_limit_while_shares_move() {
    const VMS: usize = 7;
    let limit = RateLimit::advertised(Rate(14.0));
    let share = Share::new(&limit, VMS);
    let mut vms = vec![(Lending::default(), Pacer::default()); VMS];
    let mut sent = Vec::new();
    let mut now = START;
    for step in 0..4000_u64 {
        now = now + Span::millis(10);
        let busy = (step / 400) as usize % VMS;
        for (vm, (lending, pacer)) in vms.iter_mut().enumerate() {
            let wants_to_send = vm == busy || step % 50 == vm as u64;
            if !wants_to_send {
                continue;
            }
            lending.demand.record(now);
            let borrowed: Vec<f64> = lending.borrowed(now).iter().map(|(_, part)| *part).collect();
            let share = share.with_parts(&limit, lending.kept(now), &borrowed);
            match share.filter(|share| pacer.next_send(share, now) <= now) {
                Some(share) => {
                    pacer.reserve(&share, now);
                    sent.push(now);
                }
                None if vm == busy => lending.on_throttled(now),
                None => {}
            }
        }
        if step * 10_000 % REQUEST_INTERVAL.0 == 0 {
            let demand = vms[busy].0.demand.rate(now);
            for lender in (0..VMS).filter(|lender| *lender != busy) {
                let part = vms[lender].0.lend(&name(busy), demand, now);
                vms[busy].0.on_lent(name(lender), part, now, now);
            }
        }
    }
    let in_window = |(at, first): (usize, &Moment)| {
        sent[at..].iter().take_while(|one| one.since(*first) < limit.window).count()
    };
    let most = sent.iter().enumerate().map(in_window).max().unwrap();
    let allowed = (limit.rate.0 * limit.window.as_secs()) as usize + WINDOW_EXCESS;
    let used = sent.len() as f64 / 40.0 / limit.rate.0;
    println!("{most} in a window, {allowed} are allowed; {used:.2} of the limit used");
    assert!(most <= allowed, "{most}");
    assert!(used > 0.6, "{used}");
}

quickcheck! {
    /// What a VM keeps and what others use of its shares is never more than the whole.
    fn no_share_is_used_twice(events: Vec<(u8, u8, u16, u16)>) -> bool {
        const VMS: usize = 4;
        let mut vms: Vec<Lending> = (0..VMS).map(|vm| with_demand(vm * 3, START)).collect();
        let mut loans: Vec<(usize, usize, f64, Moment, Moment)> = Vec::new();
        let mut now = START;
        events.iter().all(|(from, to, wait, delay)| {
            now = now + Span::millis(u64::from(wait % 700));
            let (from, to) = (usize::from(*from) % VMS, usize::from(*to) % VMS);
            if from != to {
                // The request is on its way for some time, and so is the answer, which may be lost.
                let requested_at = Moment(now.0 - u64::from(delay % 900) * 1000);
                let part = vms[from].lend(&name(to), Rate(60.0), now);
                let arrival = now + Span::millis(u64::from(delay / 7 % 900));
                if delay % 5 != 0 && part > 0.0 {
                    loans.push((from, to, part, requested_at, arrival));
                }
            }
            let arrived: Vec<_> = loans.extract_if(.., |loan| loan.4 <= now).collect();
            for (from, to, part, requested_at, _) in arrived {
                vms[to].on_lent(name(from), part, requested_at, now);
            }
            if from == to {
                record_demand(&mut vms[from], usize::from(*delay % 40), now);
            }
            (0..VMS).all(|lender| {
                let used = vms.iter().flat_map(|vm| vm.borrowed(now));
                let lent: f64 = used.filter(|(vm, _)| **vm == name(lender)).map(|(_, part)| part).sum();
                vms[lender].kept(now) + lent <= 1.0 + 1e-9
            })
        })
    }

    /// The rates of all VMs together are no higher than the limit, however a share is divided.
    fn divided_shares_stay_within_the_limit(tenths: u16, senders: u8, parts: Vec<u8>) -> bool {
        let limit = RateLimit::advertised(Rate(f64::from(tenths % 2000 + 1) / 10.0));
        let vms = usize::from(senders % 20) + 1;
        let share = Share::new(&limit, vms);
        // Each sender lends parts of its share to some VMs that are no senders.
        let parts: Vec<f64> = parts.iter().take(4).map(|part| f64::from(*part) / 1024.0).collect();
        let kept = 1.0 - parts.iter().sum::<f64>();
        let rate = |share: Option<Share>| share.map_or(0.0, |share| 1.0 / share.interval.as_secs());
        let own: f64 = (0..share.senders).map(|_| rate(share.with_parts(&limit, kept, &[]))).sum();
        let borrowed = |part: &f64| rate(share.with_parts(&limit, 0.0, &vec![*part; share.senders]));
        let all = own + parts.iter().map(borrowed).sum::<f64>();
        all <= limit.rate.0 * 1.001
    }
}
