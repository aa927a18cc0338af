//! What crashed requests have in common: contents and shared parts of prompts, decided without a
//! network.

use kitepulley::decide::poison::{
    BrokenRequest, Evidence, Exchange, Fingerprint, Message, Recipients, ServerIncarnation,
    Topology, report,
};
use kitepulley::unit::{Digest, Moment, Span, digest};
use quickcheck::quickcheck;

const NOW: Moment = Moment(1_000_000_000);

/// Parts of sound prompts that are used in several tests.
const USUAL: &str = "usual";
const SUBJECT: &str = "subject";

/// The part that crashes servers.
const CULPRIT: &str = "culprit";

fn named(name: &str) -> Digest {
    digest(&[name.as_bytes()])
}

fn request(content: &str, shared: &[&str]) -> BrokenRequest {
    let fingerprint = Fingerprint::new(named(content), shared.iter().map(|part| named(part)));
    BrokenRequest { fingerprint, was_stable: false }
}

fn incarnation(number: usize) -> ServerIncarnation {
    ServerIncarnation::new(&format!("server{number}"), Some(1))
}

/// Records one crash for each list of open requests, of different incarnations at the same time.
fn crash(evidence: &mut Evidence, crashes: &[&[BrokenRequest]]) {
    for (number, open) in crashes.iter().enumerate() {
        for request in *open {
            evidence.on_crash(request, incarnation(number), NOW, NOW);
        }
    }
}

fn is_refused(evidence: &Evidence, request: &BrokenRequest) -> bool {
    evidence.refusal_cause(&request.fingerprint, NOW).is_some()
}

fn is_quarantined(evidence: &Evidence, name: &str) -> bool {
    evidence.quarantine_crashes(&named(name), NOW).is_some()
}

#[test]
fn a_part_that_different_requests_share_is_quarantined_at_any_place() {
    for place in [0, 1, 3, 7, 63] {
        let prompt = |own: &str| -> BrokenRequest {
            let mut parts: Vec<String> = (0..64).map(|at| format!("{own} {at}")).collect();
            parts[place] = CULPRIT.to_owned();
            request(own, &parts.iter().map(String::as_str).collect::<Vec<_>>())
        };
        let mut evidence = Evidence::default();
        crash(&mut evidence, &[&[prompt("one")], &[prompt("two")], &[prompt("three")]]);
        assert!(!is_refused(&evidence, &prompt("other")));
        evidence.on_crash(&prompt("four"), incarnation(4), NOW, NOW);
        assert!(is_refused(&evidence, &prompt("other")), "place {place}");
        assert!(!is_refused(&evidence, &request("sound", &["one 0", "one 1"])));
    }
}

#[test]
fn a_request_that_is_repeated_is_quarantined_without_its_parts() {
    let mut evidence = Evidence::default();
    let repeated = [request("repeated", &[USUAL, SUBJECT])];
    crash(&mut evidence, &[&repeated, &repeated, &repeated]);
    assert!(is_refused(&evidence, &repeated[0]));
    assert!(!is_refused(&evidence, &request("other", &[USUAL, SUBJECT])));
}

#[test]
fn a_part_that_stands_before_the_culprit_is_not_quarantined() {
    let mut evidence = Evidence::default();
    let crashed = ["1", "2", "3", "4"].map(|own| [request(own, &[USUAL, CULPRIT])]);
    crash(&mut evidence, &crashed.each_ref().map(|open| &open[..]));
    assert!(is_quarantined(&evidence, CULPRIT) && !is_quarantined(&evidence, USUAL));
    assert!(!is_refused(&evidence, &request("sound", &[USUAL, SUBJECT])));
}

/// The last part is there in every crash, as the culprit is. Sound requests without the culprit run,
/// and the first of them that runs well leaves the culprit alone.
#[test]
fn a_part_that_always_follows_the_culprit_holds_back_no_other_request() {
    let mut evidence = Evidence::default();
    let crashed = ["1", "2", "3", "4"].map(|own| [request(own, &[CULPRIT, SUBJECT])]);
    crash(&mut evidence, &crashed.each_ref().map(|open| &open[..]));
    assert!(is_refused(&evidence, &request("other", &[CULPRIT, SUBJECT])));
    let sound = request("sound", &[USUAL, SUBJECT]);
    assert!(!is_refused(&evidence, &sound));
    evidence.on_success(named(SUBJECT), NOW, NOW);
    assert!(is_refused(&evidence, &request("5", &[CULPRIT, "another"])));
    assert!(!is_refused(&evidence, &sound));
}

