//! The VMs of a fleet: how they handle request contents that crash servers, and which VMs
//! exchange messages.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::decide::poison::{Fingerprint, Topology};
use crate::peer::neighbours;
use crate::unit::{Digest, Vm, hash};

/// Largest fleet in which each VM sends to all others. In larger ones VMs send to their neighbours,
/// and reports of a content to its aggregators.
const MAX_FULL_MESH: usize = 13;

/// VMs that collect the reports of a content.
const AGGREGATORS: usize = 3;

/// How VMs handle request contents that crash the servers that run them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// They do not quarantine them.
    Unprotected,
    /// Each VM uses only the crashes that it saw itself.
    PerVm,
    /// VMs share their reports of crashes: the strategy of the router.
    Shared,
    /// As `Shared`, and all VMs learn of suspects, and one VM per content allows them to run one at
    /// a time.
    OneAtATime,
}

impl Strategy {
    /// All strategies in the order of the table.
    pub const ALL: [Strategy; 4] =
        [Strategy::Unprotected, Strategy::PerVm, Strategy::Shared, Strategy::OneAtATime];

    /// Returns the name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Strategy::Unprotected => "nothing",
            Strategy::PerVm => "each alone",
            Strategy::Shared => "told",
            Strategy::OneAtATime => "told, one at a time",
        }
    }
}

/// What of a request that crashed a server VMs suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Identity {
    /// Its content alone.
    Content,
    /// Its content and each shared part of its prompt, each by itself.
    EachDigest,
    /// What the requests that crashed servers have in common: the strategy of the router.
    Fingerprint,
}

impl Identity {
    /// All of them, in the order of the table.
    pub const ALL: [Identity; 3] = [Identity::Content, Identity::EachDigest, Identity::Fingerprint];

    /// Returns the name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Identity::Content => "contents",
            Identity::EachDigest => "each part by itself",
            Identity::Fingerprint => "what they have in common",
        }
    }

    /// Returns the fingerprints under which VMs record a request.
    pub fn recorded(self, request: &Fingerprint) -> Vec<Fingerprint> {
        match self {
            Identity::Content => vec![request.content().into()],
            Identity::EachDigest => request.digests().iter().map(|one| (*one).into()).collect(),
            Identity::Fingerprint => vec![request.clone()],
        }
    }
}

/// Topology of the messages between VMs.
pub struct Fleet {
    neighbours: Vec<Vec<usize>>,
    hashes: Vec<u64>,
}

impl Fleet {
    /// Creates a fleet of `vms` VMs.
    pub fn new(vms: usize) -> Fleet {
        let name = |at: usize| format!("vm{at:04}").parse().expect("a name");
        let names: Vec<Vm> = (0..vms).map(name).collect();
        let index: HashMap<&Vm, usize> =
            names.iter().enumerate().map(|(at, vm)| (vm, at)).collect();
        let ring_neighbours =
            |vm: &Vm| neighbours(vm, &names).iter().map(|other| index[other]).collect();
        let all = |own: &Vm| (0..vms).filter(|at| names[*at] != *own).collect();
        let is_full_mesh = vms <= MAX_FULL_MESH;
        let neighbours = names
            .iter()
            .map(|vm| if is_full_mesh { all(vm) } else { ring_neighbours(vm) })
            .collect();
        let hashes = names.iter().map(|vm| hash::stable(&[vm.as_str()])).collect();
        Fleet { neighbours, hashes }
    }

    /// Returns the number of VMs.
    pub fn vms(&self) -> usize {
        self.hashes.len()
    }

    /// Returns how messages reach all VMs.
    pub fn topology(&self) -> Topology {
        if self.vms() <= MAX_FULL_MESH { Topology::Direct } else { Topology::Gossip }
    }

    /// Returns the VMs to which a VM sends a message for all.
    pub fn neighbours(&self, vm: usize) -> Vec<usize> {
        self.neighbours[vm].clone()
    }

    /// Returns the VMs that collect the reports of a content, in the order of their precedence.
    pub fn aggregators(&self, content: Digest) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.vms()).collect();
        order.sort_by_key(|at| Reverse(hash::mix(content.0, self.hashes[*at])));
        order.truncate(AGGREGATORS);
        order
    }
}
