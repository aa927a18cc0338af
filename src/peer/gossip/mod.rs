//! Membership, spreading of the configuration and of evidence: a pure state machine.
//!
//! It is driven by `tick` and `receive`, which return frames to send; the present time is an
//! argument. The server drives it over QUIC, the experiments over queues in virtual time.

mod force;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use super::ring::neighbours;
use super::wire::{Frame, News, Seen, Stand};
use super::{Member, State};
use crate::chart;
use crate::config::Snapshot;
use crate::evidence::Table;
use crate::unit::{Incarnation, Moment, Revision, Span, Vm};

/// A VM that had no contact with any other VM or the store for this long stops starting work.
pub const PERMIT: Span = Span::secs(8);

/// Time between two probes that a VM sends at rest.
const PROBE_EVERY: Span = Span::secs(1);

/// An answer to a probe is missed after this.
const ACK_WITHIN: Span = Span::millis(700);

/// Misses in a row that make a suspect.
const MISSES: u32 = 3;

/// A suspect that refutes nothing for this long is dead.
const SUSPECT_FOR: Span = Span::secs(4);

/// Rows of the dead and departed are kept this long, so that old news does not revive them.
const BURIED_FOR: Span = Span::secs(600);

/// Member rows in one frame.
const ROWS: usize = 64;

/// Evidence cells in one frame.
const CELLS: usize = 256;

/// A frame and whom it is for.
pub type Out = (Member, Frame);

/// A VM known by address only, from the settings.
pub type Seed = std::net::SocketAddr;

#[derive(Clone, Debug)]
struct Known {
    member: Member,
    changed: u64,
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
    counter: u64,
    /// How far each VM has merged this one's news, and this one theirs.
    told: HashMap<Vm, Seen>,
    heard: HashMap<Vm, Seen>,
    probes: HashMap<Vm, Probe>,
    number: u64,
    turn: usize,
    near: (u64, Vec<Vm>),
    asked: (Revision, Moment),
    last_probe: Moment,
    urgent: bool,
    /// The configuration in force here.
    pub snapshot: Arc<Snapshot>,
    accepted: Revision,
    obeyed: Revision,
    fresh: Option<Moment>,
    contact: Option<Moment>,
    adopted: BTreeMap<Vm, (Incarnation, Revision)>,
    unlisted: BTreeSet<Vm>,
    complete_since: Option<(Revision, Moment)>,
    told_adoption: Moment,
    noted: bool,
    /// The evidence that VMs exchange.
    pub evidence: Table,
}

