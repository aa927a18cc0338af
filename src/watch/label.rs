//! Bounded sets of names that come from other systems, for metric labels and log lines.

use std::collections::HashSet;

/// Maximum number of names that are counted separately.
const MAX_LABELS: usize = 32;

/// Label of all further names.
const OVERFLOW_LABEL: &str = "others";

/// Names seen so far, of which only the first `MAX_LABELS` count separately, since the sender
/// chooses how many there are.
#[derive(Debug, Default)]
pub struct LabelSet {
    seen: HashSet<String>,
}

impl LabelSet {
    /// Records a name. Returns the label to count it under, and true if that label is new.
    pub fn observe<'a>(&mut self, name: &'a str) -> (&'a str, bool) {
        if self.seen.contains(name) {
            return (name, false);
        }
        let name = if self.seen.len() < MAX_LABELS { name } else { OVERFLOW_LABEL };
        (name, self.seen.insert(name.to_owned()))
    }
}
