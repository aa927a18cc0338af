//! An HTTP/1.1 client connection to a backend server or to the platform that distinguishes complete
//! responses from truncated ones.
//!
//! The codec is that of `actix-http`. This module decides what the codec leaves open: a response
//! without a length ends with its connection, an end before the last byte is an error, and a
//! connection with unsolicited bytes is not reused.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::CONTENT_LENGTH;
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};
use tokio_util::codec::{Decoder, Encoder};

use crate::forward::read_budget::{self, Budget};
use crate::peer::stream::is_reset;
use crate::peer::tunnel::Tunnel;
use crate::unit::{Span, Vm};

/// `TCP_USER_TIMEOUT`: a peer that acknowledges nothing for this long is lost. A network path that
/// recovers within a second or two must not break running requests.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(4);

/// Silence on a connection before the first TCP keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Interval between TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered TCP keepalive probes that end the connection.
const KEEPALIVE_PROBES: u32 = 3;

/// Buffer space in bytes reserved for each read.
const READ_SIZE: usize = 16 * 1024;

/// Bytes of a response that may carry no part of its body: heads, the framing of chunks, trailers.
/// Besides, they may be as many as those of the body.
const MAX_FRAMING: usize = 64 * 1024;

/// Largest status that HTTP knows. The codec takes up to 999.
const MAX_STATUS: u16 = 599;

/// Maximum number of informational heads before a response.
const MAX_INFORMATIONAL: u32 = 16;

/// Why an exchange brought no complete response.
#[derive(Debug)]
pub enum Fault {
    /// No byte of the request was sent.
    NotSent(String),
    /// The exchange broke after bytes may have been sent.
    Broken(String),
}

/// How the body of a response is framed.
enum Body {
    /// There is no body, or it was read completely.
    Complete,
    /// The body has a content length or is sent in chunks.
    Framed(ClientPayloadCodec),
    /// The body ends with the connection.
    UntilClose(ClientCodec),
}

/// The byte stream of a connection.
enum Io {
    Direct(TcpStream),
    /// Relayed by another VM.
    Tunnelled(Vm, Tunnel),
}

/// An open connection that carries one request at a time.
pub struct Connection {
    io: Io,
    /// Bytes that were received and not decoded yet.
    read: BytesMut,
    /// Present between two responses; moved into `body` while a body is read.
    codec: Option<ClientCodec>,
    body: Body,
    /// Set if the whole request was sent.
    request_sent: bool,
    /// Set if a failed write has reported a reset, which no read reports again. The end of the bytes
    /// is not the end of a response then.
    is_reset: bool,
    /// Set if the connection may be reused after the response.
    keep_alive: bool,
    method: Method,
    /// Bytes that arrived since the request was sent.
    received: usize,
    /// Bytes of bodies among them that were decoded.
    decoded: usize,
    budget: Budget,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// `NotSent` if the connection is not established within the time.
    pub async fn open(to: SocketAddr, within: Span) -> Result<Connection, Fault> {
        Connection::open_from(None, to, within).await
    }

    /// Opens a connection from the local address `source`, or from any if it is `None`.
    ///
    /// # Errors
    /// As [`Connection::open`].
    pub async fn open_from(
        source: Option<IpAddr>,
        to: SocketAddr,
        within: Span,
    ) -> Result<Connection, Fault> {
        let opened = tokio::time::timeout(within.duration(), connect(source, to)).await;
        let opened = opened
            .map_err(|_| Fault::NotSent(format!("connection not established within {within}")))?;
        let io = opened.map_err(|fault| Fault::NotSent(format!("connection failed: {fault}")))?;
        set_socket_options(&io)
            .map_err(|fault| Fault::NotSent(format!("socket option not set: {fault}")))?;
        Ok(Connection::new(Io::Direct(io)))
    }

    /// Returns a connection that the VM `helper` relays.
    pub fn tunnelled(helper: Vm, tunnel: Tunnel) -> Connection {
        Connection::new(Io::Tunnelled(helper, tunnel))
    }

