//! Owner of the shards of idempotency keys: writes claims and outcomes in batches to the store,
//! each batch as the next link of the shard's chain.

use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use super::{Answer, Claim, Outcome, Record, SHARDS, Settlement, Shard, shard_of};
use crate::error::Error;
use crate::platform::{Store, WriteOutcome};
use crate::unit::{Moment, Span};
use crate::vm::Clock;

/// Sustained rate of links that a shard may write; the four shards together make 20 writes per
/// second.
const LINKS_PER_SECOND: f64 = 5.0;

/// Links that a shard may write in a burst when it has been idle.
const BURST_LINKS: f64 = 4.0;

/// Maximum time that outcomes wait for a claim to share a link with.
pub const MAX_SETTLE_DELAY: Duration = Duration::from_millis(300);

/// Maximum number of claims and outcomes in one link, which keeps it well below 1 MB.
const MAX_RECORDS_PER_LINK: usize = 200;

/// Number of links that are copied into one segment object, so that a new owner reads the chain of
/// a day in few calls.
const LINKS_PER_SEGMENT: u64 = 256;

/// Maximum size of a segment, below the platform's limit of 1 MB.
const MAX_SEGMENT_BYTES: usize = 900_000;

/// Attempts to write a batch before the claims in it are answered as unavailable.
const MAX_WRITE_ATTEMPTS: usize = 3;

/// Command to the task of one shard.
enum Command {
    Claim(Claim, oneshot::Sender<Answer>),
    Settle(Settlement),
}

/// Handle to the tasks with which a VM acts as owner of shards of keys.
#[derive(Clone)]
pub struct ShardOwner {
    shards: Vec<mpsc::UnboundedSender<Command>>,
}

impl ShardOwner {
    /// Starts one task per shard. Each task reads the chain of its shard when it gets the first
    /// command.
    pub fn start(store: &Store, clock: Clock) -> ShardOwner {
        let start = |number| {
            let (sender, receiver) = mpsc::unbounded_channel();
            let task = ShardTask::new(number, store, clock);
            actix_web::rt::spawn(task.run(receiver));
            sender
        };
        ShardOwner { shards: (0..SHARDS).map(start).collect() }
    }

    /// Claims a key and returns the answer once the claim is decided.
    pub async fn claim(&self, claim: Claim) -> Answer {
        let (sender, receiver) = oneshot::channel();
        let shard = &self.shards[shard_of(claim.key) as usize];
        let _ = shard.send(Command::Claim(claim, sender));
        receiver.await.unwrap_or(Answer::Unavailable)
    }

    /// Records the outcome of a claimed call without waiting for the write.
    pub fn settle(&self, settled: Settlement) {
        let _ = self.shards[shard_of(settled.key) as usize].send(Command::Settle(settled));
    }
}

/// Task that owns one shard.
struct ShardTask {
    number: u64,
    store: Store,
    clock: Clock,
    shard: Shard,
    /// Links that this task wrote since it last completed a segment or read a link of another
    /// writer.
    own_links: Vec<Vec<Record>>,
    /// Tokens of the bucket that limits writes; negative while a write waits.
    write_tokens: f64,
    refilled_at: Moment,
}

impl ShardTask {
    fn new(number: u64, store: &Store, clock: Clock) -> ShardTask {
        ShardTask {
            number,
            store: store.clone(),
            clock,
            shard: Shard::default(),
            own_links: Vec::new(),
            write_tokens: BURST_LINKS,
            refilled_at: clock.now(),
        }
    }

