//! Operators' acts on the store: reading what is in force, confirming a plan.

use crate::config::{Change, Plan, Root, Snapshot, apply};
use crate::error::Error;
use crate::platform::{Object, Store, Written};
use crate::unit::{Date, Revision};
use crate::vm::{ROOT, fetch, piece_key};

/// Tries of a confirm whose answer was lost.
const TRIES: usize = 5;

/// How a confirm ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmed {
    /// It took effect with this revision.
    Now(Revision),
    /// It had taken effect before, with this revision.
    Before(Revision),
}

/// The root in the store, and the object that holds it.
///
/// # Errors
/// If the platform does not answer.
pub async fn root(store: &Store) -> Result<(Root, Option<Object>), Error> {
    match store.get(ROOT).await? {
        Some(object) => {
            let root = serde_json::from_slice(&object.body)
                .map_err(|fault| Error::Store(format!("its root does not read: {fault}")))?;
            Ok((root, Some(object)))
        }
        None => Ok((Root::default(), None)),
    }
}

/// What is in force, resolved.
///
/// # Errors
/// If the platform does not answer.
pub async fn snapshot(store: &Store) -> Result<Snapshot, Error> {
    let (root, _) = root(store).await?;
    fetch(store, root, &Snapshot::default()).await
}

/// Applies exactly this plan, once, if its revision still holds.
///
/// # Errors
/// Who changed what since, or that the platform does not answer.
pub async fn confirm(
    store: &Store,
    plan: &Plan,
    who: &str,
    date: Date,
) -> Result<Confirmed, Error> {
    let mut last = Error::Store("no try was made".to_owned());
    for _ in 0..TRIES {
        match try_confirm(store, plan, who, date).await {
            Err(fault @ Error::Store(_)) => last = fault,
            settled => return settled,
        }
    }
    Err(last)
}

async fn try_confirm(
    store: &Store,
    plan: &Plan,
    who: &str,
    date: Date,
) -> Result<Confirmed, Error> {
    let (current, object) = root(store).await?;
    // A plan's record tells that it was applied, whoever lost the answer.
    if let Some(record) = current.log.iter().find(|record| record.plan == plan.id) {
        return Ok(Confirmed::Before(record.revision));
    }
    if current.revision != plan.base {
        return Err(Error::ConfigChanged(since(&current, plan.base)));
    }
    let next = apply(&current, plan, who, rand::random(), date)?;
    for change in &plan.changes {
        if let Change::Put(piece) = change {
            // Pieces are kept under their digest: one that is there is the same.
            store.create(&piece_key(&piece.digest), piece.body.clone().into_bytes()).await?;
        }
    }
    let body = serde_json::to_vec(&next).expect("a root is plain data");
    let written = match &object {
        Some(object) => store.replace(ROOT, object.position, body).await?,
        None => store.create(ROOT, body).await?,
    };
    if written == Written::Conflict {
        // Perhaps by this very plan, whose answer was lost.
        let (current, _) = root(store).await?;
        let record = current.log.iter().find(|record| record.plan == plan.id);
        return match record {
            Some(record) => Ok(Confirmed::Before(record.revision)),
            None => Err(Error::ConfigChanged(since(&current, plan.base))),
        };
    }
    Ok(Confirmed::Now(next.revision))
}

fn since(root: &Root, base: Revision) -> String {
    let later = root.log.iter().filter(|record| record.revision > base);
    let told: Vec<String> = later
        .map(|record| {
            format!("Revision {} by {}: {}.", record.revision, record.who, record.what.join("; "))
        })
        .collect();
    told.join(" ")
}
