//! State of one simulated VM.

use std::collections::HashMap;

use crate::decide::reader::{Rank, SourceHistory};
use crate::unit::{Millicores, Moment};

/// Number of data centres, as on the users' largest site.
pub const DATA_CENTRES: usize = 6;

/// Number of VMs with a large CPU share in each data centre, as on the same site.
const LARGE_VMS_PER_DATA_CENTRE: usize = 3;

/// How a VM gets the contents of the store.
#[derive(Clone, Copy, PartialEq)]
pub enum Role {
    /// It does not get them yet.
    Starting,
    /// It reads the store itself.
    Reader,
    /// It polls the VM with this index.
    Follower(usize),
}

/// A simulated VM.
pub struct Node {
    /// Position in the order in which VMs become readers.
    pub rank: Rank,
    /// True while it runs.
    pub up: bool,
    /// Number of its crashes so far.
    pub incarnation: u32,
    /// Start of this incarnation.
    pub started_at: Moment,
    /// How it gets the contents of the store.
    pub role: Role,
    /// Results of its polls of other VMs.
    pub sources: SourceHistory,
    /// Time at which its data was read from the store.
    pub synced_at: Option<Moment>,
    /// Index of the VM that read the data, and number of VMs that relayed it.
    pub origin: (usize, u8),
    /// True if it believes that the store is lost.
    pub store_lost: bool,
    /// True if it became a reader since others report the store as lost, and has not tried it yet.
    pub store_untested: bool,
    /// True while it gives VMs of higher rank time to read a store that answers again.
    pub yields_to_first: bool,
    /// Time since which its sources report that the store is lost.
    pub store_lost_since: Option<Moment>,
    /// Time at which it learned that the store had recovered.
    pub recovered_at: Option<Moment>,
    /// Time at which this incarnation first had complete data.
    pub ready_at: Option<Moment>,
    /// VMs that have sent it a full snapshot, with their incarnation at that time.
    pub snapshots_from: HashMap<usize, u32>,
    /// Bytes sent to and received from other VMs.
    pub bytes: u64,
    /// Time of the last poll of it by another VM.
    pub polled_at: Option<Moment>,
}

impl Node {
    /// Creates the VM with index `at`, not started yet.
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
            store_untested: false,
            yields_to_first: false,
            store_lost_since: None,
            recovered_at: None,
            ready_at: None,
            snapshots_from: HashMap::new(),
            bytes: 0,
            polled_at: None,
        }
    }
}
