//! Division of the slots of brittle servers among VMs, and choice of VMs that relay connections.

use kitepulley::decide::path::DirectPath;
use kitepulley::decide::server_limit::loans::{self, Lenders, Loans};
use kitepulley::decide::server_limit::places::{
    self, BrittleServices, Lingering, RELEASE_DELAY, Share, Turnover,
};
use kitepulley::decide::tunnel::{Helpers, Offer, Relaying};
use kitepulley::unit::{Moment, Rate, Service, Span, Vm, hash};
use quickcheck::{TestResult, quickcheck};

fn shares(slots: usize, vms: usize, server: u64) -> Vec<Share> {
    let names: Vec<u64> = (0..vms).map(|vm| hash::mix(7, vm as u64)).collect();
    let share = |own: &u64| {
        let others: Vec<u64> = names.iter().copied().filter(|other| other != own).collect();
        Share::of_vm(slots, server, *own, &others)
    };
    names.iter().map(share).collect()
}

quickcheck! {
    fn places_of_all_vms_are_the_slots_and_one_more(slots: u8, vms: u8, server: u64) -> TestResult {
        if vms == 0 {
            return TestResult::discard();
        }
        let shares = shares(slots.into(), vms.into(), server);
        let places: usize = shares.iter().map(|share| share.places).sum();
        let extra = shares.iter().filter(|share| share.has_extra).count();
        TestResult::from_bool(places == usize::from(slots) && extra == 1)
    }

    fn a_vm_that_is_not_known_adds_one_place_at_most(slots: u8, vms: u8, server: u64) -> TestResult {
        if vms < 2 {
            return TestResult::discard();
        }
        // Each VM but the last does not know that one.
        let all = shares(slots.into(), vms.into(), server);
        let known = shares(slots.into(), usize::from(vms) - 1, server);
        let sum: usize = known.iter().map(|share| share.places).sum();
        let last = all.last().map_or(0, |share| share.places);
        TestResult::from_bool(sum + last <= usize::from(slots) + usize::from(slots).div_ceil(vms.into()))
    }

    fn places_in_use_never_exceed_those_of_their_owner(steps: Vec<(u8, bool)>) -> bool {
        keeps_places_within_bounds(&steps)
    }

    fn owners_of_places_are_the_vms_that_have_some(slots: u8, vms: u8, server: u64) -> bool {
        let names: Vec<u64> = (0..vms).map(|vm| hash::mix(7, vm.into())).collect();
        let mut owners = loans::owners(slots.into(), server, names.iter().map(|name| (*name, *name)));
        let shares = shares(slots.into(), vms.into(), server);
        let has_places = |name: &&u64| {
            let at = names.iter().position(|other| other == *name).unwrap();
            shares[at].places > 0
        };
        let mut expected: Vec<u64> = names.iter().filter(has_places).copied().collect();
        expected.sort_unstable();
        owners.sort_unstable();
        expected == owners
    }
}

/// Time between two steps of the loans below, which is long against the time of a request.
const STEP: Span = Span::millis(300);

/// Lends one place to two VMs in turn. In each step one of them asks, uses the place for a request,
/// or is gone. Returns false if two requests ever use the place.
fn keeps_places_within_bounds(steps: &[(u8, bool)]) -> bool {
    let vms: [Vm; 2] = ["one", "two"].map(|name| name.parse().unwrap());
    let (mut lender, mut borrowers) = (Loans::default(), [Loans::default(), Loans::default()]);
    let mut now = Moment(10_000_000);
    for (step, is_message_lost) in steps {
        let at = usize::from(*step) % 2;
        if lender.lent(now) == 0 {
            lender.lend(vms[at].clone(), now);
            if !is_message_lost {
                borrowers[at].borrow("lender".parse().unwrap(), now, now);
            }
        }
        let in_use: usize = borrowers.iter().map(Loans::borrowed).sum();
        if in_use > 1 || in_use > lender.lent(now) {
            return false;
        }
        now = now + STEP;
        for (vm, borrower) in vms.iter().zip(&mut borrowers) {
            if borrower.next_return(1, step % 3 == 0, now).is_some() && !is_message_lost {
                lender.on_returned(vm);
            }
        }
    }
    true
}

#[test]
fn requests_without_a_place_are_fewer_than_a_server_bears_to_reject() {
    assert_eq!(places::spare_limit(Rate(3.0)), None);
    assert_eq!(places::spare_limit(Rate(10.0)).map(|limit| limit.rate), Some(Rate(2.0)));
}

#[test]
fn a_request_that_was_given_up_keeps_its_place_for_a_while() {
    let mut lingering = Lingering::default();
    lingering.on_given_up(Moment(0));
    assert_eq!(lingering.count(Moment(1)), 1);
    assert_eq!(lingering.count(Moment(RELEASE_DELAY.0)), 0);
}

#[test]
fn a_place_that_is_not_returned_is_used_again_after_a_while() {
    let mut lender = Loans::default();
    lender.lend("gone".parse().unwrap(), Moment(0));
    assert_eq!(lender.lent(Moment(0) + Span::secs(29)), 1);
    assert_eq!(lender.lent(Moment(0) + Span::secs(30)), 0);
}

