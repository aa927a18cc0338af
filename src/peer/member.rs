//! One member's row and its merge.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::unit::{DataCentre, Incarnation, Vm};

/// How a VM is seen; the states of the chart `vm`. Later ones win at the same beat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// It answers.
    Alive,
    /// It missed answers; others look.
    Suspect,
    /// It refuted nothing for too long.
    Dead,
    /// It left on purpose.
    Left,
}

impl State {
    /// The state's name in the chart.
    pub fn name(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }

    /// Whether a VM in this state may still work.
    pub fn is_present(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// A member as its row travels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The VM.
    pub vm: Vm,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its life; a replaced VM has a later one.
    pub incarnation: Incarnation,
    /// Raised by the VM itself to refute a suspicion.
    pub refutations: u32,
    /// How it is seen.
    pub state: State,
}

impl Member {
    /// Whether this row replaces `other` of the same VM.
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
        rows.fold(first, |held, row| if row.supersedes(&held) { row.clone() } else { held })
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
