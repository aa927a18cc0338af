//! Servers that leave while VMs know of it at unlike times.
//!
//! The story. Users saw requests reach backend servers more than two seconds after these had said that they
//! leave, from VMs that nothing had befallen. A VM that reads the store for others was cut off from the store,
//! for one second or for three; its followers were not. In the short cut they went on believing it: it
//! vouched with a proof that the configuration was the newest, seconds old, while its watch of the servers
//! hung on a connection that the cut had slowed, and an entry that said `leaving` came 2.2 s late. After the
//! long cut they had read for themselves and knew the entry, followed it again at its first proof, and its
//! list of before the cut replaced what they knew.
//!
//! The cause: knowledge of servers had neither an age nor an order. What vouched for it was a proof of
//! another kind, and what was told last won, whichever was newer.
//!
//! The evidence: logs with the revision, the source and the age of what each VM knew. On the day of the short
//! cut, which ended at 4.31 s, the reader took the entry of 3.138 s at 5.121 s, its followers at 5.465 s, and
//! one of them had sent to that server at 5.317 s. On the day of the long one a VM took `leaving`, revision 56,
//! at 7.307 s; at 8.283 s it took a list of revision 55 from its new reader, whose servers were 4550 ms old
//! and whose proof was 31 ms old; it sent to that server at 8.811 s.

mod site;

use std::time::{Duration, Instant};

use kitepulley::standin::replica::Replica;
use serde_json::json;
use site::way::Way;
use site::{Site, ask, eventually, head};

/// A leaving server gets nothing new after this.
const LEAVES_WITHIN: Duration = Duration::from_secs(2);

/// How long it is watched after that; a watch of the store waits six seconds.
const WATCHED: Duration = Duration::from_secs(4);

fn site() -> Site {
    Site::new().route("safe", "idempotent", json!({}))
}

/// Whether a VM follows a reader now.
fn follows(vm: &site::Vm) -> bool {
    let lines = vm.lines();
    let told = |event: &str| lines.iter().rposition(|line| line["event"] == event);
    told("follows a reader") > told("reads the store itself")
}

/// Asks VMs from two seconds to six after `left`, and checks that the server gets none of it.
fn gets_nothing_new(vms: &[site::Vm], server: &Replica, left: Instant) {
    let send = |vm: &site::Vm| ask(vm.callers, &head("GET /safe/x", "id", ""), b"").status;
    std::thread::sleep(LEAVES_WITHIN.saturating_sub(left.elapsed()));
    let before = server.seen().len();
    while left.elapsed() < LEAVES_WITHIN + WATCHED {
        for (at, vm) in vms.iter().enumerate() {
            assert_eq!(send(vm), 200);
            let met = server.seen().len() - before;
            assert_eq!(
                met,
                0,
                "VM {at} of {} sent {:?} after the leave",
                vms.len(),
                left.elapsed()
            );
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn a_way_to_the_servers_that_hangs_is_noticed() {
    // Alone a VM waits for changes of servers itself; of two, one does for both. Proofs that the
    // configuration is the newest go over another connection, which stays sound.
    for vms in [1, 2] {
        let mut site = site();
        site.publish();
        let leaving = site.replica("r1", "v1");
        site.replica("r2", "v1");
        let ways: Vec<Way> = (0..vms).map(|_| Way::to(site.store_server.address)).collect();
        let vms: Vec<site::Vm> = ways.iter().map(|way| site.start_through(way.address)).collect();
        eventually("all are ready", || vms.iter().all(site::Vm::is_ready));
        eventually("all but one follow", || vms.iter().filter(|vm| !follows(vm)).count() == 1);
        let reader = vms.iter().position(|vm| !follows(vm)).expect("one reads");
        eventually("its way hangs", || ways[reader].silence("objects/servers") > 0);
        site.list("r1", "v1", "draining", leaving.address);
        gets_nothing_new(&vms, &leaving, Instant::now());
    }
}