    /// Writes commands in batches until the [`ShardOwner`] is dropped. Outcomes wait for a claim to
    /// share a link with, up to `MAX_SETTLE_DELAY`.
    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let mut settled = Vec::new();
        loop {
            let first = if settled.is_empty() {
                commands.recv().await
            } else {
                match tokio::time::timeout(MAX_SETTLE_DELAY, commands.recv()).await {
                    Ok(command) => command,
                    Err(_) => {
                        self.write_batch(Vec::new(), &mut settled).await;
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
                self.write_batch(claims, &mut settled).await;
            }
        }
    }

    /// Waits for a token of the shard's token bucket, so that the fleet stays below its share of
    /// writes to the store.
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

    /// Writes a batch of claims and outcomes as a link and answers the claims. Claims that the
    /// links read so far decide are answered without a write; if another owner wrote the next link
    /// first, its records are applied and the rest is tried again. Outcomes that could not be
    /// written stay in `settled`.
    async fn write_batch(
        &mut self,
        claims: Vec<(Claim, oneshot::Sender<Answer>)>,
        settled: &mut Vec<Settlement>,
    ) {
        self.shard.evict_expired(self.clock.date());
        self.refresh_if_in_use(&claims).await;
        let mut pending = self.answer_decided(claims, settled);
        for _ in 0..MAX_WRITE_ATTEMPTS {
            if pending.is_empty() && settled.is_empty() {
                return;
            }
            match self.try_append(&pending, settled).await {
                Ok(true) => settled.clear(),
                Ok(false) => {}
                Err(_) => continue,
            }
            pending = self.answer_decided(pending, settled);
        }
        for (_, reply) in pending {
            let _ = reply.send(Answer::Unavailable);
        }
        // Unwritten outcomes are kept for the next write. Waiting gives the store time to recover.
        if !settled.is_empty() {
            tokio::time::sleep(MAX_SETTLE_DELAY).await;
        }
    }

    /// Reads new links of the chain if a claimed key seems to be in use: another VM may have owned
    /// the shard in the meantime and written the outcome of the call.
    async fn refresh_if_in_use(&mut self, claims: &[(Claim, oneshot::Sender<Answer>)]) {
        let is_in_use = |claim: &Claim| {
            matches!(self.shard.answer(claim), Some(Answer::Running(_) | Answer::Reserved(_)))
        };
        if !claims.iter().any(|(claim, _)| is_in_use(claim)) {
            return;
        }
        // If the store is unavailable, claims are answered from the links read so far.
        if self.read_new_links().await.is_ok_and(|read| read > 0) {
            self.own_links.clear();
        }
    }

    /// Answers the claims that the links read so far decide, and returns the others, at most one
    /// per key.
    fn answer_decided(
        &self,
        claims: Vec<(Claim, oneshot::Sender<Answer>)>,
        settled: &[Settlement],
    ) -> Vec<(Claim, oneshot::Sender<Answer>)> {
        let mut pending: Vec<(Claim, oneshot::Sender<Answer>)> = Vec::new();
        let mut first_claims: HashMap<super::Digest, Claim> = HashMap::new();
        for (claim, reply) in claims {
            if let Some(answer) = self.shard.answer(&claim) {
                let _ = reply.send(with_pending_outcome(answer, &claim, settled));
            } else if let Some(earlier) = first_claims.get(&claim.key) {
                let is_same = earlier.body == claim.body || earlier.reserved || claim.reserved;
                let holder = earlier.holder.clone();
                let answer = if is_same { Answer::Running(holder) } else { Answer::BodyMismatch };
                let _ = reply.send(answer);
            } else {
                first_claims.insert(claim.key, claim.clone());
                pending.push((claim, reply));
            }
        }
        pending
    }

    /// Tries to create the next link with these records and returns true if that succeeded. If
    /// another writer created the link first, reads the new links and returns false.
    async fn try_append(
        &mut self,
        pending: &[(Claim, oneshot::Sender<Answer>)],
        settled: &[Settlement],
    ) -> Result<bool, Error> {
        // A shard that was never read must be read first, because its next free link is unknown.
        if self.shard.next_link() == 0 && self.read_new_links().await? > 0 {
            return Ok(false);
        }
        let claims = pending.iter().map(|(claim, _)| Record::Claim(claim.clone()));
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
            // The response was lost, so read what the link contains. Request ids are unique, so an
            // equal body is this write.
            Err(error) => match self.store.get(&key).await? {
                Some(object) if object.body == body => {
                    self.append_own(records).await;
                    Ok(true)
                }
                Some(_) => {
                    self.own_links.clear();
                    self.read_new_links().await?;
                    Ok(false)
                }
                None => Err(error),
            },
        }
    }

