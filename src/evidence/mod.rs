//! Evidence: counters that only grow, one row for each origin, merged between VMs.

mod table;

pub use table::{Cell, Key, Origin, Row, Table, Tally};
