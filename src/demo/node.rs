//! Runs a VM on a thread of its own.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, mpsc as sync};

use tokio::sync::mpsc;

use crate::error::Error;
use crate::history::Sink;
use crate::peer::Links;
use crate::vm::{self, Settings, Vm};

/// Commands to the thread of a VM.
enum Command {
    Stop,
    Kill,
    Pause(std::time::Duration),
    Cut(HashSet<SocketAddr>),
}

/// A running VM.
pub struct Node {
    /// State that the threads of the VM share.
    pub vm: Arc<Vm>,
    /// Address that serves callers.
    pub address: SocketAddr,
    /// Address for messages of other VMs.
    pub peer: SocketAddr,
    links: Links,
    commands: mpsc::UnboundedSender<Command>,
    ended: sync::Receiver<usize>,
}

impl Node {
    /// Starts a VM and returns when it listens.
    ///
    /// # Errors
    /// If an address cannot be bound.
    pub fn start(settings: Settings, history: Sink) -> Result<Node, Error> {
        let (commands, mut received) = mpsc::unbounded_channel();
        let (started, wait) = sync::channel();
        let (end, ended) = sync::channel();
        std::thread::spawn(move || {
            actix_web::rt::System::new().block_on(async move {
                let handle = match vm::start(settings, history) {
                    Ok(handle) => handle,
                    Err(error) => {
                        let _ = started.send(Err(error));
                        return;
                    }
                };
                let peer = handle.links().address();
                let links = handle.links().clone();
                let _ = started.send(Ok((handle.vm.clone(), handle.address, peer, links)));
                while let Some(command) = received.recv().await {
                    match command {
                        Command::Stop => {
                            let _ = end.send(handle.stop().await);
                            return;
                        }
                        Command::Kill => {
                            handle.kill();
                            let _ = end.send(0);
                            return;
                        }
                        // Blocks the thread on purpose, so that no control task of the VM runs.
                        Command::Pause(time) => std::thread::sleep(time),
                        Command::Cut(addresses) => handle.links().set_blocked(addresses),
                    }
                }
            });
        });
        let gone =
            |_| Error::Unreachable("The thread of a VM ended while the VM started.".to_owned());
        let (vm, address, peer, links) = wait.recv().map_err(gone)??;
        let peer = peer.unwrap_or(address);
        Ok(Node { vm, address, peer, links, commands, ended })
    }

    /// Returns the bytes of messages that the VM sent to other VMs.
    pub fn bytes_sent(&self) -> u64 {
        self.links.bytes_sent()
    }

    /// Shuts the VM down gracefully; returns the number of requests that were cut off.
    pub fn stop(self) -> usize {
        let _ = self.commands.send(Command::Stop);
        self.ended.recv().unwrap_or_default()
    }

    /// Ends the VM at once, without finishing its requests.
    pub fn kill(self) {
        let _ = self.commands.send(Command::Kill);
        let _ = self.ended.recv();
    }

    /// Blocks the control thread of the VM for a time.
    pub fn pause(&self, time: std::time::Duration) {
        let _ = self.commands.send(Command::Pause(time));
    }

    /// Drops messages to these peers; an empty set restores all links.
    pub fn cut_links(&self, addresses: HashSet<SocketAddr>) {
        let _ = self.commands.send(Command::Cut(addresses));
    }
}
