//! Kinds of objects of the platform that VMs keep up with.

use serde::{Deserialize, Serialize};

use crate::platform::object::{CONFIG, EVACUATIONS, ROLLOUTS, SERVERS};

/// The kind of the objects that name the VMs, their data centres and their addresses.
pub const VMS: &str = "kitepulley-vms";

/// What is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// The configuration.
    Config,
    /// Entries of backend servers.
    Servers,
    /// Orders to roll versions out.
    Rollouts,
    /// Orders to empty a data centre.
    Evacuations,
    /// The entry VMs themselves.
    Vms,
}

impl Kind {
    /// All of them.
    pub const ALL: [Kind; 5] =
        [Kind::Config, Kind::Servers, Kind::Rollouts, Kind::Evacuations, Kind::Vms];

    /// Its name in the store.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Config => CONFIG,
            Kind::Servers => SERVERS,
            Kind::Rollouts => ROLLOUTS,
            Kind::Evacuations => EVACUATIONS,
            Kind::Vms => VMS,
        }
    }
}