    fn new(io: Io) -> Connection {
        Connection {
            io,
            read: BytesMut::new(),
            codec: Some(ClientCodec::default()),
            body: Body::Complete,
            request_sent: true,
            is_reset: false,
            keep_alive: true,
            method: Method::GET,
            received: 0,
            decoded: 0,
            budget: Budget::default(),
        }
    }

    /// Returns the connection with the budget that its responses share with others.
    pub fn with_budget(self, budget: &Budget) -> Connection {
        Connection { budget: budget.clone(), ..self }
    }

    /// Returns the budget that the responses share with others.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Returns the VM that relays the connection; `None` if it is direct.
    pub fn helper(&self) -> Option<&Vm> {
        match &self.io {
            Io::Direct(_) => None,
            Io::Tunnelled(helper, _) => Some(helper),
        }
    }

    /// Returns true if no unsolicited bytes have arrived and the peer has not closed the
    /// connection.
    fn is_idle(&mut self) -> bool {
        let mut byte = [0];
        let mut buffer = ReadBuf::new(&mut byte);
        let mut cx = Context::from_waker(Waker::noop());
        self.read.is_empty() && Pin::new(&mut self.io).poll_read(&mut cx, &mut buffer).is_pending()
    }

    /// Sends a request and reads the head of the response.
    ///
    /// If the response arrives before the whole request is sent, the rest is not sent and the
    /// connection is not reused.
    ///
    /// # Errors
    /// `NotSent` if no byte was sent, else `Broken`.
    pub async fn send(&mut self, head: RequestHead, body: &Bytes) -> Result<ResponseHead, Fault> {
        let bytes = self.encode(head, body)?;
        let written = match &mut self.io {
            Io::Direct(io) => {
                let (reader, writer) = io.split();
                write_until_response(reader, writer, &bytes, &mut self.read).await?
            }
            Io::Tunnelled(_, tunnel) => {
                let (reader, writer) = tokio::io::split(tunnel);
                write_until_response(reader, writer, &bytes, &mut self.read).await?
            }
        };
        self.request_sent = written.count == bytes.len();
        self.is_reset = written.fault.as_ref().is_some_and(is_reset);
        (self.received, self.decoded) = (self.read.len(), 0);
        self.read_head().await
    }

    /// Returns the bytes of a request, and remembers its method, which decides if the response has
    /// a body.
    fn encode(&mut self, mut head: RequestHead, body: &Bytes) -> Result<BytesMut, Fault> {
        let refused = |e: io::Error| Fault::NotSent(e.to_string());
        let codec = self.codec.as_mut();
        let codec = codec.ok_or_else(|| {
            Fault::NotSent("the previous response is still being read".to_owned())
        })?;
        self.method = head.method.clone();
        let size = match body.len() {
            0 if allows_no_length(&head.method) => BodySize::None,
            length => BodySize::Sized(length as u64),
        };
        head.set_connection_type(actix_http::ConnectionType::KeepAlive);
        let mut bytes = BytesMut::with_capacity(body.len() + 1024);
        let head = RequestHeadType::Owned(head);
        codec.encode(Message::Item((head, size)), &mut bytes).map_err(refused)?;
        bytes.extend_from_slice(body);
        Ok(bytes)
    }

    /// Reads the head of the next response, skipping a few informational ones.
    ///
    /// # Errors
    /// `Broken` if no valid head arrives; what was sent before may have run.
    pub async fn read_head(&mut self) -> Result<ResponseHead, Fault> {
        let mut informational = 0;
        loop {
            let codec = self.codec.as_mut();
            let codec = codec
                .ok_or_else(|| Fault::Broken("a response body is still being read".to_owned()))?;
            let decoded = codec.decode(&mut self.read);
            match decoded
                .map_err(|e| Fault::Broken(format!("the response is not valid HTTP: {e}")))?
            {
                Some(head) if head.status.is_informational() => {
                    informational += 1;
                    if informational > MAX_INFORMATIONAL {
                        return Err(Fault::Broken("too many informational heads".to_owned()));
                    }
                }
                Some(head) if head.status.as_u16() > MAX_STATUS => {
                    return Err(Fault::Broken(format!("{} is no HTTP status", head.status)));
                }
                Some(head) => {
                    self.set_framing(&head);
                    return Ok(head);
                }
                None => self.fill("the connection ended before a response").await?,
            }
        }
    }

