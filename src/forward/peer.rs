//! Messages between entry VMs and their membership: who the other VMs are, which of them are alive,
//! and which of them get a message. Messages speed up what a VM would find out by itself; losing
//! one only delays that.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_web::rt::spawn;
use rand::seq::IteratorRandom;
use tokio::sync::mpsc;

use super::announce::{self, LimitKind, LimitReport};
use super::kind::VMS;
use super::message::Envelope;
use super::places::Event as PlaceEvent;
use super::role::Role;
use super::rollout_trial::Source;
use super::vm::Vm;
use super::{lending, membership, pinned_sessions, poison, poll, usage};
use crate::decide::poison::{Recipients, Topology};
use crate::decide::reader::Rank;
use crate::decide::server_limit;
use crate::peer::tunnel::Event;
use crate::peer::wire::{decode, encode};
use crate::peer::{Incoming, Links, neighbours};
use crate::platform::client::Client;
use crate::unit::{DataCentre, Digest, Moment, Rate, Server, Span, Vm as Name, hash};

pub use super::message::{Message, PeerInfo};

/// Maximum number of other VMs for a full mesh, in which each VM sends its messages to all others.
/// With more VMs, each sends only to its neighbours on a ring, so that its traffic grows with the
/// logarithm of the number of VMs, and VMs listed in the store count as live.
const FULL_MESH_MAX: usize = 12;

/// Time between two checks of the peers.
const PEER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A peer that was sent nothing for this long gets a heartbeat.
const HEARTBEAT_INTERVAL: Span = Span::secs(2);

/// A peer that sent nothing for this long counts as gone, and gets heartbeats at this interval.
const PEER_TIMEOUT: Span = Span::secs(5);

/// A peer that sent nothing for this long is removed, and its entry in the store deleted.
const REMOVAL_TIMEOUT: Span = Span::secs(60);

/// Minimum duration of work at a server that is broadcast; shorter work is done before the message
/// arrives.
const MIN_BROADCAST_WORK: Span = Span::millis(25);

/// Number of VMs that collect the crash reports of one request content if there are too many VMs
/// for a full mesh. With a tenth of the VMs cut off, all three are cut off for one content in a
/// thousand.
const AGGREGATOR_COUNT: usize = 3;

/// Another VM, as far as this one knows it.
struct Peer {
    info: PeerInfo,
    /// When this VM learned of the peer.
    first_seen: Moment,
    /// When the peer last sent something to this VM.
    last_received: Option<Moment>,
    /// When this VM last sent something to the peer.
    last_sent: Option<Moment>,
    /// When the peer last failed to acknowledge a message in time.
    last_unacknowledged: Option<Moment>,
}

impl Peer {
    fn new(info: PeerInfo, now: Moment) -> Peer {
        Peer {
            info,
            first_seen: now,
            last_received: None,
            last_sent: None,
            last_unacknowledged: None,
        }
    }

    /// Returns true if the peer sent something recently.
    fn is_live(&self, now: Moment) -> bool {
        self.last_received.is_some_and(|at| now.since(at) < PEER_TIMEOUT)
    }

    /// Returns true if the peer has sent something since it failed to acknowledge a message, or that
    /// was long ago.
    fn is_responsive(&self, now: Moment) -> bool {
        let Some(failed_at) = self.last_unacknowledged else { return true };
        self.last_received > Some(failed_at) || now.since(failed_at) >= PEER_TIMEOUT
    }

    /// Returns how long the peer has sent nothing. The time before `from`, when this VM did not
    /// expect messages from the peer, is not counted.
    fn silence(&self, from: Moment, now: Moment) -> Span {
        now.since(self.last_received.unwrap_or(self.first_seen).max(from))
    }
}

/// The other VMs, as far as this one knows them.
#[derive(Default)]
pub struct Peers {
    links: Option<Links>,
    /// The other VMs by name, including those that may be gone.
    known: HashMap<Name, Peer>,
    /// This VM's neighbours on the ring; `None` if VMs were added or removed since they were
    /// determined.
    neighbours: RefCell<Option<Rc<[Name]>>>,
}

impl Peers {
    /// Returns the peer of this name, which is added if it is not known.
    fn get_or_insert(&mut self, name: Name, info: &PeerInfo, now: Moment) -> &mut Peer {
        if !self.known.contains_key(&name) {
            self.neighbours.take();
        }
        self.known.entry(name).or_insert_with(|| Peer::new(info.clone(), now))
    }

