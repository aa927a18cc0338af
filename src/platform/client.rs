//! Client of the platform's object store.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::header::{CONTENT_TYPE, HOST, HeaderValue};
use actix_http::{Method, RequestHead, StatusCode};
use bytes::Bytes;
use serde::de::{DeserializeOwned, Error as _};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use serde_json::{Value, json};

use super::object::{Metadata, Object};
use crate::forward::connection::{Connection, Fault};
use crate::forward::era::Tracker;
use crate::unit::{Era, Position, Span};

/// Time to open a connection to the store. It is some milliseconds away, and a way that heals is
/// noticed the sooner.
const OPEN_WITHIN: Span = Span::millis(400);

/// Time for an answer; the store usually takes some milliseconds.
pub const RESPONSE_TIMEOUT: Span = Span::millis(1200);

/// Time for an answer where there must be time to ask anew, over another connection, if this one hangs.
pub const SHORT_RESPONSE_TIMEOUT: Span = Span::millis(800);

/// Largest answer: a list of about 1 MB, with room for its framing.
const LARGEST: usize = 4 * 1024 * 1024;

/// What is added to a path to read what may be some seconds old.
const STALE: &str = "stale_ok=1";

/// Names the store's era on each of its answers.
const ERA: &str = "Store-Era";

/// How new an answer must be.
#[derive(Clone, Copy, PartialEq)]
pub enum Consistency {
    /// As new as any acknowledged write.
    Strong,
    /// Some seconds old at most; it costs a tenth.
    Stale,
}

impl Consistency {
    fn query(self) -> Option<&'static str> {
        match self {
            Consistency::Strong => None,
            Consistency::Stale => Some(STALE),
        }
    }
}

/// Why a call gave nothing.
#[derive(Debug)]
pub enum StoreError {
    /// The history that a watch asked for is gone; list again.
    HistoryGone,
    /// The object was changed meanwhile; this is how it stands, if the store said so.
    Conflict(Option<Box<Object>>),
    /// The store refused, and did nothing.
    Refused(u16),
    /// The answer is of an era of the store that is older than the newest, or not yet believed.
    StaleEra,
    /// No answer; a write may have been done, or may be done later.
    NoAnswer(String),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::HistoryGone => f.write_str("the history is gone"),
            StoreError::Conflict(_) => f.write_str("the object was changed meanwhile"),
            StoreError::Refused(status) => write!(f, "it answered {status}"),
            StoreError::StaleEra => f.write_str("the answer is not of the newest era of the store"),
            StoreError::NoAnswer(why) => write!(f, "no answer: {why}"),
        }
    }
}

/// All objects of a kind at one revision of the store.
#[derive(Debug, Deserialize)]
pub struct Listing {
    /// The objects.
    #[serde(deserialize_with = "each_object")]
    pub items: Vec<Object>,
    /// Whether there are more after the last.
    #[serde(default)]
    pub has_more: bool,
    store_revision: u64,
    #[serde(skip)]
    era: Era,
}

impl Listing {
    /// Returns the store's position at which these were all objects.
    pub fn position(&self) -> Position {
        Position::new(self.era, self.store_revision)
    }
}

/// A change of an object.
#[derive(Debug, Deserialize)]
pub struct Event {
    /// The object as it stands, or stood.
    #[serde(deserialize_with = "one_object")]
    pub object: Object,
    /// Whether it is gone.
    #[serde(default)]
    pub deleted: bool,
}

/// What a watch brought.
#[derive(Debug, Deserialize)]
pub struct Events {
    /// The changes in order; none if the wait ended before one.
    #[serde(default)]
    pub events: Vec<Event>,
    store_revision: u64,
    #[serde(skip)]
    era: Era,
}

impl Events {
    /// Returns the position to go on from. If its era is not that of the question, changes are missing.
    pub fn position(&self) -> Position {
        Position::new(self.era, self.store_revision)
    }
}

/// An answer that took effect.
struct Answer {
    era: Era,
    body: Bytes,
}

impl Answer {
    fn listing(&self) -> Result<Listing, StoreError> {
        let mut listing: Listing = read(&self.body)?;
        listing.era = self.era;
        listing.items.iter_mut().for_each(|object| object.metadata.position.era = self.era);
        Ok(listing)
    }

    fn events(&self) -> Result<Events, StoreError> {
        let mut events: Events = read(&self.body)?;
        events.era = self.era;
        let objects = events.events.iter_mut().map(|event| &mut event.object);
        objects.for_each(|object| object.metadata.position.era = self.era);
        Ok(events)
    }

    fn object(&self) -> Result<Object, StoreError> {
        let mut object: Object = read(&self.body)?;
        object.metadata.position.era = self.era;
        Ok(object)
    }
}

/// A client with one connection; one call at a time.
pub struct Client {
    address: SocketAddr,
    eras: Rc<Tracker>,
    connection: Option<Connection>,
}

impl Client {
    /// A client of the store at `address`, whose answers tell `eras` their era; it connects at the
    /// first call.
    pub fn new(address: SocketAddr, eras: Rc<Tracker>) -> Client {
        Client { address, eras, connection: None }
    }

