//! Which ends of a connection complete a response, with both sides in a fixed order of events.

use std::cell::{Cell, RefCell};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::sync::mpsc;
use std::task::{Context, Poll, Waker};
use std::thread;
use std::time::Duration;

use actix_http::{Method, RequestHead};
use bytes::Bytes;
use kitepulley::forward::connection::{Connection, Fault};
use kitepulley::peer::tunnel::{Answer, Destination};
use kitepulley::peer::{Incoming, Links};
use kitepulley::unit::Span;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Size of a request body that the kernel's buffers don't hold.
const LONG_BODY: usize = 16_000_000;

/// Size of the largest body that is read.
const MAX_BODY: usize = 100_000;

/// How a server ends its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// By a reset.
    Reset,
    /// By the regular end of its bytes, followed by a reset, as when it closes the connection
    /// without reading the rest of the request.
    CloseThenReset,
    /// By the regular end of its bytes, after it has read the request.
    Close,
}

/// Starts a server that handles one connection. Returns its address, and what is sent once `serve`
/// has returned.
fn server(serve: impl FnOnce(TcpStream) + Send + 'static) -> (SocketAddr, mpsc::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (done, ended) = mpsc::channel();
    thread::spawn(move || {
        serve(listener.accept().unwrap().0);
        let _ = done.send(());
    });
    (address, ended)
}

/// Reads the first bytes of a request.
fn read_some(stream: &mut TcpStream) {
    assert!(stream.read(&mut [0; 1024]).unwrap() > 0);
}

/// Answers with these bytes before the request is read, and ends the connection.
fn answer_early(mut stream: TcpStream, answer: &str, end: End) {
    read_some(&mut stream);
    stream.write_all(answer.as_bytes()).unwrap();
    match end {
        End::Reset => {
            // The bytes arrive before the reset, which discards what is not sent yet.
            thread::sleep(Duration::from_millis(50));
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        }
        End::CloseThenReset => stream.shutdown(Shutdown::Write).unwrap(),
        End::Close => {
            stream.shutdown(Shutdown::Write).unwrap();
            let _ = io::copy(&mut stream, &mut io::sink());
        }
    }
}

fn request() -> RequestHead {
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = "/status/x".parse().unwrap();
    head
}

/// Sends a request with a long body to a server that answers early. What the server does arrives
/// while the request is being written and before the client runs again.
fn exchange(answer: &'static str, end: End) -> Result<Bytes, Fault> {
    let (address, ended) = server(move |stream| answer_early(stream, answer, end));
    actix_web::rt::System::new().block_on(async move {
        let mut connection = Connection::open(address, Span::secs(2)).await?;
        let body = Bytes::from(vec![b'x'; LONG_BODY]);
        let sending = connection.send(request(), &body);
        let blocking = async {
            if end != End::Close {
                // Blocks the only thread until the connection has ended.
                ended.recv_timeout(Duration::from_secs(5)).unwrap();
                thread::sleep(Duration::from_millis(50));
            }
        };
        let (head, ()) = futures_util::future::join(sending, blocking).await;
        head?;
        connection.read_body(MAX_BODY).await
    })
}

/// Guards against half of an answer that counts as complete, since a failed write of the request
/// consumes the reset that ended the answer.
#[test]
fn an_early_answer_without_a_length_that_is_reset_is_not_complete() {
    for _ in 0..5 {
        let answer = exchange("HTTP/1.1 200 OK\r\n\r\nhalf", End::Reset);
        assert!(matches!(answer, Err(Fault::Broken(_))), "{answer:?}");
    }
}

#[test]
fn an_early_answer_is_delivered_if_its_end_was_seen() {
    let until_close = "HTTP/1.1 200 OK\r\n\r\nwhole";
    let sized = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
    let not_chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nwhole";
    let ends = [
        (not_chunked, End::Close),
        (until_close, End::Close),
        (until_close, End::CloseThenReset),
        (sized, End::Reset),
        (sized, End::CloseThenReset),
        (chunked, End::Reset),
    ];
    for (answer, end) in ends {
        let got = exchange(answer, end);
        assert!(got.as_ref().is_ok_and(|body| *body == "whole"), "{answer}, {end:?}: {got:?}");
    }
}