    /// Removes the peers that `is_kept` does not select.
    fn retain(&mut self, is_kept: impl Fn(&Name, &Peer) -> bool) {
        let before = self.known.len();
        self.known.retain(|name, peer| is_kept(name, peer));
        if self.known.len() != before {
            self.neighbours.take();
        }
    }

    /// Returns the neighbours of the VM `own` on the ring of all VMs.
    fn neighbours(&self, own: &Name) -> Rc<[Name]> {
        let determine = || {
            let all: Vec<Name> = self.known.keys().chain([own]).cloned().collect();
            neighbours(own, &all).into()
        };
        self.neighbours.borrow_mut().get_or_insert_with(determine).clone()
    }

    /// Returns true if there are so few VMs that each sends its messages to all others.
    pub fn is_full_mesh(&self) -> bool {
        self.known.len() <= FULL_MESH_MAX
    }

    /// Returns how messages about request contents reach the other VMs.
    pub fn topology(&self) -> Topology {
        if self.is_full_mesh() { Topology::Direct } else { Topology::Gossip }
    }

    /// Returns the number of live VMs, this one included: those that sent something recently in a
    /// full mesh, else those listed in the store. A VM that is gone and still listed reduces each
    /// VM's share of budgets that all VMs have in common.
    pub fn count_live(&self, now: Moment) -> usize {
        let full_mesh = self.is_full_mesh();
        1 + self.known.values().filter(|peer| !full_mesh || peer.is_live(now)).count()
    }

    /// Returns the ranks of the other VMs by group: first those of the group of `data_centre`, then
    /// the other groups. The VMs of a data centre form a group; in a full mesh all VMs form one.
    pub fn groups(&self, data_centre: &DataCentre) -> (Vec<Rank>, HashMap<DataCentre, Vec<Rank>>) {
        let full_mesh = self.is_full_mesh();
        let (mut own, mut others) = (Vec::new(), HashMap::<DataCentre, Vec<Rank>>::new());
        for (name, Peer { info, .. }) in &self.known {
            let rank = Rank::new(info.cpu_quota, name.clone());
            if full_mesh || info.data_centre == *data_centre {
                own.push(rank);
            } else {
                others.entry(info.data_centre.clone()).or_default().push(rank);
            }
        }
        (own, others)
    }

    /// Records that a message is sent to the named VMs. Returns those of them that can be expected to
    /// acknowledge it, with their addresses, and the addresses of the others.
    ///
    /// VMs that have sent nothing for long, or did not acknowledge the last message, are not expected
    /// to, nor is anyone by a VM that hears from no other.
    pub fn split_responsive(
        &mut self,
        names: Vec<Name>,
        now: Moment,
    ) -> (Vec<(Name, SocketAddr)>, Vec<SocketAddr>) {
        let topology = self.topology();
        // Beyond a full mesh, only few of the VMs send this one anything.
        let hears_others = self.known.values().any(|peer| peer.is_live(now));
        let (mut responsive, mut others) = (Vec::new(), Vec::new());
        for name in names {
            let Some(peer) = self.known.get_mut(&name) else { continue };
            peer.last_sent = Some(now);
            let may_respond = match topology {
                Topology::Direct => peer.is_live(now),
                Topology::Gossip => hears_others,
            };
            match may_respond && peer.is_responsive(now) {
                true => responsive.push((name, peer.info.address)),
                false => others.push(peer.info.address),
            }
        }
        (responsive, others)
    }

    /// Records that a VM did not acknowledge a message in time.
    pub fn on_unacknowledged(&mut self, name: &Name, now: Moment) {
        if let Some(peer) = self.known.get_mut(name) {
            peer.last_unacknowledged = Some(now);
        }
    }

