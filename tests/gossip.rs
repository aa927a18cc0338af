//! Adoption of a configuration: when all VMs count as having it.

use std::collections::BTreeMap;

use kitepulley::config::{Root, Snapshot};
use kitepulley::peer::wire::{ConfigStatus, Frame};
use kitepulley::peer::{Gossip, Member, State};
use kitepulley::unit::{Incarnation, Moment, Revision};

fn member(vm: &str, incarnation: u64) -> Member {
    Member {
        vm: vm.parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "here".parse().unwrap(),
        incarnation: Incarnation(incarnation),
        refutations: 0,
        state: State::Alive,
    }
}

/// The report of `vm` that its process enforces a revision.
fn adopted(vm: &Member, revision: u64) -> Frame {
    let enforced_revision = Revision(revision);
    let status = ConfigStatus { revision: enforced_revision, ..ConfigStatus::default() };
    Frame::Adopted { me: vm.clone(), status, enforced_revision }
}

/// Guards against an older report that comes late and takes back what a VM reported since.
#[test]
fn a_report_that_comes_late_does_not_take_back_a_newer_one() {
    let (a, b) = (member("a", 1), member("b", 5));
    let mut gossip = Gossip::new(a, Moment(0));
    let root = Root { revision: Revision(2), ..Root::default() };
    gossip.adopt(Snapshot::resolve(root, BTreeMap::new()).unwrap());
    gossip.receive(&b.vm, adopted(&b, 2), Moment(1));
    assert!(!gossip.vms_pending().contains(&b.vm));
    gossip.receive(&b.vm, adopted(&b, 1), Moment(2));
    assert!(!gossip.vms_pending().contains(&b.vm), "it enforces revision 2 still");
    let restarted = member("b", 6);
    gossip.receive(&b.vm, adopted(&restarted, 1), Moment(3));
    assert!(gossip.vms_pending().contains(&b.vm), "a later process has to report anew");
}
