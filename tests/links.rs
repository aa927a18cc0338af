//! Links between VMs of which one is slow at the setup of connections.

use std::net::{SocketAddr, UdpSocket};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use kitepulley::peer::{Incoming, Links};

/// Delay of the packets with which a connection is set up.
const HANDSHAKE_DELAY: Duration = Duration::from_millis(180);

/// Bit of a packet's first byte that is set during the setup of a QUIC connection alone.
const LONG_HEADER: u8 = 0x80;

/// Time for which a caller waits for an answer, shorter than the setup of a connection takes.
const PATIENCE: Duration = Duration::from_millis(250);

/// Maximum number of calls of a patient caller until one is answered.
const MAX_CALLS: usize = 4;

const FLEET_KEY: &[u8] = b"a fleet key";

/// Delivers packets from one socket to another address, those of a setup after
/// [`HANDSHAKE_DELAY`].
fn deliver(from: UdpSocket, by: UdpSocket, to: impl Fn() -> Option<SocketAddr> + Send + 'static) {
    let (sender, packets) = mpsc::channel::<(Instant, Vec<u8>)>();
    std::thread::spawn(move || {
        for (sent, packet) in packets {
            if packet[0] & LONG_HEADER != 0 {
                let due = sent + HANDSHAKE_DELAY;
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
            }
            if let Some(to) = to() {
                let _ = by.send_to(&packet, to);
            }
        }
    });
    std::thread::spawn(move || {
        let mut buffer = [0; 65536];
        while let Ok(size) = from.recv(&mut buffer) {
            if sender.send((Instant::now(), buffer[..size].to_vec())).is_err() {
                return;
            }
        }
    });
}

/// Returns the address of a relay between `client` and `server` that delays the setup of connections.
fn slow_path(client: SocketAddr, server: SocketAddr) -> SocketAddr {
    let front = UdpSocket::bind("127.0.0.1:0").unwrap();
    let back = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = front.local_addr().unwrap();
    let copy = |socket: &UdpSocket| socket.try_clone().unwrap();
    deliver(copy(&front), copy(&back), move || Some(server));
    deliver(back, front, move || Some(client));
    address
}

/// Binds links that answer each call with its own bytes.
fn echo() -> Links {
    let (sender, mut incoming) = tokio::sync::mpsc::unbounded_channel();
    let links = Links::bind("127.0.0.1:0".parse().unwrap(), FLEET_KEY, sender).unwrap();
    actix_web::rt::spawn(async move {
        while let Some(message) = incoming.recv().await {
            if let Incoming::Call(bytes, answer) = message {
                let _ = answer.send(bytes);
            }
        }
    });
    links
}

/// Guards against a VM that needs longer for the setup of a connection than its callers wait for an
/// answer, begins another one with each call, and finishes none.
#[actix_web::test]
async fn a_connection_is_set_up_although_the_calls_that_wait_for_it_are_given_up() {
    let (caller, called) = (echo(), echo());
    let to = slow_path(caller.address().unwrap(), called.address().unwrap());
    let mut answers = Vec::new();
    for _ in 0..MAX_CALLS {
        let call = caller.call(to, b"hello".to_vec());
        let answer = tokio::time::timeout(PATIENCE, call).await.ok().flatten();
        answers.push(answer);
    }
    assert_eq!(answers[0], None, "the setup takes longer than the caller waits");
    assert_eq!(answers[MAX_CALLS - 1], Some(b"hello".to_vec()), "{answers:?}");
}

/// Binds links that read what they receive, and returns them with the received messages.
fn receiver() -> (Links, tokio::sync::mpsc::UnboundedReceiver<Incoming>) {
    let (sender, incoming) = tokio::sync::mpsc::unbounded_channel();
    (Links::bind("127.0.0.1:0".parse().unwrap(), FLEET_KEY, sender).unwrap(), incoming)
}

#[test]
fn a_delivered_message_was_received_and_one_that_is_not_acknowledged_is_reported() {
    const WITHIN: Duration = Duration::from_millis(300);
    kitepulley::command::block_on(async {
        let (sender, _inbox) = receiver();
        let (recipient, mut incoming) = receiver();
        let to = recipient.address().unwrap();
        assert!(sender.deliver(to, b"news", WITHIN).await);
        assert!(matches!(incoming.recv().await, Some(Incoming::Frame(bytes)) if bytes == b"news"));
        let silent = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        assert!(!sender.deliver(silent, b"news", WITHIN).await);
        sender.set_blocked([to].into());
        assert!(!sender.deliver(to, b"news", WITHIN).await);
    });
}

/// Guards against a part of a message that is read as a whole one, since the sender gave it up.
#[test]
fn a_message_that_was_given_up_is_not_received_in_part() {
    const LARGE: usize = 4_000_000;
    kitepulley::command::block_on(async {
        let (sender, _inbox) = receiver();
        let (recipient, mut incoming) = receiver();
        let to = recipient.address().unwrap();
        sender.send(to, b"news".to_vec()).await;
        assert!(matches!(incoming.recv().await, Some(Incoming::Frame(bytes)) if bytes == b"news"));
        let large = sender.send(to, vec![0; LARGE]);
        let given_up = tokio::time::timeout(Duration::from_millis(1), large).await;
        assert!(given_up.is_err(), "the message is too large to be sent at once");
        let received = tokio::time::timeout(Duration::from_millis(500), incoming.recv()).await;
        let size = received.ok().flatten().map(|message| match message {
            Incoming::Frame(bytes) => bytes.len(),
            _ => 0,
        });
        assert_eq!(size, None, "a part of the message was received");
    });
}
