//! Stand-in for a backend server on the users' platform, scripted by tests: it responds, refuses,
//! breaks off, sends bytes that belong to no request, or crashes and restarts.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::packet_filter;
use super::room::{Admission, Capacity, Room};
use crate::error::Error;

/// Size limit of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// Read timeout after which an idle connection is closed.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// How the server handles one request.
#[derive(Clone, Debug)]
pub enum Action {
    /// Sends a signed response with this status and body.
    Whole(u16, String),
    /// Sends status 200 without a signature.
    Unsigned,
    /// Responds 503 with `X-Not-Executed`: the request did not run.
    NotRun,
    /// Like `NotRun`, with this value of `Retry-After`.
    RetryAfter(String),
    /// Responds 421: it is another instance than the one that the request expects.
    Misdirected,
    /// Announces a body of 100 bytes, sends five and closes.
    CutLength,
    /// Sends a part of a chunk and closes.
    CutChunk,
    /// Sends a response without a length, which ends when the connection closes.
    Unframed {
        /// Resets the connection instead of closing it.
        reset: bool,
    },
    /// Streams three events without a length or chunks, and closes the connection.
    UnframedEvents {
        /// Ends within the third event.
        cut: bool,
    },
    /// Sends the response of another request before the right one.
    ForeignFirst,
    /// Sends the right response, then one of another request.
    ForeignAfter,
    /// Responds as soon as it has the head, and reads the body afterwards.
    Early,
    /// Reads the request and resets the connection.
    Reset,
    /// Reads the request and responds after this delay.
    Slow(Duration),
    /// Sends bytes that are not HTTP.
    Garbage,
    /// Streams server-sent events; a request with `Last-Event-ID` resumes after that event.
    Events {
        /// Id of the last event.
        last: u64,
        /// Number of events after which the stream breaks off, within the next event.
        cut_after: Option<u64>,
        /// Confidence of the model in its answer, in percent.
        confidence: Option<u32>,
        /// Delay after each event.
        pause: Duration,
    },
}

/// A request as the server received it.
#[derive(Clone, Debug)]
pub struct RecordedRequest {
    /// Method and target of the request line.
    pub line: String,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Vec<u8>,
    /// Time at which the head was complete.
    pub at: Instant,
}

impl RecordedRequest {
    /// Returns the value of the header with this name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the ids of the parts of the prompt, in order.
    pub fn prompt_parts(&self) -> impl Iterator<Item = &str> {
        let parts = self.header("x-prefix-hash").unwrap_or_default().split(',');
        parts.filter_map(|part| Some(part.trim().split_once(':')?.0))
    }
}

/// What makes a request crash the server.
#[derive(Clone, Debug)]
pub enum Trigger {
    /// The body contains these bytes. The server crashes before it responds.
    Body(Vec<u8>),
    /// A part of the prompt has this id. The server crashes after it has begun to respond.
    PromptPart {
        /// Id of the part.
        id: String,
        /// Events of the response that are sent before the crash.
        events: u64,
    },
}

impl From<&str> for Trigger {
    fn from(body: &str) -> Trigger {
        Trigger::Body(body.into())
    }
}

impl Trigger {
    /// Returns true if this request crashes the server.
    fn matches(&self, request: &RecordedRequest) -> bool {
        match self {
            Trigger::Body(bytes) => {
                request.body.windows(bytes.len()).any(|window| window == &bytes[..])
            }
            Trigger::PromptPart { id, .. } => request.prompt_parts().any(|part| part == id),
        }
    }
}

/// A crash that requests can trigger.
#[derive(Clone, Debug)]
pub struct Crash {
    /// What crashes the server.
    pub trigger: Trigger,
    /// Time that such a request runs before the crash.
    pub delay: Duration,
    /// Time until the server restarts at the same address.
    pub restart_after: Duration,
}

/// Callback for a restart; its argument is the number of crashes before it.
type StartCallback = Arc<dyn Fn(u64) + Send + Sync>;

#[derive(Default)]
struct State {
    actions: VecDeque<Action>,
    default_action: Option<Action>,
    seen: Vec<RecordedRequest>,
    connections: usize,
    /// Streams that are being sent.
    streams: usize,
    crash: Option<Crash>,
    is_draining: bool,
    limit: Option<String>,
    extra_header: Option<String>,
    /// Room of the current incarnation; none if the server takes everything.
    room: Option<Arc<Room>>,
    rejections: Vec<Instant>,
    started: Option<StartCallback>,
    crashes: Vec<Instant>,
    /// Listener of the current incarnation; none while the server is down.
    listener: Option<TcpListener>,
    /// Open connections of the current incarnation, by the caller's address.
    open: Vec<(Option<SocketAddr>, TcpStream)>,
}

