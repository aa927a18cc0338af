//! Tunnels: byte streams to another VM, which relays them to a backend server that this VM can't
//! reach itself.
//!
//! A tunnel starts with [`MARK`], followed by the length of the encoded [`Destination`] and the
//! destination itself. The other VM sends an [`Answer`]; after [`Answer::Connected`] the tunnel
//! carries the bytes of the connection. Each end closes it by dropping its stream.

use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Duration;

use quinn::RecvStream;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};

use super::stream::{Sender, is_reset};
use super::wire::{decode, encode};
use crate::unit::{Server, Service, Vm};

/// First byte of a tunnel. Calls start with the length of the sender's name, which is never empty.
pub const MARK: u8 = 0;

/// Maximum size of an encoded destination in bytes.
const MAX_DESTINATION_SIZE: u16 = 1024;

/// Largest part of a request that is relayed at once, in bytes.
const MAX_CHUNK_SIZE: usize = 64 * 1024;

/// Time for the other VM to read what the server sent before its connection was reset.
const RESET_DELAY: Duration = Duration::from_millis(250);

/// The incarnation of a server that a tunnel leads to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Destination {
    /// The VM that opens the tunnel.
    pub from: Vm,
    /// Id of the server.
    pub server: Server,
    /// Start of the incarnation, in milliseconds since 1970 by the server's own clock.
    pub started_at_ms: Option<u64>,
    /// Address on which the server listens.
    pub address: SocketAddr,
}

/// First answer of the VM that was asked to relay a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The server accepted a connection.
    Connected,
    /// The server refused a connection: its process is gone.
    Refused,
    /// The server did not accept a connection in time.
    Unreachable,
    /// The VM does not relay to this server now.
    Declined,
}

/// What other VMs send about tunnels.
pub enum Event {
    /// A VM that can't reach servers asks which ones this one can relay to.
    Request {
        /// The VM that asks.
        from: Vm,
        /// Where to send the answer.
        address: SocketAddr,
        /// The services that it forwards requests to.
        services: Vec<Service>,
    },
    /// A VM offers to relay to the servers of these services; none withdraws its offer.
    Offer {
        /// The VM that offers.
        from: Vm,
        /// The services whose servers it reaches.
        services: Vec<Service>,
        /// Number of tunnels that it relays already.
        open: u32,
    },
    /// A VM opened a tunnel.
    Opened(Tunnel),
}

/// One end of a tunnel.
pub struct Tunnel {
    send: Sender,
    receive: RecvStream,
}

impl Tunnel {
    /// Returns the end of a tunnel with these streams.
    pub fn new(send: Sender, receive: RecvStream) -> Tunnel {
        Tunnel { send, receive }
    }

    /// Sends the destination and waits for the answer.
    ///
    /// # Errors
    /// If the stream breaks, or the answer can't be decoded.
    pub async fn request(&mut self, destination: &Destination) -> io::Result<Answer> {
        let encoded = encode(destination);
        let size = encoded.len() as u16;
        let bytes = [&[MARK][..], &size.to_be_bytes(), &encoded].concat();
        self.send.write_all(&bytes).await?;
        let mut answer = [0];
        self.read_exact(&mut answer).await?;
        decode(&answer).ok_or_else(|| io::ErrorKind::InvalidData.into())
    }

    /// Reads the destination, after the mark.
    ///
    /// # Errors
    /// If the stream breaks, or the destination is too long or can't be decoded.
    pub async fn read_destination(&mut self) -> io::Result<Destination> {
        let size = self.read_u16().await?;
        if size > MAX_DESTINATION_SIZE {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut bytes = vec![0; usize::from(size)];
        self.read_exact(&mut bytes).await?;
        decode(&bytes).ok_or_else(|| io::ErrorKind::InvalidData.into())
    }

    /// Sends the answer to the destination, which ends the tunnel unless it is
    /// [`Answer::Connected`].
    ///
    /// # Errors
    /// If the stream breaks.
    pub async fn answer(&mut self, answer: Answer) -> io::Result<()> {
        self.send.write_all(&encode(&answer)).await?;
        if answer != Answer::Connected {
            self.send.finish();
        }
        Ok(())
    }

    /// Relays between the tunnel and a connection until either is closed. Closes the connection as
    /// soon as the other VM closes the tunnel, and resets the tunnel if the connection breaks.
    /// Returns the number of bytes from the server.
    pub async fn relay<R, W>(self, mut from_server: R, to_server: W) -> u64
    where
        R: AsyncRead + Unpin,
        W: AsyncWrite + Unpin,
    {
        let Tunnel { mut send, mut receive } = self;
        let (copied, is_reset) = {
            let mut responses = pin!(tokio::io::copy(&mut from_server, &mut send));
            tokio::select! {
                fault = relay_requests(&mut receive, to_server) => match fault {
                    // What the server sent before is still to be read.
                    Some(fault) => (responses.await, is_reset(&fault)),
                    None => return 0,
                },
                copied = &mut responses => (copied, false),
            }
        };
        let Ok(count) = copied else { return 0 };
        if is_reset {
            // A response with a length is complete all the same: the other VM reads it first.
            drop(receive.stop(0u32.into()));
            drop(tokio::time::timeout(RESET_DELAY, send.received()).await);
            return count;
        }
        // The other end reads what is under way, then the end of the stream.
        send.finish();
        send.received().await;
        count
    }
}

/// Writes the bytes of a tunnel to a server until the other VM closes the tunnel or a write fails.
/// Returns the error of that write.
async fn relay_requests(
    receive: &mut RecvStream,
    mut to_server: impl AsyncWrite + Unpin,
) -> Option<io::Error> {
    while let Ok(Some(chunk)) = receive.read_chunk(MAX_CHUNK_SIZE, true).await {
        if let Err(fault) = to_server.write_all(&chunk.bytes).await {
            return Some(fault);
        }
    }
    None
}

impl AsyncRead for Tunnel {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        AsyncRead::poll_read(Pin::new(&mut self.receive), cx, buffer)
    }
}

impl AsyncWrite for Tunnel {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        AsyncWrite::poll_write(Pin::new(&mut self.send), cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        AsyncWrite::poll_flush(Pin::new(&mut self.send), cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        AsyncWrite::poll_shutdown(Pin::new(&mut self.send), cx)
    }
}

/// Returns the first byte of a stream, which tells a tunnel from a call.
///
/// # Errors
/// If the stream ends or breaks.
pub async fn read_mark(receive: &mut RecvStream) -> io::Result<u8> {
    AsyncReadExt::read_u8(receive).await
}