/// A server's connection that is reset while the request is written to it, as the kernel reports it:
/// the write fails, and the reads after it return what arrived and then nothing.
#[derive(Default)]
struct ResetServer {
    answer: Cell<Option<&'static [u8]>>,
    /// True if the answer is read only after the write has failed.
    is_late: bool,
    is_reset: Cell<bool>,
    reader: RefCell<Option<Waker>>,
}

impl AsyncRead for &ResetServer {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let is_readable = self.is_reset.get() || !self.is_late;
        if let Some(answer) = is_readable.then(|| self.answer.take()).flatten() {
            buffer.put_slice(answer);
            return Poll::Ready(Ok(()));
        }
        if self.is_reset.get() {
            return Poll::Ready(Ok(()));
        }
        self.reader.replace(Some(cx.waker().clone()));
        Poll::Pending
    }
}

impl AsyncWrite for &ResetServer {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, _: &[u8]) -> Poll<io::Result<usize>> {
        self.is_reset.set(true);
        self.reader.take().into_iter().for_each(Waker::wake);
        Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Sends a request through another VM, whose connection to the server breaks off as
/// [`ResetServer`]. Returns the body that arrives.
async fn exchange_through_tunnel(answer: &'static [u8], is_late: bool) -> Result<Bytes, Fault> {
    let (sender, _inbox) = tokio::sync::mpsc::unbounded_channel();
    let caller = Links::bind("127.0.0.1:0".parse().unwrap(), b"a fleet key", sender).unwrap();
    let (sender, mut incoming) = tokio::sync::mpsc::unbounded_channel();
    let helper = Links::bind("127.0.0.1:0".parse().unwrap(), b"a fleet key", sender).unwrap();
    let to = helper.address().unwrap();
    actix_web::rt::spawn(async move {
        let Some(Incoming::Tunnel(mut tunnel)) = incoming.recv().await else { return };
        tunnel.read_destination().await.unwrap();
        tunnel.answer(Answer::Connected).await.unwrap();
        let answer = Cell::new(Some(answer));
        let server = ResetServer { answer, is_late, ..ResetServer::default() };
        tunnel.relay(&server, &server).await;
    });
    let destination = Destination {
        from: "vm-1".parse().unwrap(),
        server: "i-1".parse().unwrap(),
        started_at_ms: None,
        address: to,
    };
    let opened = caller.open_tunnel(to, &destination, Duration::from_secs(2)).await;
    let Some((Answer::Connected, tunnel)) = opened else { panic!("no tunnel") };
    let mut connection = Connection::tunnelled("vm-2".parse().unwrap(), tunnel);
    connection.send(request(), &Bytes::from(vec![b'x'; MAX_BODY])).await?;
    connection.read_body(MAX_BODY).await
}

/// Guards against a helper that ends a tunnel in the regular way after the server has reset its
/// connection.
#[test]
fn an_answer_that_is_reset_is_not_complete_through_another_vm() {
    kitepulley::command::block_on(async {
        for is_late in [false, true] {
            let half = b"HTTP/1.1 200 OK\r\n\r\nhalf";
            let answer = exchange_through_tunnel(half, is_late).await;
            assert!(matches!(answer, Err(Fault::Broken(_))), "late: {is_late}, {answer:?}");
            let sized = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
            let answer = exchange_through_tunnel(sized, is_late).await;
            let is_whole = answer.as_ref().is_ok_and(|body| *body == "whole");
            assert!(is_whole, "late: {is_late}, {answer:?}");
        }
    });
}

#[test]
fn an_answer_whose_status_http_does_not_know_is_none() {
    let texts = ["000", "001", "099", "0", "20", "2000", "-20", "2x0", "", "600", "999"];
    for text in texts {
        let answer = format!("HTTP/1.1 {text} X\r\nContent-Length: 3\r\n\r\nabc");
        let answer: &'static str = answer.leak();
        let direct = exchange(answer, End::Close);
        assert!(matches!(direct, Err(Fault::Broken(_))), "{text}: {direct:?}");
        let tunnelled = actix_web::rt::System::new()
            .block_on(exchange_through_tunnel(answer.as_bytes(), false));
        assert!(matches!(tunnelled, Err(Fault::Broken(_))), "{text}: {tunnelled:?}");
    }
    for text in ["200", "299", "404", "599"] {
        let answer = format!("HTTP/1.1 {text} X\r\nContent-Length: 3\r\n\r\nabc");
        let answer: &'static str = answer.leak();
        assert_eq!(exchange(answer, End::Close).expect("an answer"), "abc", "{text}");
    }
}
