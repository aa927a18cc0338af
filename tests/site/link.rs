//! TCP proxy in front of a backend server, which can lose the link: new connections are refused or
//! hang, and open ones are reset or hang.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time between two checks for new connections, and of a silent connection.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Connections that fill the queue of a listener that accepts none, so that more of them hang.
const QUEUE_FILLERS: usize = 3;

/// Length of the queue of new connections.
const QUEUE: i32 = 128;

/// State of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Connections pass through.
    Open,
    /// New connections are refused, and open ones end.
    Refusing,
    /// New and open connections hang.
    Silent,
}

struct Inner {
    state: State,
    listener: Option<TcpListener>,
    fillers: Vec<TcpStream>,
    open: Vec<TcpStream>,
}

/// A link on the loopback interface. VMs connect to `address`.
pub struct Link {
    pub address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
}

impl Link {
    /// Returns an open link to a server. Its threads end with their connections, or with the
    /// process.
    pub fn new(server: SocketAddr) -> Link {
        let listener = bind("127.0.0.1:0".parse().unwrap());
        let address = listener.local_addr().unwrap();
        let inner = Arc::new(Mutex::new(Inner {
            state: State::Open,
            listener: Some(listener),
            fillers: Vec::new(),
            open: Vec::new(),
        }));
        let accepting = inner.clone();
        std::thread::spawn(move || {
            loop {
                if let Some(vm) = accept(&accepting)
                    && let Ok(server) = TcpStream::connect(server)
                {
                    relay(vm, server, &accepting);
                }
                std::thread::sleep(POLL_INTERVAL);
            }
        });
        Link { address, inner }
    }

    /// Ends the open connections.
    fn end_connections(&self) {
        let ended = std::mem::take(&mut self.inner.lock().unwrap().open);
        ended.iter().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }

    /// Changes the state of the link for new connections and, if it falls silent, for open ones.
    fn set(&self, state: State) {
        let mut inner = self.inner.lock().unwrap();
        inner.state = state;
        inner.fillers.clear();
        match state {
            State::Open => {
                let address = self.address;
                let listener = inner.listener.get_or_insert_with(|| bind(address));
                listen(listener, QUEUE);
            }
            State::Refusing => inner.listener = None,
            State::Silent => {
                listen(inner.listener.as_ref().expect("it was open"), 0);
                let filler = |_| TcpStream::connect_timeout(&self.address, POLL_INTERVAL * 10).ok();
                inner.fillers = (0..QUEUE_FILLERS).filter_map(filler).collect();
            }
        }
    }
}

/// Changes the state of all links at one moment: no link ends its open connections while another
/// one still takes new ones.
pub fn set_all(links: &[Link], state: State) {
    links.iter().for_each(|link| link.set(state));
    if state == State::Refusing {
        links.iter().for_each(Link::end_connections);
    }
}

fn bind(address: SocketAddr) -> TcpListener {
    let listener = TcpListener::bind(address).unwrap();
    listener.set_nonblocking(true).unwrap();
    listener
}

fn listen(listener: &TcpListener, queue: i32) {
    // SAFETY: the descriptor is that of an open listener.
    unsafe { libc::listen(listener.as_raw_fd(), queue) };
}

/// Returns the next new connection of an open link.
fn accept(inner: &Mutex<Inner>) -> Option<TcpStream> {
    let inner = inner.lock().unwrap();
    let listener = inner.listener.as_ref().filter(|_| inner.state == State::Open)?;
    let (stream, _) = listener.accept().ok()?;
    stream.set_nonblocking(false).unwrap();
    Some(stream)
}

fn relay(vm: TcpStream, server: TcpStream, inner: &Arc<Mutex<Inner>>) {
    let mut open = inner.lock().unwrap();
    open.open.extend([vm.try_clone().unwrap(), server.try_clone().unwrap()]);
    drop(open);
    let (from_vm, from_server) = (vm.try_clone().unwrap(), server.try_clone().unwrap());
    for (from, to) in [(from_vm, server), (from_server, vm)] {
        let inner = inner.clone();
        std::thread::spawn(move || copy(from, to, &inner));
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, inner: &Mutex<Inner>) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = match from.read(&mut buffer) {
            Err(fault) if fault.kind() == ErrorKind::Interrupted => continue,
            read => read.unwrap_or(0),
        };
        while inner.lock().unwrap().state == State::Silent {
            std::thread::sleep(POLL_INTERVAL);
        }
        if read == 0 || to.write_all(&buffer[..read]).is_err() {
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
    }
}
