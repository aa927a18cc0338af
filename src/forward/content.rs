//! What a request asks, whoever brings it, however often and to whichever VM: its content.
//!
//! Two requests with the same method, host, path and query and body have the same content if the same workspace asks; without a
//! key all callers count as one. Its id, its key among those of the workspace, its deadline, its session and how far a
//! caller has come with a stream are not part of it.

use actix_http::RequestHead;

use super::call::Call;
use crate::config::Holder;
use crate::unit::{Digest, digest};

/// The content of a request.
pub fn request_digest(
    head: &RequestHead,
    call: &Call,
    holder: Option<&Holder>,
    body: &[u8],
) -> Digest {
    let target = head.uri.path_and_query().map_or("", |target| target.as_str());
    let workspace = holder.map_or("", |holder| holder.workspace.as_str());
    let texts = [head.method.as_str(), &call.host, target, workspace];
    let [method, host, target, workspace] = texts.map(str::as_bytes);
    digest(&[method, host, target, workspace, body])
}
