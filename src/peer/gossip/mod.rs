//! Gossip protocol for membership, configuration and evidence, after SWIM.
//!
//! VMs probe their neighbours, and each probe and acknowledgement carries the changes that the
//! receiver lacks. The protocol is a state machine without I/O: `tick` and `receive` return the
//! frames to send, and the present time is an argument. VMs run it over QUIC, experiments over
//! queues in virtual time.

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

/// A VM stops starting work after this time without contact with another VM or the store.
pub const START_LEASE: Span = Span::secs(8);

/// Interval of the probes that a VM sends, to one neighbour each, while nothing changes.
const PROBE_INTERVAL: Span = Span::secs(1);

/// A probe without acknowledgement counts as missed after this time.
const ACK_TIMEOUT: Span = Span::millis(700);

/// Consecutive missed probes after which a VM is suspected.
const MISSES_TO_SUSPECT: u32 = 3;

/// A suspected VM is declared dead unless it refutes the suspicion within this time.
const SUSPECT_TIMEOUT: Span = Span::secs(4);

/// Records of VMs that are dead or left are kept for this time, so that outdated records from other
/// VMs do not revive them.
const TOMBSTONE_TTL: Span = Span::secs(600);

/// Most membership records in one frame.
const MAX_DELTA_MEMBERS: usize = 64;

/// Most rows of evidence in one frame.
const MAX_DELTA_EVIDENCE: usize = 256;

/// A frame to send, with its receiver.
pub type Outgoing = (Member, Frame);

/// Address, from the settings, of a VM through which this one joins.
pub type Seed = std::net::SocketAddr;

#[derive(Clone, Debug)]
struct Known {
    member: Member,
    /// Number of this VM's change that last altered the record.
    change: u64,
    /// Time at which the record was last altered.
    since: Moment,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    /// Number of the open probe; 0 if none is open.
    number: u64,
    sent: Moment,
    /// Consecutive probes without acknowledgement.
    missed: u32,
}

/// The state of the protocol at one VM.
pub struct Gossip {
    me: Member,
    known: BTreeMap<Vm, Known>,
    /// Number of the last membership change; deltas are selected by it.
    last_change: u64,
    /// Changes of this VM that each other VM has merged.
    acked: HashMap<Vm, Cursor>,
    /// Changes of each other VM that this one has merged.
    merged: HashMap<Vm, Cursor>,
    probes: HashMap<Vm, Probe>,
    /// Number of the last probe sent.
    number: u64,
    next_neighbour: usize,
    /// Neighbours, and the `last_change` for which they were computed.
    ring_cache: (u64, Vec<Vm>),
    /// Revision of the last request for a configuration, and its time.
    last_request: (Revision, Moment),
    last_probe: Moment,
    /// Set if the next tick must probe all neighbours, to spread a change at once.
    probe_all: bool,
    /// The configuration adopted here.
    pub snapshot: Arc<Snapshot>,
    /// Highest revision known to be accepted: no VM can start work under an older one.
    accepted: Revision,
    /// Revision that all work which this VM sends from now on follows.
    enforced_revision: Revision,
    /// Time at which the adopted revision was last known to be the newest of the store.
    store_read_at: Option<Moment>,
    /// Last proof of contact with another VM or the store; the start lease runs from it.
    last_contact: Option<Moment>,
    /// Revisions that VMs reported as enforced; accepters decide by them.
    adopted: BTreeMap<Vm, (Incarnation, Revision)>,
    /// Known VMs that the platform does not list.
    unlisted: BTreeSet<Vm>,
    /// Revision that only one dead VM lacks, and since when that is so.
    lone_dead_since: Option<(Revision, Moment)>,
    /// Time of the last report to the accepters; `Moment(0)` if one is due at once.
    adoption_sent_at: Moment,
    /// Set once an accepter knows this VM, so that no revision is accepted without it.
    adoption_acked: bool,
    /// Evidence that VMs exchange.
    pub evidence: Table,
}

impl Gossip {
    /// Creates the state of a VM that knows no other VM yet.
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

    /// Returns the membership record of this VM.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the revision of the configuration adopted here.
    pub fn revision(&self) -> Revision {
        self.snapshot.revision()
    }

    /// Returns the highest revision known to be accepted: no VM starts work under an older one.
    pub fn accepted(&self) -> Revision {
        self.accepted
    }

