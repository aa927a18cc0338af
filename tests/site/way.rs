//! A VM's way to the store: a loopback proxy, whose connections can go silent for good without being
//! closed: some of them while new ones work, or all, new ones too.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time between two looks whether a connection has become silent.
const LOOK: Duration = Duration::from_millis(5);

/// One connection through the proxy.
#[derive(Default)]
struct Line {
    /// The last bytes that the VM sent.
    asked: String,
    silent: bool,
}

type Lines = Arc<Mutex<Vec<Arc<Mutex<Line>>>>>;

/// The way.
pub struct Way {
    pub address: SocketAddr,
    lines: Lines,
    cut: Arc<AtomicBool>,
}

impl Way {
    /// A way to `store`. Its threads end with their connections, or with the test's process.
    pub fn to(store: SocketAddr) -> Way {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let lines = Lines::default();
        let known = lines.clone();
        let cut = Arc::new(AtomicBool::new(false));
        let is_cut = cut.clone();
        std::thread::spawn(move || {
            for vm in listener.incoming().map_while(Result::ok) {
                let Ok(store) = TcpStream::connect(store) else { continue };
                let silent = is_cut.load(Ordering::SeqCst);
                let line = Arc::new(Mutex::new(Line { silent, ..Line::default() }));
                known.lock().unwrap().push(line.clone());
                join(vm, store, line);
            }
        });
        Way { address, lines, cut }
    }

    /// Nothing passes any more.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        self.silence("");
    }

    /// Every open connection whose last request contains `part` says nothing more. How many those are.
    pub fn silence(&self, part: &str) -> usize {
        let lines = self.lines.lock().unwrap();
        let mut silenced = 0;
        for line in lines.iter() {
            let mut line = line.lock().unwrap();
            if line.asked.contains(part) && !line.silent {
                line.silent = true;
                silenced += 1;
            }
        }
        silenced
    }
}

fn join(vm: TcpStream, store: TcpStream, line: Arc<Mutex<Line>>) {
    let (from_vm, from_store) = (vm.try_clone().unwrap(), store.try_clone().unwrap());
    let asks = line.clone();
    std::thread::spawn(move || {
        copy(from_vm, store, &asks, |line, bytes| {
            line.asked = String::from_utf8_lossy(bytes).into_owned();
        });
    });
    std::thread::spawn(move || copy(from_store, vm, &line, |_, _| {}));
}

fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    line: &Mutex<Line>,
    note: impl Fn(&mut Line, &[u8]),
) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer).unwrap_or(0);
        if read > 0 {
            note(&mut line.lock().unwrap(), &buffer[..read]);
        }
        while line.lock().unwrap().silent {
            std::thread::sleep(LOOK);
        }
        if read == 0 || to.write_all(&buffer[..read]).is_err() {
            let _ = to.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}
