//! How many requests a backend server is thought to hold, by one VM that sends some of them.

use crate::unit::{Moment, Span};

/// A told number counts for this long; then only what this VM has open there does.
const TOLD_FOR: Span = Span::secs(4);

/// A number that a server told, and what this VM had open there when it heard it.
#[derive(Clone, Copy, Debug)]
struct Told {
    held: u32,
    open: u32,
    at: Moment,
}

/// What one VM knows of the load of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    open: u32,
    told: Option<Told>,
}

impl Load {
    /// Requests that this VM has open there.
    pub fn open(&self) -> u32 {
        self.open
    }

    /// One more is open.
    pub fn on_open(&mut self) {
        self.open += 1;
    }

    /// One ended.
    pub fn on_close(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Notes how many requests the server said that it holds.
    pub fn observe(&mut self, held: u32, now: Moment) {
        self.told = Some(Told { held, open: self.open, at: now });
    }

    /// Requests that it is thought to hold: what was told, and what this VM sent since.
    pub fn estimate(&self, now: Moment) -> f64 {
        let own = f64::from(self.open);
        let Some(told) = self.told.filter(|told| now.since(told.at) < TOLD_FOR) else {
            return own;
        };
        (f64::from(told.held) + own - f64::from(told.open)).max(own)
    }
}
