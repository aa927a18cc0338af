//! Key-value view of the platform's object store, for `serve` and the operators' commands. Values
//! are JSON; the first segment of a key is the object's kind, the rest its name.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use serde_json::Value;

use super::client::{Client, Consistency, StoreError};
use super::object::Object as Raw;
use crate::decide::freshness::RESPONSE_TIMEOUT;
use crate::error::Error;
use crate::forward::era::Tracker;
use crate::standin::platform::VmEntry;
use crate::unit::{Position, Span};

/// Replaces `/` in the names of objects; no identifier of this program contains it.
const SEPARATOR: &str = "~";

/// Kind of the objects that list the VMs.
const VMS_KIND: &str = "vms";

/// Idle clients, each with a connection, that are kept for reuse.
const MAX_IDLE_CLIENTS: usize = 4;

/// Current state of an object.
#[derive(Clone, Debug)]
pub struct Object {
    /// Position of its last change.
    pub position: Position,
    /// Value, in JSON.
    pub body: Bytes,
}

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Applied,
    /// The object existed already or was changed by another writer.
    Conflict,
}

/// Client for one thread, whose requests may run concurrently.
#[derive(Clone)]
pub struct Store {
    address: SocketAddr,
    eras: Rc<Tracker>,
    idle: Rc<RefCell<Vec<Client>>>,
}

impl Store {
    /// Creates a client of the store at `address`.
    pub fn new(address: SocketAddr) -> Store {
        Store { address, eras: Rc::default(), idle: Rc::default() }
    }

    /// Returns the object at a key, or `None` if there is none.
    ///
    /// # Errors
    /// If the platform does not answer.
    pub async fn get(&self, key: &str) -> Result<Option<Object>, Error> {
        let (kind, name) = split_key(key);
        let mut client = self.checkout();
        let answer = client.get(kind, &name, Consistency::Strong).await;
        self.release(client);
        Ok(answer.map_err(to_error)?.map(|object| to_object(&object)))
    }

    /// Waits up to `wait` for a change of the object at a key after position `after`. Returns
    /// `None` if there was none.
    ///
    /// # Errors
    /// If the platform does not answer.
    pub async fn watch(
        &self,
        key: &str,
        after: Position,
        wait: Span,
    ) -> Result<Option<Object>, Error> {
        let (kind, name) = split_key(key);
        let mut client = self.checkout();
        let watched = wait_for(&mut client, kind, &name, after, wait).await;
        self.release(client);
        match watched {
            Err(StoreError::HistoryGone) => {
                let object = self.get(key).await?;
                Ok(object.filter(|object| object.position > after))
            }
            watched => Ok(watched.map_err(to_error)?.map(|object| to_object(&object))),
        }
    }

    /// Creates an object that must not exist yet.
    ///
    /// # Errors
    /// If the platform does not answer; the write may have taken effect.
    pub async fn create(&self, key: &str, body: Vec<u8>) -> Result<WriteOutcome, Error> {
        let (kind, name) = split_key(key);
        let spec = parse_value(&body)?;
        let mut client = self.checkout();
        let written = client.create(kind, &name, spec).await;
        self.release(client);
        to_outcome(written)
    }

    /// Replaces an object if its last change is still at `position`.
    ///
    /// # Errors
    /// If the platform does not answer; the write may have taken effect.
    pub async fn replace(
        &self,
        key: &str,
        position: Position,
        body: Vec<u8>,
    ) -> Result<WriteOutcome, Error> {
        let (kind, name) = split_key(key);
        let spec = parse_value(&body)?;
        let mut client = self.checkout();
        let written = client.replace(kind, &name, position, spec).await;
        self.release(client);
        to_outcome(written)
    }

    /// Returns the keys that begin with `prefix`, sorted. The prefix must contain the whole kind.
    ///
    /// # Errors
    /// If the platform does not answer.
    pub async fn list(&self, prefix: &str) -> Result<Vec<String>, Error> {
        let (kind, start) = split_key(prefix);
        let key = |name: &str| format!("{kind}/{}", name.replace(SEPARATOR, "/"));
        let listed = self.list_objects(kind).await?;
        let names = listed.iter().map(|object| object.metadata.name.as_str());
        let mut keys: Vec<String> =
            names.filter(|name| name.starts_with(&start)).map(key).collect();
        keys.sort_unstable();
        Ok(keys)
    }

    /// Returns the VMs that the platform lists, without entries that are invalid, which any writer
    /// may add. The list lags behind the VMs that run.
    ///
    /// # Errors
    /// If the platform does not answer.
    pub async fn vms(&self) -> Result<Vec<VmEntry>, Error> {
        let listed = self.list_objects(VMS_KIND).await?;
        Ok(listed.into_iter().filter_map(decode_vm).collect())
    }

    async fn list_objects(&self, kind: &str) -> Result<Vec<Raw>, Error> {
        let mut client = self.checkout();
        let listed = client.list(kind, Consistency::Strong).await;
        self.release(client);
        Ok(listed.map_err(to_error)?.items)
    }

    fn checkout(&self) -> Client {
        let idle = self.idle.borrow_mut().pop();
        idle.unwrap_or_else(|| Client::new(self.address, self.eras.clone()))
    }

    fn release(&self, client: Client) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CLIENTS {
            idle.push(client);
        }
    }
}

/// Watches a kind until the object of that name changes or `wait` ends. Ignores other objects.
async fn wait_for(
    client: &mut Client,
    kind: &str,
    name: &str,
    after: Position,
    wait: Span,
) -> Result<Option<Raw>, StoreError> {
    let started = std::time::Instant::now();
    let mut from = after;
    loop {
        let remaining = Span(wait.0.saturating_sub(started.elapsed().as_micros() as u64));
        let events = client.watch(kind, from, remaining, RESPONSE_TIMEOUT).await?;
        let is_watched =
            |object: &Raw| object.metadata.name == name && object.metadata.position > after;
        from = from.max(events.position());
        let changes = events.events.into_iter().filter(|event| !event.is_deleted);
        let newest = changes.map(|event| event.object).rfind(is_watched);
        if newest.is_some() || started.elapsed() >= wait.duration() {
            return Ok(newest);
        }
    }
}

/// Decodes an entry of the list of VMs.
fn decode_vm(object: Raw) -> Option<VmEntry> {
    let name = object.metadata.name;
    serde_json::from_value(object.spec)
        .inspect_err(|fault| log::warn!("the entry `{name}` of a VM is ignored: {fault}"))
        .ok()
}

/// Splits a key into the kind and the name of its object.
fn split_key(key: &str) -> (&str, String) {
    let (kind, name) = key.split_once('/').unwrap_or((key, ""));
    (kind, name.replace('/', SEPARATOR))
}

fn to_object(object: &Raw) -> Object {
    Object { position: object.metadata.position, body: Bytes::from(object.spec.to_string()) }
}

fn parse_value(body: &[u8]) -> Result<Value, Error> {
    serde_json::from_slice(body)
        .map_err(|fault| Error::Store(format!("the value is not JSON: {fault}")))
}

fn to_outcome(written: Result<Raw, StoreError>) -> Result<WriteOutcome, Error> {
    match written {
        Ok(_) => Ok(WriteOutcome::Applied),
        Err(StoreError::Conflict(_)) => Ok(WriteOutcome::Conflict),
        Err(fault) => Err(to_error(fault)),
    }
}

fn to_error(fault: StoreError) -> Error {
    Error::Store(fault.to_string())
}
