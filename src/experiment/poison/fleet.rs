//! The VMs of a fleet: what they do about such contents, and who tells whom.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::decide::poison::Topology;
use crate::peer::neighbours;
use crate::unit::{Digest, Vm, hash};

/// More VMs than this tell their neighbours only, and gatherers what they see of a content.
const MAX_FULL_MESH: usize = 13;
const AGGREGATORS: usize = 3;

/// What VMs do about such contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Nothing.
    Unprotected,
    /// Each goes by what it saw itself.
    PerVm,
    /// They tell one another: the way of the server.
    Shared,
    /// Beside that all are told of suspects, and one VM, the same for all, lets each suspect run one at a time.
    OneAtATime,
}

impl Strategy {
    /// All of them.
    pub const ALL: [Strategy; 4] =
        [Strategy::Unprotected, Strategy::PerVm, Strategy::Shared, Strategy::OneAtATime];

    /// Its name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Strategy::Unprotected => "nothing",
            Strategy::PerVm => "each alone",
            Strategy::Shared => "told",
            Strategy::OneAtATime => "told, one at a time",
        }
    }
}

/// Who tells whom.
pub struct Fleet {
    neighbours: Vec<Vec<usize>>,
    hashes: Vec<u64>,
}

impl Fleet {
    /// A fleet of so many VMs.
    pub fn new(vms: usize) -> Fleet {
        let name = |at: usize| format!("vm{at:04}").parse().expect("a name");
        let names: Vec<Vm> = (0..vms).map(name).collect();
        let index: HashMap<&Vm, usize> =
            names.iter().enumerate().map(|(at, vm)| (vm, at)).collect();
        let near = |vm: &Vm| neighbours(vm, &names).iter().map(|other| index[other]).collect();
        let all = |own: &Vm| (0..vms).filter(|at| names[*at] != *own).collect();
        let few = vms <= MAX_FULL_MESH;
        let neighbours = names.iter().map(|vm| if few { all(vm) } else { near(vm) }).collect();
        let hashes = names.iter().map(|vm| hash::stable(&[vm.as_str()])).collect();
        Fleet { neighbours, hashes }
    }

    /// How many VMs it has.
    pub fn vms(&self) -> usize {
        self.hashes.len()
    }

    /// How news go round.
    pub fn topology(&self) -> Topology {
        if self.vms() <= MAX_FULL_MESH { Topology::Direct } else { Topology::Gossip }
    }

    /// The VMs that one tells what all are to know.
    pub fn neighbours(&self, vm: usize) -> Vec<usize> {
        self.neighbours[vm].clone()
    }

    /// The VMs that gather what is known of a content, the first first.
    pub fn aggregators(&self, content: Digest) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.vms()).collect();
        order.sort_by_key(|at| Reverse(hash::mix(content.0, self.hashes[*at])));
        order.truncate(AGGREGATORS);
        order
    }
}
