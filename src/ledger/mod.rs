//! Bills: each request once, whatever dies, repeats or is lost.

mod buffer;
mod entry;
mod writer;

pub use buffer::Buffer;
pub use entry::{Entry, Part, Reason};
pub use writer::{flush, flush_interval, read_all};