    /// Returns the names of the other VMs.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.known.keys()
    }

    /// Returns the address of another VM for messages.
    pub fn address(&self, name: &Name) -> Option<SocketAddr> {
        self.known.get(name).map(|peer| peer.info.address)
    }

    /// Returns the rank of another VM.
    pub fn rank(&self, name: &Name) -> Option<Rank> {
        self.known.get(name).map(|peer| Rank::new(peer.info.cpu_quota, name.clone()))
    }

    /// Returns the data centre of another VM.
    pub fn data_centre(&self, name: &Name) -> Option<&DataCentre> {
        self.known.get(name).map(|peer| &peer.info.data_centre)
    }

    /// Inserts a VM that the store lists. In a full mesh the VM counts as live from its first
    /// message.
    pub fn insert_listed(&mut self, vm: Name, info: PeerInfo, now: Moment) {
        let peer = self.get_or_insert(vm, &info, now);
        if !peer.is_live(now) {
            peer.info = info;
        }
    }

    /// Removes VMs that the store does not list and that are silent.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&Name) -> bool, now: Moment) {
        self.retain(|name, peer| is_listed(name) || peer.is_live(now));
    }

    /// Returns the links to the other VMs, or `None` before they are open.
    pub fn links(&self) -> Option<Links> {
        self.links.clone()
    }
}

/// Opens the links to the other VMs, registers this VM, and checks the peers until the process
/// ends.
pub async fn run(vm: Rc<Vm>) {
    let Some(address) = vm.settings.links else { return };
    let mut store = vm.store_client();
    let key = membership::shared_key(&vm, &mut store).await;
    let (sender, incoming) = mpsc::unbounded_channel();
    let links = match Links::bind(address, key.as_bytes(), sender) {
        Ok(links) => links,
        Err(fault) => {
            let why = fault.to_string();
            vm.log("failed to open peer links", &[("why", why.as_str().into())]);
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
        } else if vm.is_unregistered.take() {
            membership::register_after_removal(&vm, &mut store, address).await;
        }
        tokio::time::sleep(PEER_CHECK_INTERVAL).await;
    }
}

/// Handles messages and calls of other VMs until the links are closed.
async fn receive(vm: Rc<Vm>, mut incoming: mpsc::UnboundedReceiver<Incoming>) {
    while let Some(message) = incoming.recv().await {
        let bytes = match message {
            Incoming::Frame(bytes) => bytes,
            Incoming::Call(bytes, answer) => {
                // Fails if the follower has given up waiting, which needs no handling.
                let _ = answer.send(poll::respond(&vm, &bytes));
                continue;
            }
            Incoming::Tunnel(tunnel) => {
                vm.tunnel_events.send(Event::Opened(tunnel));
                continue;
            }
        };
        match decode::<Envelope>(&bytes) {
            Some(envelope) => on_envelope(&vm, envelope),
            None => vm.log("invalid peer message ignored", &[("bytes", bytes.len().into())]),
        }
    }
}

/// Handles a message of another VM. A sender that is new, or was silent for long, gets a heartbeat
/// and the quarantined contents in return.
fn on_envelope(vm: &Rc<Vm>, envelope: Envelope) {
    let Envelope { from, info, message } = envelope;
    let now = vm.now();
    if matches!(message, Message::Goodbye) {
        on_goodbye(vm, &from);
        return;
    }
    let known = {
        let mut peers = vm.peers.borrow_mut();
        let peer = peers.get_or_insert(from.clone(), &info, now);
        let known = peer.is_live(now) && peer.info.address == info.address;
        peer.info = info.clone();
        peer.last_received = Some(now);
        known
    };
    if !known {
        vm.log("peer became live", &[("peer", from.as_str().into())]);
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
        Message::RolloutCounts { service, version, routes } => {
            let mut trials = vm.rollout_trials.borrow_mut();
            trials.entry(service).or_default().merge_totals(Source::Vm(from), &version, routes);
        }
        Message::PinnedSessions { service, version, draws } => {
            pinned_sessions::on_pinned_sessions(vm, &service, &version, draws)
        }
        Message::Usage(batch) => usage::on_batch(vm, &from, &batch),
        Message::ShareRequest { service, demand, sent_at } => {
            lending::on_request(vm, &from, info.address, &service, demand, sent_at)
        }
        Message::ShareLoan { service, part, requested_at } => {
            lending::on_loan(vm, &from, &service, part, requested_at)
        }
        Message::TunnelRequest { services } => {
            vm.tunnel_events.send(Event::Request { from, address: info.address, services });
        }
        Message::TunnelOffer { services, open } => {
            vm.tunnel_events.send(Event::Offer { from, services, open });
        }
        Message::PlaceRequest { service, sent_at } => {
            let address = info.address;
            vm.place_events.send(PlaceEvent::Request { from, address, service, sent_at });
        }
        Message::PlaceAnswer { place, requested_at } => {
            let address = info.address;
            vm.place_events.send(PlaceEvent::Answer { from, address, place, requested_at });
        }
        Message::PlaceReturn { place } => {
            vm.place_events.send(PlaceEvent::Return { from, place });
        }
        Message::Poison(news) => poison::on_message(vm, from.as_str(), &news),
        Message::ServerDraining(life) => announce::on_drain(vm, from.as_str(), &life),
        Message::ServerLimit { server, started_at_ms, address, rate, age } => {
            let from = from.as_str();
            let kind = LimitKind::Requests;
            announce::on_limit(
                vm,
                &LimitReport { kind, from, server: &server, started_at_ms, address, rate, age },
            );
        }
        Message::ServerBrittle { server, started_at_ms, address, rate, age } => {
            let (from, kind) = (from.as_str(), LimitKind::Rejections);
            announce::on_limit(
                vm,
                &LimitReport { kind, from, server: &server, started_at_ms, address, rate, age },
            );
        }
    }
}

