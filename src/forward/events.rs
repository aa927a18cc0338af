//! Queue of events for a task, filled by modules that need not know the task.

use std::cell::Cell;

use tokio::sync::mpsc;

/// Queue of events for the task that handles them.
pub struct Events<T> {
    sender: mpsc::UnboundedSender<T>,
    receiver: Cell<Option<mpsc::UnboundedReceiver<T>>>,
}

impl<T> Default for Events<T> {
    fn default() -> Events<T> {
        let (sender, receiver) = mpsc::unbounded_channel();
        Events { sender, receiver: Cell::new(Some(receiver)) }
    }
}

impl<T> Events<T> {
    /// Queues an event.
    pub fn send(&self, event: T) {
        // Fails if the task has ended with the process, which needs no handling.
        let _ = self.sender.send(event);
    }

    /// Returns the receiving end, the first time.
    pub fn take_receiver(&self) -> Option<mpsc::UnboundedReceiver<T>> {
        self.receiver.take()
    }
}
