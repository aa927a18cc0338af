//! Callers, which take work from a shared list and send it to the VMs of a balancer.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, RwLock};
use std::time::Duration;

use super::client::{Answer, Client, Request};
use super::work::Work;
use crate::history::{Ran, Sink};
use crate::unit::Vm;

/// Number of concurrent callers.
const CALLER_COUNT: usize = 32;

/// Attempts of a request that was refused as "not run" or whose VM could not be reached.
const MAX_ATTEMPTS: usize = 6;

/// Delay between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time between the reservation of a key and the call that uses it.
const RESERVE_TO_CALL_DELAY: Duration = Duration::from_millis(400);

/// Round-robin balancer over the VMs that the platform believes to be ready.
#[derive(Clone, Default)]
pub struct Balancer {
    vms: Arc<RwLock<Vec<(Vm, SocketAddr)>>>,
    turn: Arc<AtomicUsize>,
}

impl Balancer {
    /// Replaces the list of VMs.
    pub fn set(&self, vms: Vec<(Vm, SocketAddr)>) {
        *self.vms.write().expect("no panic while held") = vms;
    }

    fn next(&self) -> Option<(Vm, SocketAddr)> {
        let vms = self.vms.read().expect("no panic while held");
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        vms.get(turn % vms.len().max(1)).cloned()
    }
}

/// Counters of the work so far.
#[derive(Default)]
pub struct Progress {
    /// Units of work that callers have taken.
    pub taken: AtomicUsize,
    /// Attempts with a complete answer.
    pub whole: AtomicUsize,
    /// Attempts that were refused.
    pub refused: AtomicUsize,
    /// Attempts whose answer broke off or never came.
    pub broken: AtomicUsize,
}

/// Sends all work and returns when it is finished.
pub fn run(work: &Arc<Vec<Work>>, balancer: &Balancer, history: &Sink, progress: &Arc<Progress>) {
    actix_web::rt::System::new().block_on(async {
        let callers = (0..CALLER_COUNT).map(|i| {
            let workspace = if i.is_multiple_of(2) { "roasters" } else { "nestwise" };
            let caller = Caller {
                client: Client::new(workspace, history.clone()),
                balancer: balancer.clone(),
                progress: progress.clone(),
            };
            caller.run_all(work.clone())
        });
        futures_util::future::join_all(callers).await;
    });
}

struct Caller {
    client: Client,
    balancer: Balancer,
    progress: Arc<Progress>,
}

impl Caller {
    async fn run_all(self, work: Arc<Vec<Work>>) {
        loop {
            let at = self.progress.taken.fetch_add(1, Ordering::Relaxed);
            let Some(work) = work.get(at) else { return };
            match work {
                Work::Single(request) => {
                    self.send(request).await;
                }
                Work::Duplicate(request) => {
                    futures_util::future::join(self.send(request), self.send(request)).await;
                }
                Work::Reserved(request) => {
                    let path = "/v1/reservations/tellimus-api".to_owned();
                    let reserve = Request { path, ..request.clone() };
                    self.send(&reserve).await;
                    tokio::time::sleep(RESERVE_TO_CALL_DELAY).await;
                    self.send(request).await;
                }
                Work::Conversation(turns) => self.converse(turns).await,
            }
        }
    }

    async fn converse(&self, turns: &[Request]) {
        let mut session = "new".to_owned();
        for turn in turns {
            let request = Request { session: Some(session.clone()), ..turn.clone() };
            let answer = self.send(&request).await;
            match answer.session {
                Some(token) => session = token,
                None => return,
            }
        }
    }

    /// Sends a request until there is an answer or a refusal that a retry would not change.
    async fn send(&self, request: &Request) -> Answer {
        let mut answer = Answer::default();
        for _ in 0..MAX_ATTEMPTS {
            let Some((vm, address)) = self.balancer.next() else {
                break;
            };
            answer = self.client.send(address, &vm, request).await;
            let counter = match (answer.is_complete, answer.ran) {
                (true, _) => &self.progress.whole,
                (false, Some(_)) if answer.status >= 300 => &self.progress.refused,
                _ => &self.progress.broken,
            };
            counter.fetch_add(1, Ordering::Relaxed);
            let is_retryable =
                answer.connect_failed || answer.ran == Some(Ran::No) && answer.status >= 429;
            let is_running = request.key.is_some() && answer.status == 409;
            if !is_retryable && !is_running {
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        answer
    }
}
