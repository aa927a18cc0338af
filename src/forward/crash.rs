//! Finds out whether a backend server has crashed where the answer of a request broke off.
//!
//! A broken answer alone does not say: a connection may be reset, a link cut, an answer garbled by a server that lives on. A
//! server whose process is gone refuses new connections, or a later life of it is there. A server that has said that it
//! leaves ends as planned.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_web::rt::spawn;
use tokio::net::TcpStream;

use super::poison;
use super::replica::Replica;
use super::vm::Vm;
use crate::decide::poison::Broken;
use crate::unit::Span;

/// A server that neither takes nor refuses a connection within this leaves open whether it lives.
const CHECK_WITHIN: Span = Span::millis(350);

/// What is known of how a life of a server goes on.
#[derive(Debug, Default)]
pub enum Life {
    /// No answer broke off there, or it took connections afterwards.
    #[default]
    GoesOn,
    /// Answers to these requests broke off, and it is being checked.
    Doubtful(Vec<Broken>),
    /// It has crashed.
    Over,
}

/// What a check found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Found {
    /// It takes connections.
    Lives,
    /// It refuses them.
    IsGone,
    /// Neither.
    Unknown,
}

/// The answer to a request broke off at a life of a server.
pub fn suspect(vm: &Rc<Vm>, replica: &Replica, request: Broken) {
    let is_over = {
        let mut fleet = vm.fleet.borrow_mut();
        let Some(server) = fleet.get_mut(&replica.id) else { return };
        if !server.replica.is_life_of(replica) {
            true
        } else {
            match &mut server.life {
                Life::Over => true,
                Life::Doubtful(broken) => {
                    broken.push(request);
                    return;
                }
                Life::GoesOn if server.replica.ready => {
                    server.life = Life::Doubtful(vec![request]);
                    false
                }
                Life::GoesOn => return,
            }
        }
    };
    if is_over {
        note(vm, replica, vec![request], Found::IsGone);
    } else {
        spawn(check(vm.clone(), replica.clone()));
    }
}

async fn check(vm: Rc<Vm>, replica: Replica) {
    let found = connect(replica.address).await;
    let broken = {
        let mut fleet = vm.fleet.borrow_mut();
        let Some(server) = fleet.life_mut(&replica) else { return };
        let next = if found == Found::IsGone { Life::Over } else { Life::GoesOn };
        match std::mem::replace(&mut server.life, next) {
            Life::Doubtful(broken) => broken,
            Life::GoesOn | Life::Over => Vec::new(),
        }
    };
    note(&vm, &replica, broken, found);
}

async fn connect(address: SocketAddr) -> Found {
    match tokio::time::timeout(CHECK_WITHIN.duration(), TcpStream::connect(address)).await {
        Ok(Ok(_)) => Found::Lives,
        Ok(Err(fault)) if fault.kind() == io::ErrorKind::ConnectionRefused => Found::IsGone,
        Ok(Err(_)) | Err(_) => Found::Unknown,
    }
}

fn note(vm: &Rc<Vm>, replica: &Replica, broken: Vec<Broken>, found: Found) {
    let outcome = format!("{found:?}");
    vm.metrics.checks.with_label_values(&[replica.service.as_str(), &outcome]).inc();
    let texts: Vec<String> = broken.iter().map(|one| one.content.to_string()).collect();
    let texts = texts.join(" ");
    let fields = [
        ("server", replica.id.as_str().into()),
        ("born_ms", replica.born.unwrap_or_default().into()),
        ("found", outcome.as_str().into()),
        ("broken", broken.len().into()),
        ("contents", texts.as_str().into()),
    ];
    vm.log("server checked", &fields);
    if found == Found::IsGone && !broken.is_empty() {
        poison::ended(vm, replica, &broken);
    }
}
