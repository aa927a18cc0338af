//! Whether a backend server's process is there.
//!
//! A broken answer alone does not say: a connection may be reset, a link cut, an answer garbled by a server that lives on. One
//! whose process is gone refuses connections.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpStream;

use crate::unit::Span;

/// A server that neither takes nor refuses a connection within this leaves open whether it lives.
const WITHIN: Span = Span::millis(350);

/// A process that is about to end may take a connection yet, which then closes within this.
const ENDS_WITHIN: Span = Span::millis(30);

/// What a check found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// It takes connections.
    Lives,
    /// It refuses them.
    IsGone,
    /// Neither.
    Unknown,
}

/// Checks the server at an address by a connection, or two if the first is closed at once.
pub async fn check(address: SocketAddr) -> Found {
    let stream = match connect(address).await {
        Ok(stream) => stream,
        Err(found) => return found,
    };
    if !closes(stream).await {
        return Found::Lives;
    }
    connect(address).await.map_or_else(|found| found, |_| Found::Lives)
}

async fn connect(address: SocketAddr) -> Result<TcpStream, Found> {
    match tokio::time::timeout(WITHIN.duration(), TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(fault)) if fault.kind() == io::ErrorKind::ConnectionRefused => Err(Found::IsGone),
        Ok(Err(_)) | Err(_) => Err(Found::Unknown),
    }
}

/// Whether the other end closes a connection at once, on which nothing was asked.
async fn closes(stream: TcpStream) -> bool {
    let peeked = tokio::time::timeout(ENDS_WITHIN.duration(), stream.peek(&mut [0; 1])).await;
    peeked.is_ok()
}
