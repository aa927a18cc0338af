//! The faults that the demo causes.

use std::fmt;
use std::str::FromStr;

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The platform's object API answers nothing.
    StoreDown,
    /// Each of its answers takes long.
    StoreSlow,
    /// Some of its answers are lost after the write took effect.
    AnswerLost,
    /// Its watches report nothing.
    WatchQuiet,
    /// A VM stops as planned and is replaced.
    Stop,
    /// A VM is killed and replaced.
    Kill,
    /// A VM's control is paused beyond its permit.
    Pause,
    /// One VM reaches no other; the others reach it.
    LinkCut,
    /// VMs of different data centres do not reach each other; all reach the store.
    RegionCut,
    /// Two operators confirm conflicting plans at once.
    Race,
    /// A backend server leaves.
    Leave,
    /// Engines break answers off.
    Cut,
    /// Engines repeat frames and mix in foreign ones.
    Noise,
    /// Ratings stop.
    RatingsStop,
}

/// All faults and their names.
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
