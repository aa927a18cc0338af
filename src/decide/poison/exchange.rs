//! Messages between VMs about contents under which servers crash.
//!
//! Each VM reports which contents were open at a server when it crashed. In a small fleet it
//! reports to all others. In a large one a few aggregators, the same for all VMs, collect the
//! reports about a content, so that a crash costs a few messages and not one for each pair of VMs.
//! The VM that finds that a content must be quarantined informs all.

use serde::{Deserialize, Serialize};

use super::evidence::{
    Evidence, EvidenceChange, OpenRequest, QuarantinedContent, ServerIncarnation,
};
use crate::unit::{Digest, Moment, Span};

/// Maximum number of quarantined contents in a message, the most recent first; each takes some 24
/// bytes.
const MAX_QUARANTINED_PER_MESSAGE: usize = 100;

/// A message from one VM to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A server incarnation crashed with these requests open.
    ServerCrashed {
        /// The server incarnation.
        incarnation: ServerIncarnation,
        /// Requests of the sender that were open there.
        requests: Vec<OpenRequest>,
        /// Time since then.
        age: Span,
    },
    /// These contents are quarantined.
    Quarantined(Vec<QuarantinedContent>),
    /// A request whose content others suspect completed.
    Succeeded {
        /// The content.
        content: Digest,
        /// Time since then.
        age: Span,
    },
}

/// Recipients of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// All VMs; in a large fleet the neighbours, which forward it.
    All,
    /// The VMs that aggregate reports about this content; in a small fleet all VMs.
    Aggregators(Digest),
}

/// A message to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Its recipients.
    pub to: Recipients,
    /// The message.
    pub message: Message,
}

/// Change of a content's quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// A content is quarantined after this number of crashes.
    Quarantined(Digest, u32),
    /// The content is no longer quarantined.
    Released(Digest),
}

/// Effects of an event: messages to send and quarantine changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// Messages to other VMs.
    pub messages: Vec<Outgoing>,
    /// Quarantine changes at this VM.
    pub transitions: Vec<Transition>,
}

impl Effects {
    fn send(&mut self, to: Recipients, message: Message) {
        self.messages.push(Outgoing { to, message });
    }
}

/// How messages are spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topology {
    /// Full mesh: each VM sends to each other.
    Direct,
    /// Each VM sends to its neighbours and forwards what is new to it.
    Gossip,
}

/// Exchange of evidence at one VM.
#[derive(Clone, Debug, Default)]
pub struct Exchange {
    evidence: Evidence,
}

impl Exchange {
    /// Returns the number of server incarnations that crashed under a content if it is quarantined.
    pub fn quarantine_crashes(&self, content: &Digest, now: Moment) -> Option<u32> {
        self.evidence.quarantine_crashes(content, now)
    }

    /// Returns the quarantined contents, the most recent first and no more than fit into a message.
    pub fn quarantined(&self, now: Moment) -> Vec<QuarantinedContent> {
        self.evidence.quarantined(MAX_QUARANTINED_PER_MESSAGE, now)
    }

    /// Number of suspects, the quarantined contents included.
    pub fn suspect_count(&self) -> usize {
        self.evidence.len()
    }

    /// Drops expired evidence.
    pub fn expire(&mut self, now: Moment) {
        self.evidence.expire(now);
    }

    /// Handles the crash of a server incarnation with these requests of this VM open.
    pub fn on_server_crash(
        &mut self,
        incarnation: ServerIncarnation,
        requests: &[OpenRequest],
        topology: Topology,
        now: Moment,
    ) -> Effects {
        let mut effects = self.apply_crash(incarnation, requests, now, now);
        let chunk_size = if topology == Topology::Direct { requests.len() } else { 1 };
        for chunk in requests.chunks(chunk_size.max(1)) {
            let message = Message::ServerCrashed {
                incarnation,
                requests: chunk.to_vec(),
                age: Span::default(),
            };
            effects.send(Recipients::Aggregators(chunk[0].content), message);
        }
        effects
    }

