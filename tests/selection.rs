//! The choice of a backend server in a large fleet: it considers as many servers among 20,000 as
//! among 300, VMs spread over all servers, and VMs of a data centre agree on the server of a prompt.

mod site;

use std::collections::{HashMap, HashSet};

use kitepulley::decide::availability::Signal;
use kitepulley::forward::call::PromptPart;
use kitepulley::forward::replica::{Phase, Replica, Rollout};
use kitepulley::forward::selection::{self, Criteria};
use kitepulley::forward::server::Fleet;
use kitepulley::forward::server_index::{Query, ServerIndex, Viewpoint};
use kitepulley::unit::{Moment, Position, Server, Span, Version, hash};
use site::{bare_vm, job};

/// Most servers that one decision considers, of one version.
const MAX_CONSIDERED: usize = 68;

const DATA_CENTRES: [&str; 6] = ["here", "dc1", "dc2", "dc3", "dc4", "dc5"];

const NOW: Moment = Moment(10_000_000);

fn replica(at: usize, version: &str) -> Replica {
    Replica {
        id: format!("r{at}").parse().unwrap(),
        started_at_ms: Some(at as u64),
        service: "api".parse().unwrap(),
        address: ([127, 0, 0, 1], 9).into(),
        data_centre: DATA_CENTRES[at % DATA_CENTRES.len()].parse().unwrap(),
        version: version.parse().unwrap(),
        slots: 16,
        cold: Span(0),
        ready: true,
    }
}

fn viewpoint(vm: &str, data_centre: &str) -> Viewpoint {
    Viewpoint { data_centre: data_centre.parse().unwrap(), point: hash::stable(&[vm]) }
}

/// Returns a fleet of `count` servers as the VM sees it.
fn fleet(vm: &str, data_centre: &str, count: usize) -> Fleet {
    let mut fleet = Fleet::new(viewpoint(vm, data_centre));
    (0..count).for_each(|at| {
        fleet.upsert(replica(at, "v1"), NOW);
    });
    fleet
}

fn any_version(_: &Version) -> bool {
    true
}

fn query(prompt: Option<u64>) -> Query<'static> {
    Query { is_version: &any_version, trial_share: None, prompt }
}

fn considered(fleet: &Fleet, query: &Query) -> Vec<Server> {
    let considered = fleet.considered(&"api".parse().unwrap(), query);
    considered.servers.iter().map(|server| server.replica.id.clone()).collect()
}

#[test]
fn a_decision_considers_as_many_of_20_000_servers_as_of_300() {
    for count in [300, 10_000, 20_000] {
        let ids = considered(&fleet("vm-a", "here", count), &query(Some(7)));
        let different: HashSet<&Server> = ids.iter().collect();
        assert_eq!(different.len(), ids.len(), "a server is considered twice");
        assert!((50..=MAX_CONSIDERED).contains(&ids.len()), "{} of {count}", ids.len());
    }
    assert_eq!(considered(&fleet("vm-a", "here", 200), &query(Some(7))).len(), 200);
}

/// Returns the index of `count` servers, which is the same on all VMs.
fn index(count: usize) -> ServerIndex {
    let mut index = ServerIndex::default();
    (0..count).for_each(|at| index.insert(&replica(at, "v1")));
    index
}

#[test]
fn vms_spread_over_all_servers() {
    let (index, service) = (index(10_000), "api".parse().unwrap());
    let mut sampled: HashMap<&Server, usize> = HashMap::new();
    for vm in 0..985 {
        let data_centre = DATA_CENTRES[vm % DATA_CENTRES.len()];
        let from = viewpoint(&format!("vm{vm}"), data_centre);
        for id in index.sample(&service, &from, &query(None)).all {
            *sampled.entry(id).or_default() += 1;
        }
    }
    let mean = sampled.values().sum::<usize>() as f64 / 10_000.0;
    let most = sampled.values().max().copied().unwrap_or_default();
    println!("{} of 10,000 sampled, {mean:.1} times on average, {most} at most", sampled.len());
    assert!(sampled.len() > 9_500, "{} servers are sampled by any VM", sampled.len());
    assert!((most as f64) < 5.0 * mean, "one server is sampled {most} times, {mean:.1} on average");
}

