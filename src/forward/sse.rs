//! Splits a stream of server-sent events into complete events and reads their ids.

use bytes::{Bytes, BytesMut};

use super::read_budget::{Budget, Lease};

/// Largest size of an event in bytes; a server that sends an endless one is broken.
const MAX_EVENT_SIZE: usize = 1024 * 1024;

/// Length in bytes of the longest end of an event.
const LONGEST_EVENT_END: usize = 4;

/// Bytes of a stream that have arrived and are not yet returned as complete events.
#[derive(Default)]
pub struct EventBuffer {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer that hold no end of an event.
    searched: usize,
    /// Memory of the buffer, if it is limited.
    lease: Option<Lease>,
}

/// One or more complete events.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The bytes of the events.
    pub bytes: Bytes,
    /// The id of the first event that has one.
    pub first_id: Option<u64>,
    /// The id of the last event that has one.
    pub last_id: Option<u64>,
}

impl EventBuffer {
    /// Creates a buffer whose memory counts to the budget.
    pub fn new(budget: &Budget) -> EventBuffer {
        EventBuffer { lease: Some(budget.lease()), ..EventBuffer::default() }
    }

    /// Appends bytes that arrived. Returns false if the buffer exceeds the maximum event size, or
    /// there is too little memory.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let size = self.buffer.len() + bytes.len();
        let has_memory = self.lease.as_mut().is_none_or(|lease| lease.try_resize(size));
        if size > MAX_EVENT_SIZE || !has_memory {
            return false;
        }
        self.buffer.extend_from_slice(bytes);
        true
    }

    /// Removes and returns all complete events, if there is one.
    pub fn take_complete(&mut self) -> Option<Batch> {
        let from = self.searched.saturating_sub(LONGEST_EVENT_END - 1);
        let Some(end) = end_of_last_event(&self.buffer[from..]) else {
            self.searched = self.buffer.len();
            return None;
        };
        let bytes = self.buffer.split_to(from + end).freeze();
        self.searched = self.buffer.len();
        if let Some(lease) = &mut self.lease {
            lease.try_resize(self.buffer.len());
        }
        let ids = || bytes.split(|byte| *byte == b'\n').filter_map(parse_id);
        let (first_id, last_id) = (ids().next(), ids().next_back());
        Some(Batch { bytes, first_id, last_id })
    }

    /// Returns true if bytes of an incomplete event are left.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the offset after the last complete event, which ends with an empty line.
fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|end| end == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).rposition(|end| end == b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

/// Parses the id from a line of an event, if it has a numeric one.
fn parse_id(line: &[u8]) -> Option<u64> {
    let line = std::str::from_utf8(line).ok()?;
    line.strip_prefix("id:")?.trim().parse().ok()
}
