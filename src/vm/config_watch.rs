//! Brings the configuration from the store: a few watchers per data centre, others by their peers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::control::Control;
use crate::config::{Piece, Root, Snapshot};
use crate::error::Error;
use crate::peer::ranked;
use crate::unit::Span;

/// Watchers in each data centre.
const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// How long a watch waits at the platform.
const WATCH_TIMEOUT: Span = Span::secs(2);

/// A VM whose knowledge of the store is older reads for itself; a change is in force within 15 s
/// though all watchers hear nothing.
const MAX_STALENESS: Span = Span::secs(12);

/// A watcher reads the root itself this often: a watch that reports nothing proves nothing.
const READ_INTERVAL: Span = Span::secs(5);

/// Wait after a call that failed, and between looks at who watches.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time between reads of the list of VMs by an accepter.
const LIST_INTERVAL: Span = Span::secs(3);

/// The root's key.
pub const ROOT_KEY: &str = "config/root";

/// A piece's key.
pub fn piece_key(digest: &str) -> String {
    format!("config/piece/{digest}")
}

/// Watches the root for as long as it is this VM's turn.
pub async fn watch_root(control: Control) {
    let mut position = None;
    let mut last_listed = control.vm.clock.now();
    let mut last_read = last_listed;
    loop {
        let now = control.vm.clock.now();
        let stale = control.with_gossip(|g| g.age(now)).is_none_or(|age| age >= MAX_STALENESS);
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
                    control.with_gossip(|g| g.store_contact(sent));
                } else {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            Ok(None) => {
                control.with_gossip(|g| g.store_contact(sent));
                if position.is_none() {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            Err(error) => {
                control.vm.metrics.store_failures.inc();
                log::debug!("{error}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
        control.publish_snapshot();
    }
}

fn is_watcher(control: &Control) -> bool {
    let home = &control.vm.settings.data_centre;
    let duty = format!("watch/{home}");
    control.with_gossip(|g| {
        let local = g.present().filter(|member| member.data_centre == *home);
        let order = ranked(&duty, local.map(|member| &member.vm));
        order.iter().take(WATCHERS_PER_DATA_CENTRE).any(|vm| **vm == control.vm.settings.vm)
    })
}

async fn read_vm_list(control: &Control) {
    if let Ok(list) = control.store.vms().await
        && !list.is_empty()
    {
        let names: BTreeSet<_> = list.into_iter().map(|listed| listed.vm).collect();
        control.with_gossip(|g| g.listed(&names));
    }
}

/// Reads the root once.
///
/// # Errors
/// If the platform does not answer.
pub async fn read_root(control: &Control) -> Result<(), Error> {
    if let Some(object) = control.store.get(ROOT_KEY).await? {
        apply_root(control, &object.body).await?;
        control.publish_snapshot();
    }
    Ok(())
}

/// Takes a root as the store tells it, and fetches the pieces that are missing here.
async fn apply_root(control: &Control, body: &[u8]) -> Result<(), Error> {
    let root: Root =
        serde_json::from_slice(body).map_err(|error| Error::Store(error.to_string()))?;
    let held = control.with_gossip(|g| g.snapshot.clone());
    if root.revision <= held.revision() {
        return Ok(());
    }
    let snapshot = fetch_snapshot(&control.store, root, &held).await?;
    control.with_gossip(|g| g.adopt(snapshot));
    Ok(())
}

/// Resolves a root with the pieces of `held` and the store.
///
/// # Errors
/// If the platform does not answer or a piece does not read.
pub async fn fetch_snapshot(
    store: &crate::platform::Store,
    root: Root,
    held: &Snapshot,
) -> Result<Snapshot, Error> {
    let mut pieces = held.pieces.clone();
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
