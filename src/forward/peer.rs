//! What entry VMs tell one another: work that they sent to a server, and what they saw of a
//! version that is rolled out. All of it is evidence; nothing is lost but speed if it is lost.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_web::rt::spawn;
use tokio::sync::mpsc;

use super::kind::VMS;
use super::pinned;
use super::poison;
use super::reader;
use super::role::Role;
use super::roster;
use super::said::{self, Told};
use super::trial::Source;
use super::vm::Vm;
use super::word::Envelope;
pub use super::word::{Place, Word};
use crate::decide::bound;
use crate::decide::reader::Rank;
use crate::peer::wire::{decode, encode};
use crate::peer::{Incoming, Links, neighbours};
use crate::platform::objects::Objects;
use crate::unit::{DataCentre, Digest, Moment, Rate, Server, Span, Vm as Name, hash};

/// Up to this number every VM hears every other; beyond it each tells its ring neighbours, so that
/// what a VM sends grows with the logarithm of their number, and those named in the store count as
/// present.
const ALL: usize = 12;

/// Time between two looks at the peers.
const LOOK: Duration = Duration::from_secs(1);

/// A peer that was told nothing for this long is greeted.
const GREET_EVERY: Span = Span::secs(2);

/// A peer that said nothing for this long is taken as gone, and greeted again from time to time.
const SILENT: Span = Span::secs(5);

/// After this it is forgotten, and its entry removed.
const FORGET: Span = Span::secs(60);

/// Work below this is not told: it is done before the word arrives.
const WORTH_TELLING: Span = Span::millis(25);

/// VMs of many that gather what is known of a content. With a tenth of the VMs cut off all three are for one content in
/// a thousand.
const GATHERERS: usize = 3;

struct Peer {
    place: Place,
    /// When it was first named, heard last, and told something last.
    met: Moment,
    heard: Option<Moment>,
    told: Option<Moment>,
}

impl Peer {
    fn new(place: Place, now: Moment) -> Peer {
        Peer { place, met: now, heard: None, told: None }
    }

    fn is_present(&self, now: Moment) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) < SILENT)
    }

    /// Time since anything was heard of it by one that should hear it since `from`.
    fn silent(&self, from: Moment, now: Moment) -> Span {
        now.since(self.heard.unwrap_or(self.met).max(from))
    }
}

/// The other VMs as this one knows them.
#[derive(Default)]
pub struct Peers {
    links: Option<Links>,
    known: HashMap<Name, Peer>,
}

impl Peers {
    /// Whether there are so few VMs that each hears each.
    pub fn are_few(&self) -> bool {
        self.known.len() <= ALL
    }

    /// VMs that take part, this one too: those heard of late, or, of many, those that the store
    /// names. Shares of what all may use are the smaller for one that is gone and still named.
    pub fn present(&self, now: Moment) -> usize {
        let few = self.are_few();
        1 + self.known.values().filter(|peer| !few || peer.is_present(now)).count()
    }

    /// The other VMs by group: those that share a group with one of this data centre, and the other groups. A group is a
    /// data centre, or all VMs if they are few.
    pub fn groups(&self, data_centre: &DataCentre) -> (Vec<Rank>, HashMap<DataCentre, Vec<Rank>>) {
        let few = self.are_few();
        let (mut own, mut others) = (Vec::new(), HashMap::<DataCentre, Vec<Rank>>::new());
        for (name, Peer { place, .. }) in &self.known {
            let rank = Rank::new(place.share, name.clone());
            if few || place.data_centre == *data_centre {
                own.push(rank);
            } else {
                others.entry(place.data_centre.clone()).or_default().push(rank);
            }
        }
        (own, others)
    }

    /// The names of the other VMs.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.known.keys()
    }

    /// Where another VM is reached.
    pub fn address(&self, name: &Name) -> Option<SocketAddr> {
        self.known.get(name).map(|peer| peer.place.address)
    }

    /// The store names a VM. Until it is heard it does not count as present among few.
    pub fn name(&mut self, name: Name, place: Place, now: Moment) {
        let peer = self.known.entry(name).or_insert_with(|| Peer::new(place.clone(), now));
        if !peer.is_present(now) {
            peer.place = place;
        }
    }

    /// Forgets VMs that the store does not name and that say nothing.
    pub fn keep(&mut self, is_named: impl Fn(&Name) -> bool, now: Moment) {
        self.known.retain(|name, peer| is_named(name) || peer.is_present(now));
    }

    /// The links, once they are open.
    pub fn links(&self) -> Option<Links> {
        self.links.clone()
    }
}