    /// Returns the key of a link in the store.
    fn key(&self, link: u64) -> String {
        format!("once/{}/{link:012}", self.number)
    }

    /// Returns the key of a segment in the store.
    fn segment_key(&self, segment: u64) -> String {
        format!("once-segment/{}/{segment:012}", self.number)
    }

    /// Reads the links of the chain that this task has not read, first from whole segments, then
    /// one by one. Returns the number of links read.
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
                // Only a segment that was read link by link from its start is known completely.
                if links.len() as u64 == LINKS_PER_SEGMENT {
                    self.write_segment(links).await;
                }
            }
        }
        Ok(self.shard.next_link() - before)
    }

    /// Writes a segment with the links that this task has just read or written.
    ///
    /// Links never change, so all writers of a segment write the same content. If a write fails,
    /// the next reader repeats it.
    async fn write_segment(&self, links: Vec<Vec<Record>>) {
        let segment = self.shard.next_link() / LINKS_PER_SEGMENT - 1;
        let body = serde_json::to_vec(&links).expect("records are plain data");
        if body.len() <= MAX_SEGMENT_BYTES {
            let _ = self.store.create(&self.segment_key(segment), body).await;
        }
    }

    /// Applies a link that this task wrote, and writes a segment once it wrote all links of the
    /// segment.
    async fn append_own(&mut self, records: Vec<Record>) {
        self.own_links.push(records.clone());
        self.shard.apply_link(records);
        if !self.shard.next_link().is_multiple_of(LINKS_PER_SEGMENT) {
            return;
        }
        let links = std::mem::take(&mut self.own_links);
        // A segment with links of other writers is written by the task that reads it.
        if links.len() as u64 == LINKS_PER_SEGMENT {
            self.write_segment(links).await;
        }
    }
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| Error::Store(error.to_string()))
}

/// Replaces the answer `Running` by the outcome of the call if this task knows the outcome but has
/// not written it yet.
fn with_pending_outcome(answer: Answer, claim: &Claim, settled: &[Settlement]) -> Answer {
    let outcome = settled.iter().find(|s| s.key == claim.key).map(|s| &s.outcome);
    match (answer, outcome) {
        (Answer::Running(_), Some(ran @ Outcome::Ran { .. })) => Answer::Ended(ran.clone()),
        (answer, _) => answer,
    }
}

/// Adds a command to the pending claims or outcomes.
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

    fn task(store: &Store) -> ShardTask {
        ShardTask::new(0, store, Clock::default())
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
        crate::command::block_on(async {
            let store = Store::new(running.address);
            let (mut first, mut second) = (task(&store), task(&store));
            let date = first.clock.date();
            let held = claim(1, date);
            let (sender, receiver) = oneshot::channel();
            first.write_batch(vec![(held.clone(), sender)], &mut Vec::new()).await;
            assert_eq!(receiver.await.unwrap(), Answer::Granted);
            second.read_new_links().await.unwrap();
            let outcome = Outcome::Ran { status: 200, content_type: String::new(), body: None };
            let Claim { key, request, body, .. } = held.clone();
            let settled = Settlement { key, request, body, outcome: outcome.clone() };
            first.write_batch(Vec::new(), &mut vec![settled]).await;
            let again = Claim { request: "another".parse().unwrap(), ..held };
            let (sender, receiver) = oneshot::channel();
            second.write_batch(vec![(again, sender)], &mut Vec::new()).await;
            assert_eq!(receiver.await.unwrap(), Answer::Ended(outcome));
        });
        running.kill();
    }

    #[test]
    fn a_new_owner_reads_a_long_chain_in_few_calls_and_knows_every_key() {
        const LINKS: u64 = 600;
        let platform = Platform::new(Rates { writes: 1e6, reads: 1e6 }, Sink::default());
        let running = platform.launch("127.0.0.1:0".parse().unwrap()).unwrap();
        crate::command::block_on(async {
            let store = Store::new(running.address);
            let mut first = task(&store);
            let date = first.clock.date();
            for i in 0..LINKS {
                let (sender, receiver) = oneshot::channel();
                first.write_batch(vec![(claim(i, date), sender)], &mut Vec::new()).await;
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