/// Records that a VM sent this one a call or a response.
pub fn on_contact(vm: &Vm, name: &Name) {
    let now = vm.now();
    let mut peers = vm.peers.borrow_mut();
    let Some(peer) = peers.known.get_mut(name) else { return };
    if !peer.is_live(now) {
        vm.log("peer became live", &[("peer", name.as_str().into())]);
    }
    peer.last_received = Some(now);
}

/// Handles the goodbye of a VM that stops. Without a full mesh the VM stays in the list: it usually
/// starts again, and only some VMs get its goodbye.
fn on_goodbye(vm: &Vm, name: &Name) {
    let mut peers = vm.peers.borrow_mut();
    if peers.is_full_mesh() {
        peers.retain(|known, _| known != name);
    }
    vm.log("peer left", &[("peer", name.as_str().into())]);
}

/// Sends heartbeats that are due, and removes peers that are gone.
async fn check_peers(vm: &Rc<Vm>, store: &mut Client) {
    let now = vm.now();
    let (mut heartbeats, mut gone) = (Vec::new(), Vec::new());
    {
        let mut peers = vm.peers.borrow_mut();
        let targets = broadcast_targets(vm, &peers);
        let full_mesh = peers.is_full_mesh();
        // Without a full mesh, only the first VM of a data centre can expect messages: the others
        // there poll it. It counts their silence from the moment when it became the first.
        let first_since = vm.first_in_group_since.get();
        let expected_from = if full_mesh { Some(Moment(0)) } else { first_since };
        for (name, peer) in &mut peers.known {
            let due = if peer.is_live(now) { HEARTBEAT_INTERVAL } else { PEER_TIMEOUT };
            let own = full_mesh || peer.info.data_centre == vm.settings.data_centre;
            let silence = expected_from.filter(|_| own).map(|from| peer.silence(from, now));
            if silence.is_some_and(|silence| silence >= REMOVAL_TIMEOUT) {
                gone.push(name.clone());
            } else if peer.last_sent.is_none_or(|at| now.since(at) >= due) && targets.contains(name)
            {
                peer.last_sent = Some(now);
                heartbeats.push(peer.info.address);
            }
        }
        peers.retain(|name, _| !gone.contains(name));
    }
    for address in heartbeats {
        send(vm, address, Message::Hello);
    }
    for name in gone {
        vm.log("peer removed", &[("peer", name.as_str().into())]);
        let deleted = store.delete(VMS, name.as_str()).await;
        vm.count_store_call("entry-delete", &deleted);
        if let Err(error) = deleted {
            let why = error.to_string();
            vm.log("failed to delete peer entry", &[("why", why.as_str().into())]);
        }
    }
}

/// Returns the peers that get broadcasts of this VM: all, or its neighbours on the ring.
pub fn broadcast_targets(vm: &Vm, peers: &Peers) -> Vec<Name> {
    match peers.is_full_mesh() {
        true => peers.known.keys().cloned().collect(),
        false => peers.neighbours(&vm.settings.vm).to_vec(),
    }
}

