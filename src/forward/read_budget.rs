//! Budget that all responses share which a VM reads at the same time.

use std::sync::{Arc, Mutex, MutexGuard};

use bytes::{Bytes, BytesMut};

use crate::decide::reading::{Memory, Rate};
use crate::unit::{Millicores, Size, Span};
use crate::vm::Clock;

/// Memory of a VM whose settings give none.
pub const DEFAULT_MEMORY: Size = Size(128_000_000);
/// Processor quota of a VM whose settings give none.
const DEFAULT_CPU: Millicores = Millicores(1000);

struct State {
    memory: Memory,
    rate: Rate,
}

/// Budget of the responses of one VM. Clones share it.
#[derive(Clone)]
pub struct Budget {
    state: Arc<Mutex<State>>,
    clock: Clock,
}

impl Budget {
    /// Creates the budget of a VM with this memory, if it is known, and processor quota.
    pub fn new(memory: Option<Size>, cpu: Millicores, clock: Clock) -> Budget {
        let memory = Memory::new(memory.unwrap_or(DEFAULT_MEMORY));
        let rate = Rate::new(cpu, clock.now());
        Budget { state: Arc::new(Mutex::new(State { memory, rate })), clock }
    }

    /// Returns a lease without memory yet.
    pub fn lease(&self) -> Lease {
        Lease { budget: self.clone(), size: Size(0) }
    }

    /// Records that `bytes` of a response were read, which has `before` already. Returns the time
    /// until more of it may be read.
    pub fn record_read(&self, before: usize, bytes: usize) -> Span {
        let now = self.clock.now();
        self.lock().rate.record(Size(before as u64), Size(bytes as u64), now)
    }

    /// Returns the memory that responses take at present.
    pub fn memory_used(&self) -> Size {
        self.lock().memory.used()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while held")
    }
}

impl Default for Budget {
    fn default() -> Budget {
        Budget::new(None, DEFAULT_CPU, Clock::default())
    }
}

/// Memory that one response takes, until the lease is dropped.
pub struct Lease {
    budget: Budget,
    size: Size,
}

impl Lease {
    /// Changes the size of the memory in bytes. Returns false if there is too little.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let wanted = Size(bytes as u64);
        let is_resized = self.budget.lock().memory.try_resize(self.size, wanted);
        if is_resized {
            self.size = wanted;
        }
        is_resized
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.try_resize(0);
    }
}

/// Body that is being read, with the memory that it takes.
pub struct Body {
    bytes: BytesMut,
    lease: Lease,
}

impl Body {
    /// Creates an empty body.
    pub fn new(budget: &Budget) -> Body {
        Body { bytes: BytesMut::new(), lease: budget.lease() }
    }

    /// Returns the number of bytes so far.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns true if there are no bytes yet.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends bytes. Returns false if there is too little memory.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let needed = self.bytes.len() + bytes.len();
        if needed > self.bytes.capacity() {
            let capacity = needed.next_power_of_two();
            if !self.lease.try_resize(capacity) {
                return false;
            }
            self.bytes.reserve(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        true
    }

    /// Returns the bytes, whose memory is released with the last of their copies.
    pub fn freeze(self) -> Bytes {
        if self.is_empty() { Bytes::new() } else { Bytes::from_owner(self) }
    }
}

impl AsRef<[u8]> for Body {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