impl State {
    /// Returns the header lines that all responses carry.
    fn common_headers(&self) -> String {
        let leaving = self.is_draining.then(|| "Server-Leaving: 1".to_owned());
        let limit = self.limit.as_ref().map(|limit| format!("Server-Limit: {limit}"));
        let lines = [leaving, limit, self.extra_header.clone()].into_iter().flatten();
        lines.map(|line| line + "\r\n").collect()
    }
}

/// The server; clones share its state.
#[derive(Clone)]
pub struct Replica {
    /// Address that it listens on; a restart keeps it.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Replica {
    /// Starts a server on a free port of the loopback interface.
    ///
    /// # Errors
    /// If no port can be bound.
    pub fn launch() -> Result<Replica, Error> {
        let at = SocketAddr::from(([127, 0, 0, 1], 0));
        let to_error = |e: std::io::Error| Error::Bind(at.to_string(), e.to_string());
        let listener = TcpListener::bind(at).map_err(to_error)?;
        let address = listener.local_addr().map_err(to_error)?;
        let replica = Replica { address, state: Arc::default() };
        replica.accept_connections(listener).map_err(to_error)?;
        Ok(replica)
    }

    /// Accepts connections until the current incarnation ends.
    fn accept_connections(&self, listener: TcpListener) -> std::io::Result<()> {
        self.lock().listener = Some(listener.try_clone()?);
        let serving = self.clone();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let mut state = serving.lock();
                state.connections += 1;
                let caller = stream.peer_addr().ok();
                state.open.extend(stream.try_clone().map(|stream| (caller, stream)));
                drop(state);
                let serving = serving.clone();
                std::thread::spawn(move || {
                    // An error means that the caller is gone; the thread just ends.
                    drop(serving.serve(stream));
                    serving.lock().open.retain(|(other, _)| *other != caller);
                });
            }
        });
        Ok(())
    }

    /// Lets requests with the trigger crash the server.
    pub fn set_crash(&self, crash: Crash) -> &Replica {
        self.lock().crash = Some(crash);
        self
    }

    /// Calls `started` after each restart.
    pub fn on_start(&self, started: impl Fn(u64) + Send + Sync + 'static) -> &Replica {
        self.lock().started = Some(Arc::new(started));
        self
    }

    /// Returns the times of the crashes so far.
    pub fn crash_times(&self) -> Vec<Instant> {
        self.lock().crashes.clone()
    }

    /// Crashes the server: new connections are refused, open ones break. It restarts after
    /// `back_after`, or never if that is `None`.
    pub fn crash(&self, back_after: Option<Duration>) {
        let (listener, open) = {
            let mut state = self.lock();
            let Some(listener) = state.listener.take() else { return };
            state.crashes.push(Instant::now());
            (listener, std::mem::take(&mut state.open))
        };
        // The shutdown wakes the accepting thread, which ends. The errors are of connections that
        // their caller has closed already.
        let _ = socket2::SockRef::from(&listener).shutdown(Shutdown::Both);
        drop(listener);
        open.iter().for_each(|(_, stream)| drop(stream.shutdown(Shutdown::Both)));
        let Some(back_after) = back_after else { return };
        let replica = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(back_after);
            let listener = TcpListener::bind(replica.address).expect("the address is its own");
            replica.accept_connections(listener).expect("a listener can be cloned");
            let (started, restarts) = {
                let state = replica.lock();
                (state.started.clone(), state.crashes.len() as u64)
            };
            if let Some(started) = started {
                started(restarts);
            }
        });
    }

    /// Crashes the server if this request triggers that, and returns true then.
    fn crash_if_triggered(
        &self,
        stream: &mut TcpStream,
        seen: &RecordedRequest,
        response: &ResponseHead,
    ) -> std::io::Result<bool> {
        let crash = self.lock().crash.clone();
        let Some(crash) = crash.filter(|crash| crash.trigger.matches(seen)) else {
            return Ok(false);
        };
        if let Trigger::PromptPart { events, .. } = crash.trigger {
            stream.write_all(response.stream("").as_bytes())?;
            let first = last_received_event(seen) + 1;
            (first..first + events).try_for_each(|id| write_event(stream, id))?;
        }
        std::thread::sleep(crash.delay);
        self.crash(Some(crash.restart_after));
        Ok(true)
    }

    /// Appends an action to the queue; each request consumes one.
    pub fn push_action(&self, action: Action) -> &Replica {
        self.lock().actions.push_back(action);
        self
    }

    /// Sets the action of requests that find the queue empty; without one they get status 200.
    pub fn set_default_action(&self, action: Action) -> &Replica {
        self.lock().default_action = Some(action);
        self
    }

    /// Adds the header to all further responses that announces a drain.
    pub fn announce_draining(&self) -> &Replica {
        self.lock().is_draining = true;
        self
    }

    /// Sets the rate-limit header of all further responses; `None` removes it.
    pub fn set_limit_header(&self, limit: Option<&str>) -> &Replica {
        self.lock().limit = limit.map(str::to_owned);
        self
    }

    /// Drops everything that these callers send, from now on, on open connections too. With `reset`
    /// their open connections are reset. An empty list ends it.
    ///
    /// # Panics
    /// If the kernel takes no filter.
    pub fn cut_off(&self, callers: &[Ipv4Addr], reset: bool) -> &Replica {
        let state = self.lock();
        let sockets = state.open.iter().map(|(_, stream)| stream.as_fd());
        for socket in state.listener.iter().map(AsFd::as_fd).chain(sockets) {
            packet_filter::drop_from(socket, callers).expect("the kernel takes a filter");
        }
        let is_cut = |caller: &Option<SocketAddr>| {
            caller.is_some_and(|caller| callers.iter().any(|one| caller.ip() == *one))
        };
        for (_, stream) in state.open.iter().filter(|(caller, _)| reset && is_cut(caller)) {
            // An error means that the caller has closed it already.
            drop(stream.shutdown(Shutdown::Both));
        }
        drop(state);
        self
    }

    /// Sets how much the server takes at once. Without that it takes everything.
    pub fn set_capacity(&self, capacity: Capacity) -> &Replica {
        let mut state = self.lock();
        match &state.room {
            Some(room) => room.set_capacity(capacity),
            None => state.room = Some(Arc::new(Room::new(capacity))),
        }
        drop(state);
        self
    }

    /// Runs the request in the room of the server. Returns true if it ran; otherwise it is rejected,
    /// or the server has failed.
    fn run_in_room(
        &self,
        room: &Room,
        stream: &mut TcpStream,
        response: &ResponseHead,
    ) -> std::io::Result<bool> {
        let admission = room.run();
        match admission {
            Admission::Ran => return Ok(true),
            Admission::Rejected => {}
            Admission::Fails => {
                let capacity = room.capacity();
                self.crash(Some(capacity.restart_after));
                self.lock().room = Some(Arc::new(Room::new(capacity)));
            }
        }
        self.lock().rejections.push(Instant::now());
        stream.write_all(
            response.not_run(&format!("X-Server-Load: {}\r\n", room.load())).as_bytes(),
        )?;
        Ok(false)
    }

    /// Adds this header line to all further responses, in place of an earlier one.
    pub fn set_extra_header(&self, line: &str) -> &Replica {
        self.lock().extra_header = Some(line.to_owned());
        self
    }

    /// Returns the times at which it rejected a request.
    pub fn rejection_times(&self) -> Vec<Instant> {
        self.lock().rejections.clone()
    }

    /// Returns the requests that it received completely, oldest first.
    pub fn requests(&self) -> Vec<RecordedRequest> {
        self.lock().seen.clone()
    }

    /// Returns the number of streams that it is sending.
    pub fn open_streams(&self) -> usize {
        self.lock().streams
    }

    /// Returns the number of connections that it accepted.
    pub fn connections(&self) -> usize {
        self.lock().connections
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no panic while held")
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        let mut buffer = Vec::new();
        loop {
            let Some((mut seen, length)) = read_head(&mut stream, &mut buffer)? else {
                return Ok(());
            };
            let action = {
                let mut state = self.lock();
                let next = state.actions.pop_front().or_else(|| state.default_action.clone());
                next.unwrap_or(Action::Whole(200, "fine".to_owned()))
            };
            let id = seen.header("x-attempt-id").unwrap_or_default().to_owned();
            let common = self.lock().common_headers();
            let response = ResponseHead { id: &id, common: &common };
            if matches!(action, Action::Early) {
                stream.write_all(answer(&response, 200, "early").as_bytes())?;
            }
            while buffer.len() < length {
                read_more(&mut stream, &mut buffer)?;
            }
            seen.body = buffer.drain(..length).collect();
            self.lock().seen.push(seen.clone());
            if self.crash_if_triggered(&mut stream, &seen, &response)? {
                return Ok(());
            }
            let room = self.lock().room.clone();
            if let Some(room) = room {
                if !self.run_in_room(&room, &mut stream, &response)? {
                    continue;
                }
                let load = format!("X-Server-Load: {}\r\n", room.load());
                let body = "Content-Length: 4\r\n\r\ndone";
                let signature = format!("X-Response-Signature: sig.{id}\r\n");
                let text = response.head(200, &format!("{signature}{load}{body}"));
                stream.write_all(text.as_bytes())?;
                continue;
            }
            let rejects = matches!(action, Action::RetryAfter(_));
            let is_stream = usize::from(matches!(action, Action::Events { .. }));
            self.lock().streams += is_stream;
            let responded = respond(&mut stream, &seen, &response, action);
            self.lock().streams -= is_stream;
            let keep_alive = responded?;
            if rejects {
                self.lock().rejections.push(Instant::now());
            }
            if !keep_alive {
                return Ok(());
            }
        }
    }
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<usize> {
    let mut bytes = [0; 16 * 1024];
    let got = stream.read(&mut bytes)?;
    if got == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    buffer.extend_from_slice(&bytes[..got]);
    Ok(got)
}

