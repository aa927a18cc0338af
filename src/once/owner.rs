//! The owner of shards: gathers claims and writes many of them in one link.

use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use super::{Answer, Claim, Outcome, Record, SHARDS, Settlement, Shard, shard_of};
use crate::error::Error;
use crate::platform::{Store, WriteOutcome};
use crate::unit::{Moment, Span};
use crate::vm::Clock;

/// Links a second of one shard once its burst is spent; four shards make 20 writes a second.
const LINKS_PER_SECOND: f64 = 5.0;

/// Links that a shard may write at once after a rest.
const BURST_LINKS: f64 = 4.0;

/// Outcomes wait this long for a claim to share a link with.
pub const MAX_SETTLE_DELAY: Duration = Duration::from_millis(300);

/// Claims and outcomes in one link, well within 1 MB.
const MAX_RECORDS_PER_LINK: usize = 200;

/// Links that are joined into one object, so that a new owner reads a day in few calls.
const LINKS_PER_SEGMENT: u64 = 256;

/// Largest joined object, within the platform's 1 MB.
const MAX_SEGMENT_BYTES: usize = 900_000;

/// Tries of one batch against a store that does not answer.
const MAX_WRITE_ATTEMPTS: usize = 3;

/// What an owner is asked.
enum Command {
    Claim(Claim, oneshot::Sender<Answer>),
    Settle(Settlement),
}

/// A handle to the tasks of a VM's shards.
#[derive(Clone)]
pub struct Owner {
    shards: Vec<mpsc::UnboundedSender<Command>>,
}

impl Owner {
    /// Starts the tasks; they read their chain when first asked.
    pub fn start(store: &Store, clock: Clock) -> Owner {
        let start = |number| {
            let (sender, receiver) = mpsc::unbounded_channel();
            let task = Task::new(number, store, clock);
            actix_web::rt::spawn(task.run(receiver));
            sender
        };
        Owner { shards: (0..SHARDS).map(start).collect() }
    }

    /// Claims a key for a request.
    pub async fn claim(&self, claim: Claim) -> Answer {
        let (sender, receiver) = oneshot::channel();
        let shard = &self.shards[shard_of(claim.key) as usize];
        let _ = shard.send(Command::Claim(claim, sender));
        receiver.await.unwrap_or(Answer::Unavailable)
    }

    /// Notes how a claimed call ended.
    pub fn settle(&self, settled: Settlement) {
        let _ = self.shards[shard_of(settled.key) as usize].send(Command::Settle(settled));
    }
}

struct Task {
    number: u64,
    store: Store,
    clock: Clock,
    shard: Shard,
    own_links: Vec<Vec<Record>>,
    write_tokens: f64,
    refilled_at: Moment,
}

