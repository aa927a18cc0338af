//! What entry VMs tell one another: work that they sent to a server, and what they saw of a
//! version that is rolled out. All of it is evidence; nothing is lost but speed if it is lost.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_web::rt::spawn;
use tokio::sync::mpsc;

use super::announce::{self, LimitReport};
use super::kind::VMS;
use super::message::Envelope;
use super::role::Role;
use super::trial::Source;
use super::vm::Vm;
use super::{membership, pinned, poison, poll};
use crate::decide::reader::Rank;
use crate::decide::server_limit;
use crate::peer::wire::{decode, encode};
use crate::peer::{Incoming, Links, neighbours};
use crate::platform::client::Client;
use crate::unit::{DataCentre, Digest, Moment, Rate, Server, Span, Vm as Name, hash};

pub use super::message::{Message, PeerInfo};

/// Up to this number every VM hears every other; beyond it each tells its ring neighbours, so that
/// what a VM sends grows with the logarithm of their number, and those named in the store count as
/// present.
const FULL_MESH_MAX: usize = 12;

/// Time between two looks at the peers.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A peer that was told nothing for this long is greeted.
const HEARTBEAT_INTERVAL: Span = Span::secs(2);

/// A peer that said nothing for this long is taken as gone, and greeted again from time to time.
const PEER_TIMEOUT: Span = Span::secs(5);

/// After this it is forgotten, and its entry removed.
const REMOVAL_TIMEOUT: Span = Span::secs(60);

/// Work below this is not told: it is done before the word arrives.
const MIN_BROADCAST_WORK: Span = Span::millis(25);

/// VMs of many that gather what is known of a content. With a tenth of the VMs cut off all three are for one content in
/// a thousand.
const AGGREGATOR_COUNT: usize = 3;

struct Peer {
    info: PeerInfo,
    /// When it was first named, heard last, and told something last.
    first_seen: Moment,
    last_received: Option<Moment>,
    last_sent: Option<Moment>,
}

impl Peer {
    fn new(info: PeerInfo, now: Moment) -> Peer {
        Peer { info, first_seen: now, last_received: None, last_sent: None }
    }

    fn is_live(&self, now: Moment) -> bool {
        self.last_received.is_some_and(|last_received| now.since(last_received) < PEER_TIMEOUT)
    }

