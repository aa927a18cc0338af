//! Holds requests back, after this process stood still, until the messages that other VMs sent
//! meanwhile have been read. One of them may say that a request must not be sent to servers.

use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::watch;

use crate::decide::stall::Detector;
use crate::unit::{Moment, Span};

/// Time after the arrival of a message in which it is handled.
const HANDLING_TIME: Duration = Duration::from_millis(5);

/// Gate that requests pass before they are sent to a server. It is closed after each stall of the
/// process, until [`Gate::reopen`] is called.
pub struct Gate {
    /// None before the process is watched.
    detector: Mutex<Option<Detector>>,
    /// Number of stalls after which messages may still be unread.
    unread: watch::Sender<usize>,
}

impl Default for Gate {
    /// Returns an open gate.
    fn default() -> Gate {
        Gate { detector: Mutex::default(), unread: watch::Sender::new(0) }
    }
}

impl Gate {
    /// Starts to watch the process. From now on, [`Gate::observe`] is called at least at each
    /// [`CHECK_INTERVAL`](crate::decide::stall::CHECK_INTERVAL).
    pub fn start(&self, now: Moment) {
        *self.detector.lock().expect("no panic while held") = Some(Detector::new(now));
    }

    /// Records that the process runs. If it stood still, closes the gate and returns for how long;
    /// the caller then requests an acknowledgement from another VM and passes the result to
    /// [`Gate::reopen`].
    pub fn observe(&self, now: Moment) -> Option<Span> {
        // Held until the gate is closed, so that no other thread takes the stall for handled before.
        let mut detector = self.detector.lock().expect("no panic while held");
        let stall = detector.as_mut()?.observe(now)?;
        self.unread.send_modify(|stalls| *stalls += 1);
        Some(stall)
    }

    /// Returns true if no messages from the time of a stall are unread.
    pub fn is_open(&self) -> bool {
        *self.unread.borrow() == 0
    }

    /// Ends the catching up after one stall. `is_acknowledged` is true if another VM acknowledged a
    /// message that was sent after the stall: what VMs sent during the stall has arrived before the
    /// acknowledgement, and is handled first.
    pub async fn reopen(&self, is_acknowledged: bool) {
        if is_acknowledged {
            tokio::time::sleep(HANDLING_TIME).await;
        }
        self.unread.send_modify(|stalls| *stalls -= 1);
    }

    /// Waits until the gate is open, `limit` at most.
    pub async fn wait(&self, limit: Span) {
        let mut unread = self.unread.subscribe();
        // A request for which the time is up is sent all the same: few contents crash servers.
        let _ =
            tokio::time::timeout(limit.duration(), unread.wait_for(|stalls| *stalls == 0)).await;
    }
}
