//! A pool of idle connections to one backend server.

use super::connection::{Connection, Fault};
use crate::unit::{Moment, Span};

/// Idle timeout of a connection if the server announces none, and the longest one used.
const MAX_IDLE_TIMEOUT: Span = Span::secs(8);

/// A connection is dropped this long before the server would close it.
const IDLE_TIMEOUT_MARGIN: Span = Span::millis(700);

/// A non-idempotent request uses only connections that were idle no longer than this: if the server
/// closed the connection at the same moment, it would be unknown whether the request ran.
const MAX_IDLE_NON_IDEMPOTENT: Span = Span::millis(1500);

/// Maximum number of idle connections per server; more than a burst leaves behind would be wasted.
const MAX_IDLE_CONNECTIONS: usize = 8;

struct IdleConnection {
    connection: Connection,
    idle_since: Moment,
    expires_at: Moment,
}

/// The idle connections to one server.
#[derive(Default)]
pub struct Pool {
    idle: Vec<IdleConnection>,
}

impl Pool {
    /// Returns the idle connection that was used last, if there is one, and closes connections that
    /// expired or broke. Without `repeatable`, connections that were idle for too long are not
    /// used.
    pub fn checkout(&mut self, repeatable: bool, now: Moment) -> Option<Connection> {
        self.idle.retain(|idle| now < idle.expires_at);
        while let Some(idle) = self.idle.pop() {
            if !repeatable && now.since(idle.idle_since) > MAX_IDLE_NON_IDEMPOTENT {
                self.idle.push(idle);
                return None;
            }
            if let Some(connection) = idle.connection.into_idle() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for reuse if it is reusable and the pool has room, else closes it.
    /// `idle_timeout` is the one that the server announced, if it did.
    pub fn release(&mut self, connection: Connection, idle_timeout: Option<Span>, now: Moment) {
        let timeout = idle_timeout.unwrap_or(MAX_IDLE_TIMEOUT).min(MAX_IDLE_TIMEOUT);
        if timeout <= IDLE_TIMEOUT_MARGIN || self.idle.len() >= MAX_IDLE_CONNECTIONS {
            return;
        }
        let Some(connection) = connection.into_reusable() else { return };
        self.idle.push(IdleConnection {
            connection,
            idle_since: now,
            expires_at: now + timeout - IDLE_TIMEOUT_MARGIN,
        });
    }
}

/// Returns the idle connection if there is one, else opens a new one with the timeout `within`.
///
/// # Errors
/// `NotSent` if no connection is established.
pub async fn reuse_or_open(
    idle: Option<Connection>,
    to: std::net::SocketAddr,
    within: Span,
) -> Result<Connection, Fault> {
    match idle {
        Some(connection) => Ok(connection),
        None => Connection::open(to, within).await,
    }
}
