//! Requests of one service that wait at this VM until a place at a brittle server is free.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

use crate::decide::server_limit::loans::Lenders;
use crate::decide::server_limit::places::Turnover;
use crate::unit::{Moment, Span, Vm as Name};

/// Longest time between two looks for a free place. A place may become free without a notification,
/// when a request that was given up leaves it.
const MAX_WAIT: Span = Span::millis(50);

/// Number of waiting requests that look for a free place; the others wait for their turn, so that the
/// cost of a free place does not grow with the queue. More than one, since a request may be allowed
/// at few servers only.
const TURNS: usize = 4;

/// Another VM that needs a place.
pub struct Borrower {
    /// Its name.
    pub vm: Name,
    /// Where to send the answer.
    pub address: SocketAddr,
    /// When it asked, by its clock.
    pub sent_at: Moment,
    /// When this VM received the request.
    pub received_at: Moment,
}

/// Queue of the requests of one service, and of other VMs that need places for theirs.
pub struct PlaceQueue {
    waiting: Cell<usize>,
    turns: Arc<Semaphore>,
    freed: Notify,
    turnover: RefCell<Turnover>,
    /// Other VMs that asked for a place, the first to ask first.
    pub borrowers: RefCell<Vec<Borrower>>,
    /// Other VMs that this one asks for places.
    pub lenders: RefCell<Lenders>,
    /// Number of places that this VM has borrowed.
    pub borrowed: Cell<usize>,
}

impl Default for PlaceQueue {
    fn default() -> PlaceQueue {
        PlaceQueue {
            waiting: Cell::default(),
            turns: Arc::new(Semaphore::new(TURNS)),
            freed: Notify::default(),
            turnover: RefCell::default(),
            borrowers: RefCell::default(),
            lenders: RefCell::default(),
            borrowed: Cell::default(),
        }
    }
}

/// Counts a request as waiting until it is dropped.
pub struct Waiting {
    queue: Rc<PlaceQueue>,
    turn: Option<OwnedSemaphorePermit>,
}

impl Waiting {
    /// Counts a request as waiting in a queue.
    pub fn new(queue: Rc<PlaceQueue>) -> Waiting {
        queue.waiting.set(queue.waiting.get() + 1);
        Waiting { queue, turn: None }
    }

    /// Waits until it is this request's turn and a place may be free, for at most the time `within`.
    pub async fn wait(&mut self, within: Span) {
        if self.turn.is_some() {
            let limit = within.min(MAX_WAIT).duration();
            let _ = tokio::time::timeout(limit, self.queue.freed.notified()).await;
            return;
        }
        let turn = self.queue.turns.clone().acquire_owned();
        if let Ok(Ok(turn)) = tokio::time::timeout(within.duration(), turn).await {
            self.turn = Some(turn);
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.queue.waiting.set(self.queue.waiting.get().saturating_sub(1));
    }
}

impl PlaceQueue {
    /// Records that a request has left the place that it took for this time.
    pub fn on_freed(&self, taken: Span) {
        self.turnover.borrow_mut().record(taken);
        self.wake();
    }

    /// Wakes a waiting request: a place may be free.
    pub fn wake(&self) {
        if self.has_waiting() {
            self.freed.notify_one();
        }
    }

    /// Returns true if requests wait.
    pub fn has_waiting(&self) -> bool {
        self.waiting.get() > 0
    }

    /// Returns true if places are borrowed, or other VMs want to borrow some.
    pub fn has_loans(&self) -> bool {
        self.borrowed.get() > 0 || !self.borrowers.borrow().is_empty()
    }

    /// Returns the time until one of `places` is expected to be free for one more request.
    pub fn expected_wait(&self, places: f64) -> Span {
        self.turnover.borrow().expected_wait(self.waiting.get(), places)
    }
}
