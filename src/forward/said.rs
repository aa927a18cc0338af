//! What servers said of themselves, as VMs tell one another: that they leave, and which limits they name. The store tells of leaving too, but not
//! while it is away, and nothing else tells of limits; a VM that is not told finds out by a request that it sends there.
//!
//! Each VM passes on what is news to it, so that all know it within some round trips: some hundred bytes for each change and neighbour. That a limit is
//! another is told to those alone that have a part of it.

use std::net::SocketAddr;
use std::rc::Rc;

use super::peer::{self, Word};
use super::replica::{Incarnation, Replica};
use super::vm::Vm;
use crate::decide::availability::Signal;
use crate::decide::server_limit::{Recipients, Update};
use crate::unit::{Moment, Rate, Server, Span};

/// Tells the other VMs that a life of a server leaves.
pub fn tell_leave(vm: &Rc<Vm>, replica: &Replica) {
    peer::tell(vm, &Word::Leaves(replica.incarnation()));
}

/// Takes another VM's word that a life of a server leaves, and passes it on if it is news.
pub fn hear_leave(vm: &Rc<Vm>, from: &str, life: &Incarnation) {
    let Incarnation { server: id, started_at_ms: born, address } = life;
    let replica = {
        let mut fleet = vm.fleet.borrow_mut();
        let server =
            fleet.get_mut(id).filter(|one| one.replica.matches_incarnation(id, *born, *address));
        let Some(server) = server else { return };
        let leaves = Signal { draining: true, ..Signal::default() };
        if !server.standing.observe(leaves, vm.now()) {
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
    tell_leave(vm, &replica);
}

/// Tells other VMs what this one knows of the limit of a life of a server, if any are to be told.
pub fn tell_limit(vm: &Rc<Vm>, replica: &Replica) {
    let now = vm.now();
    let told = {
        let mut fleet = vm.fleet.borrow_mut();
        fleet.life_mut(replica).and_then(|server| server.standing.limit.next_announcement(now))
    };
    match told {
        Some((news, Recipients::All)) => peer::tell(vm, &limit_word(replica, news, now)),
        Some((news, Recipients::Senders(rates))) => {
            let word = limit_word(replica, news, now);
            peer::tell_senders(vm, &replica.id, rates, &word);
        }
        None => {}
    }
}

fn limit_word(replica: &Replica, news: Update, now: Moment) -> Word {
    let (server, born, address) = (replica.id.clone(), replica.started_at_ms, replica.address);
    Word::Limit { server, born, address, rate: news.rate, age: now.since(news.as_of) }
}

/// Another VM's word of the limit of a life of a server.
pub struct Told<'a> {
    /// Who says it.
    pub from: &'a str,
    /// The server.
    pub server: &'a Server,
    /// When that life began, by its own clock.
    pub born: Option<u64>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The limit, if it names one.
    pub rate: Option<Rate>,
    /// How long ago it said so.
    pub age: Span,
}

/// Takes another VM's word of a limit, and passes it on if it is news.
pub fn hear_limit(vm: &Rc<Vm>, told: &Told) {
    let now = vm.now();
    let news = Update { rate: told.rate, as_of: Moment(now.0.saturating_sub(told.age.0)) };
    let (replica, changed, passes_on) = {
        let mut fleet = vm.fleet.borrow_mut();
        let is_meant =
            |replica: &Replica| replica.matches_incarnation(told.server, told.born, told.address);
        let server = fleet.get_mut(told.server).filter(|one| is_meant(&one.replica));
        let Some(server) = server else { return };
        let limit = &mut server.standing.limit;
        let before = limit.rate(now);
        let passes_on = limit.merge(news, now);
        (server.replica.clone(), before != limit.rate(now), passes_on)
    };
    if changed {
        let fields = [
            ("server", told.server.as_str().into()),
            ("born_ms", told.born.unwrap_or_default().into()),
            ("from", told.from.into()),
            ("limit_per_s", told.rate.map_or(-1.0, |rate| rate.0).into()),
            ("age_ms", told.age.as_millis().into()),
        ];
        vm.log("server said to have a limit", &fields);
    }
    if passes_on {
        peer::tell(vm, &limit_word(&replica, news, now));
    }
}
