//! Bills: each request once, whatever dies, repeats or is lost.

mod book;
mod entry;
mod writer;

pub use book::Book;
pub use entry::{Entry, Part, Why};
pub use writer::{collect, flush, interval};
