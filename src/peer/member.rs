//! The membership record of one VM, and the order that decides which of two records wins.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::unit::{DataCentre, Incarnation, Vm};

/// The state in which other VMs see a VM; the states of the state machine
/// `charts/vm.toml`.
///
/// Of two records with the same incarnation and number of refutations, the one with the later
/// variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// It acknowledges probes.
    Alive,
    /// It missed several probes in a row; its neighbours probe on and it may refute the suspicion.
    Suspect,
    /// It was suspected and did not refute the suspicion in time.
    Dead,
    /// It announced a planned stop.
    Left,
}

impl State {
    /// Returns the name of the state in the state machine `vm`.
    pub fn name(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }

    /// Returns true if a VM in this state may still run work.
    pub fn is_present(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// The membership record of a VM, as VMs exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the VM.
    pub vm: Vm,
    /// Address at which other VMs reach it.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Incarnation of its process; a replacement of the VM has a higher one.
    pub incarnation: Incarnation,
    /// Number of suspicions that the VM refuted in this incarnation; only the VM itself raises it.
    pub refutations: u32,
    /// State in which it is seen.
    pub state: State,
}

impl Member {
    /// Returns true if this record replaces `other`, a record of the same VM.
    pub fn supersedes(&self, other: &Member) -> bool {
        let order = |m: &Member| (m.incarnation, m.refutations, m.state);
        order(self) > order(other)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    fn member(incarnation: u8, refutations: u8, state: u8) -> Member {
        let states = [State::Alive, State::Suspect, State::Dead, State::Left];
        Member {
            vm: "a".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            data_centre: "d".parse().unwrap(),
            incarnation: Incarnation(u64::from(incarnation % 3)),
            refutations: u32::from(refutations % 3),
            state: states[usize::from(state % 4)],
        }
    }

    fn fold(rows: &[Member]) -> Member {
        let mut rows = rows.iter();
        let first = rows.next().unwrap().clone();
        rows.fold(first, |latest, row| if row.supersedes(&latest) { row.clone() } else { latest })
    }

    quickcheck! {
        fn rows_merge_alike_in_any_order(facts: Vec<(u8, u8, u8)>) -> bool {
            let mut rows: Vec<Member> = facts.iter().map(|(i, b, s)| member(*i, *b, *s)).collect();
            if rows.is_empty() {
                return true;
            }
            let forward = fold(&rows);
            rows.reverse();
            let twice = [rows.clone(), rows.clone()].concat();
            forward == fold(&rows) && forward == fold(&twice)
        }
    }
}
