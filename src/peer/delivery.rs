//! Waiting for the delivery of a message to several VMs.

use actix_web::rt::task::JoinHandle;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

/// Waits until `required` of the deliveries have succeeded, or all have ended. Returns the number
/// that succeeded; the others go on.
pub async fn await_required(deliveries: Vec<JoinHandle<bool>>, required: usize) -> usize {
    let mut deliveries: FuturesUnordered<_> = deliveries.into_iter().collect();
    let mut succeeded = 0;
    while succeeded < required
        && let Some(end) = deliveries.next().await
    {
        // A delivery fails too if its task ended with this VM.
        succeeded += usize::from(end.unwrap_or(false));
    }
    succeeded
}
