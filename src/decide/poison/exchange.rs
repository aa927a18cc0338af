//! Messages between VMs about the digests of requests (of their contents, and of the shared parts of
//! their prompts) under which servers crash.
//!
//! Each VM reports which of its requests were open at a server when the server crashed: in a small
//! fleet to all other VMs, in a large one to a few aggregators. The aggregators of a digest, which
//! every VM computes alike, collect all reports about it, so that a crash costs a few messages and
//! not one for each pair of VMs. The VM that finds that a digest must be quarantined informs all.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::evidence::{
    BrokenRequest, Evidence, EvidenceChange, QuarantinedContent, ServerIncarnation, Transition,
};
use super::fingerprint::Fingerprint;
use super::report::{self, OpenRequest};
use crate::unit::{Digest, Moment, Span};

/// Maximum number of quarantined digests in a message; each takes some 24 bytes. The ones with the
/// most recent crashes are sent.
const MAX_QUARANTINED_PER_MESSAGE: usize = 100;

/// Number of the most recent quarantined digests that the announcement of a new one repeats, for VMs
/// that missed an earlier announcement.
const REPEATED_ANNOUNCEMENTS: usize = 8;

/// A message from one VM to another about contents under which servers crash.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A server incarnation crashed with these requests open.
    ServerCrashed {
        /// The server incarnation that crashed.
        incarnation: ServerIncarnation,
        /// Requests of the sending VM that were open at the server, as [`report`] encodes them.
        requests: Vec<OpenRequest>,
        /// Time since the crash, when the message was sent.
        age: Span,
    },
    /// The sending VM has quarantined these digests.
    Quarantined(Vec<QuarantinedContent>),
    /// A request ran well that has a digest which other VMs suspect.
    Succeeded {
        /// The digest.
        content: Digest,
        /// Time since the request ran well, when the message was sent.
        age: Span,
    },
}

/// VMs that a message is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// All VMs. In a large fleet the message is sent to neighbours, which forward it.
    All,
    /// The VMs that aggregate reports about this digest; in a small fleet all VMs.
    Aggregators(Digest),
}

/// A message to send, with its recipients.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The VMs that the message is sent to.
    pub to: Recipients,
    /// The message to send.
    pub message: Message,
}

/// Effects of an event (a crash, a success or a received message), which the caller carries out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// Messages to send to other VMs.
    pub messages: Vec<Outgoing>,
    /// Quarantines that start or end at this VM, for the log.
    pub transitions: Vec<Transition>,
}

impl Effects {
    fn send(&mut self, to: Recipients, message: Message) {
        self.messages.push(Outgoing { to, message });
    }

    /// Returns the number of quarantines that start.
    fn new_quarantines(&self) -> usize {
        let starts = |one: &&Transition| matches!(one, Transition::Quarantined(..));
        self.transitions.iter().filter(starts).count()
    }
}

/// How messages reach all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topology {
    /// Full mesh: each VM sends its messages to every other VM.
    Direct,
    /// Each VM sends to its neighbours only, and forwards what is new to it.
    Gossip,
}

/// One VM's evidence about the digests of requests, and its exchange with other VMs.
#[derive(Clone, Debug, Default)]
pub struct Exchange {
    evidence: Evidence,
}

impl Exchange {
    /// Returns the digest for which a request is refused, if there is one.
    pub fn refusal_cause(&self, request: &Fingerprint, now: Moment) -> Option<Digest> {
        self.evidence.refusal_cause(request, now)
    }

    /// Returns true if a request may be quarantined in case this number of further servers has
    /// crashed under it.
    pub fn would_be_quarantined(&self, request: &Fingerprint, further_crashes: usize) -> bool {
        self.evidence.would_be_quarantined(request, further_crashes)
    }

    /// Returns true if there is evidence against a digest of a request.
    pub fn is_suspect(&self, request: &Fingerprint) -> bool {
        self.evidence.is_suspect(request)
    }

    /// Returns the quarantined digests, the most recent first and no more than fit into a message.
    pub fn quarantined(&self, now: Moment) -> Vec<QuarantinedContent> {
        self.evidence.quarantined(MAX_QUARANTINED_PER_MESSAGE, now)
    }

    /// Returns the number of suspects, the quarantined digests included.
    pub fn suspect_count(&self) -> usize {
        self.evidence.len()
    }

    /// Drops evidence against digests under which no server crashed recently.
    pub fn expire(&mut self, now: Moment) {
        self.evidence.expire(now);
    }

    /// Handles the crash of a server incarnation that this VM observed, with `requests` of this VM
    /// open at the server.
    ///
    /// The shared parts of a request that was stable count as run well. Digests that ran well
    /// recently are not reported.
    pub fn on_server_crash(
        &mut self,
        incarnation: ServerIncarnation,
        requests: &[BrokenRequest],
        topology: Topology,
        now: Moment,
    ) -> Effects {
        let mut effects = Effects::default();
        for request in requests.iter().filter(|request| request.was_stable) {
            self.apply_success(request.fingerprint.shared_parts(), now, &mut effects);
        }
        let suspected: Vec<BrokenRequest> =
            requests.iter().filter_map(|request| self.suspected(request, now)).collect();
        self.apply_crash(incarnation, &suspected, now, now, &mut effects);
        match topology {
            Topology::Direct => {
                let to = suspected.first().map(|first| first.fingerprint.content());
                let message = crash_report(incarnation, &suspected);
                to.into_iter().for_each(|to| {
                    effects.send(Recipients::Aggregators(to), message.clone());
                });
            }
            Topology::Gossip => {
                for request in &suspected {
                    let message = crash_report(incarnation, std::slice::from_ref(request));
                    for digest in request.suspects() {
                        effects.send(Recipients::Aggregators(*digest), message.clone());
                    }
                }
            }
        }
        effects
    }

