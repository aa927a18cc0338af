//! Backend servers that have just started: until its caches and pools are warm a server bears some requests a second.

use super::server_limit;
use crate::unit::{Rate, Span};

/// The declared rate is kept over any such time.
const WINDOW: Span = Span::secs(1);

/// What a service declares of its servers that start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Requests that a cold server bears, from all VMs together.
    pub rate: Rate,
    /// How long a server is cold after its start.
    pub duration: Span,
}

impl From<ColdStart> for server_limit::RateLimit {
    fn from(cold: ColdStart) -> server_limit::RateLimit {
        server_limit::RateLimit { rate: cold.rate, window: WINDOW }
    }
}
