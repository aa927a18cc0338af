//! Entries of backend servers: incarnations under one id, invalid entries, and allowed regions.

mod site;

use std::time::Duration;

use kitepulley::forward::Vm;
use kitepulley::forward::apply::{self, Source};
use kitepulley::forward::kind::Kind;
use kitepulley::platform::Store;
use kitepulley::platform::client::Listing;
use kitepulley::platform::object::{self, Object};
use kitepulley::standin::replica::Action;
use kitepulley::unit::{Era, Moment, Position, Span};
use quickcheck::quickcheck;
use serde_json::{Value, json};
use site::{Site, are_ready, ask, bare_vm, eventually, head};

fn entry(fields: Value) -> Value {
    let mut entry = json!({"service": "api", "address": "127.0.0.1:9", "zone": "here",
        "version": "v1", "capacity": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1});
    for (name, value) in fields.as_object().into_iter().flatten() {
        entry[name] = value.clone();
    }
    entry
}

fn server(name: &str, revision: u64, spec: Value) -> Object {
    let metadata = json!({"name": name, "revision": revision});
    serde_json::from_value(json!({"metadata": metadata, "spec": spec})).unwrap()
}

/// A position in the first era.
fn at(revision: u64) -> Position {
    Position::new(Era(0), revision)
}

fn is_available(vm: &Vm, name: &str) -> bool {
    let fleet = vm.fleet.borrow();
    fleet
        .eligible(&"api".parse().unwrap(), vm.now())
        .any(|server| server.replica.id.as_str() == name)
}

fn apply_entry(vm: &Vm, object: &Object) {
    let as_of = object.metadata.position;
    apply::apply_object(vm, Kind::Servers, object, &Source { reader: None, as_of });
}

#[test]
fn a_later_life_under_an_id_holds_nothing_of_the_earlier() {
    let vm = bare_vm();
    let id = "r1".parse().unwrap();
    let now = Moment(0);
    apply_entry(&vm, &server("r1", 3, entry(json!({"born": 1_764_000_000_000u64}))));
    let earlier = vm.fleet.borrow().get(&id).unwrap().replica.clone();
    {
        let mut fleet = vm.fleet.borrow_mut();
        let server = fleet.get_mut(&id).unwrap();
        (0..5).for_each(|_| server.load.on_open());
        server.record_prefix(7, now);
        server.availability.mark_address_reused();
    }
    // Its clock has stepped back: the store's revisions show which incarnation is the later one.
    apply_entry(&vm, &server("r1", 9, entry(json!({"born": 1_763_999_990_000u64}))));
    {
        let mut fleet = vm.fleet.borrow_mut();
        let server = fleet.get(&id).unwrap();
        assert!(
            !server.has_prefix(7, now) && server.availability.unavailable_reason(now).is_none()
        );
        assert_eq!(server.load.open(), 0);
        assert!(
            fleet.incarnation_mut(&earlier).is_none(),
            "ends of requests at the earlier incarnation are not counted"
        );
    }
    apply_entry(&vm, &server("r1", 3, entry(json!({"born": 1_764_000_000_000u64}))));
    let fleet = vm.fleet.borrow();
    assert_eq!(fleet.get(&id).unwrap().replica.started_at_ms, Some(1_763_999_990_000));
}

#[test]
fn a_request_at_an_earlier_life_is_known_to_be_lost() {
    let times = json!({"latency_goal_ms": 9000, "timeout_ms": 20000});
    let mut site = Site::new().route("safe", "idempotent", times.clone()).route(
        "once",
        "non_idempotent",
        times,
    );
    let silent = site.replica_with("r1", json!({"born": 1_764_000_000_000u64}));
    silent.set_default_action(Action::Slow(Duration::from_secs(15)));
    let vm = site.start_ready();
    let (safe, once) = std::thread::scope(|scope| {
        let send = |line: &'static str, id: &'static str| {
            let line = head(line, id, "").replace("X-Deadline-Ms: 2500", "X-Deadline-Ms: 18000");
            let callers = vm.callers;
            scope.spawn(move || ask(callers, &line, b""))
        };
        let (safe, once) = (send("GET /safe/x", "a"), send("POST /once/x", "b"));
        eventually("both requests have arrived", || silent.requests().len() == 2);
        // It restarts at another address under its id; the earlier incarnation never answers.
        let _again = site.replica_with("r1", json!({"born": 1_764_000_009_000u64}));
        (safe.join().unwrap(), once.join().unwrap())
    });
    assert_eq!(safe.status, 200, "it ran again at the later incarnation");
    assert!(matches!(once.status, 502 | 504), "whether it ran is not known: {}", once.status);
    assert_eq!(silent.requests().len(), 2);
}

