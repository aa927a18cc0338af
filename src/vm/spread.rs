//! Brings the configuration from the store: a few watchers per data centre, others by their peers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::control::Control;
use crate::config::{Piece, Root, Snapshot};
use crate::error::Error;
use crate::peer::rendezvous_order;
use crate::unit::Span;

/// Watchers in each data centre.
const WATCHERS: usize = 2;

/// How long a watch waits at the platform.
const WATCH: Span = Span::secs(2);

/// A VM whose knowledge of the store is older reads for itself; a change is in force within 15 s
/// though all watchers hear nothing.
const STALE: Span = Span::secs(12);

/// A watcher reads the root itself this often: a watch that reports nothing proves nothing.
const READ_EVERY: Span = Span::secs(5);

/// Wait after a call that failed, and between looks at who watches.
const PAUSE: Duration = Duration::from_millis(300);

/// Time between reads of the list of VMs by an accepter.
const LIST_EVERY: Span = Span::secs(3);

/// The root's key.
pub const ROOT: &str = "config/root";

/// A piece's key.
pub fn piece_key(digest: &str) -> String {
    format!("config/piece/{digest}")
}

/// Watches the root for as long as it is this VM's turn.
pub async fn watch(control: Control) {
    let mut known = None;
    let mut listed = control.vm.clock.now();
    let mut read = listed;
    loop {
        let now = control.vm.clock.now();
        let stale = control.gossip(|g| g.store_age(now)).is_none_or(|age| age >= STALE);
        if !is_watcher(&control) && !stale {
            tokio::time::sleep(PAUSE).await;
            continue;
        }
        if control.gossip(|g| g.is_accepter()) && now.since(listed) >= LIST_EVERY {
            listed = now;
            read_list(&control).await;
        }
        let sent = control.vm.clock.now();
        let due = sent.since(read) >= READ_EVERY;
        let answer = match known.filter(|_| !due) {
            Some(position) => control.store.watch(ROOT, position, WATCH).await,
            None => {
                read = sent;
                control.store.get(ROOT).await
            }
        };
        match answer {
            Ok(Some(object)) => {
                if take(&control, &object.body).await.is_ok() {
                    known = Some(object.position);
                    control.gossip(|g| g.on_store_contact(sent));
                } else {
                    tokio::time::sleep(PAUSE).await;
                }
            }
            Ok(None) => {
                control.gossip(|g| g.on_store_contact(sent));
                if known.is_none() {
                    tokio::time::sleep(PAUSE).await;
                }
            }
            Err(fault) => {
                control.vm.metrics.store_failures.inc();
                log::debug!("{fault}");
                tokio::time::sleep(PAUSE).await;
            }
        }
        control.follow();
    }
}

fn is_watcher(control: &Control) -> bool {
    let home = &control.vm.settings.data_centre;
    let duty = format!("watch/{home}");
    control.gossip(|g| {
        let near = g.present().filter(|member| member.data_centre == *home);
        let order = rendezvous_order(&duty, near.map(|member| &member.vm));
        order.iter().take(WATCHERS).any(|vm| **vm == control.vm.settings.vm)
    })
}

async fn read_list(control: &Control) {
    if let Ok(list) = control.store.vms().await
        && !list.is_empty()
    {
        let names: BTreeSet<_> = list.into_iter().map(|listed| listed.vm).collect();
        control.gossip(|g| g.set_listed_vms(&names));
    }
}

/// Reads the root once.
///
/// # Errors
/// If the platform does not answer.
pub async fn read_root(control: &Control) -> Result<(), Error> {
    if let Some(object) = control.store.get(ROOT).await? {
        take(control, &object.body).await?;
        control.follow();
    }
    Ok(())
}

/// Takes a root as the store tells it, and fetches the pieces that are missing here.
async fn take(control: &Control, body: &[u8]) -> Result<(), Error> {
    let root: Root =
        serde_json::from_slice(body).map_err(|fault| Error::Store(fault.to_string()))?;
    let held = control.gossip(|g| g.snapshot.clone());
    if root.revision <= held.revision() {
        return Ok(());
    }
    let snapshot = fetch(&control.store, root, &held).await?;
    control.gossip(|g| g.adopt(snapshot));
    Ok(())
}

/// Resolves a root with the pieces of `held` and the store.
///
/// # Errors
/// If the platform does not answer or a piece does not read.
pub async fn fetch(
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
