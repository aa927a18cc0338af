//! Reads the platform's settings file, in which each VM finds its name, addresses and bounds.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use serde::Deserialize;
use serde_json::Value;

use super::duty;
use crate::decide::escalate::KEEP_CONFIDENCE;
use crate::decide::{lease, usage};
use crate::error::Error;
use crate::forward::{Bounds, Duties, Settings};
use crate::unit::{DataCentre, Millicores, Region, Size, Span};

/// Environment variable with the path of the settings file.
pub const PATH_VARIABLE: &str = "KITEPULLEY_CONFIG";

/// Defaults of the bounds that a file leaves out: those of the smallest published site.
const CONTACT_MS: f64 = 3000.0;
const CONFIG_APPLY_MS: f64 = 2000.0;
const DRAIN_MS: f64 = 2000.0;
const EVACUATE_MS: f64 = 5000.0;
const REVOKE_MS: f64 = 5000.0;
const ROLLBACK_MS: f64 = 5000.0;
const GRACE_S: f64 = 8.0;
const SESSION_S: f64 = 5.0;
const RETRY_RATIO: f64 = 0.9;
const RETRY_EXTRA: f64 = 54.0;
const RETRY_WINDOW_S: f64 = 10.0;
const EXPOSURE_SHARE: f64 = 0.15;
const EXPOSURE_TOLERANCE: f64 = 0.0;
const LEASE_MS: f64 = 3000.0;
const REPORT_WINDOW_S: f64 = 5.0;
const USAGE_LATE_S: f64 = 10.0;

/// Name of the duty to report usage.
const USAGE_DUTY: &str = "usage_report";

/// Shortest lease and shortest reporting window. Calls of a duty must arrive within the lease.
const MIN_DUTY_MS: f64 = 1000.0;

/// Processor quota of a VM whose file sets none, as a share of each core.
const DEFAULT_QUOTA: f64 = 1.0;

/// Bytes of a megabyte.
const BYTES_PER_MB: f64 = 1_000_000.0;

/// Upper limit of the bounds, so that a mistake in the file cannot overflow a time.
const MAX_BOUND_MS: f64 = 86_400_000.0;

#[derive(Deserialize)]
struct SettingsFile {
    node_name: Option<String>,
    ip: Option<String>,
    zone: Option<String>,
    /// Region of each data centre.
    #[serde(default)]
    zones: HashMap<String, String>,
    listen: Option<Listen>,
    platform: Option<Store>,
    /// First and last port reserved for connections between VMs.
    #[serde(default)]
    port_range: Vec<u16>,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    bounds: serde_json::Map<String, Value>,
    cloud: Option<Cloud>,
}

/// The platform as the receiver of the calls of duties.
#[derive(Deserialize)]
struct Cloud {
    address: Option<String>,
    /// Names of the duties; those that are not known are ignored.
    #[serde(default)]
    duties: Vec<String>,
}

#[derive(Default, Deserialize)]
struct Limits {
    /// Processor quota, as a share of each core.
    cpu_quota: Option<f64>,
    memory_mb: Option<f64>,
    /// Descriptors that the process may have.
    max_fds: Option<u64>,
}

#[derive(Deserialize)]
struct Listen {
    frontend: Option<String>,
    readiness: Option<String>,
}

#[derive(Deserialize)]
struct Store {
    address: Option<String>,
}

/// Reads the settings file whose path is in [`PATH_VARIABLE`].
///
/// # Errors
/// If the variable is not set; otherwise as [`read`].
pub fn from_environment() -> Result<Settings, Error> {
    let missing = || {
        let what = format!("{PATH_VARIABLE} is not set; give it the path of the settings file.");
        Error::Usage(what)
    };
    let path = std::env::var_os(PATH_VARIABLE).ok_or_else(missing)?;
    read(Path::new(&path))
}

/// Reads a settings file. Ignores unknown fields.
///
/// # Errors
/// If the file cannot be read or is not JSON, or if a required field is missing or invalid; the
/// error names the field.
pub fn read(path: &Path) -> Result<Settings, Error> {
    let shown = path.display().to_string();
    let unreadable = |e: std::io::Error| Error::SettingsFile(shown.clone(), e.to_string());
    let text = std::fs::read_to_string(path).map_err(unreadable)?;
    parse(&text, &shown)
}

/// Parses the text of a settings file. `path` is used in errors only.
///
/// # Errors
/// As [`read`].
pub fn parse(text: &str, path: &str) -> Result<Settings, Error> {
    let malformed = |e: serde_json::Error| Error::Format(path.to_owned(), e.line(), format!("{e}"));
    let file: SettingsFile = serde_json::from_str(text).map_err(malformed)?;
    let listen = file.listen.unwrap_or(Listen { frontend: None, readiness: None });
    let store = file.platform.unwrap_or(Store { address: None });
    let ip: IpAddr = parse_field(path, "ip", required(path, "ip", file.ip)?)?;
    Ok(Settings {
        vm: parse_field(path, "node_name", required(path, "node_name", file.node_name)?)?,
        data_centre: parse_field(path, "zone", required(path, "zone", file.zone)?)?,
        regions: regions(path, &file.zones)?,
        ip,
        source: None,
        cpu_quota: parse_quota(path, file.limits.cpu_quota)?,
        memory: parse_memory(path, file.limits.memory_mb)?,
        descriptors: file.limits.max_fds,
        client_connections: None,
        callers: parse_address(path, "listen.frontend", listen.frontend)?,
        readiness: parse_address(path, "listen.readiness", listen.readiness)?,
        store: parse_address(path, "platform.address", store.address)?,
        links: file.port_range.first().map(|port| SocketAddr::new(ip, *port)),
        metrics: None,
        keep_confidence: KEEP_CONFIDENCE,
        bounds: parse_bounds(&file.bounds),
        duties: file
            .cloud
            .map(|cloud| parse_duties(path, cloud, &file.bounds))
            .transpose()?
            .flatten(),
    })
}

