//! Client of the platform's object store.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use serde::de::{DeserializeOwned, Error as _};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use serde_json::{Value, json};

use super::listing::{Gap, Page, Pages, decode_object};
use super::object::Object;
use super::{path, request};
use crate::decide::freshness::RESPONSE_TIMEOUT;
use crate::forward::connection::{Connection, Fault};
use crate::forward::era::Tracker;
use crate::forward::pool;
use crate::forward::read_budget::Budget;
use crate::unit::{Era, Position, Span};

pub use super::listing::Listing;

/// Timeout for opening a connection to the store. The store is some milliseconds away, and a short
/// timeout notices sooner that a broken network path works again.
const CONNECT_TIMEOUT: Span = Span::millis(400);

/// Largest response body in bytes: a list of about 1 MB, with room for its framing.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Query parameter that allows a stale read.
const STALE_PARAMETER: (&str, &str) = ("stale_ok", "1");

/// Header with the store's era, a number that rises with each restore of a backup, in each
/// response.
const ERA_HEADER: &str = "Store-Era";

/// Consistency of a read.
#[derive(Clone, Copy, PartialEq)]
pub enum Consistency {
    /// Sees all acknowledged writes.
    Strong,
    /// May be some seconds old. Costs a tenth of a strong read.
    Stale,
}

impl Consistency {
    fn parameter(self) -> Option<(&'static str, &'static str)> {
        match self {
            Consistency::Strong => None,
            Consistency::Stale => Some(STALE_PARAMETER),
        }
    }
}

/// Error of a request to the store.
#[derive(Debug)]
pub enum StoreError {
    /// The store no longer has the changes that a watch asked for; the caller must list again.
    HistoryGone,
    /// Another writer changed the object. Holds its current state, if the store sent it.
    Conflict(Option<Box<Object>>),
    /// The store rejected the request with this HTTP status and changed nothing.
    Refused(u16),
    /// The store answers, but this gap keeps the list of a kind from being whole. Holds the objects
    /// before the gap, if a page was read.
    IncompleteList(Gap, Option<Box<Listing>>),
    /// The response is from an older era of the store than the newest, or from a newer one that is
    /// not confirmed yet.
    StaleEra,
    /// No usable response. A write may have taken effect, or may still do so. Holds the reason.
    NoAnswer(String),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::HistoryGone => f.write_str("the store no longer has the requested changes"),
            StoreError::Conflict(_) => f.write_str("the object was changed by another writer"),
            StoreError::Refused(status) => write!(f, "the store responded with status {status}"),
            StoreError::IncompleteList(gap, _) => write!(f, "the list is not whole: {gap}"),
            StoreError::StaleEra => {
                f.write_str("the response is not from the newest era of the store")
            }
            StoreError::NoAnswer(reason) => write!(f, "no usable response: {reason}"),
        }
    }
}

/// Change of an object.
#[derive(Debug, Deserialize)]
pub struct Event {
    /// State of the object after the change, or the last one before it was deleted.
    #[serde(deserialize_with = "one_object")]
    pub object: Object,
    /// Set if the object was deleted.
    #[serde(default, rename = "deleted")]
    pub is_deleted: bool,
}

/// Result of a watch.
#[derive(Debug, Deserialize)]
pub struct Events {
    /// Changes in order; empty if none happened during the wait. Those of objects without a name
    /// that decodes are left out.
    #[serde(default, deserialize_with = "each_event")]
    pub events: Vec<Event>,
    store_revision: u64,
    #[serde(skip)]
    era: Era,
}

impl Events {
    /// Returns the position from which to continue the watch. If its era differs from that of the
    /// request, changes are missing.
    pub fn position(&self) -> Position {
        Position::new(self.era, self.store_revision)
    }
}

/// Response of a request that succeeded.
struct Response {
    era: Era,
    body: Bytes,
}

impl Response {
    /// Decodes a page of a list.
    ///
    /// # Errors
    /// With the decoder's message.
    fn page(&self) -> Result<Page, String> {
        let text = String::from_utf8_lossy(&self.body);
        let is_lossy = matches!(text, Cow::Owned(_));
        let page: Page = serde_json::from_str(&text).map_err(|fault| fault.to_string())?;
        Ok(page.in_era(self.era, is_lossy))
    }

    fn events(&self) -> Result<Events, StoreError> {
        let mut events: Events = decode(&self.body)?;
        events.era = self.era;
        let objects = events.events.iter_mut().map(|event| &mut event.object);
        objects.for_each(|object| object.metadata.position.era = self.era);
        Ok(events)
    }

    fn object(&self) -> Result<Object, StoreError> {
        let mut object: Object = decode(&self.body)?;
        object.metadata.position.era = self.era;
        Ok(object)
    }
}

/// Client with one connection, for one request at a time.
pub struct Client {
    address: SocketAddr,
    eras: Rc<Tracker>,
    connection: Option<Connection>,
    budget: Budget,
}

