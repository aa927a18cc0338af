//! Requests with a JSON body to the services of the platform.

use std::net::SocketAddr;

use actix_http::header::{CONTENT_TYPE, HOST, HeaderValue};
use actix_http::{Method, RequestHead};

/// Returns true if the platform would answer the same request with the same status again.
pub fn is_final(status: u16) -> bool {
    const TIMEOUT: u16 = 408;
    const TOO_MANY: u16 = 429;
    (400..500).contains(&status) && ![TIMEOUT, TOO_MANY].contains(&status)
}

/// Returns the head of a request to the service at `address`.
///
/// # Errors
/// If the path or the address cannot be written into a request; the text says why.
pub fn head(method: Method, address: SocketAddr, path: &str) -> Result<RequestHead, String> {
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = path.parse().map_err(|fault| format!("{fault}"))?;
    let host = HeaderValue::from_str(&address.to_string()).map_err(|fault| fault.to_string())?;
    head.headers.insert(HOST, host);
    head.headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(head)
}
