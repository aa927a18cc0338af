//! TCP proxy between a VM and the store, to inject network faults. Connections can hang for good
//! without being closed: some of them while new ones work, or all, including new ones.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time between two checks of a hanging connection.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// One connection through the proxy.
#[derive(Default)]
struct Connection {
    /// The last bytes that the VM sent.
    last_request: String,
    silent: bool,
}

type Connections = Arc<Mutex<Vec<Arc<Mutex<Connection>>>>>;

/// How the store turns a VM away while it serves others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rejection {
    /// Each call gets this status.
    Status(u16),
    /// Each call ends its connection.
    Reset,
    /// Calls get no answer, and their connections say nothing more.
    Silence,
}

/// A proxy on the loopback interface. VMs connect to `address`.
pub struct Proxy {
    pub address: SocketAddr,
    connections: Connections,
    cut: Arc<AtomicBool>,
    rejection: Arc<Mutex<Option<Rejection>>>,
}

impl Proxy {
    /// Returns a proxy to `store`. Its threads end with their connections, or with the process.
    pub fn new(store: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Connections::default();
        let accepted = connections.clone();
        let cut = Arc::new(AtomicBool::new(false));
        let is_cut = cut.clone();
        let rejection = Arc::<Mutex<Option<Rejection>>>::default();
        let of_calls = Arc::clone(&rejection);
        std::thread::spawn(move || {
            for vm in listener.incoming().map_while(Result::ok) {
                let Ok(store) = TcpStream::connect(store) else { continue };
                let silent = is_cut.load(Ordering::SeqCst);
                let connection =
                    Arc::new(Mutex::new(Connection { silent, ..Connection::default() }));
                accepted.lock().unwrap().push(connection.clone());
                relay(vm, store, connection, of_calls.clone());
            }
        });
        Proxy { address, connections, cut, rejection }
    }

    /// Turns the VM away from the store in this way, or serves it again.
    pub fn reject(&self, rejection: Option<Rejection>) {
        *self.rejection.lock().unwrap() = rejection;
    }

    /// Makes all connections hang, including new ones.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        self.silence("");
    }

    /// Makes every open connection hang whose last request contains `part`, and returns their
    /// number.
    pub fn silence(&self, part: &str) -> usize {
        let connections = self.connections.lock().unwrap();
        let mut silenced = 0;
        for connection in connections.iter() {
            let mut connection = connection.lock().unwrap();
            if connection.last_request.contains(part) && !connection.silent {
                connection.silent = true;
                silenced += 1;
            }
        }
        silenced
    }
}

fn relay(
    vm: TcpStream,
    store: TcpStream,
    connection: Arc<Mutex<Connection>>,
    rejection: Arc<Mutex<Option<Rejection>>>,
) {
    let (from_vm, from_store) = (vm.try_clone().unwrap(), store.try_clone().unwrap());
    let sender = connection.clone();
    let mut to_vm = vm.try_clone().unwrap();
    std::thread::spawn(move || {
        copy(from_vm, store, &sender, |connection, bytes| {
            connection.last_request = String::from_utf8_lossy(bytes).into_owned();
            let Some(rejection) = *rejection.lock().unwrap() else { return true };
            match rejection {
                Rejection::Status(status) => {
                    let head = format!(
                        "HTTP/1.1 {status} Rejected\r\nStore-Era: 0\r\nContent-Length: 0\r\n\r\n"
                    );
                    let _ = to_vm.write_all(head.as_bytes());
                }
                Rejection::Reset => {
                    let _ = to_vm.shutdown(std::net::Shutdown::Both);
                }
                Rejection::Silence => connection.silent = true,
            }
            false
        });
    });
    std::thread::spawn(move || copy(from_store, vm, &connection, |_, _| true));
}

/// Copies bytes until one side ends. `on_read` returns false for bytes that are dropped.
fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    connection: &Mutex<Connection>,
    mut on_read: impl FnMut(&mut Connection, &[u8]) -> bool,
) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer).unwrap_or(0);
        if read > 0 && !on_read(&mut connection.lock().unwrap(), &buffer[..read]) {
            continue;
        }
        while connection.lock().unwrap().silent {
            std::thread::sleep(POLL_INTERVAL);
        }
        if read == 0 || to.write_all(&buffer[..read]).is_err() {
            let _ = to.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}
