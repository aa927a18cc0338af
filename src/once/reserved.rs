//! Keys set aside beforehand, so that calls flow while no new agreement can be had.
//!
//! The store holds the claim already, and names this life of this VM. So this VM alone says which
//! call may use the key, once, from memory; if it dies, nobody may.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::Digest;
use crate::unit::{Moment, RequestId, Span};

/// Keys set aside on one VM at most; at 200 bytes each they take 2 MB.
const MAX_RESERVED_KEYS: usize = 10_000;

/// What the holder of a key says to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeyGrant {
    /// It may run, under the reservation's request.
    Granted(RequestId),
    /// Another call has it.
    InUse,
    /// Another call has it, with another body.
    BodyMismatch,
}

/// A key is given out for this long: half of the time that the chain remembers it, so that it is
/// never given out beside a later claim.
const GRANT_WINDOW: Span = Span::secs(12 * 3600);

#[derive(Clone, Debug)]
struct Slot {
    reserved_at: Moment,
    reservation: RequestId,
    user: Option<(RequestId, Digest)>,
}

/// The keys set aside on this VM.
#[derive(Clone, Debug, Default)]
pub struct Reserved {
    slots: HashMap<Digest, Slot>,
}

impl Reserved {
    /// Whether one more key may be set aside.
    pub fn has_room(&mut self, now: Moment) -> bool {
        self.slots.retain(|_, slot| now.since(slot.reserved_at) < GRANT_WINDOW);
        self.slots.len() < MAX_RESERVED_KEYS
    }

    /// Sets a key aside whose claim the store holds.
    pub fn add(&mut self, key: Digest, reservation: RequestId, now: Moment) {
        self.slots.entry(key).or_insert(Slot { reserved_at: now, reservation, user: None });
    }

    /// Takes out the keys that no call has used, to be released before this VM leaves.
    pub fn take_unused(&mut self) -> Vec<(Digest, RequestId)> {
        let unused = self.slots.extract_if(|_, slot| slot.user.is_none());
        unused.map(|(key, slot)| (key, slot.reservation)).collect()
    }

    /// Says whether a call may use a key; nothing if the key is not set aside here.
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
        let (first, first_body) = slot.user.get_or_insert_with(|| (user.clone(), body));
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
        let mut reserved = Reserved::default();
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
        let mut reserved = Reserved::default();
        let (key, one) = (digest(&[b"k"]), "r1".parse().unwrap());
        reserved.add(key, "r0".parse().unwrap(), Moment(1));
        assert_eq!(reserved.try_use(key, &one, key, Moment(1) + GRANT_WINDOW), None);
        assert!(reserved.has_room(Moment(1) + GRANT_WINDOW));
        assert!(reserved.slots.is_empty());
    }
}
