//! Limits what the responses that a VM reads cost it, over all of them together: memory for bodies
//! that are being read, and bytes read in a second, which take processor time.

use crate::unit::{Millicores, Moment, Size, Span};

/// Part of the memory of a VM that response bodies may take while they are read.
const MEMORY_FRACTION: f64 = 0.25;

/// Bytes of response bodies that a VM with one core reads in a second.
const BYTES_PER_CORE_SECOND: f64 = 64_000_000.0;

/// Bytes of a response that are read without delay, whatever other responses are read. Responses
/// without end must not delay the others.
const UNDELAYED_SIZE: Size = Size(64_000);

/// Bytes that may be read at once after a time with few.
const BURST: f64 = 8_000_000.0;

/// Memory for response bodies. Each response may take as much as is left for all others, so that a
/// few large ones, or ones without end, leave room for many small ones.
#[derive(Clone, Debug)]
pub struct Memory {
    limit: Size,
    used: Size,
}

impl Memory {
    /// Creates the memory for the responses of a VM with this memory.
    pub fn new(of_vm: Size) -> Memory {
        let limit = Size((of_vm.0 as f64 * MEMORY_FRACTION) as u64);
        Memory { limit, used: Size(0) }
    }

    /// Changes the memory that a response takes from `held` to `wanted`. Returns false and changes
    /// nothing if there is too little.
    pub fn try_resize(&mut self, held: Size, wanted: Size) -> bool {
        let used_by_others = self.used.0.saturating_sub(held.0);
        let left = self.limit.0.saturating_sub(used_by_others + wanted.0);
        if wanted > held && wanted.0 > left {
            return false;
        }
        self.used = Size(used_by_others + wanted.0);
        true
    }

    /// Returns the memory that is in use.
    pub fn used(&self) -> Size {
        self.used
    }
}

/// Bytes that a VM may read in a second, over all responses, as a token bucket.
#[derive(Clone, Debug)]
pub struct Rate {
    bytes_per_second: f64,
    /// Bytes that may be read now; negative if reads have to wait.
    level: f64,
    updated_at: Moment,
}

impl Rate {
    /// Creates the rate of a VM with this processor quota.
    pub fn new(cpu: Millicores, now: Moment) -> Rate {
        let bytes_per_second = (BYTES_PER_CORE_SECOND * cpu.as_cores()).max(1.0);
        Rate { bytes_per_second, level: BURST, updated_at: now }
    }

    /// Records that `bytes` of a response were read, which has `before` already. Returns the time
    /// until more of it may be read.
    pub fn record(&mut self, before: Size, bytes: Size, now: Moment) -> Span {
        let refill = now.since(self.updated_at).as_secs() * self.bytes_per_second;
        self.level = (self.level + refill).min(BURST);
        self.updated_at = now;
        if before < UNDELAYED_SIZE {
            return Span(0);
        }
        self.level -= bytes.0 as f64;
        Span::secs(1).mul_f64((-self.level).max(0.0) / self.bytes_per_second)
    }
}
