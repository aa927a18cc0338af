//! Estimates how long a model takes to read a prompt (prefill), from the responses of its servers.

use std::collections::VecDeque;

use crate::unit::Span;

/// Initial prefill time per token, in microseconds: that of a mid-sized model.
const INITIAL_TOKEN_MICROS: f64 = 16.0;

/// Initial time to the first event apart from prefill, in microseconds: that of a few decoding
/// steps of an engine.
const INITIAL_BASE_MICROS: f64 = 40_000.0;

/// Minimum number of tokens of a prompt for a sample: the time of shorter prompts depends more on
/// the base time than on prefill.
const MIN_TOKENS: u64 = 1000;

/// Number of latest responses from which the time per token is estimated: some seconds of one VM's
/// traffic.
const MAX_SAMPLES: usize = 16;

/// Quantile of the samples that is used as the time per token. Queueing only lengthens times, so
/// short ones are more exact; but the very shortest are of servers that had more of the prompt
/// cached than assumed.
const QUANTILE: f64 = 0.25;

/// Lower bound of a sample of the prefill time, in microseconds per token.
const MIN_TOKEN_MICROS: f64 = 0.5;

/// Fraction by which the base time grows with each response that took longer; it is set to the time
/// of a shorter one. So a single outlier is forgotten.
const BASE_GROWTH: f64 = 0.002;

/// Number of preceding tokens at which attention to them doubles the prefill time of a token.
/// Engines of mid-sized models lie between 60,000 and 130,000.
const ATTENTION_TOKENS: f64 = 100_000.0;

/// Prefill time of a model, estimated from responses.
#[derive(Clone, Debug)]
pub struct PrefillEstimator {
    /// Prefill time per token in microseconds, without attention to preceding tokens.
    token_micros: f64,
    /// Time to the first event apart from prefill, in microseconds.
    base_micros: f64,
    /// Prefill times per token, in microseconds, of the latest responses; the first one is the
    /// initial value.
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
    /// Records the time from sending a prompt to the first event of its response; `tokens` is the
    /// number of prompt tokens that the server had not cached.
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

    /// Returns the estimated prefill time of `tokens` uncached tokens.
    pub fn prefill_time(&self, tokens: u64) -> Span {
        Span((relative_cost(tokens) * self.token_micros) as u64)
    }

    /// Returns the estimated time to the first event for a prompt with `tokens` uncached tokens
    /// that does not have to queue.
    pub fn time_to_first_event(&self, tokens: u64) -> Span {
        Span(self.base_micros as u64 + self.prefill_time(tokens).0)
    }
}

/// Returns the prefill time of `tokens` tokens as a multiple of that of the first token.
fn relative_cost(tokens: u64) -> f64 {
    let tokens = tokens as f64;
    tokens * (1.0 + tokens / (2.0 * ATTENTION_TOKENS))
}
