//! The control thread: handles messages from peers and commands from the threads that serve
//! callers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context};
use tokio::sync::{mpsc, oneshot};

use super::{Command, bills, claims, poison, ratings, stall};
use crate::engine::client::EngineClient;
use crate::evidence::Origin;
use crate::history::Event;
use crate::ledger::Buffer;
use crate::once::ShardOwner;
use crate::peer::wire::{Call, Envelope, Frame, Reply, decode, encode};
use crate::peer::{Incoming, Links, Member, rendezvous_order};
use crate::platform::{RatingClient, Store};
use crate::unit::{Revision, Vm};

/// Time between two ticks of the gossip protocol.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two attempts to join through the seeds while no other VM is known.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Handle to the state that the tasks of the control thread share; cheap to clone.
#[derive(Clone)]
pub struct Control {
    /// State shared with the threads that serve callers.
    pub vm: Arc<super::Vm>,
    /// Connections to other VMs.
    pub links: Links,
    /// The platform's store.
    pub store: Store,
    /// Bills that are not in the store yet: this VM's own, and copies of other VMs' bills.
    pub unflushed: Rc<RefCell<Buffer>>,
    /// Handle to the tasks of this VM that own shards of idempotency keys.
    pub owner: ShardOwner,
    /// Queue of the task that makes bills durable.
    pub bill_queue: mpsc::UnboundedSender<(crate::ledger::Entry, oneshot::Sender<bool>)>,
    /// The rating service, if there is one.
    pub ratings: Option<RatingClient>,
    /// Client of the backend servers.
    pub engines: EngineClient,
}

impl Control {
    /// Handles messages and commands until both channels are closed.
    pub async fn run(
        self,
        mut incoming: mpsc::UnboundedReceiver<Incoming>,
        mut commands: mpsc::UnboundedReceiver<Command>,
    ) {
        let ticker = Ticker(self.clone()).start();
        loop {
            tokio::select! {
                Some(message) = incoming.recv() => self.on_incoming(message),
                Some(command) = commands.recv() => self.on_command(command),
                else => break,
            }
        }
        drop(ticker);
    }

    /// Advances the gossip protocol, sends its frames, and publishes its configuration.
    fn tick(&self) {
        let now = self.vm.clock.now();
        let out = self.with_gossip(|gossip| gossip.tick(now));
        self.send_all(out);
        self.publish_snapshot();
    }

    /// Calls `change` with the gossip state, whose lock is held meanwhile, and returns the result.
    pub fn with_gossip<T>(&self, change: impl FnOnce(&mut crate::peer::Gossip) -> T) -> T {
        change(&mut self.vm.gossip.lock().expect("no panic while held"))
    }

    /// Publishes the configuration of the gossip state, and the start lease (the time until which
    /// new work may start), to the threads that serve callers.
    ///
    /// A revision is *adopted* once this VM uses it for new work, *enforced* once all work that
    /// this VM sends from then on follows it, and *accepted* once no VM can start work under an
    /// older one any more.
    pub fn publish_snapshot(&self) {
        let now = self.vm.clock.now();
        let (snapshot, start_lease, accepted) =
            self.with_gossip(|g| (g.snapshot.clone(), g.start_lease_until(now), g.accepted()));
        if accepted > self.vm.metrics.accepted() {
            self.vm.metrics.set_accepted(accepted);
            self.vm.history.record(|| Event::Accepted { revision: accepted });
        }
        let enforced = self.vm.enforced_revision();
        self.with_gossip(|g| g.set_enforced_revision(enforced));
        if snapshot.revision() <= self.vm.config().revision() {
            self.vm.set_start_lease_until(start_lease);
            return;
        }
        let revision = snapshot.revision();
        self.vm
            .fleet
            .lock()
            .expect("no panic while held")
            .apply_snapshot(&snapshot, &self.vm.settings.data_centre);
        *self.vm.snapshot.write().expect("no panic while held") = snapshot;
        // The lease is set last: renewed earlier, it would let work start under the old revision.
        self.vm.set_start_lease_until(start_lease);
        self.vm.metrics.revision.set(revision.0 as i64);
        log::info!(
            "{} {} adopted configuration revision {revision}",
            self.vm.settings.vm,
            self.vm.incarnation
        );
        self.vm.history.record(|| Event::Adopted {
            vm: self.vm.settings.vm.clone(),
            incarnation: self.vm.incarnation.0,
            revision,
        });
    }

