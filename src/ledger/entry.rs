//! One bill and its parts.

use serde::{Deserialize, Serialize};

use crate::unit::{Cost, Date, RequestId, Target, Workspace};

/// Reason a part of a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Reason {
    /// The caller got it.
    Answer,
    /// A cheaper rung's answer that was climbed from.
    Rung,
    /// It broke off; what is known of it is billed.
    Broken,
    /// A service's call.
    Call,
}

/// A part of a request that ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Reason it ran.
    #[serde(rename = "why")]
    pub reason: Reason,
    /// The version; none for a service's call.
    pub target: Option<Target>,
    /// Tokens generated.
    pub tokens: u32,
    /// Its price.
    pub cost: Cost,
}

/// The bill of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its number among those of the VM's incarnation, from 1.
    pub number: u64,
    /// The request.
    pub request: RequestId,
    /// Who pays.
    pub workspace: Workspace,
    /// When the request ended.
    pub date: Date,
    /// What ran.
    pub parts: Vec<Part>,
}

impl Entry {
    /// The price of all parts.
    pub fn cost(&self) -> Cost {
        self.parts.iter().fold(Cost(0), |sum, part| sum + part.cost)
    }
}
