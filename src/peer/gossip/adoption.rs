//! Adoption of configuration revisions by all VMs, and the lease under which a VM starts work.
//!
//! A VM *adopts* a revision when it starts to use it for new work, and *enforces* it when all work
//! that it sends from then on follows it. A VM that enforces a new revision reports it to the
//! accepters. These mark the revision as *accepted* when no VM can start work under an older one
//! any more: each VM has reported it, is gone, or is unreachable for longer than its start lease
//! lasts.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::{Gossip, Outgoing, START_LEASE};
use crate::config::{Piece, Root, Snapshot};
use crate::peer::wire::{ConfigStatus, Frame};
use crate::peer::{Member, State, rendezvous_order};
use crate::unit::{Moment, Revision, Span, Vm};

/// Time that an accepter waits beyond `START_LEASE`, because clocks of VMs run at different rates.
pub(super) const START_LEASE_MARGIN: Span = Span::secs(2);

/// Number of VMs (accepters) that collect adoptions and decide that a revision is accepted.
const ACCEPTER_COUNT: usize = 2;

/// Interval at which a VM repeats the report of its adoption until the revision is accepted.
const ADOPTION_RETRY_INTERVAL: Span = Span::secs(1);

/// Time before the same revision is requested again. Several neighbours announce a new revision at
/// about the same time, and one reply suffices.
const CONFIG_RETRY_INTERVAL: Span = Span::millis(300);

impl Gossip {
    /// Returns true if this VM may start work: it has a configuration, an accepter knows it, and
    /// its last contact is less than `START_LEASE` ago.
    pub fn may_start(&self, now: Moment) -> bool {
        let contact = self.last_contact.is_some_and(|at| now.since(at) < START_LEASE);
        contact && self.revision() > Revision(0) && self.adoption_acked
    }

    /// Returns the end of the time in which this VM may start work, or `Moment(0)` if it may not
    /// now.
    pub fn start_lease_until(&self, now: Moment) -> Moment {
        match self.last_contact {
            Some(at) if self.may_start(now) => at + START_LEASE,
            _ => Moment(0),
        }
    }

    /// Records that the store answered a call sent at `sent` and that its root is not newer than
    /// the one adopted here.
    pub fn on_store_contact(&mut self, sent: Moment) {
        self.last_contact = self.last_contact.max(Some(sent));
        self.store_read_at = self.store_read_at.max(Some(sent));
        if self.other_count() == 0 {
            self.adoption_acked = true;
        }
    }

    /// Sets the VMs that the platform lists now; accepters don't wait for any other VM.
    pub fn set_listed_vms(&mut self, listed: &BTreeSet<Vm>) {
        let gone = self.known.keys().filter(|vm| !listed.contains(*vm));
        self.unlisted = gone.cloned().collect();
    }

    /// Adopts a configuration from the store or another VM and announces it to all neighbours.
    ///
    /// Returns false and changes nothing if its revision is not higher than the present one.
    pub fn adopt(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.revision() <= self.revision() {
            return false;
        }
        self.snapshot = Arc::new(snapshot);
        self.probe_all = true;
        true
    }

    /// Records that all work that this VM sends from now on follows `revision`, and reports that to
    /// the accepters with the next tick.
    pub fn set_enforced_revision(&mut self, revision: Revision) {
        if revision > self.enforced_revision {
            self.enforced_revision = revision;
            self.adoption_sent_at = Moment(0);
            let adopted = (self.me.incarnation, revision);
            self.adopted.insert(self.me.vm.clone(), adopted);
        }
    }

    /// Returns true if this VM is one of those that collect adoptions.
    pub fn is_accepter(&self) -> bool {
        self.accepters().contains(&self.me.vm)
    }

    pub(super) fn accepters(&self) -> Vec<Vm> {
        let present = self.present().map(|member| &member.vm);
        rendezvous_order("accepter", present).into_iter().take(ACCEPTER_COUNT).cloned().collect()
    }

    /// Returns the VMs that have not reported the present revision in their present incarnation.
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

    /// Marks the present revision as accepted if this VM is an accepter and each VM enforces the
    /// revision, is not listed by the platform any more, or is the only one missing, dead, and its
    /// start lease has run out.
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
            // A single VM can only have contact with VMs that enforce the revision already, which
            // does not renew its lease before it adopts the revision too (see `on_ack`). Two or
            // more could renew each other's leases.
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

    /// Reports the enforced revision to the accepters, if that is due.
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

    /// Takes over the accepted revision of another VM, unless it is ahead of the configuration
    /// here.
    pub(super) fn merge_accepted(&mut self, status: ConfigStatus) {
        if status.accepted > self.accepted && status.accepted <= self.revision() {
            self.accepted = status.accepted;
        }
    }

    /// Requests the configuration of `from` if its revision is higher than the one here.
    pub(super) fn request_config(
        &mut self,
        from: &Member,
        status: ConfigStatus,
        now: Moment,
        out: &mut Vec<Outgoing>,
    ) {
        let requested = self.last_request.0 >= status.revision
            && now.since(self.last_request.1) < CONFIG_RETRY_INTERVAL;
        if status.revision > self.revision() && !requested {
            self.last_request = (status.revision, now);
            out.push((from.clone(), self.config_request()));
        }
    }

    /// Returns a frame that requests a newer configuration than the one here.
    pub fn config_request(&self) -> Frame {
        let pieces = self.snapshot.pieces.keys().cloned().collect();
        Frame::ConfigRequest { have: self.revision(), pieces }
    }

    /// Returns the reply to a request for the configuration; nothing if `to` is unknown or up to
    /// date.
    pub(super) fn config_reply(&self, to: &Vm, have: Revision, pieces: &[String]) -> Vec<Outgoing> {
        let Some(member) = self.member(to) else {
            return Vec::new();
        };
        if self.revision() <= have {
            return Vec::new();
        }
        let available: BTreeSet<&String> = pieces.iter().collect();
        let lacking = self.snapshot.pieces.values().filter(|p| !available.contains(&p.digest));
        let root = serde_json::to_vec(&self.snapshot.root).expect("a root is plain data");
        let pieces = lacking.map(|piece| Piece::clone(piece)).collect();
        vec![(member.clone(), Frame::Config { root, pieces })]
    }

    /// Adopts a configuration received from a peer; one that is invalid, incomplete or not newer is
    /// ignored.
    pub(super) fn on_config(&mut self, root: &[u8], pieces: Vec<Piece>) {
        let Ok(root) = serde_json::from_slice::<Root>(root) else {
            return;
        };
        if root.revision <= self.revision() {
            return;
        }
        let mut available = self.snapshot.pieces.clone();
        available.extend(pieces.into_iter().map(|p| (p.digest.clone(), Arc::new(p))));
        if let Ok(snapshot) = Snapshot::resolve(root, available) {
            self.adopt(snapshot);
        }
    }
}
