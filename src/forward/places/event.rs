//! What happens to places at brittle servers, for the task that lends and borrows them.

use std::net::SocketAddr;

use crate::forward::replica::{Incarnation, Replica};
use crate::unit::{Moment, Service, Vm as Name};

/// What happens to places.
pub enum Event {
    /// Requests of this VM wait for a place at servers of the service.
    Needed(Service),
    /// A request of this VM has left its place at a server.
    Freed(Replica),
    /// Another VM asks for a place.
    Request {
        /// The VM that asks.
        from: Name,
        /// Where to send the answer.
        address: SocketAddr,
        /// The service for whose servers it has requests.
        service: Service,
        /// When it asked, by its clock.
        sent_at: Moment,
    },
    /// Another VM has answered a request for a place.
    Answer {
        /// The VM that answers.
        from: Name,
        /// Where to return the place.
        address: SocketAddr,
        /// The server at which it lends a place; `None` if it has none to lend.
        place: Option<Incarnation>,
        /// When this VM asked.
        requested_at: Moment,
    },
    /// Another VM returns a place that it had borrowed.
    Return {
        /// The VM that had borrowed it.
        from: Name,
        /// The server.
        place: Incarnation,
    },
}
