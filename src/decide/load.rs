//! Estimated number of requests at a backend server, as seen by one VM that sends some of them.

use crate::unit::{Moment, Span};

/// Time for which a server's reported number of requests is used; after that only this VM's own
/// open requests count.
const REPORT_TTL: Span = Span::secs(4);

/// Number of requests that a server reported, and what this VM had open there at that moment.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// Number of requests that the server reported.
    requests: u32,
    open: u32,
    /// When the report was received.
    at: Moment,
}

/// Number of requests at one server, as known to one VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    open: u32,
    last_report: Option<Report>,
}

impl Load {
    /// Returns the number of requests that this VM has open at the server.
    pub fn open(&self) -> u32 {
        self.open
    }

    /// Records that this VM opened a request at the server.
    pub fn on_open(&mut self) {
        self.open += 1;
    }

    /// Records that a request of this VM at the server ended.
    pub fn on_close(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Records the number of requests, `held`, that the server reported as running or queued.
    pub fn observe(&mut self, held: u32, now: Moment) {
        self.last_report = Some(Report { requests: held, open: self.open, at: now });
    }

    /// Returns the estimated number of requests at the server: the reported ones plus those that
    /// this VM sent since the report.
    pub fn estimate(&self, now: Moment) -> f64 {
        let own = f64::from(self.open);
        let Some(report) = self.last_report.filter(|report| now.since(report.at) < REPORT_TTL)
        else {
            return own;
        };
        (f64::from(report.requests) + own - f64::from(report.open)).max(own)
    }
}