impl Task {
    fn new(number: u64, store: &Store, clock: Clock) -> Task {
        Task {
            number,
            store: store.clone(),
            clock,
            shard: Shard::default(),
            own_links: Vec::new(),
            write_tokens: BURST_LINKS,
            refilled_at: clock.now(),
        }
    }

    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let mut settled = Vec::new();
        loop {
            let first = if settled.is_empty() {
                commands.recv().await
            } else {
                match tokio::time::timeout(MAX_SETTLE_DELAY, commands.recv()).await {
                    Ok(command) => command,
                    Err(_) => {
                        self.write(Vec::new(), &mut settled).await;
                        continue;
                    }
                }
            };
            let Some(first) = first else { return };
            let mut claims = Vec::new();
            enqueue(first, &mut claims, &mut settled);
            if !claims.is_empty() {
                self.wait_for_write_token().await;
            }
            while claims.len() + settled.len() < MAX_RECORDS_PER_LINK {
                let Ok(command) = commands.try_recv() else { break };
                enqueue(command, &mut claims, &mut settled);
            }
            if !claims.is_empty() || settled.len() >= MAX_RECORDS_PER_LINK {
                self.write(claims, &mut settled).await;
            }
        }
    }

    /// Waits until the shard may write again, so that the fleet keeps under its share of writes.
    async fn wait_for_write_token(&mut self) {
        let now = self.clock.now();
        let gained = now.since(self.refilled_at).as_secs() * LINKS_PER_SECOND;
        self.write_tokens = (self.write_tokens + gained).min(BURST_LINKS) - 1.0;
        self.refilled_at = now;
        if self.write_tokens < 0.0 {
            let wait = Span((-self.write_tokens / LINKS_PER_SECOND * 1e6) as u64);
            tokio::time::sleep(wait.duration()).await;
        }
    }

    async fn write(
        &mut self,
        claims: Vec<(Claim, oneshot::Sender<Answer>)>,
        settled: &mut Vec<Settlement>,
    ) {
        self.shard.evict(self.clock.date());
        self.refresh(&claims).await;
        let mut open = self.answer_known(claims, settled);
        for _ in 0..MAX_WRITE_ATTEMPTS {
            if open.is_empty() && settled.is_empty() {
                return;
            }
            match self.try_append(&open, settled).await {
                Ok(true) => settled.clear(),
                Ok(false) => {}
                Err(_) => continue,
            }
            open = self.answer_known(open, settled);
        }
        for (_, reply) in open {
            let _ = reply.send(Answer::Unavailable);
        }
        // Without claims to refuse, outcomes wait for the store to come back.
        if !settled.is_empty() {
            tokio::time::sleep(MAX_SETTLE_DELAY).await;
        }
    }

    /// Reads on before a key is called taken but not ended: another VM may have owned the shard
    /// meanwhile and have written how its call ended.
    async fn refresh(&mut self, claims: &[(Claim, oneshot::Sender<Answer>)]) {
        let open = |claim: &Claim| {
            matches!(self.shard.answer(claim), Some(Answer::Running(_) | Answer::Reserved(_)))
        };
        if !claims.iter().any(|(claim, _)| open(claim)) {
            return;
        }
        // Without the store, what is known here must do.
        if self.read_new_links().await.is_ok_and(|read| read > 0) {
            self.own_links.clear();
        }
    }

    /// Answers what the chain decides already and returns the rest, one claim for each key.
    fn answer_known(
        &self,
        claims: Vec<(Claim, oneshot::Sender<Answer>)>,
        settled: &[Settlement],
    ) -> Vec<(Claim, oneshot::Sender<Answer>)> {
        let mut open: Vec<(Claim, oneshot::Sender<Answer>)> = Vec::new();
        let mut first: HashMap<super::Digest, Claim> = HashMap::new();
        for (claim, reply) in claims {
            if let Some(answer) = self.shard.answer(&claim) {
                let _ = reply.send(with_pending_outcome(answer, &claim, settled));
            } else if let Some(before) = first.get(&claim.key) {
                let same = before.body == claim.body || before.reserved || claim.reserved;
                let holder = before.holder.clone();
                let answer = if same { Answer::Running(holder) } else { Answer::BodyMismatch };
                let _ = reply.send(answer);
            } else {
                first.insert(claim.key, claim.clone());
                open.push((claim, reply));
            }
        }
        open
    }

    /// Tries to create the next link; reads on if it was taken. Whether ours took effect.
    async fn try_append(
        &mut self,
        open: &[(Claim, oneshot::Sender<Answer>)],
        settled: &[Settlement],
    ) -> Result<bool, Error> {
        // A shard that was never read has to be: its first free link is not known.
        if self.shard.next_link() == 0 && self.read_new_links().await? > 0 {
            return Ok(false);
        }
        let claims = open.iter().map(|(claim, _)| Record::Claim(claim.clone()));
        let outcomes = settled.iter().cloned().map(Record::Settled);
        let records: Vec<Record> = claims.chain(outcomes).collect();
        let body = serde_json::to_vec(&records).expect("records are plain data");
        let key = self.key(self.shard.next_link());
        match self.store.create(&key, body.clone()).await {
            Ok(WriteOutcome::Applied) => {
                self.append_own(records).await;
                Ok(true)
            }
            Ok(WriteOutcome::Conflict) => {
                self.own_links.clear();
                self.read_new_links().await?;
                Ok(false)
            }
            // Lost answer: what stands there tells. Request ids make equal bodies ours.
            Err(fault) => match self.store.get(&key).await? {
                Some(object) if object.body == body => {
                    self.append_own(records).await;
                    Ok(true)
                }
                Some(_) => {
                    self.own_links.clear();
                    self.read_new_links().await?;
                    Ok(false)
                }
                None => Err(fault),
            },
        }
    }

    fn key(&self, link: u64) -> String {
        format!("once/{}/{link:012}", self.number)
    }

    fn segment_key(&self, segment: u64) -> String {
        format!("once-segment/{}/{segment:012}", self.number)
    }

    /// Reads the chain from where this shard stands: whole segments first, then links.
    async fn read_new_links(&mut self) -> Result<u64, Error> {
        let before = self.shard.next_link();
        while self.shard.next_link().is_multiple_of(LINKS_PER_SEGMENT) {
            let segment = self.shard.next_link() / LINKS_PER_SEGMENT;
            let Some(object) = self.store.get(&self.segment_key(segment)).await? else { break };
            let links: Vec<Vec<Record>> = parse(&object.body)?;
            links.into_iter().for_each(|records| self.shard.apply_link(records));
        }
        let mut links = Vec::new();
        while let Some(object) = self.store.get(&self.key(self.shard.next_link())).await? {
            let records: Vec<Record> = parse(&object.body)?;
            links.push(records.clone());
            self.shard.apply_link(records);
            if self.shard.next_link().is_multiple_of(LINKS_PER_SEGMENT) {
                let links = std::mem::take(&mut links);
                // Only a segment that was read from its beginning is known whole.
                if links.len() as u64 == LINKS_PER_SEGMENT {
                    self.write_segment(links).await;
                }
            }
        }
        Ok(self.shard.next_link() - before)
    }

    /// Joins the links that this shard has just read or written into a segment.
    ///
    /// Links never change, so every writer of a segment writes the same, and one that fails is
    /// written by the next reader.
    async fn write_segment(&self, links: Vec<Vec<Record>>) {
        let segment = self.shard.next_link() / LINKS_PER_SEGMENT - 1;
        let body = serde_json::to_vec(&links).expect("records are plain data");
        if body.len() <= MAX_SEGMENT_BYTES {
            let _ = self.store.create(&self.segment_key(segment), body).await;
        }
    }

    /// Takes a link of this shard's own, and joins a segment when it is full.
    async fn append_own(&mut self, records: Vec<Record>) {
        self.own_links.push(records.clone());
        self.shard.apply_link(records);
        if !self.shard.next_link().is_multiple_of(LINKS_PER_SEGMENT) {
            return;
        }
        let links = std::mem::take(&mut self.own_links);
        // What was read rather than written here is joined by readers.
        if links.len() as u64 == LINKS_PER_SEGMENT {
            self.write_segment(links).await;
        }
    }
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|fault| Error::Store(fault.to_string()))
}

