//! One VM of the emulation.

use std::collections::HashMap;

use crate::decide::reader::{Rank, SourceHistory};
use crate::unit::{Millicores, Moment};

/// Data centres, and the large VMs of each, as on the users' largest site.
pub const DATA_CENTRES: usize = 6;
const LARGE: usize = 3;

/// Who reads the store for a VM.
#[derive(Clone, Copy, PartialEq)]
pub enum Role {
    /// Nobody yet.
    Joins,
    /// Itself.
    Reads,
    /// The VM of that number.
    Follows(usize),
}

/// One VM.
pub struct Node {
    /// Its place in the order of VMs.
    pub rank: Rank,
    /// Whether it runs.
    pub up: bool,
    /// How often it has died.
    pub life: u32,
    /// When it began this life.
    pub began: Moment,
    /// Who reads for it.
    pub role: Role,
    /// What it remembers of those that it asked.
    pub asked: SourceHistory,
    /// Of when what it knows is.
    pub known: Option<Moment>,
    /// Who read that, and by how many VMs it was passed on.
    pub origin: (usize, u8),
    /// Whether it believes that the store is lost.
    pub lost: bool,
    /// Since when those that answer say that the store is lost.
    pub lost_since: Option<Moment>,
    /// When it knew that the store was back.
    pub back: Option<Moment>,
    /// When it first knew all in this life.
    pub ready: Option<Moment>,
    /// VMs that told it everything, and in which of their lives.
    pub whole_from: HashMap<usize, u32>,
    /// Bytes that it sent and heard.
    pub bytes: u64,
}

impl Node {
    /// The VM of that number, before its start.
    pub fn new(at: usize) -> Node {
        let share = if at / DATA_CENTRES < LARGE { 500 } else { 120 };
        Node {
            rank: Rank::new(Millicores(share), format!("vm{at:04}").parse().expect("a name")),
            up: false,
            life: 0,
            began: Moment(0),
            role: Role::Joins,
            asked: SourceHistory::default(),
            known: None,
            origin: (at, 0),
            lost: false,
            lost_since: None,
            back: None,
            ready: None,
            whole_from: HashMap::new(),
            bytes: 0,
        }
    }
}
