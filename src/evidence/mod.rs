//! Evidence for decisions on versions, cascades and rate limits: counters of requests and ratings
//! that VMs merge by gossip. Each origin (one incarnation of a VM) has a row of counters, which
//! only grow.

mod table;

pub use table::{Cell, Counts, Key, Origin, Row, Table};
