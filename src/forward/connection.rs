//! One HTTP/1.1 connection to a backend server or to the platform, which tells a whole answer
//! from a broken one.
//!
//! The codec is `actix-http`'s. What the codec leaves to its user is decided here: an answer
//! without a length ends with its connection, an end before the last byte is a fault, and bytes
//! that nobody asked for end the use of the connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder};

use crate::unit::Span;

/// A peer that acknowledges nothing for this long is lost; a path that heals within a second or
/// two must not break what runs.
const UNACKNOWLEDGED: Duration = Duration::from_secs(4);

/// Silence after which the peer's kernel is asked whether it is there, time between two such
/// questions, and questions without an answer that end the connection.
const ASK_AFTER: Duration = Duration::from_secs(2);
const ASK_EVERY: Duration = Duration::from_secs(1);
const ASK_TIMES: u32 = 3;

/// Bytes read at once.
const READ: usize = 16 * 1024;

/// Why an exchange gave no whole answer.
#[derive(Debug)]
pub enum Fault {
    /// No byte of the request left.
    NotSent(String),
    /// It broke after a byte may have left.
    Broken(String),
}

/// How the body of an answer is framed.
enum Body {
    /// There is none, or it was read to its end.
    Ended,
    /// By a length or in chunks.
    Framed(ClientPayloadCodec),
    /// Until the connection ends.
    ToEnd(ClientCodec),
}

/// An open connection. One request at a time.
pub struct Connection {
    io: TcpStream,
    read: BytesMut,
    /// Between two answers; `body` has it while a body is read.
    codec: Option<ClientCodec>,
    body: Body,
    whole_request: bool,
    keeps: bool,
    method: Method,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// `NotSent` if it does not open within the time.
    pub async fn open(to: SocketAddr, within: Span) -> Result<Connection, Fault> {
        let opened = tokio::time::timeout(within.duration(), TcpStream::connect(to)).await;
        let opened =
            opened.map_err(|_| Fault::NotSent(format!("no connection within {within}")))?;
        let io = opened.map_err(|fault| Fault::NotSent(format!("no connection: {fault}")))?;
        tune(&io).map_err(|fault| Fault::NotSent(format!("a socket's option: {fault}")))?;
        Ok(Connection {
            io,
            read: BytesMut::new(),
            codec: Some(ClientCodec::default()),
            body: Body::Ended,
            whole_request: true,
            keeps: true,
            method: Method::GET,
        })
    }

