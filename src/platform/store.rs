//! Client of the platform's object API.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;
use bytes::Bytes;

use crate::error::Error;
use crate::standin::platform::Listed;
use crate::unit::Span;

/// A call that takes longer is given up; what it wrote may have taken effect.
const CALL_WITHIN: Duration = Duration::from_millis(1500);

/// Largest value of an object, with room for its JSON.
const LARGEST: usize = 2_000_000;

/// An object as it stands.
#[derive(Clone, Debug)]
pub struct Object {
    /// Rises with each write.
    pub version: u64,
    /// The value.
    pub body: Bytes,
}

/// How a conditional write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// It took effect.
    Done,
    /// The condition did not hold.
    Conflict,
}

/// A client for one thread.
#[derive(Clone)]
pub struct Store {
    address: SocketAddr,
    client: Client,
}

impl Store {
    /// A client of the API at `address`.
    pub fn new(address: SocketAddr) -> Store {
        // A watch is answered late, so each call sets its own time.
        Store { address, client: Client::builder().disable_timeout().finish() }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/{path}", self.address)
    }

    /// An object, if there is one.
    ///
    /// # Errors
    /// If the platform does not answer.
    pub async fn get(&self, key: &str) -> Result<Option<Object>, Error> {
        let url = self.url(&format!("objects/{key}"));
        let (status, version, body) = self.send("GET", &url, None, None, CALL_WITHIN).await?;
        match status {
            StatusCode::OK => Ok(Some(Object { version, body })),
            StatusCode::NOT_FOUND => Ok(None),
            other => Err(unexpected(other)),
        }
    }

    /// Waits up to `wait` for a version after `after`; nothing if none came.
    ///
    /// # Errors
    /// If the platform does not answer.
    pub async fn watch(&self, key: &str, after: u64, wait: Span) -> Result<Option<Object>, Error> {
        let wait_ms = wait.as_millis() as u64;
        let url = self.url(&format!("objects/{key}?after={after}&wait_ms={wait_ms}"));
        let within = wait.duration() + CALL_WITHIN;
        let (status, version, body) = self.send("GET", &url, None, None, within).await?;
        match status {
            StatusCode::OK => Ok(Some(Object { version, body })),
            StatusCode::NOT_MODIFIED | StatusCode::NOT_FOUND => Ok(None),
            other => Err(unexpected(other)),
        }
    }

    /// Writes an object that must not exist yet.
    ///
    /// # Errors
    /// If the platform does not answer; the write may have taken effect.
    pub async fn create(&self, key: &str, body: Vec<u8>) -> Result<Written, Error> {
        self.put(key, ("if-none-match", "*".to_owned()), body).await
    }

    /// Writes an object that must still be at `version`.
    ///
    /// # Errors
    /// If the platform does not answer; the write may have taken effect.
    pub async fn replace(&self, key: &str, version: u64, body: Vec<u8>) -> Result<Written, Error> {
        self.put(key, ("if-match", version.to_string()), body).await
    }

    async fn put(
        &self,
        key: &str,
        condition: (&'static str, String),
        body: Vec<u8>,
    ) -> Result<Written, Error> {
        let url = self.url(&format!("objects/{key}"));
        let sent = self.send("PUT", &url, Some(condition), Some(body), CALL_WITHIN).await?;
        match sent.0 {
            StatusCode::OK => Ok(Written::Done),
            StatusCode::PRECONDITION_FAILED => Ok(Written::Conflict),
            other => Err(unexpected(other)),
        }
    }

    /// The keys that begin with `prefix`, in order.
    ///
    /// # Errors
    /// If the platform does not answer.
    pub async fn list(&self, prefix: &str) -> Result<Vec<String>, Error> {
        let url = self.url(&format!("list?prefix={prefix}"));
        let (status, _, body) = self.send("GET", &url, None, None, CALL_WITHIN).await?;
        if status != StatusCode::OK {
            return Err(unexpected(status));
        }
        serde_json::from_slice(&body).map_err(|fault| Error::Store(fault.to_string()))
    }

    /// The list of VMs, which lags.
    ///
    /// # Errors
    /// If the platform does not answer.
    pub async fn vms(&self) -> Result<Vec<Listed>, Error> {
        let (status, _, body) = self.send("GET", &self.url("vms"), None, None, CALL_WITHIN).await?;
        if status != StatusCode::OK {
            return Err(unexpected(status));
        }
        serde_json::from_slice(&body).map_err(|fault| Error::Store(fault.to_string()))
    }

    async fn send(
        &self,
        method: &str,
        url: &str,
        condition: Option<(&'static str, String)>,
        body: Option<Vec<u8>>,
        within: Duration,
    ) -> Result<(StatusCode, u64, Bytes), Error> {
        let method = method.parse().expect("a method of this file");
        let mut request = self.client.request(method, url);
        if let Some(condition) = condition {
            request = request.insert_header(condition);
        }
        let exchange = async {
            let sent = request.send_body(body.unwrap_or_default()).await;
            let mut answer = sent.map_err(|fault| Error::Store(fault.to_string()))?;
            let body = answer.body().limit(LARGEST).await;
            let body = body.map_err(|fault| Error::Store(fault.to_string()))?;
            let etag = answer.headers().get("etag").and_then(|value| value.to_str().ok());
            let version = etag.and_then(|text| text.parse().ok()).unwrap_or_default();
            Ok((answer.status(), version, body))
        };
        let late = |_| Error::Store(format!("no answer within {within:?}"));
        tokio::time::timeout(within, exchange).await.map_err(late)?
    }
}

fn unexpected(status: StatusCode) -> Error {
    Error::Store(format!("it answered {status}"))
}
