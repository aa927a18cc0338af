//! The clients of a VM and what each of them holds, shared by the threads that serve them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Waker};

use prometheus::{IntCounterVec, IntGaugeVec, Opts};

use crate::decide::clients::{CONNECTION_COST, Clients, Eviction, Id, Limits, NoRoom, Stage};
use crate::unit::{Moment, Size};
use crate::vm::Clock;

/// Most evictions that are kept for the log.
const MAX_LOGGED_EVICTIONS: usize = 64;

/// Bytes of memory that one byte of a head takes, as small requests are decoded into large ones.
const HEAD_COST: u64 = 16;

/// Bytes of memory that one byte of a response counts as: while its client doesn't take it, it is
/// missing for the responses of others too.
const RESPONSE_COST: u64 = 2;

/// Part of the clients' memory that the buffer of one socket takes at most, in each direction.
const SOCKET_BUFFER_FRACTION: u64 = 1024;

/// Smallest and largest size that is set for the buffer of a socket.
const SOCKET_BUFFER_RANGE: (u64, u64) = (16_000, 256_000);

/// What one connection holds and does.
#[derive(Clone, Default)]
struct Connection {
    /// Memory of heads that were read, or of bytes that wait in the socket.
    input: u64,
    /// True if all requests whose heads were read have ended when more is read.
    are_heads_handled: bool,
    /// Bodies of requests.
    bodies: u64,
    /// Memory of the response that is made.
    response: u64,
    /// Bytes of responses that the socket has not taken.
    output: u64,
    /// Requests that are handled or whose response is being made.
    requests: u32,
    is_reading_body: bool,
    /// True if the body of the request that is handled was read to its end.
    is_body_read: bool,
    /// True if a response was made and not all of it has been written to the socket.
    has_output: bool,
    /// True if the socket took less than there was.
    is_blocked: bool,
    /// True if nothing more is read, since a request was refused before its end.
    is_input_closed: bool,
    waker: Option<Waker>,
}

impl Connection {
    fn held(&self) -> Size {
        Size(CONNECTION_COST.0 + self.input + self.bodies + self.response + self.output)
    }

    fn stage(&self) -> Stage {
        match self {
            _ if self.is_reading_body => Stage::Sending,
            _ if self.is_blocked => Stage::Receiving,
            _ if self.requests > 0 => Stage::Running,
            _ if self.has_output => Stage::Receiving,
            _ => Stage::Waiting,
        }
    }

    /// Returns true if a response is made and not all of it was written.
    fn is_responding(&self) -> bool {
        self.has_output || self.is_blocked || self.response > 0
    }

    fn wake(&self) {
        if let Some(waker) = &self.waker {
            waker.wake_by_ref();
        }
    }
}

struct State {
    clients: Clients,
    connections: HashMap<Id, Connection>,
    evictions: Vec<Eviction>,
}

/// The clients of a VM. Clones share them.
#[derive(Clone)]
pub struct Table {
    state: Arc<Mutex<State>>,
    clock: Clock,
    limits: Limits,
    closed: IntCounterVec,
    usage: IntGaugeVec,
}

impl Table {
    /// Creates the table of a VM with these limits.
    pub fn new(limits: Limits, clock: Clock) -> Table {
        let state = State {
            clients: Clients::new(limits),
            connections: HashMap::new(),
            evictions: Vec::new(),
        };
        let opts = Opts::new("kitepulley_clients_closed", "Clients closed to make room.");
        let closed = IntCounterVec::new(opts, &["stage"]).expect("the name is well formed");
        let opts = Opts::new("kitepulley_clients", "Clients: connections and bytes of memory.");
        let usage = IntGaugeVec::new(opts, &["unit"]).expect("the name is well formed");
        Table { state: Arc::new(Mutex::new(state)), clock, limits, closed, usage }
    }

    /// Returns the counter of clients that were closed to make room for others, by what they did, or
    /// that were turned away.
    pub fn closed(&self) -> IntCounterVec {
        self.closed.clone()
    }

    /// Returns the gauge of connections and memory, which [`Table::update_gauges`] sets.
    pub fn gauge(&self) -> IntGaugeVec {
        self.usage.clone()
    }

    /// Sets the gauge to the present state.
    pub fn update_gauges(&self) {
        let (used, open) = self.usage();
        self.usage.with_label_values(&["connections"]).set(open as i64);
        self.usage.with_label_values(&["bytes"]).set(used.0 as i64);
    }

    /// Returns the memory that clients hold, and the number of their connections.
    pub fn usage(&self) -> (Size, usize) {
        let state = self.lock();
        (state.clients.used(), state.clients.open())
    }

    /// Returns true if a response is still to be written to a client.
    pub fn is_responding(&self) -> bool {
        let state = self.lock();
        state.connections.values().any(Connection::is_responding)
    }

