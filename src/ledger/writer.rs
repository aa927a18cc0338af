//! Writes bills to the store: a chain of objects for each origin, each created once.
//!
//! A chunk's key is the number after the last one of the chunk before, so whoever writes next,
//! the VM itself or a peer for it, writes the same key and one of them wins. What the winner's
//! chunk lacks is written under a key of its own by whoever holds it.

use super::Entry;
use crate::error::Error;
use crate::evidence::Origin;
use crate::platform::{Store, WriteOutcome};
use crate::unit::Span;

/// Writes a second that bills may take of the platform's hundred, over the whole fleet.
const WRITES: f64 = 8.0;

/// Shortest time between two writes of one VM.
const SHORTEST: Span = Span::millis(500);

/// Entries of one chunk at most, well within 1 MB.
const CHUNK: usize = 2000;

/// Tries against others' chunks before giving up until the next flush.
const TRIES: usize = 16;

/// Time between the flushes of one VM in a fleet of `vms`.
pub fn interval(vms: usize) -> Span {
    let stretched = Span((vms as f64 / WRITES * 1e6) as u64);
    stretched.max(SHORTEST)
}

fn folder(origin: &Origin) -> String {
    format!("ledger/{}.{}/", origin.vm, origin.incarnation)
}

fn chunk_key(origin: &Origin, first: u64) -> String {
    format!("{}{first:012}", folder(origin))
}

fn late_key(origin: &Origin, number: u64) -> String {
    format!("ledger-late/{}.{}/{number:012}", origin.vm, origin.incarnation)
}

/// Brings all of `entries` to the store, each exactly once, and returns the number up to which the
/// chain now reaches. `known` is a number that the chain is known to reach, if any.
///
/// # Errors
/// If the platform does not answer; a later call with the same entries changes nothing twice.
pub async fn flush(
    store: &Store,
    origin: &Origin,
    entries: &[Entry],
    known: Option<u64>,
) -> Result<u64, Error> {
    let mut reached = match known {
        Some(known) => known,
        None => match last_chunk(store, origin).await? {
            Some(chunk) => settle(store, origin, entries, &chunk).await?,
            None => 0,
        },
    };
    for _ in 0..TRIES {
        let rest: Vec<&Entry> = entries.iter().filter(|e| e.number > reached).take(CHUNK).collect();
        let Some(last) = rest.last() else {
            return Ok(reached);
        };
        let key = chunk_key(origin, reached + 1);
        let body = serde_json::to_vec(&rest).expect("entries are plain data");
        match store.create(&key, body.clone()).await {
            Ok(WriteOutcome::Applied) => reached = last.number,
            Ok(WriteOutcome::Conflict) => {
                let chunk = read(store, &key).await?;
                reached = settle(store, origin, entries, &chunk).await?;
            }
            // The write may have taken effect: what stands there now tells.
            Err(fault) => match store.get(&key).await? {
                Some(object) if object.body == body => reached = last.number,
                _ => return Err(fault),
            },
        }
    }
    Ok(reached)
}

async fn last_chunk(store: &Store, origin: &Origin) -> Result<Option<Vec<Entry>>, Error> {
    let keys = store.list(&folder(origin)).await?;
    match keys.last() {
        Some(key) => read(store, key).await.map(Some),
        None => Ok(None),
    }
}

async fn read(store: &Store, key: &str) -> Result<Vec<Entry>, Error> {
    let object = store.get(key).await?;
    let body = object.map(|object| object.body).unwrap_or_default();
    serde_json::from_slice(&body).map_err(|fault| Error::Store(fault.to_string()))
}

/// Writes what a chunk in the chain lacks of `entries`; returns the chunk's last number.
async fn settle(
    store: &Store,
    origin: &Origin,
    entries: &[Entry],
    chunk: &[Entry],
) -> Result<u64, Error> {
    let last = chunk.last().map_or(0, |entry| entry.number);
    let first = chunk.first().map_or(0, |entry| entry.number);
    for entry in entries.iter().filter(|entry| entry.number <= last) {
        let there = if entry.number >= first {
            chunk.iter().any(|held| held.number == entry.number)
        } else {
            in_chain(store, origin, entry.number).await?
        };
        if !there {
            let body = serde_json::to_vec(&[entry]).expect("an entry is plain data");
            store.create(&late_key(origin, entry.number), body).await?;
        }
    }
    Ok(last)
}

/// Whether an earlier chunk of the chain holds that number.
async fn in_chain(store: &Store, origin: &Origin, number: u64) -> Result<bool, Error> {
    let keys = store.list(&folder(origin)).await?;
    let wanted = chunk_key(origin, number);
    let Some(key) = keys.iter().rev().find(|key| **key <= wanted) else {
        return Ok(false);
    };
    let chunk = read(store, key).await?;
    Ok(chunk.iter().any(|entry| entry.number == number))
}

/// All bills in the store.
///
/// # Errors
/// If the platform does not answer.
pub async fn collect(store: &Store) -> Result<Vec<Entry>, Error> {
    let mut all = Vec::new();
    for prefix in ["ledger/", "ledger-late/"] {
        for key in store.list(prefix).await? {
            all.extend(read(store, &key).await?);
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
            let writes = vms as f64 / interval(vms).as_secs();
            assert!(writes <= WRITES + 1e-6, "{vms} VMs write {writes} times a second");
        }
        assert_eq!(interval(330), Span(41_250_000));
    }
}