/// Reads a request head and returns it with the length of the body; `None` if the caller closed.
fn read_head(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<(RecordedRequest, usize)>> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let parsed = request.parse(buffer).map_err(|_| std::io::ErrorKind::InvalidData)?;
        if let httparse::Status::Complete(end) = parsed {
            let line = format!("{} {}", request.method.unwrap_or(""), request.path.unwrap_or(""));
            let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
            let headers: Vec<(String, String)> = request
                .headers
                .iter()
                .map(|header| (header.name.to_ascii_lowercase(), text(header.value)))
                .collect();
            let seen = RecordedRequest { line, headers, body: Vec::new(), at: Instant::now() };
            let length = seen.header("content-length").and_then(|text| text.parse().ok());
            buffer.drain(..end);
            return Ok(Some((seen, length.unwrap_or(0))));
        }
        if buffer.len() > MAX_HEAD_BYTES {
            return Err(std::io::ErrorKind::InvalidData.into());
        }
        match read_more(stream, buffer) {
            Ok(_) => {}
            Err(_) if buffer.is_empty() => return Ok(None),
            Err(error) => return Err(error),
        }
    }
}

/// Headers that all responses to one request share.
struct ResponseHead<'a> {
    /// Attempt id of the request.
    id: &'a str,
    /// Lines that all responses of the server carry.
    common: &'a str,
}

