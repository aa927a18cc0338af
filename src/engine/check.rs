//! Checks whether the process of a backend server is running.
//!
//! A broken response alone does not prove that it stopped: a running server's connection may be
//! reset, its network link cut or its response garbled. A server whose process is gone refuses
//! connections.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpStream;

use crate::unit::Span;

/// Timeout for a connection to be accepted or refused. After it the state of the process is
/// unknown.
const CONNECT_TIMEOUT: Span = Span::millis(350);

/// Time for which an accepted connection must stay open. A process that is about to end may still
/// accept a connection, which then closes within this time.
const STABLE_TIME: Span = Span::millis(30);

/// Maximum number of connections that a check opens.
///
/// A process that ends closes its listener while connections are being opened: they may be reset
/// before they are open, be closed as soon as they are open, or stay open at this end alone. With
/// two connections, and a reset that ended the check as unknown, 12 and 13 of 3,000 checks of a
/// listener that closed at that moment did not find it gone; with four connections, of which
/// [`REQUIRED_STABLE`] must stay open, none.
const MAX_CONNECTIONS: u32 = 4;

/// Number of connections that must stay open for the process to count as running.
const REQUIRED_STABLE: u32 = 2;

/// Result of a check. The variants' names are written to logs and must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// The process accepts connections.
    Lives,
    /// The process has ended: its address refuses connections.
    IsGone,
    /// Neither is known: a connection timed out or failed otherwise, or all were reset.
    Unknown,
}

/// Result of one connection.
enum ConnectOutcome {
    /// Opened and stayed open.
    Stable,
    /// Opened, then closed at once by the server.
    Closed,
    /// Reset before it was open.
    Reset,
    /// Refused.
    Refused,
    /// Not opened, because of a timeout or another error.
    Failed,
}

/// Checks the process of the server at an address by opening a few connections, one after the
/// other. A server that keeps closing them without refusing any counts as running.
pub async fn check_process(address: SocketAddr) -> ProcessState {
    check_process_with(address, || {}).await
}

/// Checks a process as [`check_process`] does, and calls `on_accepted` as soon as the process
/// accepts a connection.
pub async fn check_process_with(address: SocketAddr, on_accepted: impl Fn()) -> ProcessState {
    let (mut state, mut stable) = (ProcessState::Unknown, 0);
    for _ in 0..MAX_CONNECTIONS {
        match connect(address, &on_accepted).await {
            ConnectOutcome::Stable if stable + 1 == REQUIRED_STABLE => return ProcessState::Lives,
            ConnectOutcome::Stable => (state, stable) = (ProcessState::Lives, stable + 1),
            ConnectOutcome::Refused => return ProcessState::IsGone,
            ConnectOutcome::Failed => return ProcessState::Unknown,
            ConnectOutcome::Closed => state = ProcessState::Lives,
            ConnectOutcome::Reset => {}
        }
    }
    state
}

async fn connect(address: SocketAddr, on_accepted: &impl Fn()) -> ConnectOutcome {
    let result =
        tokio::time::timeout(CONNECT_TIMEOUT.duration(), TcpStream::connect(address)).await;
    if let Ok(Ok(_)) = result {
        on_accepted();
    }
    match result.map(|result| result.map_err(|fault| fault.kind())) {
        Ok(Ok(stream)) if is_closed(&stream).await => ConnectOutcome::Closed,
        Ok(Ok(_)) => ConnectOutcome::Stable,
        Ok(Err(io::ErrorKind::ConnectionRefused)) => ConnectOutcome::Refused,
        Ok(Err(io::ErrorKind::ConnectionReset)) => ConnectOutcome::Reset,
        Ok(Err(_)) | Err(_) => ConnectOutcome::Failed,
    }
}

/// Returns true if the other end closes or resets the connection within [`STABLE_TIME`], before
/// anything was sent on it.
async fn is_closed(stream: &TcpStream) -> bool {
    let peeked = tokio::time::timeout(STABLE_TIME.duration(), stream.peek(&mut [0; 1])).await;
    peeked.is_ok()
}
