//! HTTP response body fed through a channel. If the client disconnects, the channel closes.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use tokio::sync::mpsc::Receiver;

use super::dispatch::InFlightGuard;

/// Response body that streams the items of a channel.
pub struct ChannelBody {
    from: Receiver<Result<Bytes, std::io::Error>>,
    // The guard is dropped with the body, after the last byte of the body was written.
    _in_flight: Option<InFlightGuard>,
}

/// Creates a response body from a channel.
pub fn channel_body(receiver: Receiver<Result<Bytes, std::io::Error>>) -> ChannelBody {
    ChannelBody { from: receiver, _in_flight: None }
}

/// Creates a response body whose request counts as in flight until its last byte is written.
pub fn in_flight_body(
    receiver: Receiver<Result<Bytes, std::io::Error>>,
    in_flight: InFlightGuard,
) -> ChannelBody {
    ChannelBody { from: receiver, _in_flight: Some(in_flight) }
}

impl Stream for ChannelBody {
    type Item = Result<Bytes, std::io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.from.poll_recv(context)
    }
}
