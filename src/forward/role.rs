//! Roles of VMs in reading the platform's store, and reasons to serve no updates.

use serde::{Deserialize, Serialize};

use crate::unit::Vm as Name;

/// How a VM gets the state of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// The VM has just started and looks for a VM to follow.
    Joins,
    /// The VM reads the store itself (it is a reader).
    Reads,
    /// The VM polls the named VM, which reads the store or follows another VM (it is a follower).
    Follows(Name),
}

/// Why a VM serves no updates to a VM that polls it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decline {
    /// The request could not be decoded.
    Unreadable,
    /// The VM has not read all kinds of objects yet.
    KnowsTooLittle,
    /// The process was frozen a moment ago, so its state may be outdated.
    HeldUp,
    /// The VM is shutting down.
    Stops,
    /// The VM's proof that its configuration is the newest is too old.
    OldProof,
    /// The VM's state of the servers is too old.
    OldServers,
}