/// Sends a message to one VM, without waiting for it.
pub fn send(vm: &Rc<Vm>, to: SocketAddr, message: Message) {
    let Some((links, bytes)) = outgoing(vm, message) else { return };
    // A message that does not arrive is repeated later, or does not matter.
    spawn(async move { links.send(to, bytes).await });
}

/// Returns the links and the encoded message, or none before the links are open.
pub fn outgoing(vm: &Vm, message: Message) -> Option<(Links, Vec<u8>)> {
    let links = vm.peers.borrow().links.clone()?;
    let info = PeerInfo::of(&vm.settings, vm.settings.links?);
    let envelope = Envelope { from: vm.settings.vm.clone(), info, message };
    Some((links, encode(&envelope)))
}

/// Sends a message to all VMs in a full mesh, else to some that are drawn anew each time.
pub fn send_to_sample(vm: &Rc<Vm>, message: &Message) {
    let targets: Vec<Name> = {
        let peers = vm.peers.borrow();
        peers.names().cloned().choose_multiple(&mut rand::rng(), FULL_MESH_MAX)
    };
    send_to_all(vm, &targets, message);
}

/// Sends a message to all VMs in a full mesh, else to the ring neighbours.
pub fn broadcast(vm: &Rc<Vm>, message: &Message) {
    let targets = broadcast_targets(vm, &vm.peers.borrow());
    send_to_all(vm, &targets, message);
}

/// Returns the VMs that collect the crash reports of a content: all peers in a full mesh, else the
/// VMs with the highest weights for the content, which all VMs compute alike.
fn aggregators(vm: &Vm, peers: &Peers, content: Digest) -> Vec<Name> {
    match peers.is_full_mesh() {
        true => broadcast_targets(vm, peers),
        false => highest_weighted(vm, peers, content.0, AGGREGATOR_COUNT),
    }
}

/// Sends a message to the recipients of messages about request contents, without waiting for them.
pub fn send_to_recipients(vm: &Rc<Vm>, to: Recipients, message: &Message) {
    let names = recipients(vm, &vm.peers.borrow(), to);
    send_to_all(vm, &names, message);
}

/// Returns the recipients of a message about request contents.
pub fn recipients(vm: &Vm, peers: &Peers, to: Recipients) -> Vec<Name> {
    match to {
        Recipients::All => broadcast_targets(vm, peers),
        Recipients::Aggregators(content) => aggregators(vm, peers, content),
    }
}

/// Sends a message to the VMs that have a share of a server's rate limit at either of two rates.
pub fn send_to_senders(vm: &Rc<Vm>, server: &Server, rates: [Rate; 2], message: &Message) {
    let senders = {
        let peers = vm.peers.borrow();
        let count = server_limit::max_senders(rates, peers.known.len() + 1);
        highest_weighted(vm, &peers, hash::stable(&[server.as_str()]), count)
    };
    send_to_all(vm, &senders, message);
}

/// Returns the `count` VMs with the highest weights for a number (rendezvous hashing); this one may
/// be among them.
fn highest_weighted(vm: &Vm, peers: &Peers, number: u64, count: usize) -> Vec<Name> {
    let all = peers.known.keys().chain([&vm.settings.vm]);
    let weight = |name: &Name| hash::mix(number, hash::stable(&[name.as_str()]));
    let mut weighed: Vec<(u64, &Name)> = all.map(|name| (weight(name), name)).collect();
    weighed.sort_unstable_by(|one, other| other.cmp(one));
    weighed.into_iter().take(count).map(|(_, name)| name.clone()).collect()
}

/// Sends a message to those of the named VMs that are known.
fn send_to_all(vm: &Rc<Vm>, names: &[Name], message: &Message) {
    let now = vm.now();
    let addresses: Vec<SocketAddr> = {
        let mut peers = vm.peers.borrow_mut();
        let send_to = |name: &Name| {
            let peer = peers.known.get_mut(name)?;
            peer.last_sent = Some(now);
            Some(peer.info.address)
        };
        names.iter().filter_map(send_to).collect()
    };
    for address in addresses {
        send(vm, address, message.clone());
    }
}

/// Broadcasts work that was sent to a server, if the work takes long enough to matter.
pub fn broadcast_work(vm: &Rc<Vm>, server: &Server, work: Span) {
    if work >= MIN_BROADCAST_WORK {
        broadcast(vm, &Message::Work { server: server.clone(), work });
    }
}
