//! The byte stream of a client's connection, which is read and written within the budget of all
//! clients.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use super::table::{Account, Input, Table};

/// Bytes of a body that are read before the task lets others run and handles what was read.
const BODY_QUANTUM: usize = 8 * 1024;

/// Bytes of heads that are read before what was read is handled: all requests in them are decoded
/// at once.
const HEAD_QUANTUM: usize = 2 * 1024;

/// Time that a client has to read why its request was refused before the end of its body.
pub const REFUSAL_LINGER: Duration = Duration::from_secs(1);

/// Connection of a client.
pub struct Stream {
    io: TcpStream,
    account: Arc<Account>,
    /// Bytes that were read since the task last let others run.
    read: usize,
    /// True if bytes were written since the last flush.
    has_written: bool,
    /// True if the socket took less than there was.
    is_blocked: bool,
    /// Runs once a request was refused before its end.
    linger: Option<Pin<Box<Sleep>>>,
}

/// Sets the buffers of the connections that a listener accepts from now on. A kernel that refuses
/// keeps its own sizes.
pub fn limit_socket_buffers<'a>(listener: impl Into<SockRef<'a>>, table: &Table) {
    let listener = listener.into();
    let size = table.socket_buffer();
    let _ = listener.set_recv_buffer_size(size);
    let _ = listener.set_send_buffer_size(size);
}

impl Stream {
    /// Adds a connection to the clients of a VM. Returns `None` if there is no room for it.
    pub fn new(io: TcpStream, table: &Table) -> Option<Stream> {
        let account = table.connect()?;
        Some(Stream { io, account, read: 0, has_written: false, is_blocked: false, linger: None })
    }

    /// Returns the account of the connection.
    pub fn account(&self) -> Arc<Account> {
        self.account.clone()
    }

    /// Looks for the end of the connection without reading what comes before it.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut byte = [0];
        match self.io.poll_peek(cx, &mut ReadBuf::new(&mut byte)) {
            Poll::Ready(Ok(0)) => Poll::Ready(Ok(())),
            Poll::Ready(Ok(_)) => {
                self.account.on_unread();
                Poll::Pending
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => Poll::Pending,
        }
    }

    /// Ends the connection when the client does, or after the time that it has to read why its
    /// request was refused.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Poll::Ready(end) = self.poll_end(cx) {
            return Poll::Ready(end);
        }
        let linger = self.linger.get_or_insert_with(|| Box::pin(sleep(REFUSAL_LINGER)));
        linger.as_mut().poll(cx).map(Ok)
    }

    /// Discards what the client has not taken, as it would stay in the socket's buffer otherwise.
    fn abort(&self) -> io::Error {
        let _ = SockRef::from(&self.io).set_linger(Some(Duration::ZERO));
        io::ErrorKind::ConnectionAborted.into()
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let quantum = match self.account.input(cx) {
            Input::Head => HEAD_QUANTUM,
            Input::Body => BODY_QUANTUM,
            Input::Paused => return self.poll_end(cx),
            Input::Refused => return self.poll_linger(cx),
            Input::Closed => return Poll::Ready(Err(self.abort())),
        };
        if self.read >= quantum {
            self.read = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let space = buffer.initialize_unfilled_to(buffer.remaining().min(quantum - self.read));
        let mut part = ReadBuf::new(space);
        let read = Pin::new(&mut self.io).poll_read(cx, &mut part);
        let bytes = part.filled().len();
        buffer.advance(bytes);
        match read {
            Poll::Ready(Ok(())) if bytes > 0 => {
                self.read += bytes;
                if !self.account.on_read(bytes) {
                    return Poll::Ready(Err(self.abort()));
                }
            }
            Poll::Ready(_) => {}
            Poll::Pending => self.read = 0,
        }
        read
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(cx, bytes);
        self.has_written = true;
        let is_open = match &written {
            Poll::Ready(Ok(count)) if *count == bytes.len() && !self.is_blocked => true,
            Poll::Ready(Ok(count)) => self.account.on_written(bytes.len() - count),
            Poll::Pending => {
                self.is_blocked = true;
                self.account.on_write_blocked(bytes.len())
            }
            Poll::Ready(Err(_)) => true,
        };
        if is_open { written } else { Poll::Ready(Err(self.abort())) }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if std::mem::take(&mut self.has_written) {
            self.is_blocked = false;
            self.account.on_flushed();
        }
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.account.on_disconnected();
    }
}
