//! The content of a request: what it asks for, the same for all attempts and on all VMs. Its digest
//! identifies requests that crash servers.
//!
//! Requests have the same content if method, host, path and query, body and workspace are equal.
//! Without an API key all callers count as one workspace. The request id, the choice among the keys
//! of a workspace, the deadline, the session and the last event id are not part of the content.

use actix_http::RequestHead;

use super::call::Call;
use crate::config::KeyHolder;
use crate::unit::{Digest, digest};

/// Returns the digest of the content of a request.
pub fn request_digest(
    head: &RequestHead,
    call: &Call,
    holder: Option<&KeyHolder>,
    body: &[u8],
) -> Digest {
    let target = head.uri.path_and_query().map_or("", |target| target.as_str());
    let workspace = holder.map_or("", |holder| holder.workspace.as_str());
    let texts = [head.method.as_str(), &call.host, target, workspace];
    let [method, host, target, workspace] = texts.map(str::as_bytes);
    digest(&[method, host, target, workspace, body])
}
