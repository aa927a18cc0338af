//! The platform's object store as `serve` and the operators' commands use it: keys and JSON values,
//! kept as objects whose kind is the key's first part.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use serde_json::Value;

use super::client::{Client, Consistency, StoreError};
use super::object::Object as Raw;
use crate::error::Error;
use crate::forward::era::Tracker;
use crate::standin::platform::Listed;
use crate::unit::{Position, Span};

/// Stands for `/` in the names of objects; no id of ours has it.
const SEPARATOR: &str = "~";

/// The kind of the objects that list the VMs.
const VMS: &str = "vms";

/// Connections that rest at most.
const RESTING: usize = 4;

/// An object as it stands.
#[derive(Clone, Debug)]
pub struct Object {
    /// Position of its last change.
    pub position: Position,
    /// The value.
    pub body: Bytes,
}

/// How a conditional write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Applied,
    /// The condition did not hold.
    Conflict,
}

/// A client for one thread; calls may run at the same time.
#[derive(Clone)]
pub struct Store {
    address: SocketAddr,
    eras: Rc<Tracker>,
    resting: Rc<RefCell<Vec<Client>>>,
}

impl Store {
    /// A client of the store at `address`.
    pub fn new(address: SocketAddr) -> Store {
        Store { address, eras: Rc::default(), resting: Rc::default() }
    }

    /// An object, if there is one.
    ///
    /// # Errors
    /// If the platform does not answer.
    pub async fn get(&self, key: &str) -> Result<Option<Object>, Error> {
        let (kind, name) = parts(key);
        let mut client = self.take();
        let answer = client.get(kind, &name, Consistency::Strong).await;
        self.rest(client);
        Ok(answer.map_err(failed)?.map(|object| shown(&object)))
    }

    /// Waits up to `wait` for a change after `after`; nothing if none came.
    ///
    /// # Errors
    /// If the platform does not answer.
    pub async fn watch(
        &self,
        key: &str,
        after: Position,
        wait: Span,
    ) -> Result<Option<Object>, Error> {
        let (kind, name) = parts(key);
        let mut client = self.take();
        let watched = wait_for(&mut client, kind, &name, after, wait).await;
        self.rest(client);
        match watched {
            Err(StoreError::HistoryGone) => {
                let object = self.get(key).await?;
                Ok(object.filter(|object| object.position > after))
            }
            watched => Ok(watched.map_err(failed)?.map(|object| shown(&object))),
        }
    }

    /// Writes an object that must not exist yet.
    ///
    /// # Errors
    /// If the platform does not answer; the write may have taken effect.
    pub async fn create(&self, key: &str, body: Vec<u8>) -> Result<WriteOutcome, Error> {
        let (kind, name) = parts(key);
        let spec = value(&body)?;
        let mut client = self.take();
        let written = client.create(kind, &name, spec).await;
        self.rest(client);
        outcome(written)
    }

    /// Writes an object that must still be at `position`.
    ///
    /// # Errors
    /// If the platform does not answer; the write may have taken effect.
    pub async fn replace(
        &self,
        key: &str,
        position: Position,
        body: Vec<u8>,
    ) -> Result<WriteOutcome, Error> {
        let (kind, name) = parts(key);
        let spec = value(&body)?;
        let mut client = self.take();
        let written = client.replace(kind, &name, position, spec).await;
        self.rest(client);
        outcome(written)
    }

    /// The keys that begin with `prefix`, in order.
    ///
    /// # Errors
    /// If the platform does not answer.
    pub async fn list(&self, prefix: &str) -> Result<Vec<String>, Error> {
        let (kind, start) = parts(prefix);
        let key = |name: &str| format!("{kind}/{}", name.replace(SEPARATOR, "/"));
        let listed = self.all(kind).await?;
        let names = listed.iter().map(|object| object.metadata.name.as_str());
        let mut keys: Vec<String> =
            names.filter(|name| name.starts_with(&start)).map(key).collect();
        keys.sort_unstable();
        Ok(keys)
    }

    /// The list of VMs, which lags.
    ///
    /// # Errors
    /// If the platform does not answer.
    pub async fn vms(&self) -> Result<Vec<Listed>, Error> {
        let listed = self.all(VMS).await?;
        let read = |object: Raw| {
            serde_json::from_value(object.spec).map_err(|fault| Error::Store(fault.to_string()))
        };
        listed.into_iter().map(read).collect()
    }

    async fn all(&self, kind: &str) -> Result<Vec<Raw>, Error> {
        let mut client = self.take();
        let listed = client.list(kind, Consistency::Strong).await;
        self.rest(client);
        Ok(listed.map_err(failed)?.items)
    }

    fn take(&self) -> Client {
        let resting = self.resting.borrow_mut().pop();
        resting.unwrap_or_else(|| Client::new(self.address, self.eras.clone()))
    }

    fn rest(&self, client: Client) {
        let mut resting = self.resting.borrow_mut();
        if resting.len() < RESTING {
            resting.push(client);
        }
    }
}

/// Watches a kind until the object of that name changes; changes of others are passed over.
async fn wait_for(
    client: &mut Client,
    kind: &str,
    name: &str,
    after: Position,
    wait: Span,
) -> Result<Option<Raw>, StoreError> {
    let begun = std::time::Instant::now();
    let mut from = after;
    loop {
        let left = Span(wait.0.saturating_sub(begun.elapsed().as_micros() as u64));
        let events = client.watch(kind, from, left).await?;
        let ours = |object: &Raw| object.metadata.name == name && object.metadata.position > after;
        from = from.max(events.position());
        let changes = events.events.into_iter().filter(|event| !event.deleted);
        let newest = changes.map(|event| event.object).rfind(ours);
        if newest.is_some() || begun.elapsed() >= wait.duration() {
            return Ok(newest);
        }
    }
}

/// Kind and name of a key.
fn parts(key: &str) -> (&str, String) {
    let (kind, name) = key.split_once('/').unwrap_or((key, ""));
    (kind, name.replace('/', SEPARATOR))
}

fn shown(object: &Raw) -> Object {
    Object { position: object.metadata.position, body: Bytes::from(object.spec.to_string()) }
}

fn value(body: &[u8]) -> Result<Value, Error> {
    serde_json::from_slice(body)
        .map_err(|fault| Error::Store(format!("a value is no JSON: {fault}")))
}

fn outcome(written: Result<Raw, StoreError>) -> Result<WriteOutcome, Error> {
    match written {
        Ok(_) => Ok(WriteOutcome::Applied),
        Err(StoreError::Conflict(_)) => Ok(WriteOutcome::Conflict),
        Err(trouble) => Err(failed(trouble)),
    }
}

fn failed(trouble: StoreError) -> Error {
    Error::Store(trouble.to_string())
}
