//! Kinds of objects in the platform's store that VMs watch.

use serde::{Deserialize, Serialize};

use crate::decide::freshness::{Schedule, Schedules};
use crate::platform::object::{CONFIG, EVACUATIONS, ROLLOUTS, SERVERS};

/// Name of the kind of objects that register the VMs with their data centres and addresses.
pub const VMS: &str = "kitepulley-vms";

/// A kind of objects that VMs watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// The configuration.
    Config,
    /// Entries of backend servers.
    Servers,
    /// Orders to roll out versions.
    Rollouts,
    /// Orders to evacuate a data centre.
    Evacuations,
    /// Registrations of the entry VMs.
    Vms,
}

impl Kind {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Kind; 5] =
        [Kind::Config, Kind::Servers, Kind::Rollouts, Kind::Evacuations, Kind::Vms];

    /// Returns how a reader keeps its state of the kind current.
    pub fn schedule(self, schedules: &Schedules) -> Schedule {
        match self {
            Kind::Config => schedules.config,
            Kind::Servers => schedules.servers,
            Kind::Rollouts => schedules.rollouts,
            Kind::Evacuations => schedules.evacuations,
            Kind::Vms => schedules.vms,
        }
    }

    /// Returns the kind's name in the paths of the store.
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
