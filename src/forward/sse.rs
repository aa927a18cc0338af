//! Server-sent events: whole events only, and the ids that they bear.

use bytes::{Bytes, BytesMut};

/// Longest event; a server that never ends one is broken.
const LONGEST: usize = 1024 * 1024;

/// Bytes of a stream that are not passed on yet.
#[derive(Default)]
pub struct EventBuffer {
    buffer: BytesMut,
}

/// Some whole events.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Their bytes.
    pub bytes: Bytes,
    /// The id of the first that bears one.
    pub first_id: Option<u64>,
    /// The id of the last that bears one.
    pub last_id: Option<u64>,
}

impl EventBuffer {
    /// Adds bytes as they arrived. Whether the stream can still be one of events.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= LONGEST
    }

    /// All whole events that arrived.
    pub fn take_complete(&mut self) -> Option<Batch> {
        let end = last_end(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let ids = || bytes.split(|byte| *byte == b'\n').filter_map(id);
        let (first, last) = (ids().next(), ids().next_back());
        Some(Batch { bytes, first_id: first, last_id: last })
    }

    /// Whether an event has begun and not ended.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Where the last whole event ends, which is after an empty line.
fn last_end(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).rposition(|end| end == b"\n\n").map(|at| at + 2);
    let with_returns = bytes.windows(4).rposition(|end| end == b"\r\n\r\n").map(|at| at + 4);
    plain.max(with_returns)
}

fn id(line: &[u8]) -> Option<u64> {
    let line = std::str::from_utf8(line).ok()?;
    line.strip_prefix("id:")?.trim().parse().ok()
}
