//! Backend servers that have just started: until its caches and pools are warm a server bears some requests a second.

use super::bound;
use crate::unit::{Rate, Span};

/// The declared rate is kept over any such time.
const WINDOW: Span = Span::secs(1);

/// What a service declares of its servers that start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Requests that a cold server bears, from all VMs together.
    pub rate: Rate,
    /// How long a server is cold after its start.
    pub lasts: Span,
}

impl From<Bound> for bound::Bound {
    fn from(cold: Bound) -> bound::Bound {
        bound::Bound { rate: cold.rate, window: WINDOW }
    }
}
