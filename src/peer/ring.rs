//! Neighbours of a VM on a hash ring, and rendezvous hashing that assigns duties to VMs.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::unit::Vm;

fn hash(vm: &Vm, salt: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    salt.hash(&mut hasher);
    vm.hash(&mut hasher);
    hasher.finish()
}

/// Returns the neighbours of `me` among `all` (which contains `me`): the VMs 1, 2, 4, 8, ...
/// positions further on the ring.
///
/// With n VMs, each VM has about log2(n) neighbours and is probed by as many, and an update reaches
/// all VMs in about log2(n) hops. Returns nothing if `me` is not among `all`.
pub fn neighbours(me: &Vm, all: &[Vm]) -> Vec<Vm> {
    let mut ring: Vec<(u64, &Vm)> = all.iter().map(|vm| (hash(vm, "ring"), vm)).collect();
    ring.sort();
    let Some(position) = ring.iter().position(|(_, vm)| *vm == me) else {
        return Vec::new();
    };
    let mut neighbours = Vec::new();
    let mut distance = 1;
    while distance < ring.len() {
        neighbours.push(ring[(position + distance) % ring.len()].1.clone());
        distance *= 2;
    }
    neighbours
}

/// Returns the VMs ordered by their rendezvous hash for `duty`; the first one has the duty.
///
/// VMs that know the same members compute the same order.
pub fn rendezvous_order<'a>(duty: &str, all: impl Iterator<Item = &'a Vm>) -> Vec<&'a Vm> {
    let mut ranked: Vec<(u64, &Vm)> = all.map(|vm| (hash(vm, duty), vm)).collect();
    ranked.sort();
    ranked.into_iter().map(|(_, vm)| vm).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn neighbours_are_few_and_reach_everyone() {
        let all: Vec<Vm> = (0..330).map(|i| format!("vm{i}").parse().unwrap()).collect();
        let mut reached = std::collections::BTreeSet::from([all[0].clone()]);
        let mut hops = 0;
        while reached.len() < all.len() {
            let next: Vec<Vm> = reached.iter().flat_map(|vm| neighbours(vm, &all)).collect();
            reached.extend(next);
            hops += 1;
        }
        assert_eq!(neighbours(&all[0], &all).len(), 9);
        assert!(hops <= 9, "{hops}");
    }
}
