//! The checked options of experiments.

use crate::cli;
use crate::error::Error;
use crate::options::{list, optional, or};
use crate::unit::{Span, TrafficShare};

/// What an experiment is run with.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed.
    pub seed: u64,
    /// Seeds to run, for `rollout`.
    pub runs: u64,
    /// Requests, if set.
    pub requests: Option<usize>,
    /// Numbers of VMs.
    pub vms: Vec<usize>,
    /// Cheap answers that pass.
    pub cheap_pass: f64,
    /// Answers that are rated.
    pub rated_share: f64,
    /// Lag of ratings.
    pub rating_lag: Span,
    /// Kinds of work.
    pub kinds: usize,
    /// Sudden changes on the way.
    pub drift: usize,
    /// Bad answers more.
    pub harm: f64,
    /// Only a version that does no harm.
    pub good: bool,
    /// Lag of load reports.
    pub report_lag: Span,
    /// Replicas, if set.
    pub replicas: Option<usize>,
    /// Offered load in shares of the capacity, if set.
    pub load: Option<f64>,
}

impl Options {
    /// Checks the flags.
    ///
    /// # Errors
    /// The first flag that does not read.
    pub fn check(flags: &cli::Experiment) -> Result<Options, Error> {
        let share = |flag: &str, given: Option<&String>, default: f64| -> Result<f64, Error> {
            Ok(or(flag, given, TrafficShare::from_fraction(default))?.fraction())
        };
        let positive = |flag: &str, given: Option<&String>| -> Result<Option<usize>, Error> {
            let number: Option<usize> = optional(flag, given)?;
            match number {
                Some(0) => Err(Error::flag(&format!("--{flag}"), 0, "use at least 1.")),
                other => Ok(other),
            }
        };
        Ok(Options {
            seed: or("seed", flags.seed.as_ref(), 1)?,
            runs: or("runs", flags.runs.as_ref(), 1000)?,
            requests: positive("requests", flags.requests.as_ref())?,
            vms: list("vms", flags.vms.as_ref())?,
            cheap_pass: share("cheap-pass", flags.cheap_pass.as_ref(), 0.7)?,
            rated_share: share("rated-share", flags.rated_share.as_ref(), 0.05)?,
            rating_lag: or("rating-lag", flags.rating_lag.as_ref(), Span::secs(60))?,
            kinds: positive("kinds", flags.kinds.as_ref())?.unwrap_or(4),
            drift: or("drift", flags.drift.as_ref(), 0)?,
            harm: share("harm", flags.harm.as_ref(), 0.1)?,
            good: flags.good,
            report_lag: or("report-lag", flags.report_lag.as_ref(), Span::millis(500))?,
            replicas: positive("replicas", flags.replicas.as_ref())?,
            load: optional("load", flags.load.as_ref())?,
        })
    }
}
