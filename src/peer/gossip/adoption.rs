//! Which revision is in force here and everywhere, and the permit to start work.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::{Gossip, Outgoing, START_LEASE};
use crate::config::{Piece, Root, Snapshot};
use crate::peer::wire::{ConfigStatus, Frame};
use crate::peer::{Member, State, rendezvous_order};
use crate::unit::{Moment, Revision, Span, Vm};

/// Added to `START_LEASE` by an accepter, for clocks that do not run alike.
pub(super) const START_LEASE_MARGIN: Span = Span::secs(2);

/// VMs that collect adoptions and find a revision accepted.
const ACCEPTER_COUNT: usize = 2;

/// An adoption is told again after this until it is accepted.
const ADOPTION_RETRY_INTERVAL: Span = Span::secs(1);

/// A configuration that was asked for is not asked for again within this, though several
/// neighbours bring the news.
const CONFIG_RETRY_INTERVAL: Span = Span::millis(300);

impl Gossip {
    /// Whether this VM may start work: it has a configuration, is known to an accepter, and had
    /// contact within the permit.
    pub fn may_start(&self, now: Moment) -> bool {
        let contact = self.last_contact.is_some_and(|at| now.since(at) < START_LEASE);
        contact && self.revision() > Revision(0) && self.adoption_acked
    }

    /// Until when this VM may start work; a moment long past if it may not.
    pub fn start_lease_until(&self, now: Moment) -> Moment {
        match self.last_contact {
            Some(at) if self.may_start(now) => at + START_LEASE,
            _ => Moment(0),
        }
    }

    /// The store answered a call that was sent at `sent` and holds no later root than ours.
    pub fn on_store_contact(&mut self, sent: Moment) {
        self.last_contact = self.last_contact.max(Some(sent));
        self.store_read_at = self.store_read_at.max(Some(sent));
        if self.other_count() == 0 {
            self.adoption_acked = true;
        }
    }

    /// The platform's list of VMs as it is told now.
    pub fn set_listed_vms(&mut self, listed: &BTreeSet<Vm>) {
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
        self.probe_all = true;
        true
    }

    /// All work that this VM sends from now on obeys `revision`; the accepters are told.
    pub fn set_enforced_revision(&mut self, revision: Revision) {
        if revision > self.enforced_revision {
            self.enforced_revision = revision;
            self.adoption_sent_at = Moment(0);
            let adopted = (self.me.incarnation, revision);
            self.adopted.insert(self.me.vm.clone(), adopted);
        }
    }

    /// Whether this VM is among those that collect adoptions.
    pub fn is_accepter(&self) -> bool {
        self.accepters().contains(&self.me.vm)
    }

    pub(super) fn accepters(&self) -> Vec<Vm> {
        let present = self.present().map(|member| &member.vm);
        rendezvous_order("accepter", present).into_iter().take(ACCEPTER_COUNT).cloned().collect()
    }

    /// The VMs that a pending change waits for.
    pub fn vms_pending(&self) -> Vec<Vm> {
        let revision = self.revision();
        let lacks = |member: &&Member| {
            let adopted = self.adopted.get(&member.vm);
            !adopted.is_some_and(|(incarnation, r)| {
                *incarnation == member.incarnation && *r >= revision
            })
        };
        let lacking = self.members().filter(|member| member.state != State::Left);
        lacking.filter(lacks).map(|member| member.vm.clone()).collect()
    }

    /// Finds the revision accepted if everyone obeys it, is gone, or is alone and lapsed.
    pub(super) fn try_accept(&mut self, now: Moment) {
        let revision = self.revision();
        if self.accepted >= revision || !self.is_accepter() {
            return;
        }
        let pending = self.vms_pending();
        let unreachable: Vec<&Vm> =
            pending.iter().filter(|vm| !self.unlisted.contains(*vm)).collect();
        let is_lone_dead = match unreachable.as_slice() {
            [] => {
                self.accepted = revision;
                return;
            }
            // One VM alone has no one to renew its permit but those that obey already.
            [one] => self.member(one).is_some_and(|member| member.state == State::Dead),
            _ => false,
        };
        if !is_lone_dead {
            self.lone_dead_since = None;
            return;
        }
        match self.lone_dead_since {
            Some((of, since)) if of == revision => {
                if now.since(since) >= Span(START_LEASE.0 + START_LEASE_MARGIN.0) {
                    self.accepted = revision;
                }
            }
            _ => self.lone_dead_since = Some((revision, now)),
        }
    }

    pub(super) fn send_adoption(&mut self, now: Moment, out: &mut Vec<Outgoing>) {
        let pending = self.accepted < self.revision() || !self.adoption_acked;
        let due = now.since(self.adoption_sent_at) >= ADOPTION_RETRY_INTERVAL
            || self.adoption_sent_at == Moment(0);
        if !pending || !due || self.revision() == Revision(0) {
            return;
        }
        self.adoption_sent_at = now.max(Moment(1));
        let accepters = self.accepters();
        if accepters.contains(&self.me.vm) && self.other_count() > 0 && self.last_contact.is_some()
        {
            self.adoption_acked = true;
        }
        for vm in accepters.iter().filter(|vm| **vm != self.me.vm) {
            if let Some(member) = self.member(vm).cloned() {
                let frame = Frame::Adopted {
                    enforced_revision: self.enforced_revision,
                    me: self.me.clone(),
                    status: self.status(now),
                };
                out.push((member, frame));
            }
        }
    }

    pub(super) fn merge_accepted(&mut self, status: ConfigStatus) {
        if status.accepted > self.accepted && status.accepted <= self.revision() {
            self.accepted = status.accepted;
        }
    }

    /// Asks a VM for a later configuration.
    pub(super) fn request_config(
        &mut self,
        from: &Member,
        status: ConfigStatus,
        now: Moment,
        out: &mut Vec<Outgoing>,
    ) {
        let asked = self.last_request.0 >= status.revision
            && now.since(self.last_request.1) < CONFIG_RETRY_INTERVAL;
        if status.revision > self.revision() && !asked {
            self.last_request = (status.revision, now);
            out.push((from.clone(), self.config_request()));
        }
    }

    /// A question for the configuration.
    pub fn config_request(&self) -> Frame {
        let pieces = self.snapshot.pieces.keys().cloned().collect();
        Frame::ConfigRequest { have: self.revision(), pieces }
    }

    pub(super) fn config_reply(&self, to: &Vm, have: Revision, pieces: &[String]) -> Vec<Outgoing> {
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

    pub(super) fn on_config(&mut self, root: &[u8], pieces: Vec<Piece>) {
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