    /// Handles the completion of a request of this VM.
    pub fn on_success(&mut self, content: Digest, now: Moment) -> Effects {
        let mut effects = Effects::default();
        if let EvidenceChange::Cleared { was_quarantined } =
            self.evidence.on_success(content, now, now)
        {
            effects.transitions.extend(was_quarantined.then_some(Transition::Released(content)));
            let to =
                if was_quarantined { Recipients::All } else { Recipients::Aggregators(content) };
            effects.send(to, Message::Succeeded { content, age: Span::default() });
        }
        effects
    }

    /// Handles a message from another VM.
    pub fn on_message(&mut self, message: &Message, topology: Topology, now: Moment) -> Effects {
        match message {
            Message::ServerCrashed { incarnation, requests, age } => {
                let mut effects =
                    self.apply_crash(*incarnation, requests, moment_before(now, *age), now);
                for request in requests {
                    self.report_success(
                        request.content,
                        Recipients::Aggregators(request.content),
                        now,
                        &mut effects,
                    );
                }
                effects
            }
            Message::Quarantined(reports) => self.on_quarantine_report(reports, topology, now, now),
            Message::Succeeded { content, age } => {
                self.on_success_report(*content, *age, topology, now)
            }
        }
    }

    /// Handles a list of quarantined contents from another VM, whose ages count from the moment
    /// `reported_at`.
    pub fn on_quarantine_report(
        &mut self,
        reports: &[QuarantinedContent],
        topology: Topology,
        reported_at: Moment,
        now: Moment,
    ) -> Effects {
        let mut effects = Effects::default();
        for QuarantinedContent { content, crashes, age } in reports {
            let change = self.evidence.on_quarantine_report(
                *content,
                *crashes,
                moment_before(reported_at, *age),
                now,
            );
            if change == EvidenceChange::Quarantined {
                effects.transitions.push(Transition::Quarantined(*content, *crashes));
            }
            self.report_success(*content, Recipients::All, now, &mut effects);
        }
        if !effects.transitions.is_empty() && topology == Topology::Gossip {
            effects.send(Recipients::All, Message::Quarantined(self.quarantined(now)));
        }
        effects
    }

    fn on_success_report(
        &mut self,
        content: Digest,
        age: Span,
        topology: Topology,
        now: Moment,
    ) -> Effects {
        let mut effects = Effects::default();
        let change = self.evidence.on_success(content, moment_before(now, age), now);
        if change == (EvidenceChange::Cleared { was_quarantined: true }) {
            effects.transitions.push(Transition::Released(content));
            if topology == Topology::Gossip {
                effects.send(Recipients::All, Message::Succeeded { content, age });
            }
        }
        effects
    }

    fn apply_crash(
        &mut self,
        incarnation: ServerIncarnation,
        requests: &[OpenRequest],
        at: Moment,
        now: Moment,
    ) -> Effects {
        let mut effects = Effects::default();
        for request in requests {
            if self.evidence.on_crash(*request, incarnation, at, now) == EvidenceChange::Quarantined
            {
                let crashes = self.quarantine_crashes(&request.content, now).unwrap_or_default();
                effects.transitions.push(Transition::Quarantined(request.content, crashes));
            }
        }
        if !effects.transitions.is_empty() {
            effects.send(Recipients::All, Message::Quarantined(self.quarantined(now)));
        }
        effects
    }

    /// Reports a recent success of a content that others suspect.
    fn report_success(&self, content: Digest, to: Recipients, now: Moment, effects: &mut Effects) {
        if let Some(age) = self.evidence.success_age(&content, now) {
            effects.send(to, Message::Succeeded { content, age });
        }
    }
}

fn moment_before(now: Moment, age: Span) -> Moment {
    Moment(now.0.saturating_sub(age.0))
}
