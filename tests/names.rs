//! Names of objects that hold any character, and lists that don't end as they should.

mod site;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use kitepulley::forward::era::Tracker;
use kitepulley::forward::kind::VMS;
use kitepulley::platform::client::{Client, Consistency, Listing, StoreError};
use kitepulley::standin::platform::Switches;
use serde_json::json;
use site::{Site, are_ready, ask, head};

/// Names that need an encoding in a path or a query, or that look like one.
fn odd_names() -> Vec<String> {
    let short = [
        "m&z",
        "m z",
        "m+z",
        "m#z",
        "m%z",
        "m%",
        "m%41",
        "m/z",
        "m?z",
        "m=z",
        "m;z",
        "m\"z",
        "m'z",
        "m\\z",
        "m\nz",
        "m\0z",
        "m~z",
        "m:@z",
        "m[z]",
        "mäöü",
        "m\u{1F600}",
        " m",
        "m ",
        "../m",
        "m//z",
        "/status",
    ];
    short.into_iter().map(str::to_owned).chain([format!("m{}", "&é ".repeat(900))]).collect()
}

fn run_local<T>(future: impl Future<Output = T>) -> T {
    actix_web::rt::System::new().block_on(future)
}

fn client(store: SocketAddr) -> Client {
    Client::new(store, Rc::new(Tracker::default()))
}

#[test]
fn a_list_goes_on_after_an_object_of_any_name() {
    let site = Site::new();
    site.store.set_switches(Switches { page_size: Some(1), ..Switches::default() });
    for name in odd_names() {
        let all = ["a1", name.as_str(), "z1"];
        all.iter().for_each(|name| _ = site.store.write_spec("servers", name, json!({})));
        let mut listed: Vec<String> = run_local(async {
            let mut client = client(site.store_server.address);
            let listed = client.list("servers", Consistency::Strong);
            let listed = tokio::time::timeout(Duration::from_secs(5), listed).await;
            let listed = listed.unwrap_or_else(|_| panic!("the list after `{name}` doesn't end"));
            let listed = listed.unwrap_or_else(|fault| panic!("after `{name}`: {fault}"));
            listed.items.into_iter().map(|object| object.metadata.name).collect()
        });
        let mut expected = all.map(str::to_owned).to_vec();
        listed.sort_unstable();
        expected.sort_unstable();
        assert_eq!(listed, expected);
        all.iter().for_each(|name| site.store.delete_object("servers", name));
    }
}

#[test]
fn an_object_of_any_name_is_read_and_written_by_that_name() {
    let site = Site::new();
    for name in odd_names() {
        run_local(async {
            let mut client = client(site.store_server.address);
            let made = client.create("things", &name, json!({"n": 1})).await;
            let made = made.unwrap_or_else(|fault| panic!("create `{name}`: {fault}"));
            let position = made.metadata.position;
            let replaced = client.replace("things", &name, position, json!({"n": 2})).await;
            let replaced = replaced.unwrap_or_else(|fault| panic!("replace `{name}`: {fault}"));
            let position = replaced.metadata.position;
            let status = client.put_status("things", &name, position, json!({"s": 3})).await;
            status.unwrap_or_else(|fault| panic!("status of `{name}`: {fault}"));
            let read = client.get("things", &name, Consistency::Stale).await;
            let read = read.unwrap_or_else(|fault| panic!("get `{name}`: {fault}"));
            let read = read.unwrap_or_else(|| panic!("`{name}` isn't found"));
            assert_eq!((read.metadata.name.as_str(), &read.spec["n"]), (name.as_str(), &json!(2)));
            assert_eq!(read.status["s"], 3, "{name}");
            client.delete("things", &name).await.expect("a response");
            let read = client.get("things", &name, Consistency::Strong).await.expect("a response");
            assert!(read.is_none(), "`{name}` was deleted");
        });
    }
}

/// Returns the answers of a VM to this number of requests.
fn served(vm: &site::Vm, requests: usize) -> usize {
    let send = |n| ask(vm.callers, &head("GET /safe/x", &format!("n{n}"), ""), b"").status;
    (0..requests).filter(|n| send(*n) == 200).count()
}

