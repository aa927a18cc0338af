//! Parses flags and environment variables into validated settings.

use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;

use crate::client::max_descriptors;
use crate::decide::clients::Limits;
use crate::decide::rollout::Policy;
use crate::error::Error;
use crate::platform::settings;
use crate::unit::{Size, Span, TrafficShare};
use crate::vm::Settings;
use crate::{cli, forward};

/// Memory of a VM that runs `serve`, unless it is set.
const DEFAULT_MEMORY: Size = Size(1_000_000_000);

/// Prefix of the environment variables that set flags and secrets.
const PREFIX: &str = "KITEPULLEY_";

/// Returns the value of a flag, or else of its environment variable.
pub fn value_of(flag: &str, given: Option<&String>) -> Option<String> {
    let name = format!("{PREFIX}{}", flag.replace('-', "_").to_ascii_uppercase());
    given.cloned().or_else(|| std::env::var(name).ok())
}

/// Parses an optional flag.
///
/// # Errors
/// If the value is invalid; names the flag, the value and what is accepted.
pub fn optional<T>(flag: &str, given: Option<&String>) -> Result<Option<T>, Error>
where
    T: FromStr,
    T::Err: Display,
{
    let Some(text) = value_of(flag, given) else {
        return Ok(None);
    };
    let to_error = |error: T::Err| Error::flag(&format!("--{flag}"), &text, error);
    text.parse().map(Some).map_err(to_error)
}

/// Parses a flag, or returns `default` if it is not set.
///
/// # Errors
/// If the value is invalid; names the flag, the value and what is accepted.
pub fn with_default<T>(flag: &str, given: Option<&String>, default: T) -> Result<T, Error>
where
    T: FromStr,
    T::Err: Display,
{
    Ok(optional(flag, given)?.unwrap_or(default))
}

/// Parses a flag that must be set.
///
/// # Errors
/// If the flag is not set, or its value is invalid; names the flag and what is accepted.
pub fn required<T>(flag: &str, given: Option<&String>) -> Result<T, Error>
where
    T: FromStr,
    T::Err: Display,
{
    let missing = || Error::Usage(format!("--{flag} is missing; give it a value."));
    optional(flag, given)?.ok_or_else(missing)
}

/// Parses a list of values separated by commas; empty if the flag is not set.
///
/// # Errors
/// If the value is invalid; names the flag, the value and what is accepted.
pub fn list<T>(flag: &str, given: Option<&String>) -> Result<Vec<T>, Error>
where
    T: FromStr,
    T::Err: Display,
{
    let Some(text) = value_of(flag, given) else {
        return Ok(Vec::new());
    };
    let parse = |part: &str| {
        part.trim().parse().map_err(|e: T::Err| Error::flag(&format!("--{flag}"), part, e))
    };
    text.split(',').filter(|part| !part.is_empty()).map(parse).collect()
}

/// Parses a secret, which is read from an environment variable only and never printed.
///
/// # Errors
/// If the value is invalid; names the variable and what is accepted, never the value.
fn secret<T>(name: &str) -> Result<Option<T>, Error>
where
    T: FromStr,
    T::Err: Display,
{
    let name = format!("{PREFIX}{name}");
    let Ok(text) = std::env::var(&name) else {
        return Ok(None);
    };
    let to_error = |error: T::Err| Error::flag(&name, "(not shown)", error);
    text.parse().map(Some).map_err(to_error)
}

fn required_secret<T>(name: &str) -> Result<T, Error>
where
    T: FromStr,
    T::Err: Display,
{
    let missing = || {
        let what = format!("The environment variable {PREFIX}{name} is missing; set the secret.");
        Error::Usage(what)
    };
    secret(name)?.ok_or_else(missing)
}

