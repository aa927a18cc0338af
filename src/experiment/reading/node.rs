//! One VM of the emulation.

use std::collections::HashMap;

use crate::decide::reader::{Rank, SourceHistory};
use crate::unit::{Millicores, Moment};

/// Data centres, and the large VMs of each, as on the users' largest site.
pub const DATA_CENTRES: usize = 6;
const LARGE_VMS_PER_DATA_CENTRE: usize = 3;

/// Who reads the store for a VM.
#[derive(Clone, Copy, PartialEq)]
pub enum Role {
    /// Nobody yet.
    Starting,
    /// Itself.
    Reader,
    /// The VM of that number.
    Follower(usize),
}

/// One VM.
pub struct Node {
    /// Its place in the order of VMs.
    pub rank: Rank,
    /// Whether it runs.
    pub up: bool,
    /// How often it has died.
    pub incarnation: u32,
    /// When it began this life.
    pub started_at: Moment,
    /// Who reads for it.
    pub role: Role,
    /// What it remembers of those that it asked.
    pub sources: SourceHistory,
    /// Of when what it knows is.
    pub synced_at: Option<Moment>,
    /// Who read that, and by how many VMs it was passed on.
    pub origin: (usize, u8),
    /// Whether it believes that the store is lost.
    pub store_lost: bool,
    /// Since when those that answer say that the store is lost.
    pub store_lost_since: Option<Moment>,
    /// When it knew that the store was back.
    pub recovered_at: Option<Moment>,
    /// When it first knew all in this life.
    pub ready_at: Option<Moment>,
    /// VMs that told it everything, and in which of their lives.
    pub snapshots_from: HashMap<usize, u32>,
    /// Bytes that it sent and heard.
    pub bytes: u64,
}

impl Node {
    /// The VM of that number, before its start.
    pub fn new(at: usize) -> Node {
        let share = if at / DATA_CENTRES < LARGE_VMS_PER_DATA_CENTRE { 500 } else { 120 };
        Node {
            rank: Rank::new(Millicores(share), format!("vm{at:04}").parse().expect("a name")),
            up: false,
            incarnation: 0,
            started_at: Moment(0),
            role: Role::Starting,
            sources: SourceHistory::default(),
            synced_at: None,
            origin: (at, 0),
            store_lost: false,
            store_lost_since: None,
            recovered_at: None,
            ready_at: None,
            snapshots_from: HashMap::new(),
            bytes: 0,
        }
    }
}