/// If the part that always followed another one is the culprit itself, its next crash shows that.
#[test]
fn a_part_that_crashes_a_server_without_its_companion_is_quarantined_alone() {
    let mut evidence = Evidence::default();
    let crashed = ["1", "2", "3", "4"].map(|own| [request(own, &[USUAL, CULPRIT])]);
    crash(&mut evidence, &crashed.each_ref().map(|open| &open[..]));
    assert!(is_refused(&evidence, &request("other", &[USUAL, CULPRIT])));
    let without = request("without", &["another", CULPRIT]);
    assert!(!is_refused(&evidence, &without));
    evidence.on_crash(&without, incarnation(9), NOW, NOW);
    assert!(is_refused(&evidence, &request("5", &["a third", CULPRIT])));
}

/// A new part is open at four of five servers that crash, without being the cause.
#[test]
fn a_part_that_was_open_beside_the_culprit_is_not_quarantined() {
    let mut evidence = Evidence::default();
    let bad = |own: &str| request(own, &[USUAL, CULPRIT]);
    let beside = |own: &str| request(own, &[USUAL, "new"]);
    crash(
        &mut evidence,
        &[
            &[bad("1"), beside("a")],
            &[bad("2"), beside("b")],
            &[bad("3"), beside("c")],
            &[bad("4"), beside("d")],
            &[bad("5")],
        ],
    );
    assert!(is_quarantined(&evidence, CULPRIT));
    assert!(!is_refused(&evidence, &beside("e")));
}

#[test]
fn two_parts_that_crash_servers_are_both_quarantined() {
    let mut evidence = Evidence::default();
    let one = ["1", "2", "3", "4", "5"].map(|own| request(own, &[USUAL, CULPRIT]));
    let other = ["6", "7", "8", "9"].map(|own| request(own, &[USUAL, "second culprit"]));
    let all: Vec<[BrokenRequest; 1]> = one.into_iter().chain(other).map(|one| [one]).collect();
    crash(&mut evidence, &all.iter().map(|open| &open[..]).collect::<Vec<_>>());
    assert!(is_quarantined(&evidence, CULPRIT) && is_quarantined(&evidence, "second culprit"));
    assert!(!is_quarantined(&evidence, USUAL));
}

/// The parts of a prompt that a server has answered for a second are no cause; its content may be.
#[test]
fn parts_of_a_stable_request_are_no_suspects() {
    let mut evidence = Evidence::default();
    let stable = |own: &str| BrokenRequest { was_stable: true, ..request(own, &[USUAL]) };
    let crashed = ["1", "2", "3", "4", "5", "6"].map(|own| [stable(own)]);
    crash(&mut evidence, &crashed.each_ref().map(|open| &open[..]));
    assert!(!is_quarantined(&evidence, USUAL));
}

#[test]
fn many_open_requests_fit_into_one_report() {
    let open: Vec<BrokenRequest> = (0..100)
        .map(|number| request(&format!("content {number}"), &[USUAL, SUBJECT, CULPRIT]))
        .collect();
    let mut exchange = Exchange::default();
    let effects = exchange.on_server_crash(incarnation(1), &open, Topology::Direct, NOW);
    let [outgoing] = &effects.messages[..] else { panic!("{effects:?}") };
    let Message::ServerCrashed { requests, .. } = &outgoing.message else { panic!("{outgoing:?}") };
    assert_eq!(report::decode(requests), open);
    let huge: Vec<BrokenRequest> = (0..1000)
        .map(|number| request(&format!("content {number}"), &[USUAL, SUBJECT, CULPRIT]))
        .collect();
    assert!(report::encode(&huge).len() <= 512);
}