impl Client {
    /// Creates a client of the store at `address`, which connects at the first request. The era of
    /// each response is passed to `eras`.
    pub fn new(address: SocketAddr, eras: Rc<Tracker>) -> Client {
        Client { address, eras, connection: None, budget: Budget::default() }
    }

    /// Returns the client with the budget that its responses share with others.
    pub fn with_budget(self, budget: &Budget) -> Client {
        Client { budget: budget.clone(), ..self }
    }

    /// Drops the connection, so that the next request opens a new one.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Lists all objects of a kind, page by page.
    ///
    /// # Errors
    /// `IncompleteList` if the store answers but the list has no end or cannot be read; otherwise
    /// if the store rejects the request or does not respond.
    pub async fn list(
        &mut self,
        kind: &str,
        consistency: Consistency,
    ) -> Result<Listing, StoreError> {
        let mut pages = Pages::default();
        loop {
            let since = pages.cursor().map(|cursor| ("since_revision", cursor));
            let parameters: Vec<(&str, &str)> =
                since.into_iter().chain(consistency.parameter()).collect();
            let path = path::with_query(&path::kind(kind), &parameters);
            let added = match self.call(Method::GET, &path, None, RESPONSE_TIMEOUT).await {
                Ok(response) => {
                    response.page().map_err(Gap::Undecodable).and_then(|page| pages.add(page))
                }
                Err(StoreError::Refused(status)) if request::is_final(status) => {
                    Err(Gap::Refused(status))
                }
                Err(error) => return Err(error),
            };
            match added {
                Ok(false) => {}
                Ok(true) => {
                    let empty = || StoreError::NoAnswer("the list has no page".to_owned());
                    return pages.into_listing().ok_or_else(empty);
                }
                // What was read is of an era that has ended.
                Err(Gap::Restored) => return Err(StoreError::NoAnswer(Gap::Restored.to_string())),
                Err(gap) => {
                    let read = pages.into_listing().map(Box::new);
                    return Err(StoreError::IncompleteList(gap, read));
                }
            }
        }
    }

    /// Returns the changes of a kind after a position as soon as there is one, or none after
    /// `wait`. The response must arrive within `timeout` after that.
    ///
    /// # Errors
    /// `HistoryGone` if the store no longer has the changes or was restored; otherwise if it
    /// rejects the request or does not respond.
    pub async fn watch(
        &mut self,
        kind: &str,
        from: Position,
        wait: Span,
        timeout: Span,
    ) -> Result<Events, StoreError> {
        self.request_events(kind, from, wait, wait + timeout).await
    }

    /// Returns the changes of a kind after a position that exist now. The response must arrive
    /// within `timeout`.
    ///
    /// # Errors
    /// As [`Client::watch`].
    pub async fn changes(
        &mut self,
        kind: &str,
        from: Position,
        timeout: Span,
    ) -> Result<Events, StoreError> {
        self.request_events(kind, from, Span(0), timeout).await
    }

    async fn request_events(
        &mut self,
        kind: &str,
        from: Position,
        wait: Span,
        timeout: Span,
    ) -> Result<Events, StoreError> {
        let (from_revision, wait_ms) = (from.revision, wait.0 / 1000);
        let (from_revision, wait_ms) = (from_revision.to_string(), wait_ms.to_string());
        let parameters = [("watch", from_revision.as_str()), ("wait_ms", wait_ms.as_str())];
        let path = path::with_query(&path::kind(kind), &parameters);
        let events = self.call(Method::GET, &path, None, timeout).await?.events()?;
        match events.era == from.era {
            true => Ok(events),
            false => Err(StoreError::HistoryGone),
        }
    }

    /// Returns the object of a name, or `None` if there is none.
    ///
    /// # Errors
    /// If the store rejects the request or does not respond.
    pub async fn get(
        &mut self,
        kind: &str,
        name: &str,
        consistency: Consistency,
    ) -> Result<Option<Object>, StoreError> {
        let parameters: Vec<(&str, &str)> = consistency.parameter().into_iter().collect();
        let path = path::with_query(&path::object(kind, name), &parameters);
        match self.call(Method::GET, &path, None, RESPONSE_TIMEOUT).await {
            Ok(response) => Ok(Some(response.object()?)),
            Err(StoreError::Refused(status)) if status == StatusCode::NOT_FOUND.as_u16() => {
                Ok(None)
            }
            Err(trouble) => Err(trouble),
        }
    }

    /// Creates an object that must not exist yet.
    ///
    /// # Errors
    /// `Conflict` if it exists; `NoAnswer` if it is not known whether it was created.
    pub async fn create(
        &mut self,
        kind: &str,
        name: &str,
        spec: Value,
    ) -> Result<Object, StoreError> {
        let path = path::kind(kind);
        let body = json!({"metadata": {"name": name}, "spec": spec}).to_string();
        self.call(Method::POST, &path, Some(body.into()), RESPONSE_TIMEOUT).await?.object()
    }

