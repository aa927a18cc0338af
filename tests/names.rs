//! Names of objects that hold any character.

mod site;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kitepulley::forward::era::Tracker;
use kitepulley::forward::kind::VMS;
use kitepulley::platform::client::{Client, Consistency};
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