#[test]
fn vms_of_a_data_centre_agree_on_the_server_of_a_prompt() {
    let (index, service) = (index(10_000), "api".parse().unwrap());
    let fleet = fleet("vm-a", "here", 10_000);
    let mut preferred = HashSet::new();
    for vm in 0..20 {
        let from = viewpoint(&format!("vm{vm}"), "here");
        let affine = index.sample(&service, &from, &query(Some(4242))).affine;
        preferred.insert(affine[0].clone());
        let server = fleet.get(affine[0]).expect("the server is known");
        assert_eq!(server.replica.data_centre.as_str(), "here");
    }
    assert_eq!(preferred.len(), 1);
    let considered = fleet.considered(&service, &query(Some(4242)));
    assert!(preferred.contains(considered.affine.expect("the service is large")[0]));
}

#[test]
fn a_request_is_refused_only_if_no_server_of_the_fleet_is_left() {
    let vm = bare_vm();
    let draining = Signal { draining: true, ..Signal::default() };
    for at in 0..2000 {
        let replica = replica(at, "v1");
        let mut fleet = vm.fleet.borrow_mut();
        fleet.upsert(replica.clone(), NOW);
        if at != 1234 {
            let server = fleet.incarnation_mut(&replica).expect("just inserted");
            server.availability.observe(draining, NOW);
        }
    }
    let job = job(&vm, "api");
    let placement = selection::select_server(&vm, &job.criteria(None, &[]), NOW);
    assert_eq!(placement.expect("one server is left").replica.id.as_str(), "r1234");
}

#[test]
fn a_trial_stays_within_its_share_of_the_servers() {
    let vm = bare_vm();
    for at in 0..2000 {
        let version = if at < 1000 { "v1" } else { "v2" };
        vm.fleet.borrow_mut().upsert(replica(at, version), NOW);
    }
    let rollout = |share| Rollout {
        service: "api".parse().unwrap(),
        version: "v2".parse().unwrap(),
        within: Span::secs(60),
        phase: Some(Phase::Running { share }),
        stored: Some(Phase::Running { share }),
        position: Position::default(),
    };
    for (share, most) in [(0.02, 20), (0.3, 330)] {
        vm.rollouts.borrow_mut().insert("api".parse().unwrap(), rollout(share));
        let mut of_new = HashSet::new();
        for number in 0..4000 {
            let mut job = job(&vm, "api");
            job.call.id = format!("request{number}");
            let part = |id: String| PromptPart { id, tokens: 100 };
            job.call.prompt = vec![part(format!("shared{number}")), part("own".to_owned())];
            let criteria: Criteria = job.criteria(None, &[]);
            let placement = selection::select_server(&vm, &criteria, NOW).expect("a server");
            if placement.replica.version.as_str() == "v2" {
                of_new.insert(placement.replica.id);
            }
        }
        println!("share {share}: {} servers of the new version", of_new.len());
        assert!(!of_new.is_empty() && of_new.len() <= most, "{} at {share}", of_new.len());
    }
}

#[test]
fn what_all_servers_announced_is_kept_while_their_entries_are_gone() {
    let mut fleet = fleet("vm-a", "here", 6000);
    let draining = Signal { draining: true, ..Signal::default() };
    for at in 0..6000 {
        let replica = replica(at, "v1");
        let server = fleet.incarnation_mut(&replica).expect("just inserted");
        server.availability.observe(draining, NOW);
        fleet.remove(&replica.id, None, NOW);
    }
    (0..6000).for_each(|at| {
        fleet.upsert(replica(at, "v1"), NOW);
    });
    let service = "api".parse().unwrap();
    assert_eq!(fleet.eligible(&service, NOW).count(), 0, "servers that drain are used again");
}
