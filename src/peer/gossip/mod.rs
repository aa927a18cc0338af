//! Membership, spreading of the configuration and of evidence: a pure state machine.
//!
//! It is driven by `tick` and `receive`, which return frames to send; the present time is an
//! argument. The server drives it over QUIC, the experiments over queues in virtual time.

mod adoption;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use super::ring::neighbours;
use super::wire::{ConfigStatus, Cursor, Delta, Frame};
use super::{Member, State};
use crate::chart;
use crate::config::Snapshot;
use crate::evidence::Table;
use crate::unit::{Incarnation, Moment, Revision, Span, Vm};

/// A VM that had no contact with any other VM or the store for this long stops starting work.
pub const START_LEASE: Span = Span::secs(8);

/// Time between two probes that a VM sends at rest.
const PROBE_INTERVAL: Span = Span::secs(1);

/// An answer to a probe is missed after this.
const ACK_TIMEOUT: Span = Span::millis(700);

/// Misses in a row that make a suspect.
const MISSES_TO_SUSPECT: u32 = 3;

/// A suspect that refutes nothing for this long is dead.
const SUSPECT_TIMEOUT: Span = Span::secs(4);

/// Rows of the dead and departed are kept this long, so that old news does not revive them.
const TOMBSTONE_TTL: Span = Span::secs(600);

/// Member rows in one frame.
const MAX_DELTA_MEMBERS: usize = 64;

/// Evidence cells in one frame.
const MAX_DELTA_EVIDENCE: usize = 256;

/// A frame and whom it is for.
pub type Outgoing = (Member, Frame);

/// A VM known by address only, from the settings.
pub type Seed = std::net::SocketAddr;

#[derive(Clone, Debug)]
struct Known {
    member: Member,
    change: u64,
    since: Moment,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    number: u64,
    sent: Moment,
    missed: u32,
}

/// What one VM knows of the others and of the configuration.
pub struct Gossip {
    me: Member,
    known: BTreeMap<Vm, Known>,
    last_change: u64,
    /// How far each VM has merged this one's news, and this one theirs.
    acked: HashMap<Vm, Cursor>,
    merged: HashMap<Vm, Cursor>,
    probes: HashMap<Vm, Probe>,
    number: u64,
    next_neighbour: usize,
    ring_cache: (u64, Vec<Vm>),
    last_request: (Revision, Moment),
    last_probe: Moment,
    probe_all: bool,
    /// The configuration in force here.
    pub snapshot: Arc<Snapshot>,
    accepted: Revision,
    enforced_revision: Revision,
    store_read_at: Option<Moment>,
    last_contact: Option<Moment>,
    adopted: BTreeMap<Vm, (Incarnation, Revision)>,
    unlisted: BTreeSet<Vm>,
    lone_dead_since: Option<(Revision, Moment)>,
    adoption_sent_at: Moment,
    adoption_acked: bool,
    /// The evidence that VMs exchange.
    pub evidence: Table,
}

impl Gossip {
    /// A VM that knows itself only.
    pub fn new(me: Member, now: Moment) -> Gossip {
        let known = Known { member: me.clone(), change: 1, since: now };
        Gossip {
            known: BTreeMap::from([(me.vm.clone(), known)]),
            me,
            last_change: 1,
            acked: HashMap::new(),
            merged: HashMap::new(),
            probes: HashMap::new(),
            number: 0,
            next_neighbour: 0,
            ring_cache: (0, Vec::new()),
            last_request: (Revision(0), Moment(0)),
            last_probe: Moment(0),
            probe_all: true,
            snapshot: Arc::default(),
            accepted: Revision(0),
            enforced_revision: Revision(0),
            store_read_at: None,
            last_contact: None,
            adopted: BTreeMap::new(),
            unlisted: BTreeSet::new(),
            lone_dead_since: None,
            adoption_sent_at: Moment(0),
            adoption_acked: false,
            evidence: Table::default(),
        }
    }

    /// This VM's own row.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// The revision in force here.
    pub fn revision(&self) -> Revision {
        self.snapshot.revision()
    }

    /// The highest revision known to be in force everywhere.
    pub fn accepted(&self) -> Revision {
        self.accepted
    }