/// A call whose outcome waits for its link has ended, though the chain does not tell yet.
fn with_pending_outcome(answer: Answer, claim: &Claim, settled: &[Settlement]) -> Answer {
    let outcome = settled.iter().find(|s| s.key == claim.key).map(|s| &s.outcome);
    match (answer, outcome) {
        (Answer::Running(_), Some(ran @ Outcome::Ran { .. })) => Answer::Ended(ran.clone()),
        (answer, _) => answer,
    }
}

fn enqueue(
    command: Command,
    claims: &mut Vec<(Claim, oneshot::Sender<Answer>)>,
    settled: &mut Vec<Settlement>,
) {
    match command {
        Command::Claim(claim, reply) => claims.push((claim, reply)),
        Command::Settle(outcome) => settled.push(outcome),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::evidence::Origin;
    use crate::history::Sink;
    use crate::standin::platform::{Platform, Rates};
    use crate::unit::{Date, Incarnation};

    fn task(store: &Store) -> Task {
        Task::new(0, store, Clock::default())
    }

    fn claim(i: u64, date: Date) -> Claim {
        Claim {
            key: super::super::digest(&[&i.to_be_bytes()]),
            body: super::super::digest(&[b"body"]),
            request: format!("r{i}").parse().unwrap(),
            workspace: "w".parse().unwrap(),
            holder: Origin { vm: "a".parse().unwrap(), incarnation: Incarnation(1) },
            date,
            reserved: false,
        }
    }

    #[test]
    fn an_owner_that_was_passed_over_for_a_while_learns_what_has_ended() {
        let platform = Platform::new(Rates { writes: 1e6, reads: 1e6 }, Sink::default());
        let running = platform.launch("127.0.0.1:0".parse().unwrap()).unwrap();
        crate::command::block(async {
            let store = Store::new(running.address);
            let (mut first, mut second) = (task(&store), task(&store));
            let date = first.clock.date();
            let held = claim(1, date);
            let (sender, receiver) = oneshot::channel();
            first.write(vec![(held.clone(), sender)], &mut Vec::new()).await;
            assert_eq!(receiver.await.unwrap(), Answer::Granted);
            second.read_new_links().await.unwrap();
            let outcome = Outcome::Ran { status: 200, content_type: String::new(), body: None };
            let Claim { key, request, body, .. } = held.clone();
            let settled = Settlement { key, request, body, outcome: outcome.clone() };
            first.write(Vec::new(), &mut vec![settled]).await;
            let again = Claim { request: "another".parse().unwrap(), ..held };
            let (sender, receiver) = oneshot::channel();
            second.write(vec![(again, sender)], &mut Vec::new()).await;
            assert_eq!(receiver.await.unwrap(), Answer::Ended(outcome));
        });
        running.kill();
    }

    #[test]
    fn a_new_owner_reads_a_long_chain_in_few_calls_and_knows_every_key() {
        const LINKS: u64 = 600;
        let platform = Platform::new(Rates { writes: 1e6, reads: 1e6 }, Sink::default());
        let running = platform.launch("127.0.0.1:0".parse().unwrap()).unwrap();
        crate::command::block(async {
            let store = Store::new(running.address);
            let mut first = task(&store);
            let date = first.clock.date();
            for i in 0..LINKS {
                let (sender, receiver) = oneshot::channel();
                first.write(vec![(claim(i, date), sender)], &mut Vec::new()).await;
                assert_eq!(receiver.await.unwrap(), Answer::Granted);
            }
            let before = platform.calls().reads;
            let mut second = task(&store);
            second.read_new_links().await.unwrap();
            let calls = platform.calls().reads - before;
            assert_eq!(second.shard.next_link(), LINKS);
            assert!(calls < 2 + LINKS % LINKS_PER_SEGMENT + 4, "{calls} calls");
            for i in 0..LINKS {
                let again = Claim { request: "another".parse().unwrap(), ..claim(i, date) };
                assert!(matches!(second.shard.answer(&again), Some(Answer::Running(_))));
            }
        });
        running.kill();
    }
}
