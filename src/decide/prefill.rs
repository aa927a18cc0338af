//! Estimates how long a model takes to read a prompt (prefill), from the responses of its servers.

use std::collections::VecDeque;

use crate::unit::Span;

/// Initial prefill time per token, in microseconds: that of a mid-sized model.
const INITIAL_TOKEN_MICROS: f64 = 16.0;

/// Initial time to the first event apart from prefill, in microseconds: some steps of an engine.
const INITIAL_BASE_MICROS: f64 = 40_000.0;

/// The time of shorter prompts depends more on the base time than on prefill.
const MIN_TOKENS: u64 = 1000;

/// Number of latest responses that the estimate is based on: some seconds of one VM's traffic.
const MAX_SAMPLES: usize = 16;

/// The estimate is this quantile of the samples. Queueing only lengthens times, so short ones tell
/// more; but the very shortest are of servers that had more of the prompt cached than assumed.
const QUANTILE: f64 = 0.25;

/// Lower bound of a sample, in microseconds per token.
const MIN_TOKEN_MICROS: f64 = 0.5;

/// The base time follows the shortest time seen and grows by this fraction with each longer one, so
/// that a single outlier is forgotten.
const BASE_GROWTH: f64 = 0.002;

/// Each token attends to all tokens before it. With this many before it, that takes as long as the
/// rest of its prefill. Engines of mid-sized models lie between 60,000 and 130,000.
const ATTENTION_TOKENS: f64 = 100_000.0;

/// Prefill time of a model, estimated from responses.
#[derive(Clone, Debug)]
pub struct PrefillEstimator {
    /// Microseconds per token.
    token_micros: f64,
    /// Microseconds to the first event apart from prefill.
    base_micros: f64,
    /// Microseconds per token of the latest responses; starts with the initial value.
    samples: VecDeque<f64>,
}

impl Default for PrefillEstimator {
    fn default() -> PrefillEstimator {
        PrefillEstimator {
            token_micros: INITIAL_TOKEN_MICROS,
            base_micros: INITIAL_BASE_MICROS,
            samples: VecDeque::from([INITIAL_TOKEN_MICROS]),
        }
    }
}

impl PrefillEstimator {
    /// Records the time to the first event of a prompt of which `tokens` had to be read.
    pub fn record(&mut self, tokens: u64, time: Span) {
        let time = time.0 as f64;
        self.base_micros =
            if time < self.base_micros { time } else { self.base_micros * (1.0 + BASE_GROWTH) };
        if tokens < MIN_TOKENS {
            return;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples
            .push_back(((time - self.base_micros) / relative_cost(tokens)).max(MIN_TOKEN_MICROS));
        let mut sorted: Vec<f64> = self.samples.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        self.token_micros = sorted[(QUANTILE * sorted.len() as f64) as usize];
    }

    /// Returns the time to read `tokens` tokens.
    pub fn prefill_time(&self, tokens: u64) -> Span {
        Span((relative_cost(tokens) * self.token_micros) as u64)
    }

    /// Returns the time to the first event of a prompt that does not have to queue.
    pub fn time_to_first_event(&self, tokens: u64) -> Span {
        Span(self.base_micros as u64 + self.prefill_time(tokens).0)
    }
}

/// Returns the cost of a prompt's prefill in units of the first token's.
fn relative_cost(tokens: u64) -> f64 {
    let tokens = tokens as f64;
    tokens * (1.0 + tokens / (2.0 * ATTENTION_TOKENS))
}
