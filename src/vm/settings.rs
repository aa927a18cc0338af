//! The checked settings of a VM's process.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use crate::decide::rollout::Policy;
use crate::unit::{DataCentre, ParseError, Size, Span, Vm};

/// Shortest secret.
const SHORTEST: usize = 16;

/// A secret, which is never shown.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// The secret's bytes.
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
        if text.len() < SHORTEST {
            return Err(ParseError(format!("use at least {SHORTEST} characters.")));
        }
        Ok(Secret(text.as_bytes().to_vec()))
    }
}

/// Keys of session tokens: the first signs, all are accepted, so that they can be rotated.
#[derive(Clone, Debug)]
pub struct SessionKeys(pub Vec<(String, Secret)>);

impl FromStr for SessionKeys {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let key = |part: &str| -> Result<(String, Secret), ParseError> {
            let (name, secret) = part
                .split_once(':')
                .ok_or_else(|| ParseError("write NAME:SECRET, parted by commas.".to_owned()))?;
            Ok((name.to_owned(), secret.parse()?))
        };
        text.split(',').map(key).collect::<Result<_, _>>().map(SessionKeys)
    }
}

/// All settings of a VM's process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The VM's name.
    pub vm: Vm,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// Where other VMs reach it.
    pub peer: SocketAddr,
    /// The platform's object API.
    pub platform: SocketAddr,
    /// The service that rates answers.
    pub rating: Option<SocketAddr>,
    /// Addresses of other VMs to join by.
    pub seeds: Vec<SocketAddr>,
    /// Threads that serve callers.
    pub workers: usize,
    /// Longest that a planned stop waits for requests in flight.
    pub stop_within: Span,
    /// Largest body of a request.
    pub body_limit: Size,
    /// Share of answers that are rated.
    pub rated_share: f64,
    /// What bounds roll-outs.
    pub rollout: Policy,
    /// The key that makes VMs one fleet.
    pub fleet_key: Secret,
    /// Keys of session tokens.
    pub session_keys: SessionKeys,
    /// The operators' key.
    pub operator_key: Option<Secret>,
}