    /// Replaces an object if its last change is still at `position`.
    ///
    /// # Errors
    /// `Conflict` if it was changed; `NoAnswer` if it is not known whether it was written.
    pub async fn replace(
        &mut self,
        kind: &str,
        name: &str,
        position: Position,
        spec: Value,
    ) -> Result<Object, StoreError> {
        let path = path::object(kind, name);
        let metadata = json!({"name": name, "revision": position.revision});
        let body = json!({"metadata": metadata, "spec": spec});
        self.put_conditional(&path, position, &body).await
    }

    /// Deletes an object. Succeeds if there is none.
    ///
    /// # Errors
    /// If the store rejects the request or does not respond.
    pub async fn delete(&mut self, kind: &str, name: &str) -> Result<(), StoreError> {
        let path = path::object(kind, name);
        match self.call(Method::DELETE, &path, None, RESPONSE_TIMEOUT).await {
            Ok(_) => Ok(()),
            Err(StoreError::Refused(status)) if status == StatusCode::NOT_FOUND.as_u16() => Ok(()),
            Err(trouble) => Err(trouble),
        }
    }

    /// Writes the status of an object if its last change is still at `position`.
    ///
    /// # Errors
    /// `Conflict` if it was changed; `NoAnswer` if it is not known whether it was written.
    pub async fn put_status(
        &mut self,
        kind: &str,
        name: &str,
        position: Position,
        status: Value,
    ) -> Result<Object, StoreError> {
        let path = path::status(kind, name);
        let metadata = json!({"name": name, "revision": position.revision});
        let body = json!({"metadata": metadata, "status": status});
        self.put_conditional(&path, position, &body).await
    }

    /// Writes to `path` if the object is still at `position`. The same revision may name another
    /// state in another era, so the write is not sent if the store's era has changed, and its
    /// outcome is unknown if the era changes while it is sent.
    async fn put_conditional(
        &mut self,
        path: &str,
        position: Position,
        body: &Value,
    ) -> Result<Object, StoreError> {
        if position.era != self.eras.newest() {
            return Err(StoreError::Conflict(None));
        }
        let body = Bytes::from(body.to_string());
        let response = self.call(Method::PUT, path, Some(body), RESPONSE_TIMEOUT).await?;
        match response.era == position.era {
            true => response.object(),
            false => {
                Err(StoreError::NoAnswer("the store was restored during the write".to_owned()))
            }
        }
    }

    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Option<Bytes>,
        timeout: Span,
    ) -> Result<Response, StoreError> {
        let exchange = self.exchange(method, path, body.unwrap_or_default());
        let result = tokio::time::timeout(timeout.duration(), exchange).await;
        let result = result
            .unwrap_or_else(|_| Err(StoreError::NoAnswer(format!("timed out after {timeout}"))));
        // A connection is not reused after a request without a usable response.
        if matches!(result, Err(StoreError::NoAnswer(_))) {
            self.connection = None;
        }
        result
    }

    async fn exchange(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response, StoreError> {
        let no_answer = |fault: Fault| match fault {
            Fault::NotSent(reason) | Fault::Broken(reason) => StoreError::NoAnswer(reason),
        };
        let malformed =
            |what: String| StoreError::NoAnswer(format!("the request is malformed: {what}"));
        let idle = self.connection.take().and_then(Connection::into_idle);
        let connection = pool::reuse_or_open(idle, self.address, CONNECT_TIMEOUT);
        let mut connection = connection.await.map_err(no_answer)?.with_budget(&self.budget);
        let head = request::head(method, self.address, path).map_err(malformed)?;
        let head = connection.send(head, &body).await.map_err(no_answer)?;
        let era = head.headers.get(ERA_HEADER).map(|value| value.to_str().unwrap_or_default());
        let era = self.eras.observe(era);
        let body = connection.read_body(MAX_RESPONSE_BYTES).await.map_err(no_answer)?;
        self.connection = connection.into_reusable();
        let response = Response { era: era.ok_or(StoreError::StaleEra)?, body };
        match head.status {
            StatusCode::OK | StatusCode::CREATED => Ok(response),
            StatusCode::GONE => Err(StoreError::HistoryGone),
            StatusCode::CONFLICT => Err(StoreError::Conflict(response.object().ok().map(Box::new))),
            other => Err(StoreError::Refused(other.as_u16())),
        }
    }
}

/// Decodes the body of a response. Invalid UTF-8 is replaced: any writer may put it into an object,
/// and it must not make the other objects unreadable.
fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    let text = String::from_utf8_lossy(body);
    serde_json::from_str(&text)
        .map_err(|fault| StoreError::NoAnswer(format!("the response does not decode: {fault}")))
}

/// Decodes events one by one, and skips those that do not decode: others follow them.
fn each_event<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<Event>, D::Error> {
    let raw = Vec::<Box<RawValue>>::deserialize(from)?;
    Ok(raw.iter().filter_map(|raw| serde_json::from_str(raw.get()).ok()).collect())
}

fn one_object<'de, D: Deserializer<'de>>(from: D) -> Result<Object, D::Error> {
    decode_object(&Box::<RawValue>::deserialize(from)?).map_err(D::Error::custom)
}
