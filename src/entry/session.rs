//! Session tokens, which pin the requests of a session to one version. Tokens are signed, so every
//! VM can verify them and no VM stores sessions.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::unit::{Date, Revision, Span, Target, Workspace};
use crate::vm::SessionKeys;

/// Time after the creation of a session for which its tokens are valid.
const SESSION_LIFETIME: Span = Span::secs(24 * 3600);

/// Length of an HMAC-SHA256 signature.
const SIGNATURE_BYTES: usize = 32;

/// Contents of a session token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Session {
    /// Random id of the session.
    pub id: u64,
    /// Workspace that owns the session.
    pub workspace: Workspace,
    /// Model version that the session is pinned to.
    pub target: Target,
    /// Configuration revision at creation. A VM with an older one catches up before it serves the
    /// session.
    pub revision: Revision,
    /// When the session was created.
    pub created_at: Date,
}

fn signature(secret: &[u8], body: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("any length is a key");
    mac.update(body);
    mac
}

/// Encodes and signs a session with the first key.
pub fn encode_token(session: &Session, keys: &SessionKeys) -> String {
    let body = postcard::to_stdvec(session).expect("a session is plain data");
    let (name, secret) = keys.0.first().expect("settings have a session key");
    let mac = signature(secret.bytes(), &body).finalize().into_bytes();
    let bytes = [mac.as_slice(), &body].concat();
    format!("{name}.{}", URL_SAFE_NO_PAD.encode(bytes))
}

/// Verifies a token against all accepted keys and returns its session, or `None` if it is forged or
/// expired.
pub fn decode_token(token: &str, keys: &SessionKeys, now: Date) -> Option<Session> {
    let (name, text) = token.split_once('.')?;
    let (_, secret) = keys.0.iter().find(|(known, _)| known == name)?;
    let bytes = URL_SAFE_NO_PAD.decode(text).ok()?;
    if bytes.len() < SIGNATURE_BYTES {
        return None;
    }
    let (mac, body) = bytes.split_at(SIGNATURE_BYTES);
    signature(secret.bytes(), body).verify_slice(mac).ok()?;
    let session: Session = postcard::from_bytes(body).ok()?;
    (now.since(session.created_at) < SESSION_LIFETIME).then_some(session)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn keys(text: &str) -> SessionKeys {
        text.parse().unwrap()
    }

    fn session() -> Session {
        Session {
            id: 7,
            workspace: "w".parse().unwrap(),
            target: "m@v1".parse().unwrap(),
            revision: Revision(3),
            created_at: Date(1_000),
        }
    }

    #[test]
    fn a_token_opens_with_any_accepted_key() {
        let old = keys("k1:0123456789abcdef0");
        let token = encode_token(&session(), &old);
        let rotated = keys("k2:fedcba9876543210f,k1:0123456789abcdef0");
        assert_eq!(decode_token(&token, &rotated, Date(2_000)), Some(session()));
    }

    #[test]
    fn forged_foreign_and_expired_tokens_are_refused() {
        let keys_here = keys("k1:0123456789abcdef0");
        let token = encode_token(&session(), &keys_here);
        assert_eq!(decode_token(&token, &keys("k1:another-secret-here"), Date(2_000)), None);
        assert_eq!(decode_token(&token, &keys_here, Date(1_000 + SESSION_LIFETIME.0)), None);
        let mut forged = token.clone();
        forged.pop();
        assert_eq!(decode_token(&forged, &keys_here, Date(2_000)), None);
        assert_eq!(decode_token("garbage", &keys_here, Date(0)), None);
    }
}
