//! Limits what clients cost a VM, over all of them together: memory for what they send and don't
//! read, and connections. If there is too little for a client, others are closed that hold much and
//! don't move, so that an ordinary request needn't wait behind clients that have stopped.

use std::collections::HashMap;
use std::collections::hash_map::Entry;

use crate::unit::{Moment, Size, Span};

/// Part of the memory of a VM that its clients may take.
const MEMORY_FRACTION: f64 = 0.2;

/// Memory of a connection besides heads, bodies and responses: its buffers and its task.
pub const CONNECTION_COST: Size = Size(20_000);

/// Memory up to which a client counts as ordinary. Larger ones leave as much memory as they take,
/// and give way to ordinary ones.
const ORDINARY_COST: Size = Size(128_000);

/// Time without progress after which a client counts as stalled. Below it, the loss of a packet may
/// be the cause.
const STALLED_AFTER: Span = Span::millis(250);

/// Part of the descriptors that are left for connections which clients may take. Each request that
/// runs takes one more, to a backend server.
const CONNECTIONS_FRACTION: f64 = 0.5;

/// Descriptors that are not for connections, unless there are few.
const RESERVED_DESCRIPTORS: u64 = 200;

/// Identifies a connection of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(u64);

impl std::fmt::Display for Id {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What clients may take together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory.
    pub memory: Size,
    /// Open connections.
    pub connections: usize,
}

impl Limits {
    /// Returns the limits of a VM with this memory and this number of descriptors, if it is known.
    pub fn new(memory: Size, descriptors: Option<u64>) -> Limits {
        let memory = Size((memory.0 as f64 * MEMORY_FRACTION) as u64);
        let connections = descriptors.map_or(usize::MAX, |all| {
            let left = all - RESERVED_DESCRIPTORS.min(all / 4);
            (left as f64 * CONNECTIONS_FRACTION) as usize
        });
        Limits { memory, connections }
    }
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It has no request, or an incomplete head.
    Waiting,
    /// It sends the body of a request.
    Sending,
    /// Its request runs.
    Running,
    /// It reads a response more slowly than the response comes.
    Receiving,
}

impl Stage {
    /// Returns the stage as a log line names it.
    pub fn name(self) -> &'static str {
        match self {
            Stage::Waiting => "waiting",
            Stage::Sending => "sending",
            Stage::Running => "running",
            Stage::Receiving => "receiving",
        }
    }
}

/// State of a connection.
#[derive(Clone, Copy, Debug)]
struct Client {
    held: Size,
    stage: Stage,
    /// When it last sent or took bytes.
    progress_at: Moment,
    is_open: bool,
}

/// A client that is closed to make room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Eviction {
    /// The client.
    pub id: Id,
    /// What it did.
    pub stage: Stage,
    /// Memory that it held.
    pub held: Size,
    /// Time since its last progress.
    pub stalled: Span,
}

/// There is too little memory, or too few connections, and no other client may be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

/// The clients of a VM.
#[derive(Debug)]
pub struct Clients {
    limits: Limits,
    clients: HashMap<Id, Client>,
    used: Size,
    open: usize,
    next: u64,
}

impl Clients {
    /// Creates the state of a VM without clients.
    pub fn new(limits: Limits) -> Clients {
        Clients { limits, clients: HashMap::new(), used: Size(0), open: 0, next: 0 }
    }