    /// Returns the clients that were closed since the last call, as many as are kept.
    pub fn take_evictions(&self) -> Vec<Eviction> {
        std::mem::take(&mut self.lock().evictions)
    }

    /// Returns the size of the buffers of a client's socket, in bytes.
    pub fn socket_buffer(&self) -> usize {
        let (least, most) = SOCKET_BUFFER_RANGE;
        (self.limits.memory.0 / SOCKET_BUFFER_FRACTION).clamp(least, most) as usize
    }

    /// Adds a connection; `None` if it must be closed, since there is no room for it.
    pub fn connect(&self) -> Option<Arc<Account>> {
        let now = self.clock.now();
        let mut state = self.lock();
        let Ok((id, evictions)) = state.clients.connect(now) else {
            self.closed.with_label_values(&["new"]).inc();
            return None;
        };
        state.connections.insert(id, Connection::default());
        self.close(&mut state, evictions);
        Some(Arc::new(Account { table: self.clone(), id }))
    }

    /// Closes the client that has waited for longest, since the VM has no descriptor left.
    pub fn close_idlest(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let evicted = state.clients.evict_idlest(now);
        self.close(&mut state, evicted.into_iter().collect());
    }

    /// Forgets clients that are closed to make room, and wakes their tasks, which find out.
    fn close(&self, state: &mut State, evictions: Vec<Eviction>) {
        for eviction in evictions {
            self.closed.with_label_values(&[eviction.stage.name()]).inc();
            if let Some(connection) = state.connections.remove(&eviction.id) {
                connection.wake();
            }
            if state.evictions.len() < MAX_LOGGED_EVICTIONS {
                state.evictions.push(eviction);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while held")
    }
}

/// What may be read from a client now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The head of a request.
    Head,
    /// The body of a request.
    Body,
    /// Only the end of the connection; bytes stay in the socket.
    Paused,
    /// As `Paused`, for good: a request was refused before its end.
    Refused,
    /// Nothing: the client is closed.
    Closed,
}

/// One connection of a client.
pub struct Account {
    table: Table,
    id: Id,
}

impl Account {
    /// Returns what may be read now; the task of `cx` is woken when that changes.
    pub fn input(&self, cx: &Context<'_>) -> Input {
        let mut state = self.table.lock();
        let Some(connection) = state.connections.get_mut(&self.id) else { return Input::Closed };
        if connection.waker.as_ref().is_none_or(|waker| !waker.will_wake(cx.waker())) {
            connection.waker = Some(cx.waker().clone());
        }
        if connection.is_input_closed {
            return Input::Refused;
        }
        if connection.is_reading_body {
            return Input::Body;
        }
        if connection.requests > 0 || connection.has_output {
            return Input::Paused;
        }
        let are_heads_handled = std::mem::take(&mut connection.are_heads_handled);
        drop(state);
        if are_heads_handled {
            self.record(|connection| connection.input = 0);
        }
        Input::Head
    }

    /// Records that bytes were read. Returns false if the client is closed, since there is no room
    /// for them.
    pub fn on_read(&self, bytes: usize) -> bool {
        self.on_progress();
        self.change(|connection| {
            if !connection.is_reading_body {
                connection.input += HEAD_COST * bytes as u64;
            }
        })
    }

    /// Records that bytes wait in the socket while nothing is read.
    pub fn on_unread(&self) {
        let size = self.table.socket_buffer() as u64;
        self.record(|connection| connection.input = connection.input.max(size));
    }

    /// Records that the socket did not take this number of bytes of responses. Returns false if the
    /// client is closed.
    pub fn on_write_blocked(&self, bytes: usize) -> bool {
        self.record(|connection| {
            connection.output = connection.output.max(bytes as u64);
            connection.is_blocked = true;
        })
    }

    /// Records that the socket took bytes of responses. Returns false if the client is closed.
    pub fn on_written(&self, left: usize) -> bool {
        self.on_progress();
        self.record(|connection| {
            connection.output = connection.output.min(left as u64);
            connection.is_blocked &= left > 0;
        })
    }

    /// Records that the socket took all bytes of responses so far.
    pub fn on_flushed(&self) {
        self.record(|connection| {
            connection.output = 0;
            connection.is_blocked = false;
            if connection.has_output {
                connection.has_output = false;
                connection.wake();
            }
        });
    }

    /// Returns true if a response was made and not yet written.
    pub fn has_output(&self) -> bool {
        let state = self.table.lock();
        state.connections.get(&self.id).is_some_and(|connection| connection.has_output)
    }

    /// Returns true if the client was closed to make room for others.
    pub fn is_evicted(&self) -> bool {
        !self.table.lock().connections.contains_key(&self.id)
    }

