//! Evidence: grow-only counters, one row per origin, merged between VMs.

mod table;

pub use table::{Cell, Counts, Key, Origin, Row, Table};
