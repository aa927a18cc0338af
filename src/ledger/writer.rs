//! Writes bills to the store: a chain of objects (chunks) for each origin (one incarnation of a
//! VM), each created once.
//!
//! The key of a chunk has the number after the last bill of the chunk before. So a VM and a peer
//! that holds copies of its bills write the same key, and only one of them succeeds. Bills that the
//! successful chunk lacks are written under keys of their own by the VM that holds them.

use super::Entry;
use crate::error::Error;
use crate::evidence::Origin;
use crate::platform::{Store, WriteOutcome};
use crate::unit::Span;

/// Writes per second that bills may take over the whole fleet, of the 100 that the platform
/// accepts.
const MAX_WRITES_PER_SECOND: f64 = 8.0;

/// Minimum time between two writes of one VM's bills to the store.
const MIN_FLUSH_INTERVAL: Span = Span::millis(500);

/// Maximum number of bills in a chunk, which keeps the object well below the store's limit of 1 MB.
const MAX_CHUNK_ENTRIES: usize = 2000;

/// Maximum number of chunk writes in one flush. If other VMs keep writing the same chain, the
/// remaining bills wait for the next flush.
const MAX_ATTEMPTS: usize = 16;

/// Returns the time between two writes of one VM's bills to the store, in a fleet of `vms` VMs.
pub fn flush_interval(vms: usize) -> Span {
    let stretched = Span((vms as f64 / MAX_WRITES_PER_SECOND * 1e6) as u64);
    stretched.max(MIN_FLUSH_INTERVAL)
}

fn chain_prefix(origin: &Origin) -> String {
    format!("ledger/{}.{}/", origin.vm, origin.incarnation)
}

/// Returns the key of the chunk whose first bill has the number `first`.
fn chunk_key(origin: &Origin, first: u64) -> String {
    format!("{}{first:012}", chain_prefix(origin))
}

/// Returns the key of a bill that the chunks of its chain lack.
fn late_key(origin: &Origin, number: u64) -> String {
    format!("ledger-late/{}.{}/{number:012}", origin.vm, origin.incarnation)
}

/// Writes the bills `entries` of an origin to the store, each exactly once, and returns the number
/// of the last bill in the origin's chain. `known_end` is a number that the chain is known to have
/// reached, if any; all numbers in `entries` are higher.
///
/// # Errors
/// If the platform does not answer; a later call with the same bills is safe and writes none of
/// them twice.
pub async fn flush(
    store: &Store,
    origin: &Origin,
    entries: &[Entry],
    known_end: Option<u64>,
) -> Result<u64, Error> {
    let mut chain_end = match known_end {
        Some(known_end) => known_end,
        None => match last_chunk(store, origin).await? {
            Some(chunk) => write_missing(store, origin, entries, &chunk).await?,
            None => 0,
        },
    };
    for _ in 0..MAX_ATTEMPTS {
        let remaining: Vec<&Entry> =
            entries.iter().filter(|e| e.number > chain_end).take(MAX_CHUNK_ENTRIES).collect();
        let Some(last) = remaining.last() else {
            return Ok(chain_end);
        };
        let key = chunk_key(origin, chain_end + 1);
        let body = serde_json::to_vec(&remaining).expect("entries are plain data");
        match store.create(&key, body.clone()).await {
            Ok(WriteOutcome::Applied) => chain_end = last.number,
            Ok(WriteOutcome::Conflict) => {
                let chunk = read_chunk(store, &key).await?;
                chain_end = write_missing(store, origin, entries, &chunk).await?;
            }
            // The write may have taken effect although its response was lost, so the object in the
            // store is compared.
            Err(error) => match store.get(&key).await? {
                Some(object) if object.body == body => chain_end = last.number,
                _ => return Err(error),
            },
        }
    }
    Ok(chain_end)
}

/// Returns the last chunk of an origin's chain; none if the chain is empty.
async fn last_chunk(store: &Store, origin: &Origin) -> Result<Option<Vec<Entry>>, Error> {
    let keys = store.list(&chain_prefix(origin)).await?;
    match keys.last() {
        Some(key) => read_chunk(store, key).await.map(Some),
        None => Ok(None),
    }
}

async fn read_chunk(store: &Store, key: &str) -> Result<Vec<Entry>, Error> {
    let object = store.get(key).await?;
    let body = object.map(|object| object.body).unwrap_or_default();
    serde_json::from_slice(&body).map_err(|error| Error::Store(error.to_string()))
}

/// Writes bills of `entries` that the chain lacks under keys of their own, up to the last number of
/// `chunk`, the last one of the chain. Returns that number.
async fn write_missing(
    store: &Store,
    origin: &Origin,
    entries: &[Entry],
    chunk: &[Entry],
) -> Result<u64, Error> {
    let last = chunk.last().map_or(0, |entry| entry.number);
    let first = chunk.first().map_or(0, |entry| entry.number);
    for entry in entries.iter().filter(|entry| entry.number <= last) {
        let written = if entry.number >= first {
            chunk.iter().any(|other| other.number == entry.number)
        } else {
            chain_contains(store, origin, entry.number).await?
        };
        if !written {
            let body = serde_json::to_vec(&[entry]).expect("an entry is plain data");
            store.create(&late_key(origin, entry.number), body).await?;
        }
    }
    Ok(last)
}

/// Returns true if a chunk of the origin's chain has a bill with this number.
async fn chain_contains(store: &Store, origin: &Origin, number: u64) -> Result<bool, Error> {
    let keys = store.list(&chain_prefix(origin)).await?;
    let wanted = chunk_key(origin, number);
    let Some(key) = keys.iter().rev().find(|key| **key <= wanted) else {
        return Ok(false);
    };
    let chunk = read_chunk(store, key).await?;
    Ok(chunk.iter().any(|entry| entry.number == number))
}

/// Reads all bills in the store.
///
/// # Errors
/// If the platform does not answer, or an object is invalid.
pub async fn read_all(store: &Store) -> Result<Vec<Entry>, Error> {
    let mut all = Vec::new();
    for prefix in ["ledger/", "ledger-late/"] {
        for key in store.list(prefix).await? {
            all.extend(read_chunk(store, &key).await?);
        }
    }
    Ok(all)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_fleet_stays_under_its_share_of_writes() {
        for vms in [1, 9, 33, 330, 1000] {
            let writes = vms as f64 / flush_interval(vms).as_secs();
            assert!(
                writes <= MAX_WRITES_PER_SECOND + 1e-6,
                "{vms} VMs write {writes} times a second"
            );
        }
        assert_eq!(flush_interval(330), Span(41_250_000));
    }
}
