//! Opens connections to backend servers through other VMs.

use std::net::SocketAddr;

use crate::engine::check::ProcessState;
use crate::forward::Vm;
use crate::forward::connection::{Connection, Fault};
use crate::forward::replica::Replica;
use crate::peer::tunnel::{Answer, Destination, Tunnel};
use crate::unit::{Span, Vm as Name};

/// Maximum number of VMs that are tried for one connection.
const MAX_TRIED: usize = 2;

/// Timeout for a tunnel, with the connection that the other VM opens.
const OPEN_TIMEOUT: Span = Span::millis(400);

/// Opens a connection to a server through another VM.
///
/// # Errors
/// `NotSent` if no VM relays it.
pub async fn open(vm: &Vm, replica: &Replica) -> Result<Connection, Fault> {
    let mut reason = "no other VM relays connections".to_owned();
    for _ in 0..MAX_TRIED {
        match try_helper(vm, replica).await {
            None => break,
            Some((helper, Ok(tunnel))) => return Ok(Connection::tunnelled(helper, tunnel)),
            Some((helper, Err(answer))) => {
                reason = format!("connection not relayed by {helper}: {answer:?}");
                // Another VM would not reach the server either.
                if matches!(answer, Answer::Refused | Answer::Unreachable) {
                    break;
                }
            }
        }
    }
    Err(Fault::NotSent(reason))
}

/// Checks through another VM if the process of a server accepts connections.
pub async fn check_process(vm: &Vm, replica: &Replica) -> ProcessState {
    match try_helper(vm, replica).await {
        Some((_, Ok(_))) => ProcessState::Lives,
        Some((_, Err(Answer::Refused))) => ProcessState::IsGone,
        Some((_, Err(_))) | None => ProcessState::Unknown,
    }
}

/// Opens a tunnel through the best helper. Returns the helper with the tunnel or its answer, which
/// is `Declined` if it does not respond; `None` if there is no helper.
async fn try_helper(vm: &Vm, replica: &Replica) -> Option<(Name, Result<Tunnel, Answer>)> {
    let now = vm.now();
    let helper = vm.helpers.borrow_mut().choose(&replica.service, now, rand::random)?;
    let (links, address): (_, Option<SocketAddr>) = {
        let peers = vm.peers.borrow();
        (peers.links()?, peers.address(&helper))
    };
    let destination = Destination {
        from: vm.settings.vm.clone(),
        server: replica.id.clone(),
        started_at_ms: replica.started_at_ms,
        address: replica.address,
    };
    let opened = match address {
        Some(to) => links.open_tunnel(to, &destination, OPEN_TIMEOUT.duration()).await,
        None => None,
    };
    let outcome = match opened {
        Some((Answer::Connected, tunnel)) => Ok(tunnel),
        Some((answer, _)) => Err(answer),
        None => {
            vm.helpers.borrow_mut().remove(&helper, vm.now());
            Err(Answer::Declined)
        }
    };
    let answer = outcome.as_ref().err().copied().unwrap_or(Answer::Connected);
    vm.metrics.tunnels.with_label_values(&["opened", &format!("{answer:?}")]).inc();
    Some((helper, outcome))
}
