//! Protocol of the model engines: messages, client, and the check of a server's process.

pub mod check;
pub mod client;
pub mod crash_check;
pub mod wire;
