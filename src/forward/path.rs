//! The path to a backend server: directly, or through another VM while direct connections can't be
//! opened.

use std::rc::Rc;

use super::connection::{Connection, Fault};
use super::connectivity;
use super::replica::Replica;
use super::tunnel;
use super::vm::Vm;
use crate::engine::check::{self, ProcessState};
use crate::unit::Span;

/// Timeout for opening a connection, after which another server is tried; the servers are a few
/// milliseconds away.
const CONNECT_TIMEOUT: Span = Span::millis(350);

/// Returns the idle connection if there is one, else opens a new one. Another VM relays it if the
/// server can't be reached directly.
///
/// # Errors
/// `NotSent` if no connection is established.
pub async fn connect(
    vm: &Rc<Vm>,
    replica: &Replica,
    idle: Option<Connection>,
) -> Result<Connection, Fault> {
    if let Some(connection) = idle {
        return Ok(connection);
    }
    if connectivity::is_unreachable(vm, &replica.service) {
        vm.fleet.borrow_mut().on_path_failure(replica, vm.now());
    }
    if vm.fleet.borrow().is_path_lost(replica) && tunnel::has_helper(vm, &replica.service) {
        return open_tunnel(vm, replica).await;
    }
    let source = vm.settings.source;
    let direct = Connection::open_from(source, replica.address, CONNECT_TIMEOUT).await;
    match direct {
        Ok(connection) => {
            vm.fleet.borrow_mut().on_path_contact(replica);
            Ok(connection.with_budget(&vm.read_budget))
        }
        Err(fault) => {
            vm.fleet.borrow_mut().on_path_failure(replica, vm.now());
            let is_own_fault = connectivity::on_connect_failure(vm, replica);
            if !is_own_fault || !tunnel::find_helper(vm, &replica.service).await {
                return Err(fault);
            }
            open_tunnel(vm, replica).await
        }
    }
}

async fn open_tunnel(vm: &Vm, replica: &Replica) -> Result<Connection, Fault> {
    Ok(tunnel::open(vm, replica).await?.with_budget(&vm.read_budget))
}

/// Checks if the process of a server accepts connections, through another VM if the server can't be
/// reached directly. Calls `on_accepted` as soon as it accepts one.
pub async fn check_process(vm: &Vm, replica: &Replica, on_accepted: impl Fn()) -> ProcessState {
    let started = vm.now();
    if vm.fleet.borrow().is_path_lost(replica) && tunnel::has_helper(vm, &replica.service) {
        let found = tunnel::check_process(vm, replica).await;
        if found == ProcessState::Lives {
            on_accepted();
        }
        return found;
    }
    let found = check::check_process_with(replica.address, on_accepted).await;
    // A VM that reaches no other server either may have lost its links.
    match found {
        ProcessState::IsGone if !connectivity::reaches_others(vm, replica, started).await => {
            ProcessState::Unknown
        }
        found => found,
    }
}
