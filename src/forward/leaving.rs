//! Servers that said that they leave, as VMs tell one another. The store says the same, but not while it is away, and a VM that is not told
//! finds out by a request that it sends there.
//!
//! Each VM passes on what is news to it, so that all know it within some round trips: some hundred bytes for each leave and neighbour.

use std::net::SocketAddr;
use std::rc::Rc;

use super::peer::{self, Word};
use super::replica::Replica;
use super::vm::Vm;
use crate::decide::standing::Said;
use crate::unit::Server;

/// Tells the other VMs that a life of a server leaves.
pub fn tell(vm: &Rc<Vm>, replica: &Replica) {
    let (server, born, address) = (replica.id.clone(), replica.born, replica.address);
    peer::tell(vm, &Word::Leaves { server, born, address });
}

/// Takes another VM's word that a life of a server leaves, and passes it on if it is news.
pub fn hear(vm: &Rc<Vm>, from: &str, id: &Server, born: Option<u64>, address: SocketAddr) {
    let replica = {
        let mut fleet = vm.fleet.borrow_mut();
        let server = fleet.get_mut(id).filter(|one| one.replica.is_life(id, born, address));
        let Some(server) = server else { return };
        if !server.standing.hear(Said { leaves: true, rest: None }, vm.now()) {
            return;
        }
        server.replica.clone()
    };
    let fields = [
        ("server", id.as_str().into()),
        ("born_ms", born.unwrap_or_default().into()),
        ("from", from.into()),
    ];
    vm.log("server said to leave", &fields);
    tell(vm, &replica);
}
