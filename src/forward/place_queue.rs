//! Requests of one service that wait at this VM until a place at a brittle server is free.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::sync::Notify;

use crate::decide::server_limit::places::Turnover;
use crate::unit::Span;

/// Longest time between two looks for a free place. A place may become free without a notification,
/// when another VM lends it or a request that was given up leaves it.
const MAX_WAIT: Span = Span::millis(50);

/// Queue of the requests of one service.
#[derive(Default)]
pub struct PlaceQueue {
    waiting: Cell<usize>,
    freed: Notify,
    turnover: RefCell<Turnover>,
}

/// Counts a request as waiting until it is dropped.
pub struct Waiting(Rc<PlaceQueue>);

impl Waiting {
    /// Counts a request as waiting in a queue.
    pub fn new(queue: Rc<PlaceQueue>) -> Waiting {
        queue.waiting.set(queue.waiting.get() + 1);
        Waiting(queue)
    }

    /// Waits until a place may be free, for at most the time `within`.
    pub async fn wait(&self, within: Span) {
        let limit = within.min(MAX_WAIT).duration();
        let _ = tokio::time::timeout(limit, self.0.freed.notified()).await;
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get().saturating_sub(1));
        // The place of which this request was notified may be free for the next one.
        self.0.freed.notify_one();
    }
}

impl PlaceQueue {
    /// Records that a request has left the place that it took for this time.
    pub fn on_freed(&self, taken: Span) {
        self.turnover.borrow_mut().record(taken);
        if self.waiting.get() > 0 {
            self.freed.notify_one();
        }
    }

    /// Returns the time until one of `places` is expected to be free for one more request.
    pub fn expected_wait(&self, places: usize) -> Span {
        self.turnover.borrow().expected_wait(self.waiting.get(), places)
    }
}
