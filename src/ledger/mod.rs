//! Bills: each request is billed exactly once, despite crashes, retries and lost messages. A VM
//! numbers its bills; copies at other VMs protect them until they are *flushed*, that is, written
//! to the store in *chunks*, objects that form a *chain* per origin (one incarnation of a VM).

mod buffer;
mod entry;
mod writer;

pub use buffer::Buffer;
pub use entry::{Entry, Part, Reason};
pub use writer::{flush, flush_interval, read_all};