    /// Returns a broken request without the digests that ran well recently; none if nothing is
    /// left.
    fn suspected(&self, request: &BrokenRequest, now: Moment) -> Option<BrokenRequest> {
        let is_suspected = |digest: &&Digest| self.evidence.success_age(digest, now).is_none();
        let digests: Vec<Digest> =
            request.suspects().iter().filter(is_suspected).copied().collect();
        (!digests.is_empty())
            .then(|| BrokenRequest { fingerprint: digests.into(), was_stable: request.was_stable })
    }

    /// Handles a request of this VM that ran well: clears its digests, and informs other VMs of
    /// those that were suspects.
    pub fn on_success(&mut self, digests: &[Digest], now: Moment) -> Effects {
        let mut effects = Effects::default();
        self.apply_success(digests, now, &mut effects);
        effects
    }

    fn apply_success(&mut self, digests: &[Digest], now: Moment, effects: &mut Effects) {
        for digest in digests {
            let change = self.evidence.on_success(*digest, now, now);
            if let EvidenceChange::Cleared { was_quarantined } = change {
                let to = match was_quarantined {
                    true => Recipients::All,
                    false => Recipients::Aggregators(*digest),
                };
                effects.send(to, Message::Succeeded { content: *digest, age: Span::default() });
            }
        }
        self.add_transitions(effects);
    }

    /// Handles a message from another VM.
    pub fn on_message(&mut self, message: &Message, topology: Topology, now: Moment) -> Effects {
        match message {
            Message::ServerCrashed { incarnation, requests, age } => {
                let mut effects = Effects::default();
                let requests = report::decode(requests);
                let at = moment_before(now, *age);
                self.apply_crash(*incarnation, &requests, at, now, &mut effects);
                // A digest that ran well here recently is cleared of the crash. The aggregators may
                // not know of that: a VM reports a success at once only for a suspect.
                let reported: BTreeSet<Digest> =
                    requests.iter().flat_map(BrokenRequest::suspects).copied().collect();
                for digest in reported {
                    self.report_success(digest, Recipients::Aggregators(digest), now, &mut effects);
                }
                effects
            }
            Message::Quarantined(reports) => self.on_quarantine_report(reports, topology, now, now),
            Message::Succeeded { content, age } => {
                self.on_success_report(*content, *age, topology, now)
            }
        }
    }

    /// Handles a list of quarantined digests from another VM, whose ages count from the moment
    /// `reported_at`.
    pub fn on_quarantine_report(
        &mut self,
        reports: &[QuarantinedContent],
        topology: Topology,
        reported_at: Moment,
        now: Moment,
    ) -> Effects {
        let mut effects = Effects::default();
        let mut is_any_new = false;
        for QuarantinedContent { content, crashes, age } in reports {
            let last_crash = moment_before(reported_at, *age);
            let change = self.evidence.on_quarantine_report(*content, *crashes, last_crash, now);
            is_any_new |= change == EvidenceChange::Quarantined;
            self.report_success(*content, Recipients::All, now, &mut effects);
        }
        self.add_transitions(&mut effects);
        if is_any_new && topology == Topology::Gossip {
            self.announce_quarantines(now, &mut effects);
        }
        effects
    }

    /// Handles another VM's message that a request with a suspected digest ran well.
    fn on_success_report(
        &mut self,
        digest: Digest,
        age: Span,
        topology: Topology,
        now: Moment,
    ) -> Effects {
        let mut effects = Effects::default();
        let change = self.evidence.on_success(digest, moment_before(now, age), now);
        self.add_transitions(&mut effects);
        let is_released = change == EvidenceChange::Cleared { was_quarantined: true };
        if is_released && topology == Topology::Gossip {
            effects.send(Recipients::All, Message::Succeeded { content: digest, age });
        }
        effects
    }

    /// Records a crash, and announces digests that are quarantined because of it to all VMs.
    fn apply_crash(
        &mut self,
        incarnation: ServerIncarnation,
        requests: &[BrokenRequest],
        at: Moment,
        now: Moment,
        effects: &mut Effects,
    ) {
        for request in requests {
            self.evidence.on_crash(request, incarnation, at, now);
        }
        self.add_transitions(effects);
        if effects.new_quarantines() > 0 {
            self.announce_quarantines(now, effects);
        }
    }

    /// Adds a message to `effects` that announces the quarantines that have just started.
    fn announce_quarantines(&self, now: Moment, effects: &mut Effects) {
        let limit = effects.new_quarantines() + REPEATED_ANNOUNCEMENTS;
        let reports = self.evidence.quarantined(limit.min(MAX_QUARANTINED_PER_MESSAGE), now);
        effects.send(Recipients::All, Message::Quarantined(reports));
    }

    /// Adds the quarantines that started or ended to `effects`.
    fn add_transitions(&mut self, effects: &mut Effects) {
        effects.transitions.extend(self.evidence.take_transitions());
    }

    /// Adds a message to `effects` if a digest that another VM suspects ran well recently at this
    /// VM.
    fn report_success(&self, digest: Digest, to: Recipients, now: Moment, effects: &mut Effects) {
        if let Some(age) = self.evidence.success_age(&digest, now) {
            effects.send(to, Message::Succeeded { content: digest, age });
        }
    }
}

/// Returns the report of a crash with these requests open.
fn crash_report(incarnation: ServerIncarnation, requests: &[BrokenRequest]) -> Message {
    let requests = report::encode(requests);
    Message::ServerCrashed { incarnation, requests, age: Span::default() }
}

/// Returns the moment that was `age` before `now`.
fn moment_before(now: Moment, age: Span) -> Moment {
    Moment(now.0.saturating_sub(age.0))
}