/// Entries that are no valid server entries.
fn invalid_entries() -> Vec<Value> {
    let mut all = vec![
        json!({}),
        json!("no entry"),
        Value::Null,
        json!([1, 2]),
        entry(json!({"state": "resting"})),
        entry(json!({"state": 1})),
        entry(json!({"address": "nowhere"})),
        entry(json!({"address": 8080})),
        entry(json!({"capacity": "eight"})),
        entry(json!({"capacity": 1.5})),
        entry(json!({"cold_remaining_ms": null})),
        entry(json!({"cold_remaining_ms": "long"})),
        entry(json!({"sequence": -1})),
        entry(json!({"born": 1.5})),
        entry(json!({"born": "yesterday"})),
        entry(json!({"service": {"name": "api"}})),
        entry(json!({"zone": ""})),
    ];
    let fields = ["service", "address", "zone", "version", "capacity", "state"];
    for field in fields.into_iter().chain(["cold_remaining_ms", "sequence"]) {
        let mut entry = entry(json!({}));
        entry.as_object_mut().unwrap().remove(field);
        all.push(entry);
    }
    all
}

#[test]
fn an_entry_of_another_writer_names_no_server_and_costs_no_other() {
    for (number, spec) in invalid_entries().into_iter().enumerate() {
        let vm = bare_vm();
        let shown = spec.to_string();
        let items = [
            server("r1", 1, entry(json!({}))),
            server("x1", 2, spec.clone()),
            server("r2", 3, entry(json!({}))),
        ];
        let source = Source { reader: None, as_of: at(3) };
        apply::apply_list(&vm, Kind::Servers, &items, &source);
        assert!(is_available(&vm, "r1") && is_available(&vm, "r2"), "{number}: {shown}");
        assert!(!is_available(&vm, "x1"), "{number}: {shown}");
        // An invalid entry that replaces a valid one removes the server.
        apply_entry(&vm, &server("r2", 5, spec));
        assert!(is_available(&vm, "r1") && !is_available(&vm, "r2"), "{number}: {shown}");
        apply_entry(&vm, &server("r2", 6, entry(json!({}))));
        assert!(is_available(&vm, "r2"), "{number}: its valid entry again");
    }
}

