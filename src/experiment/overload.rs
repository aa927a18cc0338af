//! Not yet.
use super::options::Options;
use super::table::Table;
/// Runs.
pub fn run(_options: &Options) -> Table {
    Table::default()
}