    /// Sends frames to VMs concurrently, each in a task of its own.
    pub fn send_all(&self, out: Vec<(Member, Frame)>) {
        for (to, frame) in out {
            self.send(to.address, frame);
        }
    }

    fn send(&self, to: SocketAddr, frame: Frame) {
        self.vm.metrics.messages.with_label_values(&[frame_label(&frame)]).inc();
        let bytes = encode(&Envelope { from: self.vm.settings.vm.clone(), body: frame });
        let links = self.links.clone();
        actix_web::rt::spawn(async move { links.send(to, bytes).await });
    }

    /// Sends a call to a VM and waits for the reply; none if no valid reply arrives.
    pub async fn call(&self, to: SocketAddr, call: Call) -> Option<Reply> {
        let bytes = encode(&Envelope { from: self.vm.settings.vm.clone(), body: call });
        decode(&self.links.call(to, bytes).await?)
    }

    /// Handles a message from another VM: passes a frame to the gossip protocol, or answers a call
    /// in a task of its own. Invalid messages are ignored.
    fn on_incoming(&self, message: Incoming) {
        match message {
            Incoming::Frame(bytes) => {
                let Some(envelope) = decode::<Envelope<Frame>>(&bytes) else {
                    return;
                };
                let now = self.vm.clock.now();
                let out = self.with_gossip(|g| g.receive(&envelope.from, envelope.body, now));
                self.publish_snapshot();
                self.send_all(out);
            }
            Incoming::Call(bytes, reply) => {
                let Some(envelope) = decode::<Envelope<Call>>(&bytes) else {
                    return;
                };
                let control = self.clone();
                actix_web::rt::spawn(async move {
                    let answer = control.on_call(envelope.body).await;
                    let _ = reply.send(encode(&answer));
                });
            }
            // These VMs open no tunnels to each other.
            Incoming::Tunnel(_) => {}
        }
    }

    /// Carries out a call of another VM and returns the reply.
    async fn on_call(&self, call: Call) -> Reply {
        match call {
            Call::CopyBills { origin, incarnation, entries, flushed } => {
                let origin = Origin { vm: origin, incarnation };
                self.unflushed.borrow_mut().insert_copies(origin, entries, flushed);
                Reply::Done
            }
            Call::Claim(claim) => Reply::Claim(self.owner.claim(claim).await),
            Call::Poison(message) => {
                poison::on_message(&self.vm, &message);
                Reply::Done
            }
            Call::Settle(settled) => {
                self.owner.settle(settled);
                Reply::Done
            }
            Call::UseReserved { key, user, body } => {
                let mut reserved = self.vm.reserved.lock().expect("no panic while held");
                Reply::UseReserved(reserved.try_use(key, &user, body, self.vm.clock.now()))
            }
            Call::Explain { request } => {
                let traces = self.vm.traces.lock().expect("no panic while held");
                Reply::Text(traces.find(&request).map(|trace| trace.to_text()))
            }
            Call::Burn => {
                let burn = self.vm.burn.lock().expect("no panic while held");
                let slices = burn.counts(self.vm.clock.date());
                Reply::Text(serde_json::to_string(&slices).ok())
            }
        }
    }

    /// Carries out a command of a thread that serves callers, in a task of its own if that takes
    /// time.
    fn on_command(&self, command: Command) {
        let control = self.clone();
        match command {
            Command::RecordBill(entry, reply) => {
                let _ = self.bill_queue.send((entry, reply));
            }
            Command::Claim(claim, reply) => {
                actix_web::rt::spawn(async move {
                    let _ = reply.send(claims::claim(&control, claim).await);
                });
            }
            Command::Settle(settled) => {
                actix_web::rt::spawn(async move { claims::settle(&control, settled).await });
            }
            Command::UseKey(key_use, holder, reply) => {
                actix_web::rt::spawn(async move {
                    let _ = reply.send(claims::use_reserved_key(&control, key_use, holder).await);
                });
            }
            Command::SendPoison(outgoing, reply) => {
                actix_web::rt::spawn(async move {
                    poison::send_outgoing(&control, outgoing).await;
                    let _ = reply.send(());
                });
            }
            Command::ReadMessages => {
                actix_web::rt::spawn(stall::read_messages(control));
            }
            Command::SubmitSample(sample) => ratings::enqueue(control, sample),
            Command::CatchUp(revision, reply) => {
                actix_web::rt::spawn(async move {
                    control.catch_up(revision).await;
                    let _ = reply.send(());
                });
            }
            Command::Cancel(to, cancel) => {
                actix_web::rt::spawn(async move { control.engines.cancel(to, &cancel).await });
            }
            Command::ProbeServer(server) => {
                actix_web::rt::spawn(
                    async move { super::duty::probe_server(&control, &server).await },
                );
            }
            Command::Explain(request, reply) => {
                actix_web::rt::spawn(async move {
                    let call = Call::Explain { request };
                    let found = control.call_all(call).await.into_iter().next();
                    let _ = reply.send(found);
                });
            }
            Command::CollectBurn(reply) => {
                actix_web::rt::spawn(async move {
                    let _ = reply.send(control.call_all(Call::Burn).await);
                });
            }
        }
    }

