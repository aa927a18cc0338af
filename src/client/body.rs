//! Bodies of requests and responses of clients, which take memory from the budget of all clients.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use actix_http::body::{BodySize, MessageBody};
use actix_http::error::PayloadError;
use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};

use super::table::{Account, Request};

/// Size up to which a response waits for no memory.
const SMALL_RESPONSE: u64 = 8 * 1024;

/// Largest piece of a response that a connection gets at once.
const PIECE: usize = 16 * 1024;

/// Longest time that a response waits for memory until its client's connection takes it.
pub const MAX_RESPONSE_WAIT: Duration = Duration::from_secs(2);

/// Time between two attempts to get memory for a response.
const ROOM_INTERVAL: Duration = Duration::from_millis(20);

/// Why a body was not read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// It exceeds the limit of a body.
    TooLarge,
    /// It does not decode, or ends early. Holds the reason.
    Broken(String),
    /// There is too little memory for it.
    NoRoom,
}

/// Returns true if a request with these headers has a body.
pub fn has_body(headers: &HeaderMap) -> bool {
    headers.contains_key(TRANSFER_ENCODING) || announced(headers).is_some_and(|length| length > 0)
}

fn announced(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}

/// Reads the body of a request, of at most `max` bytes. One that is announced to be larger is not
/// read at all.
///
/// # Errors
/// If the body is too large, or announced to be, is invalid, or there is too little memory.
pub async fn read(
    payload: impl Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    headers: &HeaderMap,
    account: &Arc<Account>,
    max: usize,
) -> Result<Bytes, Error> {
    if !has_body(headers) {
        return Ok(Bytes::new());
    }
    account.begin_body();
    let body = read_pieces(payload, announced(headers), account, max).await?;
    account.end_body();
    Ok(body)
}

async fn read_pieces(
    mut payload: impl Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    announced: Option<u64>,
    account: &Arc<Account>,
    max: usize,
) -> Result<Bytes, Error> {
    if announced.is_some_and(|length| length > max as u64) {
        return Err(Error::TooLarge);
    }
    let most = announced.map_or(max, |length| length as usize);
    let mut body = Body { bytes: BytesMut::new(), account: account.clone() };
    while let Some(piece) = next(&mut payload, account).await? {
        if body.bytes.len() + piece.len() > max {
            return Err(Error::TooLarge);
        }
        if !body.push(&piece, most) {
            return Err(Error::NoRoom);
        }
    }
    Ok(if body.bytes.is_empty() { Bytes::new() } else { Bytes::from_owner(body) })
}

/// Returns the next piece of a body, or `NoRoom` once its client was closed to make room.
async fn next(
    payload: &mut (impl Stream<Item = Result<Bytes, PayloadError>> + Unpin),
    account: &Account,
) -> Result<Option<Bytes>, Error> {
    std::future::poll_fn(|cx| {
        if account.is_evicted() {
            return Poll::Ready(Err(Error::NoRoom));
        }
        let piece = payload.poll_next_unpin(cx);
        piece.map(|piece| piece.transpose().map_err(|error| Error::Broken(error.to_string())))
    })
    .await
}

/// Body that is being read, with the memory that it takes.
struct Body {
    bytes: BytesMut,
    account: Arc<Account>,
}

impl Body {
    /// Appends bytes of a body that has `most` bytes at most. Returns false if there is too little
    /// memory.
    fn push(&mut self, bytes: &[u8], most: usize) -> bool {
        let needed = self.bytes.len() + bytes.len();
        let before = self.bytes.capacity();
        if needed > before {
            let capacity = needed.next_power_of_two().min(most.max(needed));
            if !self.account.try_add_body(capacity - before) {
                return false;
            }
            self.bytes.reserve(capacity - self.bytes.len());
            let exact = self.bytes.capacity();
            // An allocator may give more than was asked for.
            if exact > capacity && !self.account.try_add_body(exact - capacity) {
                self.account.remove_body(capacity);
                self.bytes = BytesMut::new();
                return false;
            }
        }
        self.bytes.extend_from_slice(bytes);
        true
    }
}

impl AsRef<[u8]> for Body {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.account.remove_body(self.bytes.capacity());
    }
}

/// Waits until the connection has written its earlier responses.
pub async fn earlier_responses(account: &Account) {
    std::future::poll_fn(|_| match account.has_output() {
        // The task is woken when they are written.
        true => Poll::Pending,
        false => Poll::Ready(()),
    })
    .await;
}

/// Takes memory for a response, and waits for it up to `longest` if there is too little.
pub async fn reserve_response(account: &Account, size: BodySize, longest: Duration) {
    let BodySize::Sized(bytes) = size else { return account.add_output() };
    if bytes <= SMALL_RESPONSE {
        return account.add_output();
    }
    let room = async {
        while !account.try_add_output(bytes as usize) && !account.is_evicted() {
            tokio::time::sleep(ROOM_INTERVAL).await;
        }
    };
    if tokio::time::timeout(longest, room).await.is_err() {
        account.add_output();
    }
}

/// Body of a response, whose request ends with it. It comes in pieces, so that a connection buffers
/// little of it.
pub struct Response<B> {
    body: B,
    /// What the body gave and is still to be sent.
    rest: Bytes,
    _request: Request,
}

impl<B> Response<B> {
    /// Returns the body of the response to a request.
    pub fn new(body: B, request: Request) -> Response<B> {
        Response { body, rest: Bytes::new(), _request: request }
    }
}

impl<B: MessageBody + Unpin> MessageBody for Response<B> {
    type Error = B::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        if self.rest.is_empty() {
            match ready!(Pin::new(&mut self.body).poll_next(cx)) {
                Some(Ok(bytes)) => self.rest = bytes,
                end => return Poll::Ready(end),
            }
        }
        let size = self.rest.len().min(PIECE);
        Poll::Ready(Some(Ok(self.rest.split_to(size))))
    }
}