    /// Begins a request, which ends when the result is dropped.
    pub fn begin_request(self: &Arc<Self>) -> Request {
        self.record(|connection| {
            connection.requests += 1;
            connection.is_body_read = false;
        });
        Request { account: self.clone() }
    }

    /// Records that the body of a request is being read.
    pub fn begin_body(&self) {
        self.record(|connection| connection.is_reading_body = true);
    }

    /// Records that the body of a request was read to its end.
    pub fn end_body(&self) {
        self.record(|connection| {
            connection.is_reading_body = false;
            connection.is_body_read = true;
        });
    }

    /// Returns true if the body of the request that is handled was not read to its end.
    pub fn is_body_unread(&self) -> bool {
        let state = self.table.lock();
        state.connections.get(&self.id).is_none_or(|connection| !connection.is_body_read)
    }

    /// Stops reading, since a request was refused before its end. A client that was closed to make
    /// room is known again, so that it gets the refusal.
    pub fn close_input(&self) {
        let unread = self.table.socket_buffer() as u64;
        let now = self.table.clock.now();
        let mut state = self.table.lock();
        let connection = state.connections.entry(self.id).or_default();
        connection.is_input_closed = true;
        connection.is_reading_body = false;
        connection.input = connection.input.max(unread);
        let (held, stage) = (connection.held(), connection.stage());
        let evictions = state.clients.readmit(self.id, held, now);
        state.clients.set_stage(self.id, stage);
        self.table.close(&mut state, evictions);
    }

    /// Takes memory for bodies. Returns false if there is too little.
    pub fn try_add_body(&self, bytes: usize) -> bool {
        self.change(|connection| connection.bodies += bytes as u64)
    }

    /// Releases memory of bodies.
    pub fn remove_body(&self, bytes: usize) {
        self.record(|connection| {
            connection.bodies = connection.bodies.saturating_sub(bytes as u64);
        });
    }

    /// Takes memory for a response of this size. Returns false if there is too little.
    pub fn try_add_output(&self, bytes: usize) -> bool {
        self.change(|connection| {
            connection.response = RESPONSE_COST * bytes as u64;
            connection.has_output = true;
        })
    }

    /// Records that a response is made whose size is small or not known yet.
    pub fn add_output(&self) {
        self.record(|connection| connection.has_output = true);
    }

    /// Records that the connection has ended. Bodies of it may be in use still.
    pub fn on_disconnected(&self) {
        let mut state = self.table.lock();
        state.clients.on_closed(self.id);
        if let Some(connection) = state.connections.get_mut(&self.id) {
            (connection.input, connection.output, connection.response) = (0, 0, 0);
            let held = Size(connection.held().0 - CONNECTION_COST.0);
            let evictions = state.clients.record_held(self.id, held, self.table.clock.now());
            self.table.close(&mut state, evictions);
        }
    }

    fn on_progress(&self) {
        let now = self.table.clock.now();
        self.table.lock().clients.on_progress(self.id, now);
    }

    /// Changes a connection if there is room for what it holds then. Returns false, and changes
    /// nothing, if there is none or it was closed.
    fn change(&self, change: impl Fn(&mut Connection)) -> bool {
        self.apply(change, |clients, id, held, now| clients.hold(id, held, now))
    }

    /// Changes a connection, whatever it holds then. Returns false if it was closed.
    fn record(&self, change: impl Fn(&mut Connection)) -> bool {
        self.apply(change, |clients, id, held, now| Ok(clients.record_held(id, held, now)))
    }

    fn apply(
        &self,
        change: impl Fn(&mut Connection),
        hold: impl Fn(&mut Clients, Id, Size, Moment) -> Result<Vec<Eviction>, NoRoom>,
    ) -> bool {
        let now = self.table.clock.now();
        let mut state = self.table.lock();
        let State { clients, connections, .. } = &mut *state;
        let Some(connection) = connections.get_mut(&self.id) else { return false };
        let before = connection.clone();
        change(connection);
        let held = hold(clients, self.id, connection.held(), now);
        if held.is_err() {
            *connection = before;
        }
        clients.set_stage(self.id, connection.stage());
        let is_held = held.is_ok();
        self.table.close(&mut state, held.unwrap_or_default());
        is_held && state.connections.contains_key(&self.id)
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        let mut state = self.table.lock();
        state.connections.remove(&self.id);
        state.clients.remove(self.id);
    }
}

/// A request that is handled, or whose response is being made.
pub struct Request {
    account: Arc<Account>,
}

impl Drop for Request {
    fn drop(&mut self) {
        self.account.record(|connection| {
            connection.requests = connection.requests.saturating_sub(1);
            connection.is_reading_body = false;
            connection.response = 0;
            if connection.requests == 0 {
                connection.are_heads_handled = true;
                connection.wake();
            }
        });
    }
}
