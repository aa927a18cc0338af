//! Reads the configuration from the store. A few VMs per data centre, the *watchers*, watch the
//! store; the others get the configuration from their peers. The configuration consists of
//! *pieces*, objects named by their digest, and the *root*, an object that lists the pieces and has
//! the revision.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::control::Control;
use crate::config::{Piece, Root, Snapshot};
use crate::error::Error;
use crate::peer::rendezvous_order;
use crate::unit::Span;

/// Number of VMs of each data centre that watch the store.
const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Longest time that the platform holds a watch open without a change.
const WATCH_TIMEOUT: Span = Span::secs(2);

/// Time since the last contact with the store, direct or through peers, from which a VM reads the
/// store itself, so that a change is in force within 15 s even if no watcher receives it.
const MAX_STALENESS: Span = Span::secs(12);

/// Time between two plain reads of the root by a watcher, since a watch may miss a change without
/// an error.
const READ_INTERVAL: Span = Span::secs(5);

/// Delay after a failed call of the store, and between two checks if this VM is a watcher.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time between two reads of the platform's list of VMs, on the VMs that collect which VMs have
/// adopted a revision.
const LIST_INTERVAL: Span = Span::secs(3);

/// Key of the root of the configuration in the store.
pub const ROOT_KEY: &str = "config/root";

/// Returns the key of a piece of the configuration in the store.
pub fn piece_key(digest: &str) -> String {
    format!("config/piece/{digest}")
}

/// Watches the root of the configuration while this VM is a watcher, or while its configuration is
/// older than `MAX_STALENESS`. Each round reads the root if a read is due, or else waits for a
/// change, and applies a newer root. A VM that need not read the store only sleeps.
pub async fn watch_root(control: Control) {
    let mut position = None;
    let mut last_listed = control.vm.clock.now();
    let mut last_read = last_listed;
    loop {
        let now = control.vm.clock.now();
        let stale =
            control.with_gossip(|g| g.store_age(now)).is_none_or(|age| age >= MAX_STALENESS);
        if !is_watcher(&control) && !stale {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        if control.with_gossip(|g| g.is_accepter()) && now.since(last_listed) >= LIST_INTERVAL {
            last_listed = now;
            read_vm_list(&control).await;
        }
        let sent = control.vm.clock.now();
        let due = sent.since(last_read) >= READ_INTERVAL;
        let answer = match position.filter(|_| !due) {
            Some(from) => control.store.watch(ROOT_KEY, from, WATCH_TIMEOUT).await,
            None => {
                last_read = sent;
                control.store.get(ROOT_KEY).await
            }
        };
        match answer {
            Ok(Some(object)) => {
                if apply_root(&control, &object.body).await.is_ok() {
                    position = Some(object.position);
                    control.with_gossip(|g| g.on_store_contact(sent));
                } else {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            Ok(None) => {
                control.with_gossip(|g| g.on_store_contact(sent));
                if position.is_none() {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            Err(error) => {
                control.vm.metrics.store_failures.inc();
                log::debug!("reading the configuration failed, will retry: {error}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
        control.publish_snapshot();
    }
}

/// Returns true if this VM is one of the watchers of its data centre.
fn is_watcher(control: &Control) -> bool {
    let own_data_centre = &control.vm.settings.data_centre;
    let duty = format!("watch/{own_data_centre}");
    control.with_gossip(|g| {
        let local = g.present().filter(|member| member.data_centre == *own_data_centre);
        let order = rendezvous_order(&duty, local.map(|member| &member.vm));
        order.iter().take(WATCHERS_PER_DATA_CENTRE).any(|vm| **vm == control.vm.settings.vm)
    })
}

/// Reads the platform's list of VMs and passes it to the gossip state, which waits for their
/// adoptions.
async fn read_vm_list(control: &Control) {
    if let Ok(list) = control.store.vms().await
        && !list.is_empty()
    {
        let names: BTreeSet<_> = list.into_iter().map(|listed| listed.vm).collect();
        control.with_gossip(|g| g.set_listed_vms(&names));
    }
}

/// Reads the root of the configuration once and applies it.
///
/// # Errors
/// If the platform does not answer, or the root or one of its pieces is invalid.
pub async fn read_root(control: &Control) -> Result<(), Error> {
    if let Some(object) = control.store.get(ROOT_KEY).await? {
        apply_root(control, &object.body).await?;
        control.publish_snapshot();
    }
    Ok(())
}

/// Adopts the configuration of a root read from the store if it is newer, after fetching the
/// pieces that this VM lacks.
async fn apply_root(control: &Control, body: &[u8]) -> Result<(), Error> {
    let root: Root =
        serde_json::from_slice(body).map_err(|error| Error::Store(error.to_string()))?;
    let cached = control.with_gossip(|g| g.snapshot.clone());
    if root.revision <= cached.revision() {
        return Ok(());
    }
    let snapshot = fetch_snapshot(&control.store, root, &cached).await?;
    control.with_gossip(|g| g.adopt(snapshot));
    Ok(())
}

/// Builds the configuration of a root from the pieces of `cached`, and reads the other pieces from
/// the store.
///
/// # Errors
/// If the platform does not answer, or a piece is missing or invalid.
pub async fn fetch_snapshot(
    store: &crate::platform::Store,
    root: Root,
    cached: &Snapshot,
) -> Result<Snapshot, Error> {
    let mut pieces = cached.pieces.clone();
    for (name, digest) in &root.pieces {
        if pieces.contains_key(digest) {
            continue;
        }
        let object = store.get(&piece_key(digest)).await?;
        let object = object.ok_or_else(|| Error::Store(format!("piece `{name}` is missing")))?;
        let body = String::from_utf8_lossy(&object.body).into_owned();
        let piece = Piece { name: name.clone(), digest: digest.clone(), body };
        pieces.insert(digest.clone(), Arc::new(piece));
    }
    Snapshot::resolve(root, pieces).map_err(Error::Store)
}