/// Takes part until the process ends.
pub async fn run(vm: Rc<Vm>) {
    let Some(address) = vm.settings.links else { return };
    let mut store = vm.store_client();
    let key = roster::shared_key(&vm, &mut store).await;
    let (sender, incoming) = mpsc::unbounded_channel();
    let links = match Links::bind(address, key.as_bytes(), sender) {
        Ok(links) => links,
        Err(fault) => {
            let why = fault.to_string();
            vm.log("links not opened", &[("why", why.as_str().into())]);
            vm.role.send_replace(Role::Reads);
            return;
        }
    };
    vm.peers.borrow_mut().links = Some(links);
    spawn(hear(vm.clone(), incoming));
    let mut joined = vm.era.newest();
    roster::join(&vm, &mut store, address).await;
    vm.peers_named.notify_one();
    loop {
        look(&vm, &mut store).await;
        if joined < vm.era.newest() {
            joined = roster::rejoin(&vm, &mut store, address, &key).await.unwrap_or(joined);
        }
        tokio::time::sleep(LOOK).await;
    }
}

async fn hear(vm: Rc<Vm>, mut incoming: mpsc::UnboundedReceiver<Incoming>) {
    while let Some(message) = incoming.recv().await {
        let bytes = match message {
            Incoming::Frame(bytes) => bytes,
            Incoming::Call(bytes, answer) => {
                // A follower that has given up does not wait for it.
                let _ = answer.send(reader::answer(&vm, &bytes));
                continue;
            }
        };
        match decode::<Envelope>(&bytes) {
            Some(envelope) => take(&vm, envelope),
            None => vm.log("word of a peer not read", &[("bytes", bytes.len().into())]),
        }
    }
}

fn take(vm: &Rc<Vm>, envelope: Envelope) {
    let Envelope { from, place, word } = envelope;
    let now = vm.now();
    if matches!(word, Word::Bye) {
        leave(vm, &from);
        return;
    }
    let known = {
        let mut peers = vm.peers.borrow_mut();
        let peer = peers.known.entry(from.clone()).or_insert(Peer::new(place.clone(), now));
        let known = peer.is_present(now) && peer.place.address == place.address;
        peer.place = place.clone();
        peer.heard = Some(now);
        known
    };
    if !known {
        vm.log("peer heard", &[("peer", from.as_str().into())]);
        say(vm, place.address, Word::Hello);
        poison::greet(vm, place.address);
    }
    match word {
        Word::Hello | Word::Bye => {}
        Word::Work { server, work } => {
            if let Some(server) = vm.fleet.borrow_mut().get_mut(&server) {
                server.backlog.add(work, now);
            }
        }
        Word::Seen { service, version, routes } => {
            let mut trials = vm.trials.borrow_mut();
            trials.entry(service).or_default().merge_totals(Source::Vm(from), &version, routes);
        }
        Word::Kept { service, version, draws } => pinned::on_pinned(vm, &service, &version, draws),
        Word::Poison(news) => poison::hear(vm, from.as_str(), &news),
        Word::Leaves(life) => said::hear_leave(vm, from.as_str(), &life),
        Word::Limit { server, born, address, rate, age } => {
            let from = from.as_str();
            said::hear_limit(vm, &Told { from, server: &server, born, address, rate, age });
        }
    }
}

/// A VM asked this one something, or answered.
pub fn heard(vm: &Vm, name: &Name) {
    let now = vm.now();
    let mut peers = vm.peers.borrow_mut();
    let Some(peer) = peers.known.get_mut(name) else { return };
    if !peer.is_present(now) {
        vm.log("peer heard", &[("peer", name.as_str().into())]);
    }
    peer.heard = Some(now);
}

/// A VM says that it stops. Among many it stays named: it mostly starts again, and only some hear it say so.
fn leave(vm: &Vm, name: &Name) {
    let mut peers = vm.peers.borrow_mut();
    if peers.are_few() {
        peers.known.remove(name);
    }
    vm.log("peer left", &[("peer", name.as_str().into())]);
}