impl ResponseHead<'_> {
    /// Returns the status line and headers, followed by `more`.
    fn head(&self, status: u16, more: &str) -> String {
        let ResponseHead { id, common } = self;
        format!("HTTP/1.1 {status} Status\r\nX-Attempt-Id: {id}\r\n{common}{more}")
    }

    fn signed(&self, status: u16, more: &str) -> String {
        let signature = format!("X-Response-Signature: sig.{}\r\n", self.id);
        self.head(status, &format!("{signature}X-Server-Load: 1,0,8\r\n{more}"))
    }

    /// Returns the head of a stream of events, with these header lines besides the usual ones.
    fn stream(&self, more: &str) -> String {
        let framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        self.signed(200, &format!("{more}{framing}"))
    }

    /// Returns a refusal with `X-Not-Executed`, as servers send it if the request did not run.
    fn not_run(&self, more: &str) -> String {
        let refusal = "X-Not-Executed: 1\r\nContent-Length: 0\r\n";
        self.head(503, &format!("{refusal}{more}\r\n"))
    }
}

fn answer(response: &ResponseHead, status: u16, body: &str) -> String {
    response.signed(status, &format!("Content-Length: {}\r\n\r\n{body}", body.len()))
}

fn reset_on_close(stream: &TcpStream) -> std::io::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Handles the request as `action` says; returns true if the connection stays open.
fn respond(
    stream: &mut TcpStream,
    seen: &RecordedRequest,
    response: &ResponseHead,
    action: Action,
) -> std::io::Result<bool> {
    let foreign = ResponseHead { id: "stranger", ..*response };
    match action {
        Action::Whole(status, body) => {
            stream.write_all(answer(response, status, &body).as_bytes())?;
            return Ok(true);
        }
        Action::Unsigned => {
            stream.write_all(response.head(200, "Content-Length: 2\r\n\r\nno").as_bytes())?;
            return Ok(true);
        }
        Action::NotRun => {
            stream.write_all(response.not_run("").as_bytes())?;
            return Ok(true);
        }
        Action::RetryAfter(delay) => {
            let more = format!("Retry-After: {delay}\r\nX-Server-Load: 0,0,8\r\n");
            stream.write_all(response.not_run(&more).as_bytes())?;
            return Ok(true);
        }
        Action::Misdirected => {
            stream.write_all(
                b"HTTP/1.1 421 Misdirected\r\nX-Instance-Id: other\r\nContent-Length: 0\r\n\r\n",
            )?;
            return Ok(true);
        }
        Action::CutLength => {
            stream
                .write_all(response.signed(200, "Content-Length: 100\r\n\r\nfive.").as_bytes())?;
        }
        Action::CutChunk => {
            let text = response.signed(200, "Transfer-Encoding: chunked\r\n\r\n64\r\nfive.");
            stream.write_all(text.as_bytes())?;
        }
        Action::Unframed { reset } => {
            stream.write_all(response.signed(200, "\r\nto the end").as_bytes())?;
            if reset {
                std::thread::sleep(Duration::from_millis(50));
                reset_on_close(stream)?;
                return Ok(false);
            }
        }
        Action::UnframedEvents { cut } => {
            let mut text = response.signed(200, "Content-Type: text/event-stream\r\n\r\n");
            (1..=3).for_each(|id| text.push_str(&event(id)));
            text.truncate(text.len() - if cut { 4 } else { 0 });
            stream.write_all(text.as_bytes())?;
        }
        Action::ForeignFirst => {
            let text = answer(&foreign, 200, "not yours") + &answer(response, 200, "yours");
            stream.write_all(text.as_bytes())?;
            return Ok(true);
        }
        Action::ForeignAfter => {
            let text = answer(response, 200, "yours") + &answer(&foreign, 200, "not yours");
            stream.write_all(text.as_bytes())?;
            return Ok(true);
        }
        Action::Early => return Ok(true),
        Action::Reset => {
            reset_on_close(stream)?;
            return Ok(false);
        }
        Action::Slow(time) => {
            std::thread::sleep(time);
            stream.write_all(answer(response, 200, "slow").as_bytes())?;
            return Ok(true);
        }
        Action::Garbage => stream.write_all(b"\x01\x02\x03 no answer at all\r\n\r\n")?,
        Action::Events { last, cut_after, confidence, pause } => {
            let confidence_header =
                confidence.map(|c| format!("X-Confidence: {c}\r\n")).unwrap_or_default();
            stream.write_all(response.stream(&confidence_header).as_bytes())?;
            return stream_events(stream, seen, last, cut_after, pause);
        }
    }
    stream.shutdown(Shutdown::Both)?;
    Ok(false)
}

fn stream_events(
    stream: &mut TcpStream,
    seen: &RecordedRequest,
    last: u64,
    cut_after: Option<u64>,
    pause: Duration,
) -> std::io::Result<bool> {
    for (sent, id) in (last_received_event(seen) + 1..=last).enumerate() {
        if cut_after == Some(sent as u64) {
            let event = event(id);
            let part = &event[..event.len() / 2];
            stream.write_all(format!("{:x}\r\n{part}", event.len()).as_bytes())?;
            stream.shutdown(Shutdown::Both)?;
            return Ok(false);
        }
        write_event(stream, id)?;
        std::thread::sleep(pause);
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

/// Returns the id of the last event that the caller has, or 0.
fn last_received_event(seen: &RecordedRequest) -> u64 {
    seen.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or_default()
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn write_event(stream: &mut TcpStream, id: u64) -> std::io::Result<()> {
    let event = event(id);
    stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
}
