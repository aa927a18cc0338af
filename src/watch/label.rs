//! Names that others use and this program does not know.

use std::collections::HashSet;

/// Names that are told apart.
const MOST: usize = 32;

/// What names beyond those count as.
const OTHERS: &str = "others";

/// Names that were met.
#[derive(Debug, Default)]
pub struct LabelSet {
    met: HashSet<String>,
}

impl LabelSet {
    /// Takes a name that was met: what it counts as, and whether that is met for the first time.
    pub fn observe<'a>(&mut self, name: &'a str) -> (&'a str, bool) {
        if self.met.contains(name) {
            return (name, false);
        }
        let name = if self.met.len() < MOST { name } else { OTHERS };
        (name, self.met.insert(name.to_owned()))
    }
}
