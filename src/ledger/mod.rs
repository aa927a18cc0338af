//! Bills: each request is billed exactly once, despite crashes, retries and lost messages.

mod buffer;
mod entry;
mod writer;

pub use buffer::Buffer;
pub use entry::{Entry, Part, Reason};
pub use writer::{flush, flush_interval, read_all};
