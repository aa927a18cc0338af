//! Where events go: nowhere, or to memory and from there to a file.

use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use super::{Event, Line};
use crate::error::Error;
use crate::unit::Date;

/// A shared place for events.
#[derive(Clone, Debug, Default)]
pub struct Sink(Option<Arc<Mutex<Vec<Line>>>>);

impl Sink {
    /// A sink that keeps what it is given.
    pub fn in_memory() -> Sink {
        Sink(Some(Arc::default()))
    }

    /// Records an event now; the event is made only if it is kept.
    pub fn record(&self, event: impl FnOnce() -> Event) {
        if let Some(lines) = &self.0 {
            let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let at = Date(since.as_micros() as u64);
            lines.lock().expect("no panic while held").push(Line { at, event: event() });
        }
    }

    /// What was recorded, in order of time.
    pub fn lines(&self) -> Vec<Line> {
        let recorded =
            self.0.as_ref().map(|lines| lines.lock().expect("no panic while held").clone());
        let mut lines = recorded.unwrap_or_default();
        lines.sort_by_key(|line| line.at);
        lines
    }

    /// Writes what was recorded to a file.
    ///
    /// # Errors
    /// If the file cannot be written.
    pub fn save(&self, path: &Path) -> Result<(), Error> {
        let write = || -> std::io::Result<()> {
            let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
            for line in self.lines() {
                serde_json::to_writer(&mut file, &line)?;
                file.write_all(b"\n")?;
            }
            file.flush()
        };
        write().map_err(|fault| Error::file(path, &fault))
    }
}