impl Gossip {
    /// A VM that knows itself only.
    pub fn new(me: Member, now: Moment) -> Gossip {
        let known = Known { member: me.clone(), changed: 1, since: now };
        Gossip {
            known: BTreeMap::from([(me.vm.clone(), known)]),
            me,
            counter: 1,
            told: HashMap::new(),
            heard: HashMap::new(),
            probes: HashMap::new(),
            number: 0,
            turn: 0,
            near: (0, Vec::new()),
            asked: (Revision(0), Moment(0)),
            last_probe: Moment(0),
            urgent: true,
            snapshot: Arc::default(),
            accepted: Revision(0),
            obeyed: Revision(0),
            fresh: None,
            contact: None,
            adopted: BTreeMap::new(),
            unlisted: BTreeSet::new(),
            complete_since: None,
            told_adoption: Moment(0),
            noted: false,
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
        self.members().filter(|member| member.state.present())
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
    pub fn age(&self, now: Moment) -> Option<Span> {
        self.fresh.map(|fresh| now.since(fresh))
    }

    fn others(&self) -> usize {
        self.present().filter(|member| member.vm != self.me.vm).count()
    }

    /// Takes rows that are known beforehand, as after a join that is long past.
    pub fn introduce(&mut self, rows: impl IntoIterator<Item = Member>, now: Moment) {
        for row in rows {
            self.hear(row, now);
        }
    }

    /// Advances to `now`: probes, suspicions, tellings.
    pub fn tick(&mut self, now: Moment) -> Vec<Out> {
        let mut out = Vec::new();
        self.expire(now);
        self.accept(now);
        let near = self.neighbours();
        self.miss(now, &near, &mut out);
        let urgent = std::mem::take(&mut self.urgent);
        if urgent {
            for member in &near {
                out.push(self.probe(member.clone(), now));
            }
        } else if now.since(self.last_probe) >= PROBE_EVERY && !near.is_empty() {
            self.turn = (self.turn + 1) % near.len();
            out.push(self.probe(near[self.turn].clone(), now));
        }
        self.tell_adoption(now, &mut out);
        out
    }

    /// A first probe to an address whose VM is not known yet.
    pub fn greet(&mut self) -> Frame {
        self.number += 1;
        Frame::Probe {
            number: self.number,
            me: self.me.clone(),
            stand: Stand { revision: self.revision(), accepted: self.accepted, age: None },
            news: News::default(),
            seen: Seen::default(),
        }
    }

    /// This VM leaves on purpose: everyone whom it may tell is told.
    pub fn leave(&mut self, now: Moment) -> Vec<Out> {
        self.me.state = State::Left;
        self.note(self.me.clone(), now);
        let near = self.neighbours_of_row();
        near.into_iter().map(|member| self.probe(member, now)).collect()
    }

    fn neighbours_of_row(&self) -> Vec<Member> {
        let present = self.present().filter(|member| member.vm != self.me.vm);
        present.take(8).cloned().collect()
    }

    fn neighbours(&mut self) -> Vec<Member> {
        // The ring changes only with the rows, and is asked for at each tick.
        if self.near.0 != self.counter {
            let all: Vec<Vm> = self.present().map(|member| member.vm.clone()).collect();
            self.near = (self.counter, neighbours(&self.me.vm, &all));
        }
        self.near.1.iter().filter_map(|vm| self.member(vm).cloned()).collect()
    }

    fn stand(&self, now: Moment) -> Stand {
        Stand { revision: self.revision(), accepted: self.accepted, age: self.age(now) }
    }

    fn probe(&mut self, to: Member, now: Moment) -> Out {
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
            stand: self.stand(now),
            news: self.news(&to.vm),
            seen: self.heard.get(&to.vm).copied().unwrap_or_default(),
        };
        (to, frame)
    }

    fn news(&self, to: &Vm) -> News {
        let told = self.told.get(to).copied().unwrap_or_default();
        let mut rows: Vec<&Known> =
            self.known.values().filter(|known| known.changed > told.members).collect();
        rows.sort_by_key(|known| known.changed);
        let members_upto = match rows.get(ROWS) {
            Some(next) => next.changed - 1,
            None => self.counter,
        };
        // Its own row is news to a VM only if others think ill of it.
        let tells = |known: &&Known| known.member.vm != *to || known.member.state != State::Alive;
        let rows = rows.into_iter().take(ROWS).filter(tells);
        let (evidence, evidence_upto) = self.evidence.delta(to, told.evidence, CELLS);
        News {
            members: rows.map(|known| known.member.clone()).collect(),
            members_upto,
            evidence,
            evidence_upto,
        }
    }

    fn note(&mut self, row: Member, now: Moment) {
        let vm = row.vm.clone();
        if let Some(known) = self.known.get(&vm)
            && !row.beats(&known.member)
        {
            return;
        }
        self.counter += 1;
        if row.state != State::Alive || !self.known.contains_key(&vm) {
            self.urgent = true;
        }
        if self.known.get(&vm).is_some_and(|known| known.member.incarnation != row.incarnation) {
            self.told.remove(&vm);
            self.heard.remove(&vm);
            self.probes.remove(&vm);
        }
        self.known.insert(vm, Known { member: row, changed: self.counter, since: now });
    }

    /// Takes a row; one that speaks ill of this VM is refuted.
    fn hear(&mut self, row: Member, now: Moment) {
        if row.vm != self.me.vm {
            self.note(row, now);
            return;
        }
        let ill = row.state != State::Alive && self.me.state == State::Alive;
        if ill && row.incarnation == self.me.incarnation && row.beat >= self.me.beat {
            self.me.beat = row.beat + 1;
            self.note(self.me.clone(), now);
            self.urgent = true;
        }
    }

    fn change(&mut self, vm: &Vm, event: &str, now: Moment) {
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
            self.note(row, now);
        }
    }

    fn miss(&mut self, now: Moment, near: &[Member], out: &mut Vec<Out>) {
        let late: Vec<Vm> = self
            .probes
            .iter()
            .filter(|(_, probe)| probe.number > 0 && now.since(probe.sent) >= ACK_WITHIN)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in late {
            let is_near = near.iter().find(|member| member.vm == vm).cloned();
            let Some(probe) = self.probes.get_mut(&vm) else {
                continue;
            };
            probe.missed += 1;
            probe.number = 0;
            if probe.missed >= MISSES {
                probe.missed = 0;
                self.change(&vm, "miss", now);
            }
            if let Some(member) = is_near {
                out.push(self.probe(member, now));
            }
        }
    }

