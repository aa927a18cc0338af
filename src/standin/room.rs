//! Room of a stand-in for a backend server: requests that run at once, and a queue. A brittle server
//! fails if it has to reject too many requests in a second.

use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

/// Window in which rejections are counted.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);

/// How much a server takes, and what it does with more.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that may wait.
    pub queue: usize,
    /// Time that a request runs.
    pub work: Duration,
    /// Rejections in a second beyond which the server fails; it never does if this is `None`.
    pub max_rejections: Option<usize>,
    /// Time for which it is gone after a failure.
    pub restart_after: Duration,
}

#[derive(Debug)]
struct State {
    capacity: Capacity,
    running: usize,
    waiting: usize,
    rejections: Vec<Instant>,
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It ran.
    Ran,
    /// There was no room.
    Rejected,
    /// There was no room, and the server fails from that.
    Fails,
}

/// The room of one incarnation of a server.
#[derive(Debug)]
pub struct Room {
    state: Mutex<State>,
    freed: Condvar,
}

impl Room {
    /// Returns an empty room.
    pub fn new(capacity: Capacity) -> Room {
        let state = State { capacity, running: 0, waiting: 0, rejections: Vec::new() };
        Room { state: Mutex::new(state), freed: Condvar::new() }
    }

    /// Changes the capacity; requests that wait already stay.
    pub fn set_capacity(&self, capacity: Capacity) {
        self.lock().capacity = capacity;
    }

    /// Returns the capacity.
    pub fn capacity(&self) -> Capacity {
        self.lock().capacity
    }

    /// Returns the load as servers report it: running, waiting and slots.
    pub fn load(&self) -> String {
        let state = self.lock();
        format!("{},{},{}", state.running, state.waiting, state.capacity.slots)
    }

    /// Runs a request, after a wait in the queue if it has to, or rejects it.
    pub fn run(&self) -> Admission {
        let mut state = self.lock();
        if state.running >= state.capacity.slots {
            if state.waiting >= state.capacity.queue {
                return reject(&mut state);
            }
            state.waiting += 1;
            let has_slot = |state: &mut State| state.running >= state.capacity.slots;
            state = self.freed.wait_while(state, has_slot).expect("no panic while held");
            state.waiting -= 1;
        }
        state.running += 1;
        let work = state.capacity.work;
        drop(state);
        std::thread::sleep(work);
        self.lock().running -= 1;
        self.freed.notify_one();
        Admission::Ran
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no panic while held")
    }
}

fn reject(state: &mut State) -> Admission {
    let now = Instant::now();
    state.rejections.retain(|at| now.duration_since(*at) < REJECTION_WINDOW);
    state.rejections.push(now);
    match state.capacity.max_rejections {
        Some(most) if state.rejections.len() > most => Admission::Fails,
        _ => Admission::Rejected,
    }
}