/// VMs of the build before list contents alone.
#[test]
fn a_report_of_contents_alone_is_read_as_such() {
    let open = [request("one", &[]), request("two", &[]), request("three", &[])];
    let encoded = report::encode(&open);
    assert_eq!(encoded.len(), 3);
    assert_eq!(report::decode(&encoded), open);
}

/// Beyond a full mesh, those who aggregate the reports about a part get them, whatever the content.
#[test]
fn the_aggregators_of_each_digest_get_a_report() {
    let mut exchange = Exchange::default();
    let open = [request("one", &[USUAL, CULPRIT])];
    let effects = exchange.on_server_crash(incarnation(1), &open, Topology::Gossip, NOW);
    let to: Vec<Recipients> = effects.messages.iter().map(|outgoing| outgoing.to).collect();
    let expected = ["one", CULPRIT, USUAL].map(|name| Recipients::Aggregators(named(name)));
    assert_eq!(to, expected);
}

/// A VM that has just seen a part run well neither suspects it nor reports it.
#[test]
fn a_part_that_ran_well_recently_is_not_reported() {
    let mut exchange = Exchange::default();
    exchange.on_success(&[named(USUAL)], NOW);
    let open = [request("one", &[USUAL, CULPRIT])];
    let at = NOW + Span::secs(20);
    let effects = exchange.on_server_crash(incarnation(1), &open, Topology::Direct, at);
    let Message::ServerCrashed { requests, .. } = &effects.messages[0].message else {
        panic!("{effects:?}")
    };
    assert_eq!(report::decode(requests), [request("one", &[CULPRIT])]);
}

/// A VM that knows the crashes does not take over another one's verdict on a part that they explain.
#[test]
fn a_report_on_a_part_that_another_one_explains_is_not_accepted() {
    let mut evidence = Evidence::default();
    let crashed = ["1", "2", "3", "4"].map(|own| [request(own, &[USUAL, CULPRIT])]);
    crash(&mut evidence, &crashed.each_ref().map(|open| &open[..]));
    evidence.on_quarantine_report(named(USUAL), 4, NOW, NOW);
    assert!(!is_refused(&evidence, &request("sound", &[USUAL, SUBJECT])));
    evidence.on_quarantine_report(named("unknown"), 3, NOW, NOW);
    assert!(is_refused(&evidence, &request("other", &["unknown"])));
}

/// The other VM has seen one more crash, in which the companion may have been missing.
#[test]
fn a_report_of_more_crashes_holds_back_requests_without_the_companion() {
    let mut evidence = Evidence::default();
    let crashed = ["1", "2", "3", "4"].map(|own| [request(own, &[USUAL, CULPRIT])]);
    crash(&mut evidence, &crashed.each_ref().map(|open| &open[..]));
    let without = request("without", &["another", CULPRIT]);
    assert!(!is_refused(&evidence, &without));
    evidence.on_quarantine_report(named(CULPRIT), 5, NOW, NOW);
    assert!(is_refused(&evidence, &without));
}

quickcheck! {
    /// Neither the order of reports nor their number matters for what is refused.
    fn reports_add_up_in_any_order(events: Vec<(u8, u8, u8, bool)>) -> bool {
        let part = |number: u8| format!("part {}", number % 3);
        let open = |own: &u8, number: &u8, ran: &bool| {
            let shared = [USUAL.to_owned(), part(*number)];
            let shared: Vec<&str> = shared.iter().map(String::as_str).collect();
            BrokenRequest { was_stable: *ran, ..request(&format!("{}", own % 4), &shared) }
        };
        let refused = |events: &mut dyn Iterator<Item = &(u8, u8, u8, bool)>| {
            let mut evidence = Evidence::default();
            for (own, number, server, ran) in events {
                let server = incarnation(usize::from(server % 6));
                evidence.on_crash(&open(own, number, ran), server, NOW, NOW);
            }
            let asked = (0..4).flat_map(|own| (0..3).map(move |number| (own, number)));
            let refused = asked.map(|(own, number)| is_refused(&evidence, &open(&own, &number, &false)));
            refused.collect::<Vec<_>>()
        };
        let twice = events.iter().chain(&events);
        refused(&mut events.iter()) == refused(&mut events.iter().rev())
            && refused(&mut events.iter()) == refused(&mut twice.into_iter())
    }
}
