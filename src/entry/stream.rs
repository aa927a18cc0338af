//! A body that is fed through a channel; its reader's leaving closes the channel.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use tokio::sync::mpsc::Receiver;

use super::dispatch::InFlightGuard;

/// The stream of a channel's items.
pub struct ChannelBody {
    from: Receiver<Result<Bytes, std::io::Error>>,
    // Held until the body is dropped, which is after its last byte was written.
    _in_flight: Option<InFlightGuard>,
}

/// A body fed through `receiver`.
pub fn channel_body(receiver: Receiver<Result<Bytes, std::io::Error>>) -> ChannelBody {
    ChannelBody { from: receiver, _in_flight: None }
}

/// A body whose request is in flight until its last byte was written.
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