    /// Whether nothing has arrived that nobody asked for, and the peer has not closed.
    pub fn is_idle(&self) -> bool {
        let nothing = self.io.try_read(&mut [0u8; 1]);
        self.read.is_empty() && matches!(nothing, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the head of its answer.
    ///
    /// The answer may come before the whole request is sent; then the rest is not sent and the
    /// connection is not used again.
    ///
    /// # Errors
    /// `NotSent` if no byte left, else `Broken`.
    pub async fn send(&mut self, head: RequestHead, body: &Bytes) -> Result<ResponseHead, Fault> {
        let bytes = self.encode(head, body)?;
        let mut sent = 0;
        while sent < bytes.len() {
            let (mut reader, mut writer) = self.io.split();
            tokio::select! {
                biased;
                wrote = writer.write(&bytes[sent..]) => match wrote {
                    Ok(count) => sent += count,
                    Err(fault) if sent == 0 => return Err(Fault::NotSent(fault.to_string())),
                    // An early answer may still lie there to be read.
                    Err(_) => break,
                },
                got = reader.read_buf(&mut self.read) => match got {
                    Ok(0) => break,
                    Ok(_) => if self.head_is_there() { break },
                    Err(_) => break,
                },
            }
        }
        self.whole_request = sent == bytes.len();
        self.read_head().await
    }

    fn encode(&mut self, mut head: RequestHead, body: &Bytes) -> Result<BytesMut, Fault> {
        let refused = |e: io::Error| Fault::NotSent(e.to_string());
        let codec = self.codec.as_mut();
        let codec = codec.ok_or_else(|| Fault::NotSent("an answer is still read".to_owned()))?;
        self.method = head.method.clone();
        let size = match body.len() {
            0 if bodiless(&head.method) => BodySize::None,
            length => BodySize::Sized(length as u64),
        };
        head.set_connection_type(actix_http::ConnectionType::KeepAlive);
        let mut bytes = BytesMut::with_capacity(body.len() + 1024);
        let head = RequestHeadType::Owned(head);
        codec.encode(Message::Item((head, size)), &mut bytes).map_err(refused)?;
        bytes.extend_from_slice(body);
        Ok(bytes)
    }

    fn head_is_there(&self) -> bool {
        self.read.windows(4).any(|end| end == b"\r\n\r\n")
    }

    /// Reads the head of the next answer; interim answers are passed over.
    ///
    /// # Errors
    /// `Broken`, whatever was sent before may have run.
    pub async fn read_head(&mut self) -> Result<ResponseHead, Fault> {
        loop {
            let codec = self.codec.as_mut();
            let codec = codec.ok_or_else(|| Fault::Broken("a body is still read".to_owned()))?;
            let decoded = codec.decode(&mut self.read);
            match decoded.map_err(|e| Fault::Broken(format!("no answer in HTTP: {e}")))? {
                Some(head) if head.status.is_informational() => continue,
                Some(head) => {
                    self.frame(&head);
                    return Ok(head);
                }
                None => self.fill("the connection ended before an answer").await?,
            }
        }
    }

    fn frame(&mut self, head: &ResponseHead) {
        let Some(codec) = self.codec.take() else { return };
        self.keeps = codec.keep_alive() && self.whole_request;
        let empty = self.method == Method::HEAD
            || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let lengthless = !head.headers.contains_key(CONTENT_LENGTH)
            && !head.headers.contains_key(TRANSFER_ENCODING);
        self.body = match codec.message_type() {
            _ if empty => self.ended(codec),
            MessageType::None if lengthless => Body::ToEnd(codec),
            MessageType::None => self.ended(codec),
            MessageType::Payload | MessageType::Stream => Body::Framed(codec.into_payload_codec()),
        };
        self.keeps &= !matches!(self.body, Body::ToEnd(_));
    }

    fn ended(&mut self, codec: ClientCodec) -> Body {
        self.codec = Some(codec);
        Body::Ended
    }

    /// The next bytes of the answer's body; nothing after its last.
    ///
    /// # Errors
    /// `Broken` if the connection ended before the last byte or the framing is wrong.
    pub async fn read_chunk(&mut self) -> Result<Option<Bytes>, Fault> {
        loop {
            match &mut self.body {
                Body::Ended => return Ok(None),
                Body::Framed(codec) => {
                    let decoded = codec.decode(&mut self.read);
                    match decoded.map_err(|e| Fault::Broken(format!("the body's framing: {e}")))? {
                        Some(Some(bytes)) => return Ok(Some(bytes)),
                        Some(None) => {
                            self.end_of_body();
                            return Ok(None);
                        }
                        None => self.fill("the connection ended within the answer").await?,
                    }
                }
                Body::ToEnd(_) if !self.read.is_empty() => {
                    return Ok(Some(self.read.split().freeze()));
                }
                Body::ToEnd(_) => {
                    let got = self.io.read_buf(&mut self.read).await;
                    if got.map_err(|e| Fault::Broken(e.to_string()))? == 0 {
                        self.end_of_body();
                        return Ok(None);
                    }
                }
            }
        }
    }

    fn end_of_body(&mut self) {
        match std::mem::replace(&mut self.body, Body::Ended) {
            Body::Framed(codec) => self.codec = Some(codec.into_message_codec()),
            Body::ToEnd(codec) => self.codec = Some(codec),
            Body::Ended => {}
        }
    }

    /// The whole body, if it is no longer than `most`.
    ///
    /// # Errors
    /// `Broken` if it is not whole, or too long.
    pub async fn read_body(&mut self, most: usize) -> Result<Bytes, Fault> {
        let mut whole = BytesMut::new();
        while let Some(bytes) = self.read_chunk().await? {
            if whole.len() + bytes.len() > most {
                return Err(Fault::Broken(format!("the answer is longer than {most} bytes")));
            }
            whole.extend_from_slice(&bytes);
        }
        Ok(whole.freeze())
    }

    /// Whether another request may be sent, now that the answer was read.
    pub fn is_reusable(&self) -> bool {
        self.keeps && matches!(self.body, Body::Ended) && self.codec.is_some() && self.is_idle()
    }

    async fn fill(&mut self, at_end: &str) -> Result<(), Fault> {
        self.read.reserve(READ);
        let got = self.io.read_buf(&mut self.read).await;
        match got.map_err(|e| Fault::Broken(e.to_string()))? {
            0 => Err(Fault::Broken(at_end.to_owned())),
            _ => Ok(()),
        }
    }
}

/// Whether a request of this method without a body needs no length.
fn bodiless(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::DELETE | Method::OPTIONS)
}

/// Small writes leave at once, and a peer that is gone without a word is noticed.
fn tune(io: &TcpStream) -> io::Result<()> {
    io.set_nodelay(true)?;
    let socket = socket2::SockRef::from(io);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let ask = socket2::TcpKeepalive::new()
        .with_time(ASK_AFTER)
        .with_interval(ASK_EVERY)
        .with_retries(ASK_TIMES);
    socket.set_tcp_keepalive(&ask)
}
