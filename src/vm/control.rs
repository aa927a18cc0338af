//! The control thread: takes what arrives from peers and from the threads that serve callers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context};
use tokio::sync::{mpsc, oneshot};

use super::{Errand, bills, claims, poison, ratings};
use crate::engine::client::Engines;
use crate::evidence::Origin;
use crate::history::Event;
use crate::ledger::Book;
use crate::once::Owner;
use crate::peer::wire::{Call, Envelope, Frame, Reply, decode, encode};
use crate::peer::{Incoming, Links, Member, rendezvous_order};
use crate::platform::{Ratings, Store};
use crate::unit::{Revision, Vm};

/// Time between two ticks of the gossip.
const TICK: Duration = Duration::from_millis(50);

/// Seeds are greeted again after this while no other VM is known.
const GREET_EVERY: Duration = Duration::from_millis(500);

/// What the tasks of the control thread share.
#[derive(Clone)]
pub struct Control {
    /// The VM.
    pub vm: Arc<super::Vm>,
    /// Links to other VMs.
    pub links: Links,
    /// The platform.
    pub store: Store,
    /// Unflushed bills.
    pub book: Rc<RefCell<Book>>,
    /// Shards of keys.
    pub owner: Owner,
    /// Work for the bill task.
    pub bills: mpsc::UnboundedSender<(crate::ledger::Entry, oneshot::Sender<bool>)>,
    /// The rating service, if there is one.
    pub ratings: Option<Ratings>,
    /// Engines and services.
    pub engines: Engines,
}

impl Control {
    /// Runs until the process ends.
    pub async fn run(
        self,
        mut incoming: mpsc::UnboundedReceiver<Incoming>,
        mut errands: mpsc::UnboundedReceiver<Errand>,
    ) {
        let ticker = Ticker(self.clone()).start();
        loop {
            tokio::select! {
                Some(arrived) = incoming.recv() => self.arrived(arrived),
                Some(errand) = errands.recv() => self.errand(errand),
                else => break,
            }
        }
        drop(ticker);
    }

    fn tick(&self) {
        let now = self.vm.clock.now();
        let out = self.gossip(|gossip| gossip.tick(now));
        self.send_all(out);
        self.follow();
    }

    /// Calls `change` on the gossip.
    pub fn gossip<T>(&self, change: impl FnOnce(&mut crate::peer::Gossip) -> T) -> T {
        change(&mut self.vm.gossip.lock().expect("no panic while held"))
    }

    /// Brings the hot path's view up to the gossip's.
    pub fn follow(&self) {
        let now = self.vm.clock.now();
        let (snapshot, permit, accepted) =
            self.gossip(|g| (g.snapshot.clone(), g.start_lease_until(now), g.accepted()));
        if accepted > self.vm.metrics.accepted() {
            self.vm.metrics.accept(accepted);
            self.vm.history.record(|| Event::Accepted { revision: accepted });
        }
        let obeyed = self.vm.obeyed();
        self.gossip(|g| g.set_enforced_revision(obeyed));
        if snapshot.revision() <= self.vm.config().revision() {
            self.vm.set_permit(permit);
            return;
        }
        let revision = snapshot.revision();
        self.vm
            .fleet
            .lock()
            .expect("no panic while held")
            .sync(&snapshot, &self.vm.settings.data_centre);
        *self.vm.snapshot.write().expect("no panic while held") = snapshot;
        // The permit comes last: renewed earlier, it would let work start under the old revision.
        self.vm.set_permit(permit);
        self.vm.metrics.revision.set(revision.0 as i64);
        log::info!(
            "{} {} revision {revision} is in force here",
            self.vm.settings.vm,
            self.vm.incarnation
        );
        self.vm.history.record(|| Event::Adopted {
            vm: self.vm.settings.vm.clone(),
            incarnation: self.vm.incarnation.0,
            revision,
        });
    }

    /// Sends frames; each goes its own way and none waits for another.
    pub fn send_all(&self, out: Vec<(Member, Frame)>) {
        for (to, frame) in out {
            self.send(to.address, frame);
        }
    }

    fn send(&self, to: SocketAddr, frame: Frame) {
        self.vm.metrics.messages.with_label_values(&[kind(&frame)]).inc();
        let bytes = encode(&Envelope { from: self.vm.settings.vm.clone(), body: frame });
        let links = self.links.clone();
        actix_web::rt::spawn(async move { links.send(to, bytes).await });
    }

    /// Sends a call and waits for its answer.
    pub async fn call(&self, to: SocketAddr, call: Call) -> Option<Reply> {
        let bytes = encode(&Envelope { from: self.vm.settings.vm.clone(), body: call });
        decode(&self.links.call(to, bytes).await?)
    }

    fn arrived(&self, arrived: Incoming) {
        match arrived {
            Incoming::Frame(bytes) => {
                let Some(envelope) = decode::<Envelope<Frame>>(&bytes) else {
                    return;
                };
                let now = self.vm.clock.now();
                let out = self.gossip(|g| g.receive(&envelope.from, envelope.body, now));
                self.follow();
                self.send_all(out);
            }
            Incoming::Call(bytes, reply) => {
                let Some(envelope) = decode::<Envelope<Call>>(&bytes) else {
                    return;
                };
                let control = self.clone();
                actix_web::rt::spawn(async move {
                    let answer = control.answer(envelope.body).await;
                    let _ = reply.send(encode(&answer));
                });
            }
        }
    }

