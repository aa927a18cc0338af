//! Operations on the configuration in the store: reading it, and applying a plan that an operator
//! confirmed. The configuration has a *root*, one object with the revision and the list of
//! *pieces*, which are objects named by their digest. A *plan* is a list of changes to one
//! revision.

use crate::config::{Change, Plan, Root, Snapshot, apply_plan};
use crate::error::Error;
use crate::platform::{Object, Store, WriteOutcome};
use crate::unit::{Date, Revision};
use crate::vm::{ROOT_KEY, fetch_snapshot, piece_key};

/// Maximum number of attempts to apply a plan if the store does not answer.
const MAX_ATTEMPTS: usize = 5;

/// How the confirmation of a plan ended, if it succeeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// The plan took effect now, as this revision.
    Applied(Revision),
    /// The plan had taken effect before, as this revision.
    AlreadyApplied(Revision),
}

/// Reads the root of the configuration, and the object that holds the root. Without an object in
/// the store, returns the empty root and none.
///
/// # Errors
/// If the platform does not answer, or the root is invalid.
pub async fn read_root(store: &Store) -> Result<(Root, Option<Object>), Error> {
    match store.get(ROOT_KEY).await? {
        Some(object) => {
            let root = serde_json::from_slice(&object.body).map_err(|error| {
                Error::Store(format!("its configuration root is invalid: {error}"))
            })?;
            Ok((root, Some(object)))
        }
        None => Ok((Root::default(), None)),
    }
}

/// Reads the whole configuration from the store: the root and all of its pieces.
///
/// # Errors
/// If the platform does not answer, or the root or a piece is invalid.
pub async fn read_snapshot(store: &Store) -> Result<Snapshot, Error> {
    let (root, _) = read_root(store).await?;
    fetch_snapshot(store, root, &Snapshot::default()).await
}

/// Applies a plan exactly once, if the configuration still has the revision that it was made for.
///
/// # Errors
/// If the configuration has changed since (the error names who changed what), or the platform does
/// not answer.
pub async fn confirm(
    store: &Store,
    plan: &Plan,
    who: &str,
    date: Date,
) -> Result<Confirmation, Error> {
    let mut last = Error::Store("no attempt was made".to_owned());
    for _ in 0..MAX_ATTEMPTS {
        match try_confirm(store, plan, who, date).await {
            Err(error @ Error::Store(_)) => last = error,
            result => return result,
        }
    }
    Err(last)
}

/// Applies a plan with a conditional write of the root, unless it was applied before.
async fn try_confirm(
    store: &Store,
    plan: &Plan,
    who: &str,
    date: Date,
) -> Result<Confirmation, Error> {
    let (current, object) = read_root(store).await?;
    // The record of a plan in the root shows that the plan was applied, even if the response was
    // lost.
    if let Some(record) = current.log.iter().find(|record| record.plan == plan.id) {
        return Ok(Confirmation::AlreadyApplied(record.revision));
    }
    if current.revision != plan.base {
        return Err(Error::ConfigChanged(changes_since(&current, plan.base)));
    }
    let next = apply_plan(&current, plan, who, rand::random(), date)?;
    for change in &plan.changes {
        if let Change::Put(piece) = change {
            // Pieces are stored under their digest, so an existing one has the same content.
            store.create(&piece_key(&piece.digest), piece.body.clone().into_bytes()).await?;
        }
    }
    let body = serde_json::to_vec(&next).expect("a root is plain data");
    let written = match &object {
        Some(object) => store.replace(ROOT_KEY, object.position, body).await?,
        None => store.create(ROOT_KEY, body).await?,
    };
    if written == WriteOutcome::Conflict {
        // The conflict may be with this very plan, if the response to an earlier attempt was lost.
        let (current, _) = read_root(store).await?;
        let record = current.log.iter().find(|record| record.plan == plan.id);
        return match record {
            Some(record) => Ok(Confirmation::AlreadyApplied(record.revision)),
            None => Err(Error::ConfigChanged(changes_since(&current, plan.base))),
        };
    }
    Ok(Confirmation::Applied(next.revision))
}

/// Describes the changes of the configuration after a revision, for the error message.
fn changes_since(root: &Root, base: Revision) -> String {
    let later = root.log.iter().filter(|record| record.revision > base);
    let changes: Vec<String> = later
        .map(|record| {
            format!("Revision {} by {}: {}.", record.revision, record.who, record.what.join("; "))
        })
        .collect();
    changes.join(" ")
}
