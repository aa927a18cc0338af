//! A VM on a thread of its own.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc as sync;

use tokio::sync::mpsc;

use crate::error::Error;
use crate::history::Sink;
use crate::peer::Links;
use crate::vm::{self, Settings, Vm};

/// What the thread is told.
enum Order {
    Stop,
    Kill,
    Pause(std::time::Duration),
    Cut(HashSet<SocketAddr>),
}

/// A running VM.
pub struct Node {
    /// Its shared state.
    pub vm: Arc<Vm>,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Where other VMs reach it.
    pub peer: SocketAddr,
    links: Links,
    orders: mpsc::UnboundedSender<Order>,
    ended: sync::Receiver<usize>,
}

impl Node {
    /// Starts a VM.
    ///
    /// # Errors
    /// If an address cannot be bound.
    pub fn start(settings: Settings, history: Sink) -> Result<Node, Error> {
        let (orders, mut asked) = mpsc::unbounded_channel();
        let (started, wait) = sync::channel();
        let (end, ended) = sync::channel();
        std::thread::spawn(move || {
            actix_web::rt::System::new().block_on(async move {
                let handle = match vm::start(settings, history) {
                    Ok(handle) => handle,
                    Err(fault) => {
                        let _ = started.send(Err(fault));
                        return;
                    }
                };
                let peer = handle.links().address();
                let links = handle.links().clone();
                let _ = started.send(Ok((handle.vm.clone(), handle.address, peer, links)));
                while let Some(order) = asked.recv().await {
                    match order {
                        Order::Stop => {
                            let _ = end.send(handle.stop().await);
                            return;
                        }
                        Order::Kill => {
                            handle.kill();
                            let _ = end.send(0);
                            return;
                        }
                        // Blocking the thread is the point: nothing of the control runs.
                        Order::Pause(time) => std::thread::sleep(time),
                        Order::Cut(addresses) => handle.links().set_blocked(addresses),
                    }
                }
            });
        });
        let gone = |_| Error::Unreachable("A VM's thread ended at its start.".to_owned());
        let (vm, address, peer, links) = wait.recv().map_err(gone)??;
        let peer = peer.unwrap_or(address);
        Ok(Node { vm, address, peer, links, orders, ended })
    }

    /// Bytes of messages that it sent to other VMs.
    pub fn bytes_sent(&self) -> u64 {
        self.links.bytes_sent()
    }

    /// Stops as planned and returns the requests that were cut off.
    pub fn stop(self) -> usize {
        let _ = self.orders.send(Order::Stop);
        self.ended.recv().unwrap_or_default()
    }

    /// Ends at once.
    pub fn kill(self) {
        let _ = self.orders.send(Order::Kill);
        let _ = self.ended.recv();
    }

    /// Blocks its control thread for a while.
    pub fn pause(&self, time: std::time::Duration) {
        let _ = self.orders.send(Order::Pause(time));
    }

    /// Cuts its way to these peers; an empty set mends it.
    pub fn cut(&self, addresses: HashSet<SocketAddr>) {
        let _ = self.orders.send(Order::Cut(addresses));
    }
}