#[test]
fn bytes_that_cannot_be_read_spoil_no_list() {
    let valid = |name: &str, revision: u64| {
        let object = server(name, revision, entry(json!({})));
        object.to_json()
    };
    let deep = "[".repeat(200) + &"]".repeat(200);
    let others = [r#""\ud800""#, "1e999", deep.as_str()];
    for other in others {
        let list = format!(
            r#"{{"items":[{},{{"metadata":{{"name":"x1","revision":2}},"spec":{other}}},{}],"store_revision":3}}"#,
            valid("r1", 1),
            valid("r2", 3),
        );
        let listing: Listing = serde_json::from_str(&list).unwrap();
        let names: Vec<&str> =
            listing.items.iter().map(|object| object.metadata.name.as_str()).collect();
        assert_eq!(names, ["r1", "x1", "r2"], "{other}");
        assert!(object::decode_replica(&listing.items[1]).is_err(), "{other}");
        assert!(object::decode_replica(&listing.items[2]).is_ok(), "{other}");
    }
}

#[test]
fn an_odd_entry_in_the_list_of_vms_hides_no_other() {
    let site = Site::new();
    let entry = json!({"vm": "vm1", "data_centre": "here", "leaving": false});
    site.store.write_spec("vms", "vm1", entry.clone());
    for (number, spec) in [json!({}), Value::Null, json!({"vm": "a b"})].into_iter().enumerate() {
        site.store.write_spec("vms", &format!("odd&{number}"), spec);
    }
    site.store.write_spec(
        "vms",
        "vm2",
        json!({"vm": "vm2", "data_centre": "here", "leaving": true}),
    );
    let store = Store::new(site.store_server.address);
    let listed = kitepulley::command::block_on(async { store.vms().await }).expect("a list");
    let names: Vec<&str> = listed.iter().map(|entry| entry.vm.as_str()).collect();
    assert_eq!(names, ["vm1", "vm2"]);
}

/// Contents that no kind expects, as the store would send them.
fn odd_contents() -> Vec<String> {
    let deep = |open: &str, close: &str| open.repeat(200_000) + &close.repeat(200_000);
    let mut all = vec![deep("[", "]"), deep("{\"a\":", "}").replacen("}", "1}", 1)];
    all.extend(["1e999", "-1e999", "null", r#""\ud800""#, "[]", "\"x\""].map(str::to_owned));
    all.push("9".repeat(5000));
    for address in ["127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1", "[::1"] {
        all.push(entry(json!({"address": address})).to_string());
    }
    let number =
        |field: &str| format!(r#"{{"{field}":{},"address":"127.0.0.1:9"}}"#, "9".repeat(400));
    all.extend(["capacity", "share", "duration_s", "version", "born", "sequence"].map(number));
    all
}

#[test]
fn odd_contents_of_any_kind_harm_no_vm_that_reads_or_forwards_them() {
    for kind in Kind::ALL {
        for content in odd_contents() {
            let shown: String = content.chars().take(60).collect();
            let (reader, follower) = (bare_vm(), bare_vm());
            let list = format!(
                r#"{{"items":[{},{{"metadata":{{"name":"x1","revision":2}},"spec":{content},"status":{content}}}],"store_revision":3}}"#,
                server("r1", 1, entry(json!({}))).to_json(),
            );
            let listing: Listing = serde_json::from_str(&list).expect("a list");
            assert_eq!(listing.items.len(), 2, "{shown}");
            let source = Source { reader: None, as_of: at(3) };
            apply::apply_list(&reader, kind, &listing.items, &source);
            // As another VM gets it.
            let forwarded: Vec<Object> = listing
                .items
                .iter()
                .map(|object| Object::from_json(&object.to_json()).expect("it decodes again"))
                .collect();
            apply::apply_list(&follower, kind, &forwarded, &source);
            if kind == Kind::Servers {
                assert!(is_available(&reader, "r1") && is_available(&follower, "r1"), "{shown}");
                assert!(!is_available(&reader, "x1") && !is_available(&follower, "x1"), "{shown}");
            }
        }
    }
}

/// A JSON value made from these bytes: any kind of value, or a valid entry with one field replaced.
fn value(bytes: &[u8]) -> Value {
    match bytes {
        [0..=40, rest @ ..] => json!(String::from_utf8_lossy(rest)),
        [41..=60, number, ..] => json!(f64::from(*number) / 3.0 - 20.0),
        [61..=80, ..] => Value::Null,
        [81..=100, rest @ ..] => Value::Array(rest.chunks(3).map(value).collect()),
        [101..=140, rest @ ..] => json!({"service": value(rest), "address": value(rest)}),
        [field, rest @ ..] => {
            let names = ["service", "address", "zone", "version", "capacity", "state", "born"];
            entry(json!({names[usize::from(*field) % names.len()]: value(rest)}))
        }
        [] => Value::Bool(true),
    }
}

quickcheck! {
    /// Whatever is written under each kind, nothing panics and the valid server stays available.
    fn what_others_write_harms_nothing_else(kind: u8, specs: Vec<Vec<u8>>) -> bool {
        let vm = bare_vm();
        let kind = Kind::ALL[usize::from(kind) % Kind::ALL.len()];
        apply_entry(&vm, &server("r1", 1, entry(json!({}))));
        for (number, bytes) in specs.iter().enumerate() {
            let revision = number as u64 + 2;
            let source = Source { reader: None, as_of: at(revision) };
            let object = server(&format!("x{number}"), revision, value(bytes));
            apply::apply_object(&vm, kind, &object, &source);
        }
        is_available(&vm, "r1")
    }
}

#[test]
fn a_request_stays_in_the_regions_of_its_route_and_its_workspace() {
    let north = json!({"allowed_regions": ["north"]});
    let mut site = Site::new()
        .route("north", "idempotent", north)
        .route("any", "idempotent", json!({}))
        .workspace("free", &["k-free"]);
    let south = json!({"name": "bound", "api_keys": ["k-south"], "priority": 1,
        "allowed_regions": ["south"]});
    site.config["tenants"].as_array_mut().unwrap().push(south);
    let here = site.replica("r1", "v1");
    let there = site.replica_with("r2", json!({"zone": "there"}));
    let vms = [site.start(), site.start_in("there")];
    site.publish();
    are_ready(&vms);
    let mut number = 0;
    let mut send = |vm: &site::Vm, path: &str, key: &str| {
        number += 1;
        let line = format!("GET /{path}/x");
        let key = format!("Authorization: Token {key}\r\n");
        ask(vm.callers, &head(&line, &format!("h{number}"), &key), b"").status
    };
    for vm in &vms {
        (0..5).for_each(|_| assert_eq!(send(vm, "north", "k-free"), 200));
        assert_eq!(there.requests().len(), 0, "the route binds to the north");
    }
    let before = here.requests().len();
    for vm in &vms {
        (0..5).for_each(|_| assert_eq!(send(vm, "any", "k-south"), 200));
    }
    assert_eq!(
        (here.requests().len(), there.requests().len()),
        (before, 10),
        "the workspace binds"
    );
    assert_eq!(send(&vms[0], "north", "k-south"), 503, "both bind, and no region is left");
}

#[test]
fn a_cold_time_counts_from_each_word_of_it() {
    let vm = bare_vm();
    let bound = kitepulley::decide::cold_start::ColdStart {
        rate: kitepulley::unit::Rate(4.0),
        duration: Span::secs(3),
    };
    let is_cold =
        |at: Moment| vm.fleet.borrow().get(&"r1".parse().unwrap()).unwrap().is_cold(&bound, at);
    apply_entry(&vm, &server("r1", 1, entry(json!({"cold_remaining_ms": 1500}))));
    let now = vm.now();
    assert!(is_cold(now + Span::millis(1400)) && !is_cold(now + Span::millis(1600)));
    // It becomes cold again, with a new remaining time.
    apply_entry(&vm, &server("r1", 4, entry(json!({"cold_remaining_ms": 4000, "sequence": 2}))));
    assert!(is_cold(now + Span::millis(3500)));
    apply_entry(&vm, &server("r1", 5, entry(json!({"cold_remaining_ms": 0, "sequence": 3}))));
    assert!(!is_cold(now));
}