    /// Returns the records of all known VMs, in any state, with this one.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.known.values().map(|known| &known.member)
    }

    /// Returns the records of the VMs that may run work, with this one.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.state.is_present())
    }

    /// Returns the record of a VM.
    pub fn member(&self, vm: &Vm) -> Option<&Member> {
        self.known.get(vm).map(|known| &known.member)
    }

    /// Returns the time since the record of a VM last changed.
    pub fn time_in_state(&self, vm: &Vm, now: Moment) -> Option<Span> {
        self.known.get(vm).map(|known| now.since(known.since))
    }

    /// Returns the time since the adopted revision was last known to be the newest of the store;
    /// none if it never was.
    pub fn store_age(&self, now: Moment) -> Option<Span> {
        self.store_read_at.map(|at| now.since(at))
    }

    fn other_count(&self) -> usize {
        self.present().filter(|member| member.vm != self.me.vm).count()
    }

    /// Adds members that are known beforehand, so that an experiment can start with a joined fleet.
    pub fn add_members(&mut self, rows: impl IntoIterator<Item = Member>, now: Moment) {
        for row in rows {
            self.merge_member(row, now);
        }
    }

    /// Advances the state to `now` and returns the frames that are due: probes and adoptions.
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

    /// Returns a probe for a seed address, whose VM is not known yet.
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

    /// Marks this VM as left and returns probes that announce it to other VMs.
    pub fn leave(&mut self, now: Moment) -> Vec<Outgoing> {
        self.me.state = State::Left;
        self.upsert(self.me.clone(), now);
        let neighbours = self.leave_recipients();
        neighbours.into_iter().map(|member| self.probe(member, now)).collect()
    }

    /// Returns the VMs to which a leaving VM announces it; these pass it on.
    fn leave_recipients(&self) -> Vec<Member> {
        let present = self.present().filter(|member| member.vm != self.me.vm);
        present.take(8).cloned().collect()
    }

    fn neighbours(&mut self) -> Vec<Member> {
        // Cached, because it is needed at each tick and depends on the records alone.
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
        // A probe that is still open keeps its time. Otherwise the extra probes on a change would
        // postpone its timeout again and again.
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
        // A VM needs its own record only to refute it.
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

    /// Stores a record unless the stored one wins, and schedules probes of all neighbours if the
    /// change must spread at once.
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

    /// Merges a received record; one that calls this VM suspect, dead or left is refuted.
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

    /// Applies an event of the state machine `vm` (`charts/vm.toml`) to the state of a VM.
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

    /// Counts probes that timed out and repeats them to VMs that are neighbours still.
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

    /// Declares suspects dead after `SUSPECT_TIMEOUT` and forgets VMs after `TOMBSTONE_TTL`.
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

    /// Handles a frame from `from` and returns the frames to send in response.
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
                // Frames may arrive out of order.
                let reported = (me.incarnation, enforced_revision);
                let newest = self.adopted.entry(from.clone()).or_insert(reported);
                *newest = reported.max(*newest);
                self.merge_member(me.clone(), now);
                self.try_accept(now);
                let ack =
                    Frame::AdoptionAck { revision: status.revision, status: self.status(now) };
                let mut out = vec![(me.clone(), ack)];
                self.request_config(&me, status, now, &mut out);
                out
            }
            Frame::AdoptionAck { revision, status } => {
                // Only an acknowledgement of the present revision proves that the accepter waits
                // for this VM before it accepts a later one.
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

    /// Records which changes of this VM the sender has merged. A cursor of another incarnation is
    /// ignored, because change numbers restart with each incarnation.
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
            // The acknowledgement proves contact at the time when the probe was sent, not later.
            // Contact with a VM that has a higher revision does not renew the start lease before
            // that revision is adopted here: it may have been accepted in the belief that this
            // VM's lease had run out.
            if status.revision <= self.snapshot.revision() {
                self.last_contact = self.last_contact.max(Some(probe.sent));
            }
            // The store's confirmation of that VM's revision holds for the same revision here.
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

    fn snapshot(revision: u64) -> Snapshot {
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
        gossip.adopt(snapshot(1));
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
        a.adopt(snapshot(1));
        a.adoption_acked = true;
        a.on_store_contact(Moment(1));
        b.adopt(snapshot(2));
        let resumed = Moment(1) + START_LEASE + Span::secs(1);
        let (_, probe) = a.probe(member("b"), resumed);
        let answers = b.receive(&member("a").vm, probe, resumed);
        a.receive(&member("b").vm, answers[0].1.clone(), resumed);
        assert!(!a.may_start(resumed));
        a.adopt(snapshot(2));
        let (_, probe) = a.probe(member("b"), resumed);
        let answers = b.receive(&member("a").vm, probe, resumed);
        a.receive(&member("b").vm, answers[0].1.clone(), resumed);
        assert!(a.may_start(resumed));
    }

    #[test]
    fn knowledge_of_the_store_passes_on_with_its_age() {
        let (mut a, mut b) =
            (Gossip::new(member("a"), Moment(0)), Gossip::new(member("b"), Moment(0)));
        a.add_members([member("b")], Moment(0));
        b.add_members([member("a")], Moment(0));
        a.adopt(snapshot(1));
        b.adopt(snapshot(1));
        b.on_store_contact(Moment(5_000_000));
        let sent = Moment(7_000_000);
        let probes = a.tick(sent);
        let frame = probes.into_iter().map(|(_, frame)| frame);
        let probe = frame.into_iter().find(|frame| matches!(frame, Frame::Probe { .. })).unwrap();
        let answers = b.receive(&member("a").vm, probe, sent);
        a.receive(&member("b").vm, answers[0].1.clone(), Moment(7_000_100));
        assert_eq!(a.store_age(sent), Some(Span::secs(2)));
    }

    #[test]
    fn news_that_was_merged_is_not_told_again_to_a_vm_that_is_never_probed() {
        let mut probed = Gossip::new(member("a"), Moment(0));
        probed.add_members([member("b"), member("c"), member("d")], Moment(0));
        let mut prober = Gossip::new(member("b"), Moment(0));
        let rows = |prober: &mut Gossip, probed: &mut Gossip, now: u64| {
            let (_, probe) = prober.probe(member("a"), Moment(now));
            let answers = probed.receive(&member("b").vm, probe, Moment(now));
            let Frame::Ack { delta, .. } = &answers[0].1 else { panic!("a probe is answered") };
            let rows = delta.members.len();
            prober.receive(&member("a").vm, answers[0].1.clone(), Moment(now));
            rows
        };
        assert!(rows(&mut prober, &mut probed, 1) > 0);
        assert_eq!(rows(&mut prober, &mut probed, 2), 0);
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
        gossip.adopt(snapshot(1));
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
        gossip.adopt(snapshot(1));
        gossip.set_enforced_revision(Revision(1));
        gossip.tick(Moment(1));
        gossip.tick(Moment(500_000_000));
        assert_eq!(gossip.accepted(), Revision(0));
        gossip.set_listed_vms(&BTreeSet::from(["a".parse().unwrap()]));
        gossip.tick(Moment(500_000_001));
        assert_eq!(gossip.accepted(), Revision(1));
    }
}
