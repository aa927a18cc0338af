//! Rate limit of backend servers that have just started: until its caches and pools are
//! warm, a server accepts only some requests per second.

use super::server_limit;
use crate::unit::{Rate, Span};

/// Window over which the declared rate is kept.
const WINDOW: Span = Span::secs(1);

/// Cold start limit that a service declares for its servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Requests per second that a cold server accepts from all VMs together.
    pub rate: Rate,
    /// How long a server is cold after its start.
    pub duration: Span,
}

impl From<ColdStart> for server_limit::RateLimit {
    fn from(cold: ColdStart) -> server_limit::RateLimit {
        server_limit::RateLimit { rate: cold.rate, window: WINDOW }
    }
}
