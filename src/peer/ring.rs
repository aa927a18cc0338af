//! Who talks to whom: a few neighbours on a ring, and rendezvous ranks for duties.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::unit::Vm;

fn hash(vm: &Vm, salt: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    salt.hash(&mut hasher);
    vm.hash(&mut hasher);
    hasher.finish()
}

/// The neighbours of `me` among `all` (which holds `me`): those 1, 2, 4, 8, ... places on.
///
/// So each VM has about log2 of the VMs' number as neighbours, is watched by as many, and news
/// passes everyone in about as many hops.
pub fn neighbours(me: &Vm, all: &[Vm]) -> Vec<Vm> {
    let mut ring: Vec<(u64, &Vm)> = all.iter().map(|vm| (hash(vm, "ring"), vm)).collect();
    ring.sort();
    let Some(at) = ring.iter().position(|(_, vm)| *vm == me) else {
        return Vec::new();
    };
    let mut chosen = Vec::new();
    let mut distance = 1;
    while distance < ring.len() {
        chosen.push(ring[(at + distance) % ring.len()].1.clone());
        distance *= 2;
    }
    chosen
}

/// The VMs in order of their claim to `duty`; everyone who knows the same VMs agrees.
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
