//! `serve`: runs one entry VM until a signal stops it.

use actix_web::rt::signal::unix::{SignalKind, signal};

use super::block_on;
use crate::error::Error;
use crate::history::Sink;
use crate::{cli, client, options, vm};

/// Runs a VM. SIGTERM or SIGINT starts a graceful shutdown; a second signal ends it at once.
pub fn run(flags: &cli::Serve) -> Result<(), Error> {
    let settings = options::serve(flags)?;
    client::return_large_blocks();
    block_on(async move {
        let handle = vm::start(settings, Sink::default())?;
        wait_for_signal().await;
        let mut stop = std::pin::pin!(handle.stop());
        tokio::select! {
            cut = &mut stop => {
                if cut > 0 {
                    let what = format!("{cut} request(s) were open when the shutdown timed out.");
                    return Err(Error::Unreachable(what));
                }
                Ok(())
            }
            () = wait_for_signal() => Err(Error::Unreachable(
                "A second signal ended the VM before its open requests were finished.".to_owned(),
            )),
        }
    })
}

async fn wait_for_signal() {
    let mut terminate = signal(SignalKind::terminate()).expect("signal handlers can be installed");
    let mut interrupt = signal(SignalKind::interrupt()).expect("signal handlers can be installed");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
