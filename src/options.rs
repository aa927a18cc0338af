//! Flags and environment variables, turned into checked settings.

use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;

use crate::cli;
use crate::decide::rollout::Policy;
use crate::error::Error;
use crate::forward;
use crate::platform::settings;
use crate::unit::{Size, Span, TrafficShare};
use crate::vm::Settings;

/// Prefix of environment variables.
const PREFIX: &str = "KITEPULLEY_";

/// A flag's value, or its environment variable's.
pub fn text(flag: &str, given: Option<&String>) -> Option<String> {
    let name = format!("{PREFIX}{}", flag.replace('-', "_").to_ascii_uppercase());
    given.cloned().or_else(|| std::env::var(name).ok())
}

/// A value that must read as `T` if it is there.
///
/// # Errors
/// Names the flag, the value and what is accepted.
pub fn optional<T>(flag: &str, given: Option<&String>) -> Result<Option<T>, Error>
where
    T: FromStr,
    T::Err: Display,
{
    let Some(text) = text(flag, given) else {
        return Ok(None);
    };
    let fault = |fault: T::Err| Error::flag(&format!("--{flag}"), &text, fault);
    text.parse().map(Some).map_err(fault)
}

/// A value with a default.
///
/// # Errors
/// Names the flag, the value and what is accepted.
pub fn or<T>(flag: &str, given: Option<&String>, default: T) -> Result<T, Error>
where
    T: FromStr,
    T::Err: Display,
{
    Ok(optional(flag, given)?.unwrap_or(default))
}

/// A value that must be there.
///
/// # Errors
/// Names the flag, and the value and what is accepted if it does not read.
pub fn needed<T>(flag: &str, given: Option<&String>) -> Result<T, Error>
where
    T: FromStr,
    T::Err: Display,
{
    let missing = || Error::Contradiction(format!("--{flag} is missing; give it a value."));
    optional(flag, given)?.ok_or_else(missing)
}

/// A list parted by commas.
///
/// # Errors
/// Names the flag, the value and what is accepted.
pub fn list<T>(flag: &str, given: Option<&String>) -> Result<Vec<T>, Error>
where
    T: FromStr,
    T::Err: Display,
{
    let Some(text) = text(flag, given) else {
        return Ok(Vec::new());
    };
    let parse = |part: &str| {
        part.trim().parse().map_err(|e: T::Err| Error::flag(&format!("--{flag}"), part, e))
    };
    text.split(',').filter(|part| !part.is_empty()).map(parse).collect()
}

/// A secret, which comes by environment variable only and is never shown.
///
/// # Errors
/// Names the variable and what is accepted, never the value.
fn secret<T>(name: &str) -> Result<Option<T>, Error>
where
    T: FromStr,
    T::Err: Display,
{
    let name = format!("{PREFIX}{name}");
    let Ok(text) = std::env::var(&name) else {
        return Ok(None);
    };
    let fault = |fault: T::Err| Error::flag(&name, "(not shown)", fault);
    text.parse().map(Some).map_err(fault)
}

fn needed_secret<T>(name: &str) -> Result<T, Error>
where
    T: FromStr,
    T::Err: Display,
{
    let missing = || {
        let what = format!("The environment variable {PREFIX}{name} is missing; set the secret.");
        Error::Contradiction(what)
    };
    secret(name)?.ok_or_else(missing)
}

/// Checks the flags of `serve`.
///
/// # Errors
/// The first flag that is missing or does not read, or two that contradict.
pub fn serve(flags: &cli::Serve) -> Result<Settings, Error> {
    let rated: TrafficShare =
        or("rated-share", flags.rated_share.as_ref(), TrafficShare::from_fraction(0.05))?;
    let policy = Policy::default();
    let doubling = or("rollout-doubling", flags.rollout_doubling.as_ref(), policy.doubling)?;
    let settings = Settings {
        vm: needed("vm", flags.vm.as_ref())?,
        data_centre: needed("data-centre", flags.data_centre.as_ref())?,
        listen: needed("listen", flags.listen.as_ref())?,
        peer: needed("peer", flags.peer.as_ref())?,
        platform: needed("platform", flags.platform.as_ref())?,
        rating_service: optional("rating", flags.rating.as_ref())?,
        seeds: list("seed", flags.seed.as_ref())?,
        workers: or("workers", flags.workers.as_ref(), 2)?,
        stop_within: or("stop-within", flags.stop_within.as_ref(), Span::secs(30))?,
        body_limit: or("body-limit", flags.body_limit.as_ref(), Size(1_000_000))?,
        rated_share: rated.fraction(),
        rollout: Policy { doubling, ..policy },
        fleet_key: needed_secret("FLEET_KEY")?,
        session_keys: needed_secret("SESSION_KEYS")?,
        operator_key: secret("OPERATOR_KEY")?,
    };
    contradictions(&settings)?;
    Ok(settings)
}

fn contradictions(settings: &Settings) -> Result<(), Error> {
    let fault = |what: &str| Err(Error::Contradiction(what.to_owned()));
    if settings.workers == 0 {
        return Err(Error::flag("--workers", 0, "use at least 1."));
    }
    if settings.platform == settings.listen {
        return fault("--platform and --listen name the same address; give the VM its own.");
    }
    if settings.rating_service == Some(settings.platform) {
        return fault("--rating and --platform name the same address; each is its own service.");
    }
    if settings.rollout.doubling == Span(0) {
        return Err(Error::flag("--rollout-doubling", "0s", "use more than nothing."));
    }
    Ok(())
}

/// Checks the flags of `entry` and reads the platform's settings file.
///
/// # Errors
/// The flag, or the field of the file, that is missing or does not read.
pub fn entry(flags: &cli::Entry) -> Result<forward::Settings, Error> {
    let port: Option<u16> = optional("metrics-port", flags.metrics_port.as_ref())?;
    let mut settings = settings::from_environment()?;
    settings.keep_confidence =
        or("keep-confidence", flags.keep_confidence.as_ref(), settings.keep_confidence)?;
    if !(0.0..=100.0).contains(&settings.keep_confidence) {
        let given = settings.keep_confidence;
        let what = format!("--keep-confidence is {given}; give it a percentage from 0 to 100.");
        return Err(Error::Contradiction(what));
    }
    settings.metrics = port.map(|port| SocketAddr::new(settings.ip, port));
    Ok(settings)
}

/// An address that must be there.
///
/// # Errors
/// Names the flag, and the value and what is accepted if it does not read.
pub fn address(flag: &str, given: Option<&String>) -> Result<SocketAddr, Error> {
    needed(flag, given)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_wrong_value_names_the_flag_the_value_and_what_is_accepted() {
        let fault = or::<Span>("stop-within", Some(&"soon".to_owned()), Span(0)).unwrap_err();
        let text = fault.to_string();
        assert!(text.contains("--stop-within") && text.contains("`soon`") && text.contains("5s"));
        assert_eq!(fault.code(), 2);
    }

    #[test]
    fn a_list_is_parted_by_commas() {
        let ports: Vec<u16> = list("x-ports", Some(&"1,2, 3".to_owned())).unwrap();
        assert_eq!(ports, vec![1, 2, 3]);
    }
}
