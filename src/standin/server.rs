//! Runs the HTTP server of a stand-in on a thread of its own.

use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;

use actix_web::dev::ServerHandle;
use actix_web::web::ServiceConfig;
use actix_web::{App, HttpServer};

use crate::error::Error;

/// Timeout of open requests when a stand-in stops, in seconds.
const SHUTDOWN_TIMEOUT_SECS: u64 = 1;

/// Connections that may wait to be accepted; a load of a thousand streams must fit.
const LISTEN_BACKLOG: u32 = 4096;

/// Open connections of one stand-in.
const MAX_CONNECTIONS: usize = 10_000;

/// A running stand-in.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Address that it listens on.
    pub address: SocketAddr,
    handle: ServerHandle,
}

impl Instance {
    /// Stops the server at once and resets its open connections.
    pub fn kill(&self) {
        drop(self.handle.stop(false));
    }
}

/// Sets `TCP_NODELAY`: a small frame that waits for an acknowledgement costs 40 ms.
fn no_delay(connection: &dyn std::any::Any, _: &mut actix_web::dev::Extensions) {
    if let Some(stream) = connection.downcast_ref::<actix_web::rt::net::TcpStream>() {
        let _ = stream.set_nodelay(true);
    }
}

/// Binds `address` (port 0 for any free one) and serves until stopped.
///
/// # Errors
/// If the address cannot be bound.
pub fn launch<F>(address: SocketAddr, configure: F) -> Result<Instance, Error>
where
    F: Fn(&mut ServiceConfig) + Send + Clone + 'static,
{
    let to_error = |e: std::io::Error| Error::Bind(address.to_string(), e.to_string());
    let listener = TcpListener::bind(address).map_err(to_error)?;
    let address = listener.local_addr().map_err(to_error)?;
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        actix_web::rt::System::new().block_on(async move {
            let app = move || App::new().configure(configure.clone());
            let server = HttpServer::new(app)
                .on_connect(no_delay)
                .workers(1)
                .backlog(LISTEN_BACKLOG)
                .max_connections(MAX_CONNECTIONS)
                .disable_signals()
                .shutdown_timeout(SHUTDOWN_TIMEOUT_SECS)
                .listen(listener);
            if let Ok(server) = server {
                let server = server.run();
                let _ = sender.send(server.handle());
                let _ = server.await;
            }
        });
    });
    let handle = receiver
        .recv()
        .map_err(|_| Error::Bind(address.to_string(), "the server did not start".into()))?;
    Ok(Instance { address, handle })
}
