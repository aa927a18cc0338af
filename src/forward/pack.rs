//! Changes as one VM sends them to another: as small as they go.
//!
//! A configuration of 1,600 routes has some 400 KB of text; a small VM's link of 10 Mbit/s takes a third of a second for
//! it, and one VM answers fifty others at once. Packed, the same has a tenth of that.

use std::io::Read;

use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use serde::{Deserialize, Serialize};

use super::kind::Kind;
use crate::peer::wire::{decode, encode};

/// Changes of fewer bytes are sent as they are.
const MIN_DEFLATE_BYTES: usize = 1024;

/// Largest text of changes that is unpacked; a peer that sends more is not believed.
const MAX_UNPACKED_BYTES: u64 = 64 * 1024 * 1024;

/// One object as it changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Its kind.
    pub kind: Kind,
    /// Its name among its kind.
    pub name: String,
    /// The object in JSON; none if it is gone.
    pub object: Option<String>,
    /// Whether it may only have lapsed, since the store was away just before.
    pub lapsed: bool,
}

/// Changes in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packed {
    deflated: bool,
    bytes: Vec<u8>,
}

impl Packed {
    /// Packs changes.
    pub fn new(changes: &[Change]) -> Packed {
        let plain = encode(&changes);
        if plain.len() < MIN_DEFLATE_BYTES {
            return Packed { deflated: false, bytes: plain };
        }
        let mut bytes = Vec::new();
        match DeflateEncoder::new(plain.as_slice(), Compression::fast()).read_to_end(&mut bytes) {
            Ok(_) => Packed { deflated: true, bytes },
            Err(_) => Packed { deflated: false, bytes: plain },
        }
    }

    /// The changes; nothing if they do not read.
    pub fn changes(&self) -> Option<Vec<Change>> {
        if !self.deflated {
            return decode(&self.bytes);
        }
        let mut plain = Vec::new();
        let read = DeflateDecoder::new(self.bytes.as_slice())
            .take(MAX_UNPACKED_BYTES)
            .read_to_end(&mut plain);
        read.ok().and_then(|_| decode(&plain))
    }

    /// Bytes on the way.
    pub fn size(&self) -> usize {
        self.bytes.len()
    }
}
