//! `serve`: one entry VM until a signal ends it.

use actix_web::rt::signal::unix::{SignalKind, signal};

use super::block_on;
use crate::error::Error;
use crate::history::Sink;
use crate::{cli, options, vm};

/// Runs a VM; SIGTERM or SIGINT is a planned stop, a second one ends it at once.
pub fn run(flags: &cli::Serve) -> Result<(), Error> {
    let settings = options::serve(flags)?;
    block_on(async move {
        let handle = vm::start(settings, Sink::default())?;
        wait_for_signal().await;
        let mut stop = std::pin::pin!(handle.stop());
        tokio::select! {
            cut = &mut stop => {
                if cut > 0 {
                    let what = format!("{cut} request(s) still ran when the time to stop was up.");
                    return Err(Error::Unreachable(what));
                }
                Ok(())
            }
            () = wait_for_signal() => Err(Error::Unreachable(
                "A second signal ended it before its requests were finished.".to_owned(),
            )),
        }
    })
}

async fn wait_for_signal() {
    let mut terminate = signal(SignalKind::terminate()).expect("signals can be watched");
    let mut interrupt = signal(SignalKind::interrupt()).expect("signals can be watched");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