    /// Calls every other VM and returns the texts of those that replied with one.
    async fn call_all(&self, call: Call) -> Vec<String> {
        let others = self.other_vms();
        let calls = others.iter().map(|member| self.call(member.address, call.clone()));
        let replies = futures_util::future::join_all(calls).await;
        let text = |reply| match reply {
            Some(Reply::Text(text)) => text,
            _ => None,
        };
        replies.into_iter().filter_map(text).collect()
    }

    /// Orders members by their rank for a duty (a task that one VM does for all); the first one is
    /// responsible for it.
    pub fn ranked_members(duty: &str, members: &[Member]) -> Vec<Member> {
        let order = rendezvous_order(duty, members.iter().map(|member| &member.vm));
        let find = |vm: &Vm| members.iter().find(|member| member.vm == *vm).cloned();
        order.into_iter().filter_map(find).collect()
    }

    /// Returns the other VMs that may be working: those that are not known to be dead or to have
    /// left.
    pub fn other_vms(&self) -> Vec<Member> {
        let own_vm = &self.vm.settings.vm;
        self.with_gossip(|g| g.present().filter(|member| member.vm != *own_vm).cloned().collect())
    }

    /// Asks the other VMs for a configuration revision that a session token names, then reads the
    /// store if no VM sent it within a second.
    async fn catch_up(&self, revision: Revision) {
        let want = self.with_gossip(|g| g.config_request());
        for member in self.other_vms() {
            self.send(member.address, want.clone());
        }
        for _ in 0..20 {
            if self.vm.config().revision() >= revision {
                return;
            }
            tokio::time::sleep(GOSSIP_INTERVAL).await;
        }
        let _ = super::config_watch::read_root(self).await;
    }

    /// Sends join messages to the seeds (configured addresses of VMs) whenever no other VM is
    /// known.
    pub async fn join(self) {
        loop {
            if self.other_vms().is_empty() {
                for seed in self.vm.settings.seeds.clone() {
                    if seed != self.vm.settings.peer {
                        let frame = self.with_gossip(|g| g.join_probe());
                        self.send(seed, frame);
                    }
                }
            }
            tokio::time::sleep(JOIN_RETRY_INTERVAL).await;
        }
    }

    /// Releases unused idempotency keys, writes bills to the store and announces to the other VMs
    /// that this VM leaves.
    pub async fn leave(&self) {
        claims::release_unused_keys(self).await;
        bills::flush_own(self).await;
        let now = self.vm.clock.now();
        let out = self.with_gossip(|g| g.leave(now));
        for (to, frame) in out {
            let bytes = encode(&Envelope { from: self.vm.settings.vm.clone(), body: frame });
            self.links.send(to.address, bytes).await;
        }
    }
}

/// Actor that advances the gossip protocol at each [`GOSSIP_INTERVAL`].
struct Ticker(Control);

impl Actor for Ticker {
    type Context = Context<Ticker>;

    fn started(&mut self, context: &mut Context<Ticker>) {
        context.run_interval(GOSSIP_INTERVAL, |ticker, _| ticker.0.tick());
    }
}

/// Returns the value of the metric label `kind` for a frame. Dashboards use these values.
fn frame_label(frame: &Frame) -> &'static str {
    match frame {
        Frame::Probe { .. } => "probe",
        Frame::Ack { .. } => "ack",
        Frame::ConfigRequest { .. } => "want",
        Frame::Config { .. } => "config",
        Frame::Adopted { .. } => "adopted",
        Frame::AdoptionAck { .. } => "noted",
    }
}
