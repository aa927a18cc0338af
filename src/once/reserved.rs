//! Idempotency keys reserved before their calls, so that the calls can run while the store is
//! unavailable.
//!
//! The store already has the claim of a reserved key, with this process of this VM as holder. So
//! this VM alone decides, from memory, which one call may use the key. If the VM dies, no call may
//! use the key.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::Digest;
use crate::unit::{Moment, RequestId, Span};

/// Maximum number of keys reserved on one VM; at 200 bytes each they take 2 MB.
const MAX_RESERVED_KEYS: usize = 10_000;

/// Decision of the VM that reserved a key on a call that wants to use the key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeyGrant {
    /// The call may run under the request id of the reservation.
    Granted(RequestId),
    /// Another call uses the key.
    InUse,
    /// Another call uses the key with another body.
    BodyMismatch,
}

/// Time after the reservation in which a reserved key may be granted to a call. This is half of the
/// time that the chain in the store retains the claim, so the key can't be granted alongside a
/// later claim.
const GRANT_WINDOW: Span = Span::secs(12 * 3600);

/// One reserved key.
#[derive(Clone, Debug)]
struct ReservedKey {
    reserved_at: Moment,
    /// Id of the request that reserved the key, under which the call runs.
    reservation: RequestId,
    /// The call that uses the key and the digest of its body, once there is one.
    used_by: Option<(RequestId, Digest)>,
}

/// Keys reserved on this VM.
#[derive(Clone, Debug, Default)]
pub struct ReservedKeys {
    slots: HashMap<Digest, ReservedKey>,
}

impl ReservedKeys {
    /// Returns true if one more key may be reserved; first removes the keys whose grant window has
    /// passed.
    pub fn has_room(&mut self, now: Moment) -> bool {
        self.slots.retain(|_, slot| now.since(slot.reserved_at) < GRANT_WINDOW);
        self.slots.len() < MAX_RESERVED_KEYS
    }

    /// Adds a key whose claim is in the store.
    pub fn add(&mut self, key: Digest, reservation: RequestId, now: Moment) {
        self.slots.entry(key).or_insert(ReservedKey {
            reserved_at: now,
            reservation,
            used_by: None,
        });
    }

    /// Removes and returns the keys that no call has used, to be released before this VM stops.
    pub fn take_unused(&mut self) -> Vec<(Digest, RequestId)> {
        let unused = self.slots.extract_if(|_, slot| slot.used_by.is_none());
        unused.map(|(key, slot)| (key, slot.reservation)).collect()
    }

    /// Decides if a call, the request `user`, may use a key, or returns `None` if the key is not
    /// reserved on this VM. The first call gets the key; asking again for the same call gives the
    /// same decision.
    pub fn try_use(
        &mut self,
        key: Digest,
        user: &RequestId,
        body: Digest,
        now: Moment,
    ) -> Option<KeyGrant> {
        let slot = self.slots.get_mut(&key)?;
        if now.since(slot.reserved_at) >= GRANT_WINDOW {
            return None;
        }
        let (first, first_body) = slot.used_by.get_or_insert_with(|| (user.clone(), body));
        if first == user {
            return Some(KeyGrant::Granted(slot.reservation.clone()));
        }
        Some(if *first_body == body { KeyGrant::InUse } else { KeyGrant::BodyMismatch })
    }
}

#[cfg(test)]
mod tests {
    use super::super::digest;
    use super::*;

    #[test]
    fn a_key_set_aside_is_given_to_one_call_only() {
        let mut reserved = ReservedKeys::default();
        let (key, body) = (digest(&[b"k"]), digest(&[b"b"]));
        let (one, two): (RequestId, RequestId) = ("r1".parse().unwrap(), "r2".parse().unwrap());
        let now = Moment(1);
        assert_eq!(reserved.try_use(key, &one, body, now), None);
        reserved.add(key, "r0".parse().unwrap(), now);
        let granted = Some(KeyGrant::Granted("r0".parse().unwrap()));
        assert_eq!(reserved.try_use(key, &one, body, now), granted);
        assert_eq!(reserved.try_use(key, &one, body, now), granted);
        assert_eq!(reserved.try_use(key, &two, body, now), Some(KeyGrant::InUse));
        assert_eq!(reserved.try_use(key, &two, digest(&[b"c"]), now), Some(KeyGrant::BodyMismatch));
    }

    #[test]
    fn a_key_is_not_given_out_near_the_end_of_the_chains_memory() {
        let mut reserved = ReservedKeys::default();
        let (key, one) = (digest(&[b"k"]), "r1".parse().unwrap());
        reserved.add(key, "r0".parse().unwrap(), Moment(1));
        assert_eq!(reserved.try_use(key, &one, key, Moment(1) + GRANT_WINDOW), None);
        assert!(reserved.has_room(Moment(1) + GRANT_WINDOW));
        assert!(reserved.slots.is_empty());
    }
}
