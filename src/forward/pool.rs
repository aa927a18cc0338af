//! Connections to one backend server that rest between two requests.

use super::connection::{Connection, Fault};
use crate::unit::{Moment, Span};

/// A resting connection is used again within this if the server names no time.
const REST: Span = Span::secs(8);

/// Time kept free before the server closes a resting connection.
const MARGIN: Span = Span::millis(700);

/// A request that may not be repeated takes only connections that rested no longer than this: a
/// server that closes one at the same moment would leave open whether the request ran.
const FRESH: Span = Span::millis(1500);

/// Resting connections to one server at most; more than a burst leaves behind is waste.
const MOST: usize = 8;

struct Resting {
    connection: Connection,
    since: Moment,
    until: Moment,
}

/// Resting connections to one server.
#[derive(Default)]
pub struct Pool {
    resting: Vec<Resting>,
}

impl Pool {
    /// A resting connection, the one used last; those that are no longer good are closed.
    pub fn checkout(&mut self, repeatable: bool, now: Moment) -> Option<Connection> {
        self.resting.retain(|resting| now < resting.until);
        while let Some(resting) = self.resting.pop() {
            if !repeatable && now.since(resting.since) > FRESH {
                self.resting.push(resting);
                return None;
            }
            if resting.connection.is_idle() {
                return Some(resting.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read whole; `rest` is the time that the server named.
    pub fn release(&mut self, connection: Connection, rest: Option<Span>, now: Moment) {
        let rest = rest.unwrap_or(REST).min(REST);
        if rest <= MARGIN || self.resting.len() >= MOST || !connection.is_reusable() {
            return;
        }
        self.resting.push(Resting { connection, since: now, until: now + rest - MARGIN });
    }
}

/// A connection for one request: a resting one, or a new one.
///
/// # Errors
/// `NotSent` if none opens.
pub async fn reuse_or_open(
    resting: Option<Connection>,
    to: std::net::SocketAddr,
    within: Span,
) -> Result<Connection, Fault> {
    match resting {
        Some(connection) => Ok(connection),
        None => Connection::open(to, within).await,
    }
}