    /// Forgets the connection, which may lead nowhere.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// All objects of a kind, page after page.
    ///
    /// # Errors
    /// If the store refuses or does not answer.
    pub async fn list(&mut self, kind: &str, read_as: Consistency) -> Result<Listing, StoreError> {
        let mut whole: Option<Listing> = None;
        loop {
            let after = whole.as_ref().and_then(|list| list.items.last());
            let since = after.map(|last| format!("since_revision={}", last.metadata.name));
            let query: Vec<&str> = since.as_deref().into_iter().chain(read_as.query()).collect();
            let path = match query.is_empty() {
                true => format!("/v1/objects/{kind}"),
                false => format!("/v1/objects/{kind}?{}", query.join("&")),
            };
            let page = self.call(Method::GET, &path, None, RESPONSE_TIMEOUT).await?.listing()?;
            if whole.as_ref().is_some_and(|whole| whole.era != page.era) {
                return Err(StoreError::NoAnswer(
                    "restored between two pages of a list".to_owned(),
                ));
            }
            let more = page.has_more && !page.items.is_empty();
            match &mut whole {
                // Changes between two pages are told by a watch from the first page's revision.
                Some(list) => list.items.extend(page.items),
                None => whole = Some(page),
            }
            if !more {
                return whole.ok_or_else(|| StoreError::NoAnswer("an empty list".to_owned()));
            }
        }
    }

    /// Changes of a kind after a position, as soon as there is one, or none after `wait`.
    ///
    /// # Errors
    /// `HistoryGone` if the changes are no longer known; else if the store refuses or does not
    /// answer.
    pub async fn watch(
        &mut self,
        kind: &str,
        from: Position,
        wait: Span,
    ) -> Result<Events, StoreError> {
        self.events(kind, from, wait, Span(wait.0 + RESPONSE_TIMEOUT.0)).await
    }

    /// Changes of a kind after a position, as far as there are any now; the answer must come `within`.
    ///
    /// # Errors
    /// As [`Objects::watch`].
    pub async fn changes(
        &mut self,
        kind: &str,
        from: Position,
        within: Span,
    ) -> Result<Events, StoreError> {
        self.events(kind, from, Span(0), within).await
    }

    async fn events(
        &mut self,
        kind: &str,
        from: Position,
        wait: Span,
        within: Span,
    ) -> Result<Events, StoreError> {
        let (from_revision, wait_ms) = (from.revision, wait.0 / 1000);
        let path = format!("/v1/objects/{kind}?watch={from_revision}&wait_ms={wait_ms}");
        let events = self.call(Method::GET, &path, None, within).await?.events()?;
        match events.era == from.era {
            true => Ok(events),
            false => Err(StoreError::HistoryGone),
        }
    }

    /// One object, if there is one.
    ///
    /// # Errors
    /// If the store refuses or does not answer.
    pub async fn get(
        &mut self,
        kind: &str,
        name: &str,
        read_as: Consistency,
    ) -> Result<Option<Object>, StoreError> {
        let query = read_as.query().map(|query| format!("?{query}")).unwrap_or_default();
        let path = format!("/v1/objects/{kind}/{name}{query}");
        match self.call(Method::GET, &path, None, RESPONSE_TIMEOUT).await {
            Ok(answer) => Ok(Some(answer.object()?)),
            Err(StoreError::Refused(status)) if status == StatusCode::NOT_FOUND.as_u16() => {
                Ok(None)
            }
            Err(trouble) => Err(trouble),
        }
    }

    /// Makes an object that must not exist yet.
    ///
    /// # Errors
    /// `Conflict` if it does; `NoAnswer` if it is not known whether it was made.
    pub async fn create(
        &mut self,
        kind: &str,
        name: &str,
        spec: Value,
    ) -> Result<Object, StoreError> {
        let path = format!("/v1/objects/{kind}");
        let body = json!({"metadata": {"name": name}, "spec": spec}).to_string();
        self.call(Method::POST, &path, Some(body.into()), RESPONSE_TIMEOUT).await?.object()
    }

    /// Writes an object that must still be at `position`.
    ///
    /// # Errors
    /// `Conflict` if it is not; `NoAnswer` if it is not known whether it was written.
    pub async fn replace(
        &mut self,
        kind: &str,
        name: &str,
        position: Position,
        spec: Value,
    ) -> Result<Object, StoreError> {
        let path = format!("/v1/objects/{kind}/{name}");
        let metadata = json!({"name": name, "revision": position.revision});
        let body = json!({"metadata": metadata, "spec": spec});
        self.put(&path, position, &body).await
    }

    /// Removes an object; one that is not there is as good as removed.
    ///
    /// # Errors
    /// If the store refuses or does not answer.
    pub async fn delete(&mut self, kind: &str, name: &str) -> Result<(), StoreError> {
        let path = format!("/v1/objects/{kind}/{name}");
        match self.call(Method::DELETE, &path, None, RESPONSE_TIMEOUT).await {
            Ok(_) => Ok(()),
            Err(StoreError::Refused(status)) if status == StatusCode::NOT_FOUND.as_u16() => Ok(()),
            Err(trouble) => Err(trouble),
        }
    }

