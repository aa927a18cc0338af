//! Who reads the platform's store for a VM, and why one gives no news.

use serde::{Deserialize, Serialize};

use crate::unit::Vm as Name;

/// Who reads the store for a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Nobody yet: it has just started and looks for others.
    Joins,
    /// Itself.
    Reads,
    /// Another VM, or one that this one follows in its turn.
    Follows(Name),
}

/// Why a VM gives no news.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decline {
    /// The question does not read.
    Unreadable,
    /// It does not know all kinds yet.
    KnowsTooLittle,
    /// It stood still a moment ago, so what it believes may be of before.
    HeldUp,
    /// It stops.
    Stops,
    /// Its proof of the configuration is too old.
    OldProof,
    /// What it knows of servers is too old.
    OldServers,
}
