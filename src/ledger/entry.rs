//! The bill of a request and its parts.

use serde::{Deserialize, Serialize};

use crate::unit::{Cost, Date, RequestId, Target, Workspace};

/// Reason why a part of a request is billed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Reason {
    /// The answer of the part was sent to the caller.
    Answer,
    /// The answer of the part came from the cheap rung (model) of a cascade, which then escalated
    /// to the strong one.
    Rung,
    /// The generation broke off; the tokens received until then are billed.
    Broken,
    /// The part was a call of a plain service.
    Call,
}

/// One generation of a model or one call of a service that a request caused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Reason why the part is billed.
    #[serde(rename = "why")]
    pub reason: Reason,
    /// The version that ran; none for a call of a plain service.
    pub target: Option<Target>,
    /// Number of tokens generated.
    pub tokens: u32,
    /// Cost of the part.
    pub cost: Cost,
}

/// The bill of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Sequence number of the bill among those of one incarnation of a VM, from 1.
    pub number: u64,
    /// The billed request.
    pub request: RequestId,
    /// The workspace that pays.
    pub workspace: Workspace,
    /// Time at which the request ended.
    pub date: Date,
    /// The parts of the request that ran.
    pub parts: Vec<Part>,
}

impl Entry {
    /// Returns the total cost of all parts.
    pub fn cost(&self) -> Cost {
        self.parts.iter().fold(Cost(0), |sum, part| sum + part.cost)
    }
}