    /// Returns the memory that clients hold.
    pub fn used(&self) -> Size {
        self.used
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Adds a connection. The clients in the result must be closed.
    ///
    /// # Errors
    /// `NoRoom` if the connection must be closed instead.
    pub fn connect(&mut self, now: Moment) -> Result<(Id, Vec<Eviction>), NoRoom> {
        let id = Id(self.next);
        let mut evictions = self.make_room(id, Size(0), CONNECTION_COST, now)?;
        if self.open >= self.limits.connections {
            evictions.push(self.evict_idlest(now).ok_or(NoRoom)?);
        }
        self.next += 1;
        self.open += 1;
        let client = Client {
            held: CONNECTION_COST,
            stage: Stage::Waiting,
            progress_at: now,
            is_open: true,
        };
        self.clients.insert(id, client);
        self.used.0 += CONNECTION_COST.0;
        Ok((id, evictions))
    }

    /// Changes the memory that a client holds. The clients in the result must be closed.
    ///
    /// # Errors
    /// `NoRoom` if there is too little memory, or the client was closed; nothing changes.
    pub fn hold(&mut self, id: Id, size: Size, now: Moment) -> Result<Vec<Eviction>, NoRoom> {
        let held = self.clients.get(&id).ok_or(NoRoom)?.held;
        if size <= held {
            self.set_held(id, size);
            return Ok(Vec::new());
        }
        let evictions = self.make_room(id, held, size, now)?;
        self.set_held(id, size);
        Ok(evictions)
    }

    /// Changes the memory that a client holds to what it takes already. The clients in the result
    /// must be closed; the client itself may be one of them.
    pub fn record_held(&mut self, id: Id, size: Size, now: Moment) -> Vec<Eviction> {
        self.set_held(id, size);
        let mut evictions = Vec::new();
        if self.used <= self.limits.memory {
            return evictions;
        }
        for other in self.by_preference(size, now) {
            if self.used <= self.limits.memory {
                break;
            }
            evictions.extend(self.evict(other, now));
        }
        evictions
    }

    /// Adds an evicted client again, which gets a refusal before its connection ends. The clients in
    /// the result must be closed.
    pub fn readmit(&mut self, id: Id, size: Size, now: Moment) -> Vec<Eviction> {
        let client =
            Client { held: Size(0), stage: Stage::Waiting, progress_at: now, is_open: true };
        if let Entry::Vacant(entry) = self.clients.entry(id) {
            entry.insert(client);
            self.open += 1;
        }
        self.record_held(id, size, now)
    }

    /// Records what a connection does.
    pub fn set_stage(&mut self, id: Id, stage: Stage) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.stage = stage;
        }
    }

    /// Records that a client sent or took bytes.
    pub fn on_progress(&mut self, id: Id, now: Moment) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.progress_at = now;
        }
    }

    /// Records that a connection was closed. What it holds is counted until [`Clients::remove`].
    pub fn on_closed(&mut self, id: Id) {
        if let Some(client) = self.clients.get_mut(&id)
            && std::mem::replace(&mut client.is_open, false)
        {
            self.open -= 1;
        }
    }

    /// Removes a client, which holds nothing any more.
    pub fn remove(&mut self, id: Id) {
        self.on_closed(id);
        self.set_held(id, Size(0));
        self.clients.remove(&id);
    }

    fn set_held(&mut self, id: Id, size: Size) {
        if let Some(client) = self.clients.get_mut(&id) {
            self.used.0 = self.used.0 - client.held.0 + size.0;
            client.held = size;
        }
    }

    /// Returns true if a client that holds `held` may hold `size` once others have freed `freed`.
    fn fits(&self, held: Size, size: Size, freed: Size) -> bool {
        let used = self.used.0 - held.0 - freed.0 + size.0;
        let left = self.limits.memory.0.checked_sub(used);
        left.is_some_and(|left| size <= ORDINARY_COST || size.0 <= left)
    }

    /// Evicts as many clients as needed for the client `id`, which holds `held`, to hold `size`.
    ///
    /// # Errors
    /// `NoRoom` if all that may be evicted are not enough; none is evicted then.
    fn make_room(
        &mut self,
        id: Id,
        held: Size,
        size: Size,
        now: Moment,
    ) -> Result<Vec<Eviction>, NoRoom> {
        let mut freed = Size(0);
        let mut chosen = Vec::new();
        if !self.fits(held, size, freed) {
            let mut others = self.by_preference(size, now).into_iter().filter(|other| *other != id);
            while !self.fits(held, size, freed) {
                let other = others.next().ok_or(NoRoom)?;
                freed.0 += self.clients[&other].held.0;
                chosen.push(other);
            }
        }
        Ok(chosen.into_iter().filter_map(|other| self.evict(other, now)).collect())
    }

    /// Returns the clients that may be closed for one that wants to hold `wanted`, the first to be
    /// closed first: those that stalled, by what they hold and for how long; for an ordinary one
    /// then those that hold more, and those that wait.
    fn by_preference(&self, wanted: Size, now: Moment) -> Vec<Id> {
        let is_ordinary = wanted <= ORDINARY_COST;
        let rank = |(id, client): (&Id, &Client)| {
            let stalled = now.since(client.progress_at);
            let weight = client.held.0.saturating_mul(stalled.0);
            let class = match client.stage {
                Stage::Running => return None,
                _ if !client.is_open => return None,
                _ if stalled >= STALLED_AFTER => 2,
                Stage::Sending | Stage::Receiving if is_ordinary && client.held > ORDINARY_COST => {
                    1
                }
                Stage::Waiting if is_ordinary => 0,
                _ => return None,
            };
            Some(((class, weight), *id))
        };
        let mut ranked: Vec<((u8, u64), Id)> = self.clients.iter().filter_map(rank).collect();
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        ranked.into_iter().map(|(_, id)| id).collect()
    }

    /// Evicts the client that has waited for a request, or within one, for longest. It must be
    /// closed.
    pub fn evict_idlest(&mut self, now: Moment) -> Option<Eviction> {
        let waiting = self.clients.iter().filter(|(_, client)| {
            client.is_open && matches!(client.stage, Stage::Waiting | Stage::Sending)
        });
        let idlest = waiting.min_by_key(|(id, client)| (client.progress_at, **id));
        let id = *idlest?.0;
        self.evict(id, now)
    }

    /// Removes a client and counts its memory as free, since it is closed at once.
    fn evict(&mut self, id: Id, now: Moment) -> Option<Eviction> {
        let Client { held, stage, progress_at, .. } = *self.clients.get(&id)?;
        self.remove(id);
        Some(Eviction { id, stage, held, stalled: now.since(progress_at) })
    }
}