    /// Writes the status of an object that must still be at `position`.
    ///
    /// # Errors
    /// `Conflict` if it is not; `NoAnswer` if it is not known whether it was written.
    pub async fn put_status(
        &mut self,
        kind: &str,
        name: &str,
        position: Position,
        status: Value,
    ) -> Result<Object, StoreError> {
        let path = format!("/v1/objects/{kind}/{name}/status");
        let metadata = json!({"name": name, "revision": position.revision});
        let body = json!({"metadata": metadata, "status": status});
        self.put(&path, position, &body).await
    }

    /// Writes what must still be at `position`. Its revision may name another state in another era, so
    /// the write is not sent then, and its outcome is not known if the era began meanwhile.
    async fn put(
        &mut self,
        path: &str,
        position: Position,
        body: &Value,
    ) -> Result<Object, StoreError> {
        if position.era != self.eras.newest() {
            return Err(StoreError::Conflict(None));
        }
        let body = Bytes::from(body.to_string());
        let answer = self.call(Method::PUT, path, Some(body), RESPONSE_TIMEOUT).await?;
        match answer.era == position.era {
            true => answer.object(),
            false => Err(StoreError::NoAnswer("the store was restored meanwhile".to_owned())),
        }
    }

    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Option<Bytes>,
        within: Span,
    ) -> Result<Answer, StoreError> {
        let exchange = self.exchange(method, path, body.unwrap_or_default());
        let answered = tokio::time::timeout(within.duration(), exchange).await;
        let answered = answered
            .unwrap_or_else(|_| Err(StoreError::NoAnswer(format!("nothing within {within}"))));
        // After a call without an answer the connection says nothing more.
        if matches!(answered, Err(StoreError::NoAnswer(_))) {
            self.connection = None;
        }
        answered
    }

    async fn exchange(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, StoreError> {
        let no_answer = |fault: Fault| match fault {
            Fault::NotSent(why) | Fault::Broken(why) => StoreError::NoAnswer(why),
        };
        let held = self.connection.take().filter(Connection::is_idle);
        let mut connection = match held {
            Some(connection) => connection,
            None => Connection::open(self.address, OPEN_WITHIN).await.map_err(no_answer)?,
        };
        let head = self.head(method, path)?;
        let head = connection.send(head, &body).await.map_err(no_answer)?;
        let era = head.headers.get(ERA).map(|value| value.to_str().unwrap_or_default());
        let era = self.eras.observe(era);
        let body = connection.read_body(LARGEST).await.map_err(no_answer)?;
        if connection.is_reusable() {
            self.connection = Some(connection);
        }
        let answer = Answer { era: era.ok_or(StoreError::StaleEra)?, body };
        match head.status {
            StatusCode::OK | StatusCode::CREATED => Ok(answer),
            StatusCode::GONE => Err(StoreError::HistoryGone),
            StatusCode::CONFLICT => Err(StoreError::Conflict(answer.object().ok().map(Box::new))),
            other => Err(StoreError::Refused(other.as_u16())),
        }
    }

    fn head(&self, method: Method, path: &str) -> Result<RequestHead, StoreError> {
        let mut head = RequestHead::default();
        let malformed = |what: String| StoreError::NoAnswer(format!("a malformed call: {what}"));
        head.method = method;
        head.uri = path.parse().map_err(|fault| malformed(format!("{fault}")))?;
        let host = HeaderValue::from_str(&self.address.to_string());
        head.headers.insert(HOST, host.map_err(|fault| malformed(format!("{fault}")))?);
        head.headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        Ok(head)
    }
}

/// Reads an answer; bytes in it that are no text, which anybody may write into an object, spoil no other object.
fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    let text = String::from_utf8_lossy(body);
    serde_json::from_str(&text)
        .map_err(|fault| StoreError::NoAnswer(format!("unreadable: {fault}")))
}

/// An object whose contents nobody could read.
#[derive(Deserialize)]
struct Named {
    metadata: Metadata,
}

/// Reads one object. One whose contents do not read is as good as empty, so that its kind's own check finds it.
fn object(raw: &RawValue) -> Result<Object, serde_json::Error> {
    serde_json::from_str(raw.get()).or_else(|_| {
        let Named { metadata } = serde_json::from_str(raw.get())?;
        Ok(Object { metadata, spec: Value::Null, status: Value::Null })
    })
}

fn one_object<'de, D: Deserializer<'de>>(from: D) -> Result<Object, D::Error> {
    object(&Box::<RawValue>::deserialize(from)?).map_err(D::Error::custom)
}

/// Reads objects one by one. The store itself names them, so one without a name is left out.
fn each_object<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<Object>, D::Error> {
    let raw = Vec::<Box<RawValue>>::deserialize(from)?;
    Ok(raw.iter().filter_map(|raw| object(raw).ok()).collect())
}
