//! What identifies a request that crashes servers, the same for all attempts and on all VMs: digests
//! of its content, what it asks for, and of the shared parts of its prompt.
//!
//! Requests have the same content if method, host, path and query, body and workspace are equal.
//! Without an API key all callers count as one workspace. The request id, the choice among the keys
//! of a workspace, the deadline, the session and the last event id are not part of the content.
//!
//! All parts of a prompt but the last may be shared with other requests. The servers of a service
//! read a part alike wherever it stands, so neither its place nor the workspace, the route or the
//! model are part of its digest.

use actix_http::RequestHead;

use super::call::Call;
use crate::config::KeyHolder;
use crate::decide::poison::Fingerprint;
use crate::unit::{Digest, Service, digest};

/// Returns what identifies a request to a service as a possible cause of server crashes.
pub fn fingerprint(content: Digest, call: &Call, service: &Service) -> Fingerprint {
    let shared = call.prompt.split_last().map_or(&[][..], |(_, shared)| shared);
    let part = |id: &str| digest(&[b"prompt part", service.as_str().as_bytes(), id.as_bytes()]);
    Fingerprint::new(content, shared.iter().map(|shared| part(&shared.id)))
}

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