/// Greets peers that were told nothing, and drops those that are gone.
async fn look(vm: &Rc<Vm>, store: &mut Objects) {
    let now = vm.now();
    let (mut greet, mut gone) = (Vec::new(), Vec::new());
    {
        let mut peers = vm.peers.borrow_mut();
        let near = near(vm, &peers);
        let few = peers.are_few();
        // Of many, the first of a data centre hears the others, since they ask it; it counts their silence from when it
        // became the first.
        let first_since = vm.first_since.get();
        let heard_from = if few { Some(Moment(0)) } else { first_since };
        for (name, peer) in &mut peers.known {
            let due = if peer.is_present(now) { GREET_EVERY } else { SILENT };
            let own = few || peer.place.data_centre == vm.settings.data_centre;
            let silent = heard_from.filter(|_| own).map(|from| peer.silent(from, now));
            if silent.is_some_and(|silent| silent >= FORGET) {
                gone.push(name.clone());
            } else if peer.told.is_none_or(|told| now.since(told) >= due) && near.contains(name) {
                peer.told = Some(now);
                greet.push(peer.place.address);
            }
        }
        for name in &gone {
            peers.known.remove(name);
        }
    }
    for address in greet {
        say(vm, address, Word::Hello);
    }
    for name in gone {
        vm.log("peer forgotten", &[("peer", name.as_str().into())]);
        let deleted = store.delete(VMS, name.as_str()).await;
        vm.count_call("entry-delete", &deleted);
        if let Err(trouble) = deleted {
            let why = trouble.to_string();
            vm.log("entry not removed", &[("why", why.as_str().into())]);
        }
    }
}

/// The peers that this VM tells things: all, or its neighbours on the ring.
fn near(vm: &Vm, peers: &Peers) -> Vec<Name> {
    let mut names: Vec<Name> = peers.known.keys().cloned().collect();
    if peers.are_few() {
        return names;
    }
    names.push(vm.settings.vm.clone());
    neighbours(&vm.settings.vm, &names)
}

/// Tells one VM.
pub fn say(vm: &Rc<Vm>, to: SocketAddr, word: Word) {
    let (Some(links), Some(address)) = (vm.peers.borrow().links.clone(), vm.settings.links) else {
        return;
    };
    let from = vm.settings.vm.clone();
    let place = Place::of(&vm.settings, address);
    let envelope = Envelope { from, place, word };
    // A word that does not arrive is told anew or does not matter.
    spawn(async move { links.send(to, encode(&envelope)).await });
}

/// Tells the peers.
pub fn tell(vm: &Rc<Vm>, word: &Word) {
    let near = near(vm, &vm.peers.borrow());
    tell_these(vm, &near, word);
}

/// Tells the VMs that gather what is known of a content: all peers if they are few, else those with the highest weights for it,
/// which all VMs work out alike.
pub fn tell_gatherers(vm: &Rc<Vm>, content: Digest, word: &Word) {
    let gatherers = {
        let peers = vm.peers.borrow();
        match peers.are_few() {
            true => near(vm, &peers),
            false => first_for(vm, &peers, content.0, GATHERERS),
        }
    };
    tell_these(vm, &gatherers, word);
}

/// Tells the VMs that have a part of a server's limit of either rate.
pub fn tell_senders(vm: &Rc<Vm>, server: &Server, rates: [Rate; 2], word: &Word) {
    let senders = {
        let peers = vm.peers.borrow();
        let count = bound::senders(rates, peers.known.len() + 1);
        first_for(vm, &peers, hash::stable(&[server.as_str()]), count)
    };
    tell_these(vm, &senders, word);
}

/// So many VMs with the highest weights for a number, this one maybe among them.
fn first_for(vm: &Vm, peers: &Peers, number: u64, count: usize) -> Vec<Name> {
    let all = peers.known.keys().chain([&vm.settings.vm]);
    let weight = |name: &Name| hash::mix(number, hash::stable(&[name.as_str()]));
    let mut weighed: Vec<(u64, &Name)> = all.map(|name| (weight(name), name)).collect();
    weighed.sort_unstable_by(|one, other| other.cmp(one));
    weighed.into_iter().take(count).map(|(_, name)| name.clone()).collect()
}

fn tell_these(vm: &Rc<Vm>, names: &[Name], word: &Word) {
    let now = vm.now();
    let addresses: Vec<SocketAddr> = {
        let mut peers = vm.peers.borrow_mut();
        let told = peers.known.iter_mut().filter(|(name, _)| names.contains(name));
        told.map(|(_, peer)| {
            peer.told = Some(now);
            peer.place.address
        })
        .collect()
    };
    for address in addresses {
        say(vm, address, word.clone());
    }
}

/// Tells the peers of work that was sent to a server, if it takes long enough to matter.
pub fn tell_work(vm: &Rc<Vm>, server: &Server, work: Span) {
    if work >= WORTH_TELLING {
        tell(vm, &Word::Work { server: server.clone(), work });
    }
}