#[test]
fn service_comes_back_after_a_restart_while_an_entry_of_any_name_stands() {
    let names = ["m&z", "m z", "m+z", "m#z", "m%z", "m%41", "m/z"];
    let kinds = ["servers", "evacuations", "rollouts", VMS];
    let mut site = Site::new().route("safe", "idempotent", json!({}));
    let _servers = [site.replica("a1", "v1"), site.replica("z1", "v1")];
    let page = Switches { page_size: Some(2), ..Switches::default() };
    site.store.set_switches(page);
    site.publish();
    let mut vms = [site.start(), site.start()];
    are_ready(&vms);
    for name in names {
        for kind in kinds {
            let others = [format!("l{name}"), name.to_owned(), "zz&".to_owned()];
            others.iter().for_each(|name| _ = site.store.write_spec(kind, name, json!({"x": 1})));
            vms.iter_mut().for_each(site::Vm::kill);
            let before = site.store.calls();
            vms.iter_mut().for_each(site::Vm::start_again);
            are_ready(&vms);
            for vm in &vms {
                assert_eq!(served(vm, 5), 5, "{kind} `{name}`: {}", vm.log_end());
            }
            let calls = site.store.calls().reads - before.reads;
            assert!(calls < 100, "{kind} `{name}`: {calls} calls");
            others.iter().for_each(|name| site.store.delete_object(kind, name));
        }
    }
}

#[test]
fn a_kind_whose_list_does_not_end_neither_floods_the_store_nor_blocks_the_others() {
    for kind in ["servers", "evacuations", "rollouts", VMS] {
        for repeats in [true, false] {
            let mut site = Site::new().route("safe", "idempotent", json!({}));
            let _servers = [site.replica("a1", "v1"), site.replica("z1", "v1")];
            if kind != "servers" {
                ["x&1", "x&2", "x&3"].iter().for_each(|name| {
                    _ = site.store.write_spec(kind, name, json!({}));
                });
            }
            // The first page of the servers has one that can be used.
            let kind = Some(kind.to_owned());
            let (repeating_kind, refused_kind) = match repeats {
                true => (kind, None),
                false if kind.as_deref() == Some("servers") => continue,
                false => (None, kind),
            };
            let fault = Switches {
                page_size: Some(1),
                repeating_kind,
                refused_kind,
                ..Switches::default()
            };
            site.store.set_switches(fault.clone());
            site.publish();
            let vms = [site.start(), site.start()];
            are_ready(&vms);
            let before = site.store.calls();
            std::thread::sleep(Duration::from_secs(3));
            for vm in &vms {
                assert_eq!(served(vm, 5), 5, "{fault:?}: {}", vm.log_end());
            }
            let (calls, stale) = {
                let calls = site.store.calls();
                (calls.reads - before.reads, calls.stale - before.stale)
            };
            // Polls for changes of servers are some 30 of them.
            assert!(calls + stale < 120, "{fault:?}: {calls} calls, {stale} stale ones");
        }
    }
}

/// A store that serves these pages, one per connection, whatever the requests are.
struct CannedStore {
    address: SocketAddr,
    /// Number of pages served.
    served: Arc<AtomicU32>,
}

fn canned_store(pages: Vec<String>) -> CannedStore {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let served = Arc::new(AtomicU32::new(0));
    let count = served.clone();
    std::thread::spawn(move || {
        for page in pages {
            let Ok((mut stream, _)) = listener.accept() else { return };
            count.fetch_add(1, Ordering::SeqCst);
            let mut head = [0; 4096];
            let _ = stream.read(&mut head);
            let length = page.len();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{page}"
            );
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    CannedStore { address, served }
}

fn list_servers(store: &CannedStore) -> Result<Listing, StoreError> {
    run_local(async { client(store.address).list("servers", Consistency::Strong).await })
}

fn page(items: &[&str], has_more: bool) -> String {
    let items = items.join(",");
    format!(r#"{{"items":[{items}],"has_more":{has_more},"store_revision":7}}"#)
}

const OBJECT: &str = r#"{"metadata":{"name":"z1","revision":2},"spec":{}}"#;

#[test]
fn a_page_without_an_object_that_decodes_does_not_end_a_list() {
    let odd = r#"{"metadata":{"name":"m1","revision":"many"}}"#;
    let store = canned_store(vec![page(&[odd], true), page(&[OBJECT], false)]);
    let listed = list_servers(&store).expect("a list");
    let names: Vec<&str> = listed.items.iter().map(|one| one.metadata.name.as_str()).collect();
    assert_eq!(names, ["z1"]);
}

#[test]
fn a_list_that_ends_early_is_an_error() {
    for items in [vec![], vec![r#"{"spec":{}}"#], vec![r#"{"metadata":{"name":"\ud800"}}"#]] {
        let store = canned_store(vec![page(&[OBJECT], true), page(&items, true)]);
        let listed = list_servers(&store);
        assert!(listed.is_err(), "{items:?}: {listed:?}");
    }
}

#[test]
fn a_list_that_goes_round_is_an_error() {
    let other = OBJECT.replace("z1", "y1");
    let round = [page(&[OBJECT], true), page(&[&other], true)];
    let store = canned_store(round.iter().cycle().take(50).cloned().collect());
    let listed = list_servers(&store);
    assert!(listed.is_err(), "{listed:?}");
    let served = store.served.load(Ordering::SeqCst);
    assert!(served <= 3, "the first page came again as the third of {served}");
}
