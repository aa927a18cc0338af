//! Which ends of a connection complete a response, with both sides in a fixed order of events.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use actix_http::{Method, RequestHead};
use bytes::Bytes;
use kitepulley::forward::connection::{Connection, Fault};
use kitepulley::unit::Span;

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
            let _ = std::io::copy(&mut stream, &mut std::io::sink());
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
    let ends = [
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
