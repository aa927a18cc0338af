//! Addresses of the platform's object store. Names may hold any character and are percent-encoded
//! (RFC 3986, section 2).

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// All characters except the unreserved ones.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Returns a text as a segment of a path, or as a value in a query.
pub fn encode(text: &str) -> String {
    utf8_percent_encode(text, RESERVED).to_string()
}

/// Returns the path of a kind of objects.
pub fn kind(kind: &str) -> String {
    format!("/v1/objects/{}", encode(kind))
}

/// Returns the path of an object.
pub fn object(of: &str, name: &str) -> String {
    format!("{}/{}", kind(of), encode(name))
}

/// Returns the path of an object's status.
pub fn status(of: &str, name: &str) -> String {
    format!("{}/status", object(of, name))
}

/// Returns a path with a query of these parameters, if there are any.
pub fn with_query(path: &str, parameters: &[(&str, &str)]) -> String {
    let pair = |(name, value): &(&str, &str)| format!("{}={}", encode(name), encode(value));
    let pairs: Vec<String> = parameters.iter().map(pair).collect();
    if pairs.is_empty() { path.to_owned() } else { format!("{path}?{}", pairs.join("&")) }
}
