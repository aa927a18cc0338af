//! What model engines meet: the messages, and the client that sends them.

pub mod check;
pub mod client;
pub mod wire;
