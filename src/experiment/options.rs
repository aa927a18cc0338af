//! Options that all experiments share, parsed from the flags.

use crate::cli;
use crate::error::Error;
use crate::options::{list, optional, with_default};
use crate::unit::{Span, TrafficShare};

/// Parsed options of an experiment. Each experiment reads only those that it uses.
#[derive(Clone, Debug)]
pub struct Options {
    /// First seed of the random number generator.
    pub seed: u64,
    /// Number of consecutive seeds, for the experiments that repeat a run.
    pub runs: u64,
    /// Number of requests; none for the experiment's own default.
    pub requests: Option<usize>,
    /// Fleet sizes to simulate; empty for the experiment's own default.
    pub vms: Vec<usize>,
    /// Fraction of cheap answers that pass, from 0 to 1.
    pub cheap_pass: f64,
    /// Fraction of answers that are rated, from 0 to 1.
    pub rated_share: f64,
    /// Time from an answer to its rating.
    pub rating_lag: Span,
    /// Number of kinds of work.
    pub kinds: usize,
    /// Number of sudden changes in quality during a run.
    pub drift: usize,
    /// Additional fraction of poor answers of the harmful version, from 0 to 1.
    pub harm: f64,
    /// True if only the harmless version is rolled out.
    pub good: bool,
    /// Interval of load reports, and their delay.
    pub report_lag: Span,
    /// Number of replicas; none for the experiment's own default.
    pub replicas: Option<usize>,
    /// Offered load as a fraction of the capacity; none for the experiment's own default.
    pub load: Option<f64>,
}

impl Options {
    /// Parses the flags and fills in the defaults.
    ///
    /// # Errors
    /// If a flag does not parse or is out of range; only the first one is reported.
    pub fn check(flags: &cli::Experiment) -> Result<Options, Error> {
        let share = |flag: &str, given: Option<&String>, default: f64| -> Result<f64, Error> {
            Ok(with_default(flag, given, TrafficShare::from_fraction(default))?.fraction())
        };
        let positive = |flag: &str, given: Option<&String>| -> Result<Option<usize>, Error> {
            let number: Option<usize> = optional(flag, given)?;
            match number {
                Some(0) => Err(Error::flag(&format!("--{flag}"), 0, "use at least 1.")),
                other => Ok(other),
            }
        };
        Ok(Options {
            seed: with_default("seed", flags.seed.as_ref(), 1)?,
            runs: with_default("runs", flags.runs.as_ref(), 1000)?,
            requests: positive("requests", flags.requests.as_ref())?,
            vms: list("vms", flags.vms.as_ref())?,
            cheap_pass: share("cheap-pass", flags.cheap_pass.as_ref(), 0.7)?,
            rated_share: share("rated-share", flags.rated_share.as_ref(), 0.05)?,
            rating_lag: with_default("rating-lag", flags.rating_lag.as_ref(), Span::secs(60))?,
            kinds: positive("kinds", flags.kinds.as_ref())?.unwrap_or(4),
            drift: with_default("drift", flags.drift.as_ref(), 0)?,
            harm: share("harm", flags.harm.as_ref(), 0.1)?,
            good: flags.good,
            report_lag: with_default("report-lag", flags.report_lag.as_ref(), Span::millis(500))?,
            replicas: positive("replicas", flags.replicas.as_ref())?,
            load: optional("load", flags.load.as_ref())?,
        })
    }
}