#[test]
fn a_borrowed_place_is_kept_while_requests_wait_and_its_time_is_not_up() {
    let lender: Vm = "lender".parse().unwrap();
    let mut borrower = Loans::default();
    let now = Moment(10_000_000);
    borrower.borrow(lender.clone(), now, now);
    assert_eq!(borrower.next_return(0, false, now), None, "a request uses it");
    assert_eq!(borrower.next_return(1, true, now), None);
    assert_eq!(borrower.next_return(1, true, now + Span::millis(500)), Some(lender.clone()));
    borrower.borrow(lender.clone(), now, now + Span::secs(2));
    let returned = borrower.next_return(1, true, now + Span::secs(2));
    assert_eq!(returned, Some(lender), "the answer came too late");
}

#[test]
fn a_vm_that_does_not_answer_is_not_asked_again_and_not_waited_for() {
    let [silent, other]: [Vm; 2] = ["silent", "other"].map(|name| name.parse().unwrap());
    let mut lenders = Lenders::default();
    let now = Moment(10_000_000);
    assert!(lenders.is_request_due(now) && !lenders.is_request_due(now));
    lenders.on_asked(silent.clone(), now);
    let later = now + Span::secs(1);
    assert!(lenders.respond(now) && !lenders.respond(later));
    assert!(!lenders.may_ask(&silent, later) && lenders.may_ask(&other, later));
    lenders.on_answer(&other, later);
    assert!(lenders.respond(later));
}

#[test]
fn a_wait_grows_with_the_requests_that_wait_already() {
    let mut turnover = Turnover::default();
    turnover.record(Span::millis(80));
    assert_eq!(turnover.expected_wait(0, 4.0), Span::millis(20));
    assert_eq!(turnover.expected_wait(7, 4.0), Span::millis(160));
}

#[test]
fn a_path_is_lost_until_the_server_accepts_a_direct_connection() {
    let mut path = DirectPath::default();
    assert!(path.on_failure(Moment(1)) && !path.on_failure(Moment(2)) && path.is_lost());
    assert!(path.on_contact() && !path.on_contact() && !path.is_lost());
}

fn offer(services: &[&str], is_local: bool, open: u32, at: Moment) -> Offer {
    let services = services.iter().map(|name| name.parse().unwrap()).collect();
    Offer { services, is_local, open, at }
}

#[test]
fn the_helper_is_a_vm_that_offered_lately_and_has_little_to_relay() {
    let [near, far, other]: [Vm; 3] = ["near", "far", "other"].map(|name| name.parse().unwrap());
    let service: Service = "api".parse().unwrap();
    let mut helpers = Helpers::default();
    let now = Moment(10_000_000);
    helpers.on_offer(near.clone(), offer(&["api"], true, 2, now));
    helpers.on_offer(far.clone(), offer(&["api"], false, 0, now));
    helpers.on_offer(other.clone(), offer(&["db"], true, 0, now));
    assert_eq!(helpers.choose(&service, now, || 0.0), Some(far.clone()));
    // The tunnel that it got counts.
    assert_eq!(helpers.choose(&service, now, || 0.0).as_ref(), Some(&near));
    helpers.on_offer(near, offer(&[], true, 0, now));
    assert_eq!(helpers.choose(&service, now, || 0.0), Some(far));
    let later = now + Span::secs(2);
    assert!(!helpers.has_offer(&service, later), "an offer that is not renewed ends");
}

#[test]
fn a_vm_asks_for_offers_at_once_and_then_at_intervals_while_it_needs_them() {
    let mut helpers = Helpers::default();
    let now = Moment(10_000_000);
    assert!(!helpers.is_request_due(now), "nothing is needed");
    assert!(helpers.on_need(now) && !helpers.on_need(now));
    assert!(helpers.search_ends(now).is_some());
    assert!(helpers.is_request_due(now + Span::millis(500)));
    assert!(!helpers.is_request_due(now + Span::secs(3)), "the need has ended");
}

#[test]
fn a_vm_that_stops_or_relays_much_relays_no_more() {
    let idle = Relaying { open: 0, is_stalled: false, is_unavailable: false };
    assert!(idle.accepts());
    assert!(!Relaying { is_unavailable: true, ..idle }.accepts());
    assert!(!Relaying { open: 100_000, ..idle }.accepts());
}

#[test]
fn a_vm_that_lacks_processor_time_is_chosen_last() {
    let idle = Relaying { open: 0, is_stalled: false, is_unavailable: false };
    let stalled = Relaying { is_stalled: true, ..idle };
    assert!(
        stalled.accepts()
            && stalled.reported_load() > Relaying { open: 50, ..idle }.reported_load()
    );
}

#[test]
fn a_service_counts_as_brittle_for_a_while_after_one_of_its_servers_said_so() {
    let [service, other]: [Service; 2] = ["api", "db"].map(|name| name.parse().unwrap());
    let mut services = BrittleServices::default();
    services.on_announcement(&service, Rate(3.0), Moment(0));
    assert_eq!(services.rejections(&service, Moment(1)), Some(Rate(3.0)));
    assert_eq!(services.rejections(&other, Moment(1)), None);
    assert_eq!(services.rejections(&service, Moment(0) + Span::secs(10)), None);
}