    /// Sets the framing of the body and whether the connection may be reused, from a response head.
    fn set_framing(&mut self, head: &ResponseHead) {
        let Some(codec) = self.codec.take() else { return };
        self.keep_alive = codec.keep_alive() && self.request_sent;
        let has_no_body = self.method == Method::HEAD
            || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let has_length = head.headers.contains_key(CONTENT_LENGTH);
        self.body = match codec.message_type() {
            _ if has_no_body => self.without_body(codec),
            MessageType::None if !has_length => Body::UntilClose(codec),
            MessageType::None => self.without_body(codec),
            MessageType::Payload | MessageType::Stream => Body::Framed(codec.into_payload_codec()),
        };
        self.keep_alive &= !matches!(self.body, Body::UntilClose(_));
    }

    /// Puts the codec back and returns the framing of a response without a body.
    fn without_body(&mut self, codec: ClientCodec) -> Body {
        self.codec = Some(codec);
        Body::Complete
    }

    /// Reads the next bytes of the response body, or returns `None` after the last.
    ///
    /// # Errors
    /// `Broken` if the connection ended before the last byte or the framing is wrong.
    pub async fn read_chunk(&mut self) -> Result<Option<Bytes>, Fault> {
        loop {
            match &mut self.body {
                Body::Complete => return Ok(None),
                Body::Framed(codec) => {
                    let decoded = codec.decode(&mut self.read);
                    match decoded.map_err(|e| Fault::Broken(format!("the body's framing: {e}")))? {
                        Some(Some(bytes)) => {
                            self.decoded += bytes.len();
                            return Ok(Some(bytes));
                        }
                        Some(None) => {
                            self.finish_body();
                            return Ok(None);
                        }
                        None => self.fill("the connection ended within the answer").await?,
                    }
                }
                Body::UntilClose(_) if !self.read.is_empty() => {
                    self.decoded += self.read.len();
                    return Ok(Some(self.read.split().freeze()));
                }
                Body::UntilClose(_) => {
                    if self.read_more().await? == 0 {
                        if self.is_reset {
                            return Err(Fault::Broken("the connection was reset".to_owned()));
                        }
                        self.finish_body();
                        return Ok(None);
                    }
                }
            }
        }
    }

    /// Takes the codec back from a body that was read completely.
    fn finish_body(&mut self) {
        match std::mem::replace(&mut self.body, Body::Complete) {
            Body::Framed(codec) => self.codec = Some(codec.into_message_codec()),
            Body::UntilClose(codec) => self.codec = Some(codec),
            Body::Complete => {}
        }
    }

    /// Reads the complete body of at most `max_size` bytes.
    ///
    /// # Errors
    /// `Broken` if the body is truncated or too long, or all bodies that are being read take too
    /// much memory.
    pub async fn read_body(&mut self, max_size: usize) -> Result<Bytes, Fault> {
        let mut body = read_budget::Body::new(&self.budget);
        while let Some(bytes) = self.read_chunk().await? {
            if body.len() + bytes.len() > max_size {
                return Err(Fault::Broken(format!(
                    "the response body is longer than {max_size} bytes"
                )));
            }
            if !body.push(&bytes) {
                let reason = "the response bodies that are being read take too much memory";
                return Err(Fault::Broken(reason.to_owned()));
            }
        }
        Ok(body.freeze())
    }

    /// Returns the connection unless unsolicited bytes have arrived or the peer has closed it.
    pub fn into_idle(mut self) -> Option<Connection> {
        self.is_idle().then_some(self)
    }

    /// Returns the connection if another request may be sent, after the response was read.
    pub fn into_reusable(self) -> Option<Connection> {
        let is_complete =
            self.keep_alive && matches!(self.body, Body::Complete) && self.codec.is_some();
        if is_complete { self.into_idle() } else { None }
    }

