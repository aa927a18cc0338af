//! The validated settings of a VM process.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use crate::decide::clients::Limits;
use crate::decide::rollout::Policy;
use crate::unit::{DataCentre, ParseError, Size, Span, Vm};

/// Minimum length of a secret, in bytes.
const MIN_SECRET_LENGTH: usize = 16;

/// A secret, whose value is never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// Returns the bytes of the secret.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

impl FromStr for Secret {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        if text.len() < MIN_SECRET_LENGTH {
            return Err(ParseError(format!("use at least {MIN_SECRET_LENGTH} characters.")));
        }
        Ok(Secret(text.as_bytes().to_vec()))
    }
}

/// Keys that sign session tokens, by name: the first one signs, all are accepted, so that keys can
/// be rotated.
#[derive(Clone, Debug)]
pub struct SessionKeys(pub Vec<(String, Secret)>);

impl FromStr for SessionKeys {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let key = |part: &str| -> Result<(String, Secret), ParseError> {
            let (name, secret) = part
                .split_once(':')
                .ok_or_else(|| ParseError("write NAME:SECRET, separated by commas.".to_owned()))?;
            Ok((name.to_owned(), secret.parse()?))
        };
        text.split(',').map(key).collect::<Result<_, _>>().map(SessionKeys)
    }
}

/// All settings of a VM process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The VM's name.
    pub vm: Vm,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// The address on which it serves callers.
    pub listen: SocketAddr,
    /// The address on which it receives messages of other VMs.
    pub peer: SocketAddr,
    /// The address of the platform's object API.
    pub platform: SocketAddr,
    /// The address of the rating service, if there is one.
    pub rating_service: Option<SocketAddr>,
    /// Addresses of other VMs through which the VM joins the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Number of threads that serve callers.
    pub workers: usize,
    /// Longest time that a planned stop waits for requests in flight.
    pub stop_within: Span,
    /// Largest accepted body of a request.
    pub body_limit: Size,
    /// What clients may take together.
    pub clients: Limits,
    /// Share of answers that are rated, from 0 to 1.
    pub rated_share: f64,
    /// The limits of risk and pace of rollouts.
    pub rollout: Policy,
    /// The key shared by the VMs of one fleet, which authenticates their messages.
    pub fleet_key: Secret,
    /// Keys that sign session tokens.
    pub session_keys: SessionKeys,
    /// The key of operators; without one, only requests from the same machine are accepted.
    pub operator_key: Option<Secret>,
}