    /// Time since anything was heard of it by one that should hear it since `from`.
    fn silence(&self, from: Moment, now: Moment) -> Span {
        now.since(self.last_received.unwrap_or(self.first_seen).max(from))
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
    pub fn is_full_mesh(&self) -> bool {
        self.known.len() <= FULL_MESH_MAX
    }

    /// VMs that take part, this one too: those heard of late, or, of many, those that the store
    /// names. Shares of what all may use are the smaller for one that is gone and still named.
    pub fn count_live(&self, now: Moment) -> usize {
        let full_mesh = self.is_full_mesh();
        1 + self.known.values().filter(|peer| !full_mesh || peer.is_live(now)).count()
    }

    /// The other VMs by group: those that share a group with one of this data centre, and the other groups. A group is a
    /// data centre, or all VMs if they are few.
    pub fn groups(&self, data_centre: &DataCentre) -> (Vec<Rank>, HashMap<DataCentre, Vec<Rank>>) {
        let full_mesh = self.is_full_mesh();
        let (mut own, mut others) = (Vec::new(), HashMap::<DataCentre, Vec<Rank>>::new());
        for (name, Peer { info, .. }) in &self.known {
            let rank = Rank::new(info.share, name.clone());
            if full_mesh || info.data_centre == *data_centre {
                own.push(rank);
            } else {
                others.entry(info.data_centre.clone()).or_default().push(rank);
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
        self.known.get(name).map(|peer| peer.info.address)
    }

    /// The store names a VM. Until it is heard it does not count as present among few.
    pub fn insert_listed(&mut self, vm: Name, info: PeerInfo, now: Moment) {
        let peer = self.known.entry(vm).or_insert_with(|| Peer::new(info.clone(), now));
        if !peer.is_live(now) {
            peer.info = info;
        }
    }

    /// Forgets VMs that the store does not name and that say nothing.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&Name) -> bool, now: Moment) {
        self.known.retain(|name, peer| is_listed(name) || peer.is_live(now));
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
    let key = membership::shared_key(&vm, &mut store).await;
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
    spawn(receive(vm.clone(), incoming));
    let mut joined = vm.era.newest();
    membership::join(&vm, &mut store, address).await;
    vm.peers_listed.notify_one();
    loop {
        check_peers(&vm, &mut store).await;
        if joined < vm.era.newest() {
            joined = membership::reregister(&vm, &mut store, address, &key).await.unwrap_or(joined);
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

async fn receive(vm: Rc<Vm>, mut incoming: mpsc::UnboundedReceiver<Incoming>) {
    while let Some(message) = incoming.recv().await {
        let bytes = match message {
            Incoming::Frame(bytes) => bytes,
            Incoming::Call(bytes, answer) => {
                // A follower that has given up does not wait for it.
                let _ = answer.send(poll::respond(&vm, &bytes));
                continue;
            }
        };
        match decode::<Envelope>(&bytes) {
            Some(envelope) => on_envelope(&vm, envelope),
            None => vm.log("word of a peer not read", &[("bytes", bytes.len().into())]),
        }
    }
}

fn on_envelope(vm: &Rc<Vm>, envelope: Envelope) {
    let Envelope { from, info, message } = envelope;
    let now = vm.now();
    if matches!(message, Message::Goodbye) {
        on_goodbye(vm, &from);
        return;
    }
    let known = {
        let mut peers = vm.peers.borrow_mut();
        let peer = peers.known.entry(from.clone()).or_insert(Peer::new(info.clone(), now));
        let known = peer.is_live(now) && peer.info.address == info.address;
        peer.info = info.clone();
        peer.last_received = Some(now);
        known
    };
    if !known {
        vm.log("peer heard", &[("peer", from.as_str().into())]);
        send(vm, info.address, Message::Hello);
        poison::send_quarantined(vm, info.address);
    }
    match message {
        Message::Hello | Message::Goodbye => {}
        Message::Work { server, work } => {
            if let Some(server) = vm.fleet.borrow_mut().get_mut(&server) {
                server.backlog.add(work, now);
            }
        }
        Message::TrialCounts { service, version, routes } => {
            let mut trials = vm.trials.borrow_mut();
            trials.entry(service).or_default().merge_totals(Source::Vm(from), &version, routes);
        }
        Message::PinnedSessions { service, version, draws } => {
            pinned::on_pinned(vm, &service, &version, draws)
        }
        Message::Poison(news) => poison::on_message(vm, from.as_str(), &news),
        Message::ServerDraining(life) => announce::on_drain(vm, from.as_str(), &life),
        Message::ServerLimit { server, born, address, rate, age } => {
            let from = from.as_str();
            announce::on_limit(
                vm,
                &LimitReport { from, server: &server, born, address, rate, age },
            );
        }
    }
}

/// A VM asked this one something, or answered.
pub fn on_contact(vm: &Vm, name: &Name) {
    let now = vm.now();
    let mut peers = vm.peers.borrow_mut();
    let Some(peer) = peers.known.get_mut(name) else { return };
    if !peer.is_live(now) {
        vm.log("peer heard", &[("peer", name.as_str().into())]);
    }
    peer.last_received = Some(now);
}

/// A VM says that it stops. Among many it stays named: it mostly starts again, and only some hear it say so.
fn on_goodbye(vm: &Vm, name: &Name) {
    let mut peers = vm.peers.borrow_mut();
    if peers.is_full_mesh() {
        peers.known.remove(name);
    }
    vm.log("peer left", &[("peer", name.as_str().into())]);
}

/// Greets peers that were told nothing, and drops those that are gone.
async fn check_peers(vm: &Rc<Vm>, store: &mut Client) {
    let now = vm.now();
    let (mut heartbeats, mut gone) = (Vec::new(), Vec::new());
    {
        let mut peers = vm.peers.borrow_mut();
        let broadcast_targets = broadcast_targets(vm, &peers);
        let full_mesh = peers.is_full_mesh();
        // Of many, the first of a data centre hears the others, since they ask it; it counts their silence from when it
        // became the first.
        let first_since = vm.first_in_group_since.get();
        let heard_from = if full_mesh { Some(Moment(0)) } else { first_since };
        for (name, peer) in &mut peers.known {
            let due = if peer.is_live(now) { HEARTBEAT_INTERVAL } else { PEER_TIMEOUT };
            let own = full_mesh || peer.info.data_centre == vm.settings.data_centre;
            let silence = heard_from.filter(|_| own).map(|from| peer.silence(from, now));
            if silence.is_some_and(|silence| silence >= REMOVAL_TIMEOUT) {
                gone.push(name.clone());
            } else if peer.last_sent.is_none_or(|last_sent| now.since(last_sent) >= due)
                && broadcast_targets.contains(name)
            {
                peer.last_sent = Some(now);
                heartbeats.push(peer.info.address);
            }
        }
        for name in &gone {
            peers.known.remove(name);
        }
    }
    for address in heartbeats {
        send(vm, address, Message::Hello);
    }
    for name in gone {
        vm.log("peer forgotten", &[("peer", name.as_str().into())]);
        let deleted = store.delete(VMS, name.as_str()).await;
        vm.count_store_call("entry-delete", &deleted);
        if let Err(trouble) = deleted {
            let why = trouble.to_string();
            vm.log("entry not removed", &[("why", why.as_str().into())]);
        }
    }
}

/// The peers that this VM tells things: all, or its neighbours on the ring.
fn broadcast_targets(vm: &Vm, peers: &Peers) -> Vec<Name> {
    let mut names: Vec<Name> = peers.known.keys().cloned().collect();
    if peers.is_full_mesh() {
        return names;
    }
    names.push(vm.settings.vm.clone());
    neighbours(&vm.settings.vm, &names)
}

/// Tells one VM.
pub fn send(vm: &Rc<Vm>, to: SocketAddr, message: Message) {
    let (Some(links), Some(address)) = (vm.peers.borrow().links.clone(), vm.settings.links) else {
        return;
    };
    let from = vm.settings.vm.clone();
    let info = PeerInfo::of(&vm.settings, address);
    let envelope = Envelope { from, info, message };
    // A word that does not arrive is told anew or does not matter.
    spawn(async move { links.send(to, encode(&envelope)).await });
}

/// Tells the peers.
pub fn broadcast(vm: &Rc<Vm>, message: &Message) {
    let broadcast_targets = broadcast_targets(vm, &vm.peers.borrow());
    send_to_all(vm, &broadcast_targets, message);
}

/// Tells the VMs that gather what is known of a content: all peers if they are few, else those with the highest weights for it,
/// which all VMs work out alike.
pub fn send_to_aggregators(vm: &Rc<Vm>, content: Digest, message: &Message) {
    let aggregators = {
        let peers = vm.peers.borrow();
        match peers.is_full_mesh() {
            true => broadcast_targets(vm, &peers),
            false => highest_weighted(vm, &peers, content.0, AGGREGATOR_COUNT),
        }
    };
    send_to_all(vm, &aggregators, message);
}

/// Tells the VMs that have a part of a server's limit of either rate.
pub fn send_to_senders(vm: &Rc<Vm>, server: &Server, rates: [Rate; 2], message: &Message) {
    let senders = {
        let peers = vm.peers.borrow();
        let count = server_limit::max_senders(rates, peers.known.len() + 1);
        highest_weighted(vm, &peers, hash::stable(&[server.as_str()]), count)
    };
    send_to_all(vm, &senders, message);
}

/// So many VMs with the highest weights for a number, this one maybe among them.
fn highest_weighted(vm: &Vm, peers: &Peers, number: u64, count: usize) -> Vec<Name> {
    let all = peers.known.keys().chain([&vm.settings.vm]);
    let weight = |name: &Name| hash::mix(number, hash::stable(&[name.as_str()]));
    let mut weighed: Vec<(u64, &Name)> = all.map(|name| (weight(name), name)).collect();
    weighed.sort_unstable_by(|one, other| other.cmp(one));
    weighed.into_iter().take(count).map(|(_, name)| name.clone()).collect()
}

fn send_to_all(vm: &Rc<Vm>, names: &[Name], message: &Message) {
    let now = vm.now();
    let addresses: Vec<SocketAddr> = {
        let mut peers = vm.peers.borrow_mut();
        let last_sent = peers.known.iter_mut().filter(|(name, _)| names.contains(name));
        last_sent
            .map(|(_, peer)| {
                peer.last_sent = Some(now);
                peer.info.address
            })
            .collect()
    };
    for address in addresses {
        send(vm, address, message.clone());
    }
}

/// Tells the peers of work that was sent to a server, if it takes long enough to matter.
pub fn broadcast_work(vm: &Rc<Vm>, server: &Server, work: Span) {
    if work >= MIN_BROADCAST_WORK {
        broadcast(vm, &Message::Work { server: server.clone(), work });
    }
}
