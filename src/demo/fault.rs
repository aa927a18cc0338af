//! Faults that the demo injects.

use std::fmt;
use std::str::FromStr;

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The platform's object API responds 503 to every call.
    StoreDown,
    /// The object API responds slowly.
    StoreSlow,
    /// Responses of the object API are lost after the write took effect.
    AnswerLost,
    /// Watches of the object API report no changes.
    WatchQuiet,
    /// A VM shuts down gracefully and is replaced.
    Stop,
    /// A VM is killed and replaced.
    Kill,
    /// The control thread of a VM is paused for longer than its start lease, so that it may start no
    /// work until it has contact again.
    Pause,
    /// One VM cannot send to any other; the others can send to it.
    LinkCut,
    /// VMs of different data centres cannot reach each other; all reach the store.
    RegionCut,
    /// Two operators confirm conflicting plans concurrently.
    Race,
    /// A backend server drains.
    Leave,
    /// Engines break streams off.
    Cut,
    /// Engines send frames twice, and frames of other requests.
    Noise,
    /// The rating service returns no ratings.
    RatingsStop,
}

/// All faults with their names on the command line.
pub const ALL: [(Fault, &str); 14] = [
    (Fault::StoreDown, "store-down"),
    (Fault::StoreSlow, "store-slow"),
    (Fault::AnswerLost, "answer-lost"),
    (Fault::WatchQuiet, "watch-quiet"),
    (Fault::Stop, "stop"),
    (Fault::Kill, "kill"),
    (Fault::Pause, "pause"),
    (Fault::LinkCut, "link-cut"),
    (Fault::RegionCut, "region-cut"),
    (Fault::Race, "race"),
    (Fault::Leave, "leave"),
    (Fault::Cut, "cut"),
    (Fault::Noise, "noise"),
    (Fault::RatingsStop, "ratings-stop"),
];

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = ALL.iter().find(|(fault, _)| fault == self).map_or("", |(_, name)| name);
        f.write_str(name)
    }
}

impl FromStr for Fault {
    type Err = crate::unit::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = ALL.iter().find(|(_, name)| *name == text).map(|(fault, _)| *fault);
        found.ok_or_else(|| {
            let names: Vec<&str> = ALL.iter().map(|(_, name)| *name).collect();
            crate::unit::ParseError(format!(
                "name some of {}, or `all`, `pairs`, `none`.",
                names.join(", ")
            ))
        })
    }
}