/// Reads the duties; none if the file names no duty that is known.
fn parse_duties(
    path: &str,
    cloud: Cloud,
    fields: &serde_json::Map<String, Value>,
) -> Result<Option<Duties>, Error> {
    if !cloud.duties.iter().any(|duty| duty == USAGE_DUTY) {
        return Ok(None);
    }
    let at_least_min = |ms: f64| bound_span(ms.max(MIN_DUTY_MS));
    Ok(Some(Duties {
        platform: parse_address(path, "cloud.address", cloud.address)?,
        lease: lease::Terms {
            duration: at_least_min(bound(fields, "lease_ms", LEASE_MS)),
            call_time: duty::CALL_TIME,
        },
        usage: usage::Schedule {
            length: at_least_min(bound(fields, "report_window_s", REPORT_WINDOW_S) * 1000.0),
            due_after: bound_span(bound(fields, "usage_late_s", USAGE_LATE_S) * 1000.0),
        },
    }))
}

/// Returns a bound of the file. One that is missing, not a number or negative gets its default.
fn bound(fields: &serde_json::Map<String, Value>, name: &str, default: f64) -> f64 {
    let value = fields.get(name).and_then(Value::as_f64);
    value.filter(|value| *value >= 0.0).unwrap_or(default)
}

fn bound_span(ms: f64) -> Span {
    Span((ms.min(MAX_BOUND_MS) * 1000.0) as u64)
}

fn regions(
    path: &str,
    zones: &HashMap<String, String>,
) -> Result<HashMap<DataCentre, Region>, Error> {
    let parse = |(zone, region): (&String, &String)| {
        let field = format!("zones.{zone}");
        Ok((parse_field(path, &field, zone.clone())?, parse_field(path, &field, region.clone())?))
    };
    zones.iter().map(parse).collect()
}

fn parse_quota(path: &str, quota: Option<f64>) -> Result<Millicores, Error> {
    let cores = quota.unwrap_or(DEFAULT_QUOTA);
    if !cores.is_finite() || cores < 0.0 {
        let reason = format!("`{cores}` is not a share of a core; write a number such as 0.25");
        return Err(Error::SettingsField(path.to_owned(), "limits.cpu_quota".to_owned(), reason));
    }
    Ok(Millicores::from_cores(cores))
}

fn parse_memory(path: &str, megabytes: Option<f64>) -> Result<Option<Size>, Error> {
    let Some(megabytes) = megabytes else { return Ok(None) };
    if !megabytes.is_finite() || megabytes <= 0.0 {
        let reason =
            format!("`{megabytes}` is not a size in megabytes; write a number such as 110");
        return Err(Error::SettingsField(path.to_owned(), "limits.memory_mb".to_owned(), reason));
    }
    Ok(Some(Size((megabytes * BYTES_PER_MB) as u64)))
}

fn required(path: &str, field: &str, value: Option<String>) -> Result<String, Error> {
    let missing =
        || Error::SettingsField(path.to_owned(), field.to_owned(), "it is missing".to_owned());
    value.ok_or_else(missing)
}

fn parse_field<T>(path: &str, field: &str, text: String) -> Result<T, Error>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let fault = |e: T::Err| {
        Error::SettingsField(path.to_owned(), field.to_owned(), format!("`{text}`: {e}"))
    };
    text.parse().map_err(fault)
}

fn parse_address(path: &str, field: &str, value: Option<String>) -> Result<SocketAddr, Error> {
    parse_field(path, field, required(path, field, value)?)
}

/// Reads the bounds; see [`bound`].
fn parse_bounds(fields: &serde_json::Map<String, Value>) -> Bounds {
    let number = |name: &str, default: f64| bound(fields, name, default);
    let millis = bound_span;
    let strict = fields.get("strict_revocation").and_then(Value::as_bool).unwrap_or(true);
    Bounds {
        settling_time: millis(number("contact_ms", CONTACT_MS)),
        config_propagation: millis(number("config_apply_ms", CONFIG_APPLY_MS)),
        drain_within: millis(number("drain_ms", DRAIN_MS)),
        evacuate_within: millis(number("evacuate_ms", EVACUATE_MS)),
        key_staleness: strict.then(|| millis(number("revoke_ms", REVOKE_MS))),
        rollback: millis(number("rollback_ms", ROLLBACK_MS)),
        stop_within: millis(number("grace_s", GRACE_S) * 1000.0),
        session_gap: millis(number("session_s", SESSION_S) * 1000.0),
        retry_share: number("retry_budget_ratio", RETRY_RATIO),
        retry_extra: number("retry_budget_extra", RETRY_EXTRA),
        retry_window: millis(number("budget_window_s", RETRY_WINDOW_S) * 1000.0),
        max_exposure: number("exposure_share", EXPOSURE_SHARE).min(1.0),
        exposure_tolerance: number("exposure_tolerance", EXPOSURE_TOLERANCE),
    }
}
