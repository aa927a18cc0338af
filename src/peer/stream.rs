//! Ends of byte streams, and the sending half of a stream between VMs.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use quinn::SendStream;
use tokio::io::AsyncWrite;

/// Returns true if the error of a write shows that the connection broke off before the peer had
/// ended its bytes. The kernel reports a reset that follows their end as a broken pipe.
///
/// No read reports such a reset again: it returns the bytes that arrived, and then their end.
pub fn is_reset(fault: &io::Error) -> bool {
    fault.kind() != io::ErrorKind::BrokenPipe
}

/// Sends the bytes of a stream. The recipient reads the end of the stream only after
/// [`Sender::finish`]: if the sender is dropped before, the stream is reset, so that a part of a
/// message is not taken for a whole one.
pub struct Sender {
    stream: SendStream,
    is_finished: bool,
}

impl Sender {
    /// Returns a sender on a stream that has just been opened.
    pub fn new(stream: SendStream) -> Sender {
        Sender { stream, is_finished: false }
    }

    /// Sends all bytes.
    ///
    /// # Errors
    /// If the stream was stopped by its recipient, or the connection is lost.
    pub async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        Ok(self.stream.write_all(bytes).await?)
    }

    /// Ends the stream. What was sent before still arrives if the sender is dropped.
    pub fn finish(&mut self) {
        // It fails only if the recipient has stopped the stream, and then reads no end of it.
        self.is_finished = self.stream.finish().is_ok();
    }

    /// Waits until the recipient has received the whole stream, or has stopped it. Returns true if
    /// it has received the whole stream.
    pub async fn received(&self) -> bool {
        matches!(self.stream.stopped().await, Ok(None))
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        if !self.is_finished {
            // It fails only if the stream has ended already.
            drop(self.stream.reset(0u32.into()));
        }
    }
}

impl AsyncWrite for Sender {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        AsyncWrite::poll_write(Pin::new(&mut self.stream), cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        AsyncWrite::poll_flush(Pin::new(&mut self.stream), cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.finish();
        Poll::Ready(Ok(()))
    }
}
