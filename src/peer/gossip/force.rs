//! Which revision is in force here and everywhere, and the permit to start work.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::{Gossip, Out, PERMIT};
use crate::config::{Piece, Root, Snapshot};
use crate::peer::wire::{Frame, Stand};
use crate::peer::{Member, State, ranked};
use crate::unit::{Moment, Revision, Span, Vm};

/// Added to `PERMIT` by an accepter, for clocks that do not run alike.
pub(super) const PERMIT_MARGIN: Span = Span::secs(2);

/// VMs that collect adoptions and find a revision accepted.
const ACCEPTERS: usize = 2;

/// An adoption is told again after this until it is accepted.
const TELL_AGAIN: Span = Span::secs(1);

/// A configuration that was asked for is not asked for again within this, though several
/// neighbours bring the news.
const ASK_AGAIN: Span = Span::millis(300);

impl Gossip {
    /// Whether this VM may start work: it has a configuration, is known to an accepter, and had
    /// contact within the permit.
    pub fn may_start(&self, now: Moment) -> bool {
        let contact = self.contact.is_some_and(|at| now.since(at) < PERMIT);
        contact && self.revision() > Revision(0) && self.noted
    }

    /// Until when this VM may start work; a moment long past if it may not.
    pub fn permit_until(&self, now: Moment) -> Moment {
        match self.contact {
            Some(at) if self.may_start(now) => at + PERMIT,
            _ => Moment(0),
        }
    }

    /// The store answered a call that was sent at `sent` and holds no later root than ours.
    pub fn store_contact(&mut self, sent: Moment) {
        self.contact = self.contact.max(Some(sent));
        self.fresh = self.fresh.max(Some(sent));
        if self.others() == 0 {
            self.noted = true;
        }
    }

    /// The platform's list of VMs as it is told now.
    pub fn listed(&mut self, listed: &BTreeSet<Vm>) {
        let gone = self.known.keys().filter(|vm| !listed.contains(*vm));
        self.unlisted = gone.cloned().collect();
    }

    /// Takes a configuration, from the store or a peer; an older one changes nothing.
    ///
    /// Returns whether it was taken.
    pub fn adopt(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.revision() <= self.revision() {
            return false;
        }
        self.snapshot = Arc::new(snapshot);
        self.urgent = true;
        true
    }

    /// All work that this VM sends from now on obeys `revision`; the accepters are told.
    pub fn obey(&mut self, revision: Revision) {
        if revision > self.obeyed {
            self.obeyed = revision;
            self.told_adoption = Moment(0);
            let life = (self.me.incarnation, revision);
            self.adopted.insert(self.me.vm.clone(), life);
        }
    }

    /// Whether this VM is among those that collect adoptions.
    pub fn is_accepter(&self) -> bool {
        self.accepters().contains(&self.me.vm)
    }

    pub(super) fn accepters(&self) -> Vec<Vm> {
        let present = self.present().map(|member| &member.vm);
        ranked("accepter", present).into_iter().take(ACCEPTERS).cloned().collect()
    }

    /// The VMs that a pending change waits for.
    pub fn waiting_for(&self) -> Vec<Vm> {
        let revision = self.revision();
        let lacks = |member: &&Member| {
            let adopted = self.adopted.get(&member.vm);
            !adopted.is_some_and(|(life, r)| *life == member.incarnation && *r >= revision)
        };
        let lacking = self.members().filter(|member| member.state != State::Left);
        lacking.filter(lacks).map(|member| member.vm.clone()).collect()
    }

    /// Finds the revision accepted if everyone obeys it, is gone, or is alone and lapsed.
    pub(super) fn accept(&mut self, now: Moment) {
        let revision = self.revision();
        if self.accepted >= revision || !self.is_accepter() {
            return;
        }
        let waiting = self.waiting_for();
        let unreachable: Vec<&Vm> =
            waiting.iter().filter(|vm| !self.unlisted.contains(*vm)).collect();
        let lapsing = match unreachable.as_slice() {
            [] => {
                self.accepted = revision;
                return;
            }
            // One VM alone has no one to renew its permit but those that obey already.
            [one] => self.member(one).is_some_and(|member| member.state == State::Dead),
            _ => false,
        };
        if !lapsing {
            self.complete_since = None;
            return;
        }
        match self.complete_since {
            Some((of, since)) if of == revision => {
                if now.since(since) >= Span(PERMIT.0 + PERMIT_MARGIN.0) {
                    self.accepted = revision;
                }
            }
            _ => self.complete_since = Some((revision, now)),
        }
    }

    pub(super) fn tell_adoption(&mut self, now: Moment, out: &mut Vec<Out>) {
        let pending = self.accepted < self.revision() || !self.noted;
        let due = now.since(self.told_adoption) >= TELL_AGAIN || self.told_adoption == Moment(0);
        if !pending || !due || self.revision() == Revision(0) {
            return;
        }
        self.told_adoption = now.max(Moment(1));
        let accepters = self.accepters();
        if accepters.contains(&self.me.vm) && self.others() > 0 && self.contact.is_some() {
            self.noted = true;
        }
        for vm in accepters.iter().filter(|vm| **vm != self.me.vm) {
            if let Some(member) = self.member(vm).cloned() {
                let frame = Frame::Adopted {
                    obeyed: self.obeyed,
                    me: self.me.clone(),
                    stand: self.stand(now),
                };
                out.push((member, frame));
            }
        }
    }

    pub(super) fn raise(&mut self, stand: Stand) {
        if stand.accepted > self.accepted && stand.accepted <= self.revision() {
            self.accepted = stand.accepted;
        }
    }

    /// Asks a VM for a later configuration.
    pub(super) fn catch_up(
        &mut self,
        from: &Member,
        stand: Stand,
        now: Moment,
        out: &mut Vec<Out>,
    ) {
        let asked = self.asked.0 >= stand.revision && now.since(self.asked.1) < ASK_AGAIN;
        if stand.revision > self.revision() && !asked {
            self.asked = (stand.revision, now);
            out.push((from.clone(), self.want()));
        }
    }

    /// A question for the configuration.
    pub fn want(&self) -> Frame {
        let pieces = self.snapshot.pieces.keys().cloned().collect();
        Frame::Want { have: self.revision(), pieces }
    }

    pub(super) fn hand(&self, to: &Vm, have: Revision, pieces: &[String]) -> Vec<Out> {
        let Some(member) = self.member(to) else {
            return Vec::new();
        };
        if self.revision() <= have {
            return Vec::new();
        }
        let held: BTreeSet<&String> = pieces.iter().collect();
        let lacking = self.snapshot.pieces.values().filter(|p| !held.contains(&p.digest));
        let root = serde_json::to_vec(&self.snapshot.root).expect("a root is plain data");
        let pieces = lacking.map(|piece| Piece::clone(piece)).collect();
        vec![(member.clone(), Frame::Config { root, pieces })]
    }

    pub(super) fn take_config(&mut self, root: &[u8], pieces: Vec<Piece>) {
        let Ok(root) = serde_json::from_slice::<Root>(root) else {
            return;
        };
        if root.revision <= self.revision() {
            return;
        }
        let mut held = self.snapshot.pieces.clone();
        held.extend(pieces.into_iter().map(|p| (p.digest.clone(), Arc::new(p))));
        if let Ok(snapshot) = Snapshot::resolve(root, held) {
            self.adopt(snapshot);
        }
    }
}
