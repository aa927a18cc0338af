//! Messages between VMs about request contents (digests of what requests ask for) under which
//! servers crash.
//!
//! Each VM reports which of its contents were open at a server when the server crashed: in a small
//! fleet to all other VMs, in a large one to a few aggregators. The aggregators of a content, which
//! every VM computes alike, collect all reports about it, so that a crash costs a few messages and
//! not one for each pair of VMs. The VM that finds that a content must be quarantined informs all.

use serde::{Deserialize, Serialize};

use super::evidence::{
    Evidence, EvidenceChange, OpenRequest, QuarantinedContent, ServerIncarnation,
};
use crate::unit::{Digest, Moment, Span};

/// Maximum number of quarantined contents in a message; each takes some 24 bytes. The ones with the
/// most recent crashes are sent.
const MAX_QUARANTINED_PER_MESSAGE: usize = 100;

/// A message from one VM to another about contents under which servers crash.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A server incarnation crashed with these requests open.
    ServerCrashed {
        /// The server incarnation that crashed.
        incarnation: ServerIncarnation,
        /// Requests of the sending VM that were open at the server.
        requests: Vec<OpenRequest>,
        /// Time since the crash, when the message was sent.
        age: Span,
    },
    /// The sending VM has quarantined these contents.
    Quarantined(Vec<QuarantinedContent>),
    /// A request completed whose content other VMs suspect.
    Succeeded {
        /// Digest of the content of the completed request.
        content: Digest,
        /// Time since the completion, when the message was sent.
        age: Span,
    },
}

/// VMs that a message is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// All VMs. In a large fleet the message is sent to neighbours, which forward it.
    All,
    /// The VMs that aggregate reports about this content; in a small fleet all VMs.
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

/// Start or end of a quarantine at this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The content is now quarantined, after this number of server crashes.
    Quarantined(Digest, u32),
    /// The content is no longer quarantined.
    Released(Digest),
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
}

/// How messages reach all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topology {
    /// Full mesh: each VM sends its messages to every other VM.
    Direct,
    /// Each VM sends to its neighbours only, and forwards what is new to it.
    Gossip,
}

/// One VM's evidence about contents, and its exchange with other VMs.
#[derive(Clone, Debug, Default)]
pub struct Exchange {
    evidence: Evidence,
}

impl Exchange {
    /// Returns the number of server incarnations that crashed under a content if the content is
    /// quarantined, else none.
    pub fn quarantine_crashes(&self, content: &Digest, now: Moment) -> Option<u32> {
        self.evidence.quarantine_crashes(content, now)
    }

    /// Returns true if a content is quarantined in case this number of further servers has crashed
    /// under it.
    pub fn would_be_quarantined(&self, content: &Digest, further_crashes: usize) -> bool {
        self.evidence.would_be_quarantined(content, further_crashes)
    }

    /// Returns true if there is evidence against a content.
    pub fn is_suspect(&self, content: &Digest) -> bool {
        self.evidence.is_suspect(content)
    }

    /// Returns the quarantined contents, the most recent first and no more than fit into a message.
    pub fn quarantined(&self, now: Moment) -> Vec<QuarantinedContent> {
        self.evidence.quarantined(MAX_QUARANTINED_PER_MESSAGE, now)
    }

    /// Returns the number of suspects, the quarantined contents included.
    pub fn suspect_count(&self) -> usize {
        self.evidence.len()
    }

    /// Drops evidence against contents under which no server crashed recently.
    pub fn expire(&mut self, now: Moment) {
        self.evidence.expire(now);
    }

    /// Handles the crash of a server incarnation that this VM observed, with `requests` of this VM
    /// open at the server.
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

    /// Handles the completion of a request of this VM: clears its content, and informs other VMs if
    /// the content was a suspect.
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
                // A content that completed here recently is cleared of the crash. The aggregators
                // may not know of that: a VM reports a success at once only for a suspect.
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

    /// Handles another VM's message that a request with a suspected content completed.
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

    /// Records a crash, and announces contents that are quarantined because of it to all VMs.
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

    /// Adds a message to `effects` if a content that another VM suspects has completed recently at
    /// this VM.
    fn report_success(&self, content: Digest, to: Recipients, now: Moment, effects: &mut Effects) {
        if let Some(age) = self.evidence.success_age(&content, now) {
            effects.send(to, Message::Succeeded { content, age });
        }
    }
}

/// Returns the moment that was `age` before `now`.
fn moment_before(now: Moment, age: Span) -> Moment {
    Moment(now.0.saturating_sub(age.0))
}
