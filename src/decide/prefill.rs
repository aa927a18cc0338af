//! How fast a model reads prompts, learned from answers.

use std::collections::VecDeque;

use crate::unit::Span;

/// Time to read a token that nothing is known of, in microseconds; a mid-sized model's.
const FIRST_PACE: f64 = 16.0;

/// Time of a first event beside the reading that nothing is known of; some steps of an engine.
const FIRST_BASE: f64 = 40_000.0;

/// Prompts shorter than this say more of the time beside the reading than of the reading.
const TELLING: u64 = 1000;

/// Answers that the pace is learned from; some seconds of one VM's work.
const LAST: usize = 16;

/// The pace is this quantile of them: waiting only lengthens times, so short ones tell more, but the
/// very shortest met a server that held more of the prompt than was thought.
const QUANTILE: f64 = 0.25;

/// Least time to read a token, in microseconds, that is believed.
const LEAST: f64 = 0.5;

/// The time beside the reading follows the shortest seen, and rises by this share with each longer
/// one, so that an odd one is forgotten.
const FORGET: f64 = 0.002;

/// Each token is read against all before it; with so many before it, that takes as long as the
/// rest of its reading. Engines of mid-sized models lie between 60,000 and 130,000.
const ATTENTION: f64 = 100_000.0;

/// Time that a model takes to read a token, learned from answers.
#[derive(Clone, Debug)]
pub struct PrefillEstimator {
    /// Microseconds for each token.
    micros: f64,
    /// Microseconds of a first event beside the reading.
    base: f64,
    /// Microseconds for each token by the last answers; at first what was supposed.
    seen: VecDeque<f64>,
}

impl Default for PrefillEstimator {
    fn default() -> PrefillEstimator {
        PrefillEstimator {
            micros: FIRST_PACE,
            base: FIRST_BASE,
            seen: VecDeque::from([FIRST_PACE]),
        }
    }
}

impl PrefillEstimator {
    /// Notes the time to the first event of a prompt of which so many tokens had to be read.
    pub fn record(&mut self, tokens: u64, time: Span) {
        let time = time.0 as f64;
        self.base = if time < self.base { time } else { self.base * (1.0 + FORGET) };
        if tokens < TELLING {
            return;
        }
        if self.seen.len() == LAST {
            self.seen.pop_front();
        }
        self.seen.push_back(((time - self.base) / work(tokens)).max(LEAST));
        let mut sorted: Vec<f64> = self.seen.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        self.micros = sorted[(QUANTILE * sorted.len() as f64) as usize];
    }

    /// Time to read so many tokens.
    pub fn prefill_time(&self, tokens: u64) -> Span {
        Span((work(tokens) * self.micros) as u64)
    }

    /// Time to the first event of a prompt that need not wait.
    pub fn time_to_first_event(&self, tokens: u64) -> Span {
        Span(self.base as u64 + self.prefill_time(tokens).0)
    }
}

/// The reading of a prompt, in tokens at its beginning.
fn work(tokens: u64) -> f64 {
    let tokens = tokens as f64;
    tokens * (1.0 + tokens / (2.0 * ATTENTION))
}
