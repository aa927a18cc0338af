//! How fast a model reads prompts, learned from answers.

use crate::unit::Span;

/// Time to read a token that nothing is known of, in microseconds; a mid-sized model's.
const FIRST_PACE: f64 = 16.0;

/// Prompts shorter than this say more of the way there than of the reading.
const TELLING: u64 = 400;

/// Weight of a time shorter than thought, and of a longer one: waiting only lengthens times, so
/// short ones tell more.
const SHORTER: f64 = 0.3;
const LONGER: f64 = 0.03;

/// Time that a model takes to read a token, learned from answers.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    micros: f64,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace { micros: FIRST_PACE }
    }
}

impl Pace {
    /// Notes the time to the first event of a prompt of which so many tokens had to be read.
    pub fn note(&mut self, tokens: u64, time: Span) {
        if tokens < TELLING {
            return;
        }
        let seen = time.0 as f64 / tokens as f64;
        let weight = if seen < self.micros { SHORTER } else { LONGER };
        self.micros += weight * (seen - self.micros);
    }

    /// Time to read so many tokens.
    pub fn time(&self, tokens: u64) -> Span {
        Span((tokens as f64 * self.micros) as u64)
    }
}