    fn expire(&mut self, now: Moment) {
        let mut dead = Vec::new();
        let mut buried = Vec::new();
        for (vm, known) in &self.known {
            let time = now.since(known.since);
            match known.member.state {
                State::Suspect if time >= SUSPECT_FOR => dead.push(vm.clone()),
                State::Dead | State::Left if time >= BURIED_FOR && *vm != self.me.vm => {
                    buried.push(vm.clone());
                }
                _ => {}
            }
        }
        for vm in dead {
            self.change(&vm, "expire", now);
        }
        for vm in buried {
            self.known.remove(&vm);
            self.told.remove(&vm);
            self.heard.remove(&vm);
            self.probes.remove(&vm);
            self.adopted.remove(&vm);
        }
    }

    /// Takes a frame from `from` and returns the answers.
    pub fn receive(&mut self, from: &Vm, frame: Frame, now: Moment) -> Vec<Out> {
        match frame {
            Frame::Probe { number, me, stand, news, seen } => {
                self.told_of(from, seen);
                self.take(from, me.clone(), stand, news, now);
                let ack = Frame::Ack {
                    number,
                    me: self.me.clone(),
                    stand: self.stand(now),
                    news: self.news(from),
                    seen: self.heard.get(from).copied().unwrap_or_default(),
                };
                let mut out = vec![(me.clone(), ack)];
                self.catch_up(&me, stand, now, &mut out);
                out
            }
            Frame::Ack { number, me, stand, news, seen } => {
                self.told_of(from, seen);
                self.acked(from, number, stand, now);
                self.take(from, me.clone(), stand, news, now);
                let mut out = Vec::new();
                self.catch_up(&me, stand, now, &mut out);
                out
            }
            Frame::Want { have, pieces } => self.hand(from, have, &pieces),
            Frame::Config { root, pieces } => {
                self.take_config(&root, pieces);
                Vec::new()
            }
            Frame::Adopted { me, stand, obeyed } => {
                self.adopted.insert(from.clone(), (me.incarnation, obeyed));
                self.hear(me.clone(), now);
                self.accept(now);
                let noted = Frame::Noted { revision: stand.revision, stand: self.stand(now) };
                let mut out = vec![(me.clone(), noted)];
                self.catch_up(&me, stand, now, &mut out);
                out
            }
            Frame::Noted { revision, stand } => {
                // Only a word about the present revision proves that an accepter waits for us.
                if revision == self.revision() && stand.revision <= revision {
                    self.noted = true;
                }
                self.raise(stand);
                let mut out = Vec::new();
                if let Some(member) = self.member(from).cloned() {
                    self.catch_up(&member, stand, now, &mut out);
                }
                out
            }
        }
    }

    fn take(&mut self, from: &Vm, me: Member, stand: Stand, news: News, now: Moment) {
        let life = me.incarnation;
        self.hear(me, now);
        for row in news.members {
            self.hear(row, now);
        }
        self.evidence.merge(from, news.evidence);
        let heard = self.heard.entry(from.clone()).or_default();
        if heard.of != life {
            *heard = Seen { of: life, ..Seen::default() };
        }
        heard.members = heard.members.max(news.members_upto);
        heard.evidence = heard.evidence.max(news.evidence_upto);
        self.raise(stand);
    }

    /// Notes how far a VM has merged this life's news; another life's places mean nothing.
    fn told_of(&mut self, from: &Vm, seen: Seen) {
        if seen.of != self.me.incarnation {
            return;
        }
        let told = self.told.entry(from.clone()).or_default();
        told.members = told.members.max(seen.members);
        told.evidence = told.evidence.max(seen.evidence);
    }

