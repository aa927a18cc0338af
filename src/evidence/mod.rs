//! Evidence: counters that only grow, one row for each origin, merged between VMs.

mod table;

pub use table::{Cell, Counts, Key, Origin, Row, Table};