    /// Rows of all VMs known, this one's too.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.known.values().map(|known| &known.member)
    }

    /// The VMs that may be working, this one too.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.state.is_present())
    }

    /// The row of a VM.
    pub fn member(&self, vm: &Vm) -> Option<&Member> {
        self.known.get(vm).map(|known| &known.member)
    }

    /// How long a VM has been in its state.
    pub fn time_in_state(&self, vm: &Vm, now: Moment) -> Option<Span> {
        self.known.get(vm).map(|known| now.since(known.since))
    }

    /// How old the knowledge of the store is.
    pub fn store_age(&self, now: Moment) -> Option<Span> {
        self.store_read_at.map(|fresh| now.since(fresh))
    }

    fn other_count(&self) -> usize {
        self.present().filter(|member| member.vm != self.me.vm).count()
    }

    /// Takes rows that are known beforehand, as after a join that is long past.
    pub fn add_members(&mut self, rows: impl IntoIterator<Item = Member>, now: Moment) {
        for row in rows {
            self.merge_member(row, now);
        }
    }

    /// Advances to `now`: probes, suspicions, tellings.
    pub fn tick(&mut self, now: Moment) -> Vec<Outgoing> {
        let mut out = Vec::new();
        self.expire(now);
        self.try_accept(now);
        let neighbours = self.neighbours();
        self.check_probes(now, &neighbours, &mut out);
        let probe_all = std::mem::take(&mut self.probe_all);
        if probe_all {
            for member in &neighbours {
                out.push(self.probe(member.clone(), now));
            }
        } else if now.since(self.last_probe) >= PROBE_INTERVAL && !neighbours.is_empty() {
            self.next_neighbour = (self.next_neighbour + 1) % neighbours.len();
            out.push(self.probe(neighbours[self.next_neighbour].clone(), now));
        }
        self.send_adoption(now, &mut out);
        out
    }

    /// A first probe to an address whose VM is not known yet.
    pub fn join_probe(&mut self) -> Frame {
        self.number += 1;
        Frame::Probe {
            number: self.number,
            me: self.me.clone(),
            status: ConfigStatus { revision: self.revision(), accepted: self.accepted, age: None },
            delta: Delta::default(),
            cursor: Cursor::default(),
        }
    }

    /// This VM leaves on purpose: everyone whom it may tell is told.
    pub fn leave(&mut self, now: Moment) -> Vec<Outgoing> {
        self.me.state = State::Left;
        self.upsert(self.me.clone(), now);
        let neighbours = self.leave_recipients();
        neighbours.into_iter().map(|member| self.probe(member, now)).collect()
    }

    fn leave_recipients(&self) -> Vec<Member> {
        let present = self.present().filter(|member| member.vm != self.me.vm);
        present.take(8).cloned().collect()
    }

    fn neighbours(&mut self) -> Vec<Member> {
        // The ring changes only with the rows, and is asked for at each tick.
        if self.ring_cache.0 != self.last_change {
            let all: Vec<Vm> = self.present().map(|member| member.vm.clone()).collect();
            self.ring_cache = (self.last_change, neighbours(&self.me.vm, &all));
        }
        self.ring_cache.1.iter().filter_map(|vm| self.member(vm).cloned()).collect()
    }

    fn status(&self, now: Moment) -> ConfigStatus {
        ConfigStatus {
            revision: self.revision(),
            accepted: self.accepted,
            age: self.store_age(now),
        }
    }

    fn probe(&mut self, to: Member, now: Moment) -> Outgoing {
        self.number += 1;
        self.last_probe = now;
        let probe =
            self.probes.entry(to.vm.clone()).or_insert(Probe { number: 0, sent: now, missed: 0 });
        // A probe that is still open keeps its time, or urgent ones would hide a miss.
        if probe.number == 0 {
            probe.number = self.number;
            probe.sent = now;
        }
        let frame = Frame::Probe {
            number: self.number,
            me: self.me.clone(),
            status: self.status(now),
            delta: self.delta(&to.vm),
            cursor: self.merged.get(&to.vm).copied().unwrap_or_default(),
        };
        (to, frame)
    }

    fn delta(&self, to: &Vm) -> Delta {
        let acked = self.acked.get(to).copied().unwrap_or_default();
        let mut rows: Vec<&Known> =
            self.known.values().filter(|known| known.change > acked.members).collect();
        rows.sort_by_key(|known| known.change);
        let members_upto = match rows.get(MAX_DELTA_MEMBERS) {
            Some(next) => next.change - 1,
            None => self.last_change,
        };
        // Its own row is news to a VM only if others think ill of it.
        let is_useful =
            |known: &&Known| known.member.vm != *to || known.member.state != State::Alive;
        let rows = rows.into_iter().take(MAX_DELTA_MEMBERS).filter(is_useful);
        let (evidence, evidence_upto) = self.evidence.delta(to, acked.evidence, MAX_DELTA_EVIDENCE);
        Delta {
            members: rows.map(|known| known.member.clone()).collect(),
            members_upto,
            evidence,
            evidence_upto,
        }
    }

    fn upsert(&mut self, row: Member, now: Moment) {
        let vm = row.vm.clone();
        if let Some(known) = self.known.get(&vm)
            && !row.supersedes(&known.member)
        {
            return;
        }
        self.last_change += 1;
        if row.state != State::Alive || !self.known.contains_key(&vm) {
            self.probe_all = true;
        }
        if self.known.get(&vm).is_some_and(|known| known.member.incarnation != row.incarnation) {
            self.acked.remove(&vm);
            self.merged.remove(&vm);
            self.probes.remove(&vm);
        }
        self.known.insert(vm, Known { member: row, change: self.last_change, since: now });
    }

    /// Takes a row; one that speaks ill of this VM is refuted.
    fn merge_member(&mut self, row: Member, now: Moment) {
        if row.vm != self.me.vm {
            self.upsert(row, now);
            return;
        }
        let is_accused = row.state != State::Alive && self.me.state == State::Alive;
        if is_accused
            && row.incarnation == self.me.incarnation
            && row.refutations >= self.me.refutations
        {
            self.me.refutations = row.refutations + 1;
            self.upsert(self.me.clone(), now);
            self.probe_all = true;
        }
    }

    fn apply_event(&mut self, vm: &Vm, event: &str, now: Moment) {
        let Some(known) = self.known.get(vm) else {
            return;
        };
        let next = match chart::named("vm").next(known.member.state.name(), event) {
            Ok("alive") => State::Alive,
            Ok("suspect") => State::Suspect,
            Ok("dead") => State::Dead,
            Ok("left") => State::Left,
            _ => return,
        };
        if next != known.member.state {
            let row = Member { state: next, ..known.member.clone() };
            self.upsert(row, now);
        }
    }

    fn check_probes(&mut self, now: Moment, neighbours: &[Member], out: &mut Vec<Outgoing>) {
        let late: Vec<Vm> = self
            .probes
            .iter()
            .filter(|(_, probe)| probe.number > 0 && now.since(probe.sent) >= ACK_TIMEOUT)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in late {
            let neighbour = neighbours.iter().find(|member| member.vm == vm).cloned();
            let Some(probe) = self.probes.get_mut(&vm) else {
                continue;
            };
            probe.missed += 1;
            probe.number = 0;
            if probe.missed >= MISSES_TO_SUSPECT {
                probe.missed = 0;
                self.apply_event(&vm, "miss", now);
            }
            if let Some(member) = neighbour {
                out.push(self.probe(member, now));
            }
        }
    }

    fn expire(&mut self, now: Moment) {
        let mut dead = Vec::new();
        let mut expired = Vec::new();
        for (vm, known) in &self.known {
            let time = now.since(known.since);
            match known.member.state {
                State::Suspect if time >= SUSPECT_TIMEOUT => dead.push(vm.clone()),
                State::Dead | State::Left if time >= TOMBSTONE_TTL && *vm != self.me.vm => {
                    expired.push(vm.clone());
                }
                _ => {}
            }
        }
        for vm in dead {
            self.apply_event(&vm, "expire", now);
        }
        for vm in expired {
            self.known.remove(&vm);
            self.acked.remove(&vm);
            self.merged.remove(&vm);
            self.probes.remove(&vm);
            self.adopted.remove(&vm);
        }
    }

    /// Takes a frame from `from` and returns the answers.
    pub fn receive(&mut self, from: &Vm, frame: Frame, now: Moment) -> Vec<Outgoing> {
        match frame {
            Frame::Probe { number, me, status, delta, cursor } => {
                self.on_cursor(from, cursor);
                self.on_peer_state(from, me.clone(), status, delta, now);
                let ack = Frame::Ack {
                    number,
                    me: self.me.clone(),
                    status: self.status(now),
                    delta: self.delta(from),
                    cursor: self.merged.get(from).copied().unwrap_or_default(),
                };
                let mut out = vec![(me.clone(), ack)];
                self.request_config(&me, status, now, &mut out);
                out
            }
            Frame::Ack { number, me, status, delta, cursor } => {
                self.on_cursor(from, cursor);
                self.on_ack(from, number, status, now);
                self.on_peer_state(from, me.clone(), status, delta, now);
                let mut out = Vec::new();
                self.request_config(&me, status, now, &mut out);
                out
            }
            Frame::ConfigRequest { have, pieces } => self.config_reply(from, have, &pieces),
            Frame::Config { root, pieces } => {
                self.on_config(&root, pieces);
                Vec::new()
            }
            Frame::Adopted { me, status, enforced_revision } => {
                self.adopted.insert(from.clone(), (me.incarnation, enforced_revision));
                self.merge_member(me.clone(), now);
                self.try_accept(now);
                let ack =
                    Frame::AdoptionAck { revision: status.revision, status: self.status(now) };
                let mut out = vec![(me.clone(), ack)];
                self.request_config(&me, status, now, &mut out);
                out
            }
            Frame::AdoptionAck { revision, status } => {
                // Only a word about the present revision proves that an accepter waits for us.
                if revision == self.revision() && status.revision <= revision {
                    self.adoption_acked = true;
                }
                self.merge_accepted(status);
                let mut out = Vec::new();
                if let Some(member) = self.member(from).cloned() {
                    self.request_config(&member, status, now, &mut out);
                }
                out
            }
        }
    }

    fn on_peer_state(
        &mut self,
        from: &Vm,
        me: Member,
        status: ConfigStatus,
        delta: Delta,
        now: Moment,
    ) {
        let incarnation = me.incarnation;
        self.merge_member(me, now);
        for row in delta.members {
            self.merge_member(row, now);
        }
        self.evidence.merge(from, delta.evidence);
        let merged = self.merged.entry(from.clone()).or_default();
        if merged.incarnation != incarnation {
            *merged = Cursor { incarnation, ..Cursor::default() };
        }
        merged.members = merged.members.max(delta.members_upto);
        merged.evidence = merged.evidence.max(delta.evidence_upto);
        self.merge_accepted(status);
    }

    /// Notes how far a VM has merged this life's news; another life's places mean nothing.
    fn on_cursor(&mut self, from: &Vm, cursor: Cursor) {
        if cursor.incarnation != self.me.incarnation {
            return;
        }
        let acked = self.acked.entry(from.clone()).or_default();
        acked.members = acked.members.max(cursor.members);
        acked.evidence = acked.evidence.max(cursor.evidence);
    }

    fn on_ack(&mut self, from: &Vm, number: u64, status: ConfigStatus, now: Moment) {
        let Some(probe) = self.probes.get_mut(from) else {
            return;
        };
        if probe.number > 0 && number >= probe.number {
            // The answer proves contact as of when the probe was sent, and no later.
            // Contact with a VM that is ahead renews nothing until its revision is obeyed here:
            // that revision may have been accepted while this VM counted as lapsed.
            if status.revision <= self.snapshot.revision() {
                self.last_contact = self.last_contact.max(Some(probe.sent));
            }
            // A VM at the same revision that was as of the store then makes this one as of it too.
            if status.revision == self.snapshot.revision()
                && let Some(age) = status.age
            {
                self.store_read_at = self.store_read_at.max(Some(probe.sent - age));
            }
            probe.number = 0;
            probe.missed = 0;
            self.apply_event(from, "answer", now);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::adoption::START_LEASE_MARGIN;
    use super::*;
    use crate::config::Root;
    use quickcheck::quickcheck;

    pub fn member(name: &str) -> Member {
        Member {
            vm: name.parse().unwrap(),
            address: "127.0.0.1:9".parse().unwrap(),
            data_centre: "dc1".parse().unwrap(),
            incarnation: Incarnation(1),
            refutations: 0,
            state: State::Alive,
        }
    }

    fn at(revision: u64) -> Snapshot {
        let root = Root { revision: Revision(revision), ..Root::default() };
        Snapshot::resolve(root, BTreeMap::new()).unwrap()
    }

    quickcheck! {
        fn a_revision_never_falls_under_any_order_of_messages(revisions: Vec<u8>) -> bool {
            let mut gossip = Gossip::new(member("a"), Moment(0));
            let mut highest = 0;
            revisions.iter().all(|revision| {
                let root = Root { revision: Revision(u64::from(*revision)), ..Root::default() };
                let root = serde_json::to_vec(&root).unwrap();
                let frame = Frame::Config { root, pieces: Vec::new() };
                gossip.receive(&"b".parse().unwrap(), frame, Moment(1));
                highest = highest.max(u64::from(*revision));
                gossip.revision() == Revision(highest)
            })
        }
    }

    #[test]
    fn a_vm_without_contact_stops_starting_work() {
        let mut gossip = Gossip::new(member("a"), Moment(0));
        gossip.adopt(at(1));
        assert!(!gossip.may_start(Moment(0)));
        gossip.on_store_contact(Moment(1_000_000));
        assert!(gossip.may_start(Moment(2_000_000)));
        assert!(!gossip.may_start(Moment(1_000_000) + START_LEASE));
    }

    #[test]
    fn contact_with_a_vm_that_is_ahead_renews_no_permit() {
        let (mut a, mut b) =
            (Gossip::new(member("a"), Moment(0)), Gossip::new(member("b"), Moment(0)));
        a.add_members([member("b")], Moment(0));
        b.add_members([member("a")], Moment(0));
        a.adopt(at(1));
        a.adoption_acked = true;
        a.on_store_contact(Moment(1));
        b.adopt(at(2));
        let woken = Moment(1) + START_LEASE + Span::secs(1);
        let (_, probe) = a.probe(member("b"), woken);
        let answers = b.receive(&member("a").vm, probe, woken);
        a.receive(&member("b").vm, answers[0].1.clone(), woken);
        assert!(!a.may_start(woken));
        a.adopt(at(2));
        let (_, probe) = a.probe(member("b"), woken);
        let answers = b.receive(&member("a").vm, probe, woken);
        a.receive(&member("b").vm, answers[0].1.clone(), woken);
        assert!(a.may_start(woken));
    }

    #[test]
    fn knowledge_of_the_store_passes_on_with_its_age() {
        let (mut a, mut b) =
            (Gossip::new(member("a"), Moment(0)), Gossip::new(member("b"), Moment(0)));
        a.add_members([member("b")], Moment(0));
        b.add_members([member("a")], Moment(0));
        a.adopt(at(1));
        b.adopt(at(1));
        b.on_store_contact(Moment(5_000_000));
        let asked = Moment(7_000_000);
        let probes = a.tick(asked);
        let frame = probes.into_iter().map(|(_, frame)| frame);
        let probe = frame.into_iter().find(|frame| matches!(frame, Frame::Probe { .. })).unwrap();
        let answers = b.receive(&member("a").vm, probe, asked);
        a.receive(&member("b").vm, answers[0].1.clone(), Moment(7_000_100));
        assert_eq!(a.store_age(asked), Some(Span::secs(2)));
    }

    #[test]
    fn news_that_was_merged_is_not_told_again_to_a_vm_that_is_never_probed() {
        let mut told = Gossip::new(member("a"), Moment(0));
        told.add_members([member("b"), member("c"), member("d")], Moment(0));
        let mut asks = Gossip::new(member("b"), Moment(0));
        let rows = |asks: &mut Gossip, told: &mut Gossip, now: u64| {
            let (_, probe) = asks.probe(member("a"), Moment(now));
            let answers = told.receive(&member("b").vm, probe, Moment(now));
            let Frame::Ack { delta, .. } = &answers[0].1 else { panic!("a probe is answered") };
            let rows = delta.members.len();
            asks.receive(&member("a").vm, answers[0].1.clone(), Moment(now));
            rows
        };
        assert!(rows(&mut asks, &mut told, 1) > 0);
        assert_eq!(rows(&mut asks, &mut told, 2), 0);
    }

    #[test]
    fn a_suspicion_is_refuted_by_its_subject() {
        let mut gossip = Gossip::new(member("a"), Moment(0));
        let row = Member { state: State::Suspect, ..member("a") };
        gossip.merge_member(row, Moment(1));
        assert_eq!(gossip.me().state, State::Alive);
        assert_eq!(gossip.me().refutations, 1);
    }

    #[test]
    fn a_change_waits_for_everyone_and_for_a_lapsed_one_alone() {
        let mut gossip = Gossip::new(member("a"), Moment(0));
        gossip.merge_member(member("b"), Moment(0));
        gossip.adopt(at(1));
        gossip.set_enforced_revision(Revision(1));
        gossip.tick(Moment(1));
        assert_eq!(gossip.vms_pending().len(), 1);
        assert_eq!(gossip.accepted(), Revision(0));
        gossip.upsert(Member { state: State::Dead, ..member("b") }, Moment(2));
        gossip.tick(Moment(3));
        assert_eq!(gossip.accepted(), Revision(0));
        gossip.tick(Moment(3) + START_LEASE + START_LEASE_MARGIN);
        assert_eq!(gossip.accepted(), Revision(1));
    }

    #[test]
    fn two_lost_vms_may_renew_each_other_and_are_waited_for() {
        let mut gossip = Gossip::new(member("a"), Moment(0));
        for name in ["b", "c"] {
            gossip.upsert(Member { state: State::Dead, ..member(name) }, Moment(0));
        }
        gossip.adopt(at(1));
        gossip.set_enforced_revision(Revision(1));
        gossip.tick(Moment(1));
        gossip.tick(Moment(500_000_000));
        assert_eq!(gossip.accepted(), Revision(0));
        gossip.set_listed_vms(&BTreeSet::from(["a".parse().unwrap()]));
        gossip.tick(Moment(500_000_001));
        assert_eq!(gossip.accepted(), Revision(1));
    }
}
