//! Not yet.
use super::options::Options;
use super::table::Table;
use crate::error::Error;
/// Runs.
pub fn run(_options: &Options) -> Result<Table, Error> {
    Ok(Table::default())
}
