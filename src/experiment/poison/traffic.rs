//! Requests of the simulated callers: their contents and the parts of their prompts.

use rand::Rng;
use rand::rngs::SmallRng;

use crate::decide::poison::Fingerprint;
use crate::unit::{Digest, digest};

/// What crashes servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Culprit {
    /// The same request, over and over.
    Content,
    /// A shared part of prompts that are different otherwise. The first culprit stands in the first
    /// place, before a subject that others ask about; the second one stands for the subject; the
    /// third one does too, and a rare part of other requests always follows it.
    Part,
}

impl Culprit {
    /// Returns the name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Culprit::Content => "content",
            Culprit::Part => "part",
        }
    }
}

/// Number of system prompts, each the first part of many prompts.
const TEMPLATES: u64 = 10;

/// Number of subjects, the second part of prompts, for each VM.
const SUBJECTS_PER_VM: u64 = 5;

/// Fraction of the innocent requests that have the same content.
const SAME_CONTENT_SHARE: f64 = 0.3;

/// Fraction of the innocent requests with the rare part.
const RARE_PART_SHARE: f64 = 0.01;

/// Draws requests.
pub struct Traffic {
    culprit: Culprit,
    subjects: u64,
    requests: u64,
}

impl Traffic {
    /// Creates the traffic of a fleet of `vms` VMs.
    pub fn new(culprit: Culprit, vms: usize) -> Traffic {
        Traffic { culprit, subjects: SUBJECTS_PER_VM * vms as u64, requests: 0 }
    }

    /// Returns the number of crashes by one culprit that the users accept.
    pub fn accepted_crashes(&self) -> u32 {
        match self.culprit {
            Culprit::Content => 3,
            Culprit::Part => 5,
        }
    }

    /// Returns the digest of the culprit with this index.
    pub fn culprit(&self, index: usize) -> Digest {
        named("culprit", index as u64)
    }

    /// Returns the next request: one with the culprit of this index, or an innocent one.
    pub fn draw(&mut self, culprit: Option<usize>, rng: &mut SmallRng) -> Fingerprint {
        self.requests += 1;
        let template = named("template", rng.random_range(0..TEMPLATES));
        // A few subjects make up much of the traffic.
        let place = rng.random::<f64>().powi(2) * self.subjects as f64;
        let subject = named("subject", place as u64);
        let rare = named("rare", 0);
        let own = named("request", self.requests);
        let Some(index) = culprit else {
            let is_same = rng.random_bool(SAME_CONTENT_SHARE);
            let is_rare = rng.random_bool(RARE_PART_SHARE);
            return match (is_same, is_rare) {
                (true, _) => Fingerprint::new(named("same", 0), [named("template", 0)]),
                (false, true) => Fingerprint::new(own, [template, subject, rare]),
                (false, false) => Fingerprint::new(own, [template, subject]),
            };
        };
        let culprit = self.culprit(index);
        match (self.culprit, index) {
            (Culprit::Content, _) => Fingerprint::new(culprit, [template, subject]),
            (Culprit::Part, 0) => Fingerprint::new(own, [culprit, subject]),
            (Culprit::Part, 1) => Fingerprint::new(own, [template, culprit]),
            (Culprit::Part, _) => Fingerprint::new(own, [template, culprit, rare]),
        }
    }
}

fn named(kind: &str, number: u64) -> Digest {
    digest(&[kind.as_bytes(), &number.to_be_bytes()])
}
