//! Rate limit of backend servers that have just started: until its caches and connection pools are
//! warm, a server accepts only some requests per second.

use super::server_limit;
use crate::unit::{Rate, Span};

/// Window in which a cold server gets at most the declared rate times the length of the window.
const WINDOW: Span = Span::secs(1);

/// Cold start limit that a service declares for its servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Requests per second that a cold server accepts from all VMs together.
    pub rate: Rate,
    /// Time after its start for which a server counts as cold.
    pub duration: Span,
}

impl From<ColdStart> for server_limit::RateLimit {
    fn from(cold: ColdStart) -> server_limit::RateLimit {
        server_limit::RateLimit { rate: cold.rate, window: WINDOW }
    }
}