/// Validates the flags of `serve`.
///
/// # Errors
/// At the first flag that is missing or invalid, or if two flags contradict each other.
pub fn serve(flags: &cli::Serve) -> Result<Settings, Error> {
    let rated: TrafficShare =
        with_default("rated-share", flags.rated_share.as_ref(), TrafficShare::from_fraction(0.05))?;
    let policy = Policy::default();
    let doubling = with_default(
        "rollout-doubling",
        flags.rollout_doubling.as_ref(),
        policy.min_doubling_time,
    )?;
    let settings = Settings {
        vm: required("vm", flags.vm.as_ref())?,
        data_centre: required("data-centre", flags.data_centre.as_ref())?,
        listen: required("listen", flags.listen.as_ref())?,
        peer: required("peer", flags.peer.as_ref())?,
        platform: required("platform", flags.platform.as_ref())?,
        rating_service: optional("rating", flags.rating.as_ref())?,
        seeds: list("seed", flags.seed.as_ref())?,
        workers: with_default("workers", flags.workers.as_ref(), 2)?,
        stop_within: with_default("stop-within", flags.stop_within.as_ref(), Span::secs(30))?,
        body_limit: with_default("body-limit", flags.body_limit.as_ref(), Size(1_000_000))?,
        clients: client_limits(flags)?,
        rated_share: rated.fraction(),
        rollout: Policy { min_doubling_time: doubling, ..policy },
        fleet_key: required_secret("FLEET_KEY")?,
        session_keys: required_secret("SESSION_KEYS")?,
        operator_key: secret("OPERATOR_KEY")?,
    };
    check_conflicts(&settings)?;
    Ok(settings)
}

/// Returns what clients of `serve` may take together.
fn client_limits(flags: &cli::Serve) -> Result<Limits, Error> {
    let memory = with_default("memory", flags.memory.as_ref(), DEFAULT_MEMORY)?;
    let limits = Limits::new(memory, max_descriptors());
    let connections =
        with_default("client-connections", flags.client_connections.as_ref(), limits.connections)?;
    check_connections(connections)?;
    Ok(Limits { connections, ..limits })
}

fn check_connections(connections: usize) -> Result<(), Error> {
    match connections {
        0 => Err(Error::flag("--client-connections", 0, "use at least 1.")),
        _ => Ok(()),
    }
}

fn check_conflicts(settings: &Settings) -> Result<(), Error> {
    let conflict = |what: &str| Err(Error::Usage(what.to_owned()));
    if settings.workers == 0 {
        return Err(Error::flag("--workers", 0, "use at least 1."));
    }
    if settings.platform == settings.listen {
        return conflict("--platform and --listen name the same address; give the VM its own.");
    }
    if settings.rating_service == Some(settings.platform) {
        return conflict("--rating and --platform name the same address; each is its own service.");
    }
    if settings.rollout.min_doubling_time == Span(0) {
        return Err(Error::flag("--rollout-doubling", "0s", "use a duration above 0."));
    }
    Ok(())
}

/// Validates the flags of `entry` and reads the platform's settings file.
///
/// # Errors
/// At the first flag, or field of the file, that is missing or invalid.
pub fn entry(flags: &cli::Entry) -> Result<forward::Settings, Error> {
    let port: Option<u16> = optional("metrics-port", flags.metrics_port.as_ref())?;
    let mut settings = settings::from_environment()?;
    settings.keep_confidence =
        with_default("keep-confidence", flags.keep_confidence.as_ref(), settings.keep_confidence)?;
    if !(0.0..=100.0).contains(&settings.keep_confidence) {
        let given = settings.keep_confidence;
        let what = format!("--keep-confidence is {given}; give it a percentage from 0 to 100.");
        return Err(Error::Usage(what));
    }
    settings.client_connections =
        optional("client-connections", flags.client_connections.as_ref())?;
    settings.client_connections.map_or(Ok(()), check_connections)?;
    settings.source = optional("source-ip", flags.source_ip.as_ref())?;
    settings.metrics = port.map(|port| SocketAddr::new(settings.ip, port));
    Ok(settings)
}

/// Parses an address that must be set.
///
/// # Errors
/// If the flag is not set, or its value is invalid; names the flag and what is accepted.
pub fn address(flag: &str, given: Option<&String>) -> Result<SocketAddr, Error> {
    required(flag, given)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_wrong_value_names_the_flag_the_value_and_what_is_accepted() {
        let error =
            with_default::<Span>("stop-within", Some(&"soon".to_owned()), Span(0)).unwrap_err();
        let text = error.to_string();
        assert!(text.contains("--stop-within") && text.contains("`soon`") && text.contains("5s"));
        assert_eq!(error.exit_code(), 2);
    }

    #[test]
    fn a_list_is_parted_by_commas() {
        let ports: Vec<u16> = list("x-ports", Some(&"1,2, 3".to_owned())).unwrap();
        assert_eq!(ports, vec![1, 2, 3]);
    }
}
