//! Roles of VMs in reading the platform's store, and reasons to serve no updates.

use serde::{Deserialize, Serialize};

use crate::unit::Vm as Name;

/// How a VM gets the state of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// It has just started and looks for a VM to follow.
    Joins,
    /// It reads the store itself.
    Reads,
    /// It polls this VM, which reads the store or follows another VM in its turn.
    Follows(Name),
}

/// Why a VM serves no updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decline {
    /// The request could not be decoded.
    Unreadable,
    /// It does not know all kinds of objects yet.
    KnowsTooLittle,
    /// The process was frozen a moment ago, so its state may be outdated.
    HeldUp,
    /// It is shutting down.
    Stops,
    /// Its proof of the configuration is too old.
    OldProof,
    /// Its state of the servers is too old.
    OldServers,
}