    async fn answer(&self, call: Call) -> Reply {
        match call {
            Call::CopyBills { origin, incarnation, entries, flushed } => {
                let origin = Origin { vm: origin, incarnation };
                self.book.borrow_mut().copy(origin, entries, flushed);
                Reply::Done
            }
            Call::Claim(claim) => Reply::Claim(self.owner.claim(claim).await),
            Call::Poison(news) => {
                poison::hear(&self.vm, &news);
                Reply::Done
            }
            Call::Settle(settled) => {
                self.owner.settle(settled);
                Reply::Done
            }
            Call::UseReserved { key, user, body } => {
                let mut reserved = self.vm.reserved.lock().expect("no panic while held");
                Reply::UseReserved(reserved.ask(key, &user, body, self.vm.clock.now()))
            }
            Call::Explain { request } => {
                let traces = self.vm.traces.lock().expect("no panic while held");
                Reply::Text(traces.find(&request).map(|trace| trace.words()))
            }
            Call::Burn => {
                let burn = self.vm.burn.lock().expect("no panic while held");
                let slices = burn.slices(self.vm.clock.date());
                Reply::Text(serde_json::to_string(&slices).ok())
            }
        }
    }

    fn errand(&self, errand: Errand) {
        let control = self.clone();
        match errand {
            Errand::Bill(entry, reply) => {
                let _ = self.bills.send((entry, reply));
            }
            Errand::Claim(claim, reply) => {
                actix_web::rt::spawn(async move {
                    let _ = reply.send(claims::claim(&control, claim).await);
                });
            }
            Errand::Settle(settled) => {
                actix_web::rt::spawn(async move { claims::settle(&control, settled).await });
            }
            Errand::Use(asked, holder, reply) => {
                actix_web::rt::spawn(async move {
                    let _ = reply.send(claims::ask_holder(&control, asked, holder).await);
                });
            }
            Errand::Tell(word) => poison::tell(&control, word),
            Errand::Rate(sample) => ratings::give(control, sample),
            Errand::CatchUp(revision, reply) => {
                actix_web::rt::spawn(async move {
                    control.catch_up(revision).await;
                    let _ = reply.send(());
                });
            }
            Errand::Cancel(to, cancel) => {
                actix_web::rt::spawn(async move { control.engines.cancel(to, &cancel).await });
            }
            Errand::Look(server) => {
                actix_web::rt::spawn(async move { super::duty::look(&control, &server).await });
            }
            Errand::Explain(request, reply) => {
                actix_web::rt::spawn(async move {
                    let call = Call::Explain { request };
                    let found = control.ask_all(call).await.into_iter().next();
                    let _ = reply.send(found);
                });
            }
            Errand::Burn(reply) => {
                actix_web::rt::spawn(async move {
                    let _ = reply.send(control.ask_all(Call::Burn).await);
                });
            }
        }
    }

    /// Asks every other VM and gathers the texts.
    async fn ask_all(&self, call: Call) -> Vec<String> {
        let others = self.others();
        let asked = others.iter().map(|member| self.call(member.address, call.clone()));
        let replies = futures_util::future::join_all(asked).await;
        let text = |reply| match reply {
            Some(Reply::Text(text)) => text,
            _ => None,
        };
        replies.into_iter().filter_map(text).collect()
    }

    /// Members in the order of their claim to a duty.
    pub fn in_order(duty: &str, members: &[Member]) -> Vec<Member> {
        let order = rendezvous_order(duty, members.iter().map(|member| &member.vm));
        let find = |vm: &Vm| members.iter().find(|member| member.vm == *vm).cloned();
        order.into_iter().filter_map(find).collect()
    }

    /// The other VMs that may be working.
    pub fn others(&self) -> Vec<Member> {
        let me = &self.vm.settings.vm;
        self.gossip(|g| g.present().filter(|member| member.vm != *me).cloned().collect())
    }

    /// Asks a few VMs and the store for a revision that a token names.
    async fn catch_up(&self, revision: Revision) {
        let want = self.gossip(|g| g.config_request());
        for member in self.others() {
            self.send(member.address, want.clone());
        }
        for _ in 0..20 {
            if self.vm.config().revision() >= revision {
                return;
            }
            tokio::time::sleep(TICK).await;
        }
        let _ = super::spread::read_root(self).await;
    }

    /// Greets the seeds until another VM is known.
    pub async fn greet(self) {
        loop {
            if self.others().is_empty() {
                for seed in self.vm.settings.seeds.clone() {
                    if seed != self.vm.settings.peer {
                        let frame = self.gossip(|g| g.join_probe());
                        self.send(seed, frame);
                    }
                }
            }
            tokio::time::sleep(GREET_EVERY).await;
        }
    }

    /// Hands over what others need and leaves.
    pub async fn leave(&self) {
        claims::release(self).await;
        bills::flush_own(self).await;
        let now = self.vm.clock.now();
        let out = self.gossip(|g| g.leave(now));
        for (to, frame) in out {
            let bytes = encode(&Envelope { from: self.vm.settings.vm.clone(), body: frame });
            self.links.send(to.address, bytes).await;
        }
    }
}

/// Drives the gossip at its pace.
struct Ticker(Control);

impl Actor for Ticker {
    type Context = Context<Ticker>;

    fn started(&mut self, context: &mut Context<Ticker>) {
        context.run_interval(TICK, |ticker, _| ticker.0.tick());
    }
}

fn kind(frame: &Frame) -> &'static str {
    match frame {
        Frame::Probe { .. } => "probe",
        Frame::Ack { .. } => "ack",
        Frame::ConfigRequest { .. } => "want",
        Frame::Config { .. } => "config",
        Frame::Adopted { .. } => "adopted",
        Frame::AdoptionAck { .. } => "noted",
    }
}