    fn acked(&mut self, from: &Vm, number: u64, stand: Stand, now: Moment) {
        let Some(probe) = self.probes.get_mut(from) else {
            return;
        };
        if probe.number > 0 && number >= probe.number {
            // The answer proves contact as of when the probe was sent, and no later.
            // Contact with a VM that is ahead renews nothing until its revision is obeyed here:
            // that revision may have been accepted while this VM counted as lapsed.
            if stand.revision <= self.snapshot.revision() {
                self.contact = self.contact.max(Some(probe.sent));
            }
            // A VM at the same revision that was as of the store then makes this one as of it too.
            if stand.revision == self.snapshot.revision()
                && let Some(age) = stand.age
            {
                self.fresh = self.fresh.max(Some(probe.sent - age));
            }
            probe.number = 0;
            probe.missed = 0;
            self.change(from, "answer", now);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::force::PERMIT_MARGIN;
    use super::*;
    use crate::config::Root;
    use quickcheck::quickcheck;

    pub fn member(name: &str) -> Member {
        Member {
            vm: name.parse().unwrap(),
            address: "127.0.0.1:9".parse().unwrap(),
            data_centre: "dc1".parse().unwrap(),
            incarnation: Incarnation(1),
            beat: 0,
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
        gossip.store_contact(Moment(1_000_000));
        assert!(gossip.may_start(Moment(2_000_000)));
        assert!(!gossip.may_start(Moment(1_000_000) + PERMIT));
    }

    #[test]
    fn contact_with_a_vm_that_is_ahead_renews_no_permit() {
        let (mut a, mut b) =
            (Gossip::new(member("a"), Moment(0)), Gossip::new(member("b"), Moment(0)));
        a.introduce([member("b")], Moment(0));
        b.introduce([member("a")], Moment(0));
        a.adopt(at(1));
        a.noted = true;
        a.store_contact(Moment(1));
        b.adopt(at(2));
        let woken = Moment(1) + PERMIT + Span::secs(1);
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
        a.introduce([member("b")], Moment(0));
        b.introduce([member("a")], Moment(0));
        a.adopt(at(1));
        b.adopt(at(1));
        b.store_contact(Moment(5_000_000));
        let asked = Moment(7_000_000);
        let probes = a.tick(asked);
        let frame = probes.into_iter().map(|(_, frame)| frame);
        let probe = frame.into_iter().find(|frame| matches!(frame, Frame::Probe { .. })).unwrap();
        let answers = b.receive(&member("a").vm, probe, asked);
        a.receive(&member("b").vm, answers[0].1.clone(), Moment(7_000_100));
        assert_eq!(a.age(asked), Some(Span::secs(2)));
    }

    #[test]
    fn news_that_was_merged_is_not_told_again_to_a_vm_that_is_never_probed() {
        let mut told = Gossip::new(member("a"), Moment(0));
        told.introduce([member("b"), member("c"), member("d")], Moment(0));
        let mut asks = Gossip::new(member("b"), Moment(0));
        let rows = |asks: &mut Gossip, told: &mut Gossip, now: u64| {
            let (_, probe) = asks.probe(member("a"), Moment(now));
            let answers = told.receive(&member("b").vm, probe, Moment(now));
            let Frame::Ack { news, .. } = &answers[0].1 else { panic!("a probe is answered") };
            let rows = news.members.len();
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
        gossip.hear(row, Moment(1));
        assert_eq!(gossip.me().state, State::Alive);
        assert_eq!(gossip.me().beat, 1);
    }

    #[test]
    fn a_change_waits_for_everyone_and_for_a_lapsed_one_alone() {
        let mut gossip = Gossip::new(member("a"), Moment(0));
        gossip.hear(member("b"), Moment(0));
        gossip.adopt(at(1));
        gossip.obey(Revision(1));
        gossip.tick(Moment(1));
        assert_eq!(gossip.waiting_for().len(), 1);
        assert_eq!(gossip.accepted(), Revision(0));
        gossip.note(Member { state: State::Dead, ..member("b") }, Moment(2));
        gossip.tick(Moment(3));
        assert_eq!(gossip.accepted(), Revision(0));
        gossip.tick(Moment(3) + PERMIT + PERMIT_MARGIN);
        assert_eq!(gossip.accepted(), Revision(1));
    }

    #[test]
    fn two_lost_vms_may_renew_each_other_and_are_waited_for() {
        let mut gossip = Gossip::new(member("a"), Moment(0));
        for name in ["b", "c"] {
            gossip.note(Member { state: State::Dead, ..member(name) }, Moment(0));
        }
        gossip.adopt(at(1));
        gossip.obey(Revision(1));
        gossip.tick(Moment(1));
        gossip.tick(Moment(500_000_000));
        assert_eq!(gossip.accepted(), Revision(0));
        gossip.listed(&BTreeSet::from(["a".parse().unwrap()]));
        gossip.tick(Moment(500_000_001));
        assert_eq!(gossip.accepted(), Revision(1));
    }
}