    /// Closes the connection with a reset, which discards what was not delivered yet.
    pub fn abort(self) {
        // If the option cannot be set, the connection is closed in the usual way.
        if let Io::Direct(io) = &self.io {
            let _ = socket2::SockRef::from(io).set_linger(Some(Duration::ZERO));
        }
    }

    /// Reads more bytes into the buffer; `at_end` is the error if the connection has ended.
    async fn fill(&mut self, at_end: &str) -> Result<(), Fault> {
        if self.read_more().await? == 0 {
            return Err(Fault::Broken(at_end.to_owned()));
        }
        // Bytes of a head are kept in the buffer until it is complete.
        let undecoded_body = if self.codec.is_some() { 0 } else { self.read.len() };
        let framing = self.received.saturating_sub(self.decoded + undecoded_body);
        if framing > MAX_FRAMING + self.decoded {
            return Err(Fault::Broken("too many bytes that are no part of a body".to_owned()));
        }
        Ok(())
    }

    /// Reads more bytes into the buffer, and waits if the responses read too many bytes a second.
    /// Returns their number, which is 0 at the end of the connection.
    async fn read_more(&mut self) -> Result<usize, Fault> {
        self.read.reserve(READ_SIZE);
        let got = self.io.read_buf(&mut self.read).await;
        let got = got.map_err(|e| Fault::Broken(e.to_string()))?;
        let pause = self.budget.record_read(self.received, got);
        self.received += got;
        if pause > Span::default() {
            tokio::time::sleep(pause.duration()).await;
        }
        Ok(got)
    }
}

impl AsyncRead for Io {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Io::Direct(io) => Pin::new(io).poll_read(cx, buffer),
            Io::Tunnelled(_, tunnel) => Pin::new(tunnel).poll_read(cx, buffer),
        }
    }
}

/// How far a request was written.
struct Written {
    /// Number of bytes.
    count: usize,
    /// Error of the last write, if it failed.
    fault: Option<io::Error>,
}

/// Writes `bytes` until all are written, a write fails or the head of a response has arrived in
/// `read`.
///
/// # Errors
/// `NotSent` if the first write fails, `Broken` if a read fails: no complete head has arrived then.
async fn write_until_response(
    mut reader: impl AsyncRead + Unpin,
    mut writer: impl AsyncWrite + Unpin,
    bytes: &[u8],
    read: &mut BytesMut,
) -> Result<Written, Fault> {
    let mut count = 0;
    while count < bytes.len() {
        tokio::select! {
            biased;
            wrote = writer.write(&bytes[count..]) => match wrote {
                Ok(more) => count += more,
                Err(fault) if count == 0 => return Err(Fault::NotSent(fault.to_string())),
                // An early response may still be readable.
                Err(fault) => return Ok(Written { count, fault: Some(fault) }),
            },
            got = reader.read_buf(read) => match got {
                Ok(0) => break,
                Ok(_) if has_head(read) => break,
                Ok(_) if read.len() > MAX_FRAMING => {
                    return Err(Fault::Broken("the head is too long".to_owned()));
                }
                Ok(_) => {}
                Err(fault) => return Err(Fault::Broken(fault.to_string())),
            },
        }
    }
    Ok(Written { count, fault: None })
}

/// Returns true if the buffer contains the end of a head.
fn has_head(buffer: &[u8]) -> bool {
    buffer.windows(4).any(|end| end == b"\r\n\r\n")
}

/// Connects to a server from the local address `source`, or from any if it is `None`.
///
/// # Errors
/// If the address can't be bound, or the server can't be reached.
pub async fn connect(source: Option<IpAddr>, to: SocketAddr) -> io::Result<TcpStream> {
    let Some(source) = source else { return TcpStream::connect(to).await };
    let socket = match to {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(to).await
}

/// Returns true if a request of this method without a body needs no content length.
fn allows_no_length(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::DELETE | Method::OPTIONS)
}

/// Disables Nagle's algorithm and makes the kernel detect a peer that vanished silently.
fn set_socket_options(io: &TcpStream) -> io::Result<()> {
    io.set_nodelay(true)?;
    let socket = socket2::SockRef::from(io);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
