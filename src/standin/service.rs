//! Stand-in of a plain service: it counts what it ran, by key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_web::web::{Bytes, Data, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse, web};
use futures_util::StreamExt;

use super::{Running, digest, launch};
use crate::entry::header;
use crate::error::Error;
use crate::history::{Event, Sink};
use crate::unit::Server;

/// Bytes of an answer that is broken off.
const SENT_OF_CUT: usize = 5;

/// Time between those bytes and the end of the connection.
const CUT_AFTER: Duration = Duration::from_millis(20);

/// The stand-in.
#[derive(Clone)]
pub struct Service {
    name: Server,
    delay: Duration,
    ran: Arc<Mutex<BTreeMap<String, u64>>>,
    /// So many coming calls run, and their answer breaks off.
    cut: Arc<AtomicU32>,
    history: Sink,
}

impl Service {
    /// A service's replica of that name that takes `delay` for each call.
    pub fn new(name: Server, delay: Duration, history: Sink) -> Service {
        Service { name, delay, ran: Arc::default(), cut: Arc::default(), history }
    }

    /// Serves at `address`.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn launch(&self, address: SocketAddr) -> Result<Running, Error> {
        let service = self.clone();
        launch(address, move |app: &mut ServiceConfig| {
            app.app_data(Data::new(service.clone()))
                .route("/ran", web::get().to(ran))
                .default_service(web::to(call));
        })
    }

    /// Lets so many coming calls run and breaks their answer off.
    pub fn cut(&self, calls: u32) {
        self.cut.store(calls, Ordering::SeqCst);
    }

    /// How often each key ran.
    pub fn ran(&self) -> BTreeMap<String, u64> {
        self.ran.lock().expect("no panic while held").clone()
    }
}

async fn ran(service: Data<Service>) -> HttpResponse {
    HttpResponse::Ok().json(service.ran())
}

async fn call(service: Data<Service>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let text = |name: &str| {
        let value = request.headers().get(name).and_then(|value| value.to_str().ok());
        value.map(str::to_owned)
    };
    let key = text(header::IDEMPOTENCY_KEY);
    let label = key.clone().unwrap_or_else(|| "-".to_owned());
    *service.ran.lock().expect("no panic while held").entry(label).or_default() += 1;
    let answer = format!(
        "{} {} done for {}: {}",
        request.method(),
        request.uri(),
        text(header::REQUEST).unwrap_or_default(),
        String::from_utf8_lossy(&body)
    );
    let ids = text(header::REQUEST).and_then(|id| id.parse().ok());
    let workspace = text(header::WORKSPACE).and_then(|name| name.parse().ok());
    if let (Some(id), Some(workspace)) = (ids, workspace) {
        service.history.record(|| Event::Served {
            server: service.name.clone(),
            request: id,
            workspace,
            key,
            digest: digest(&answer),
        });
    }
    tokio::time::sleep(service.delay).await;
    let less = |left: u32| left.checked_sub(1);
    if service.cut.fetch_update(Ordering::SeqCst, Ordering::SeqCst, less).is_ok() {
        return cut_off(answer);
    }
    HttpResponse::Ok().content_type("text/plain").body(answer)
}

/// Promises an answer and sends its first bytes only.
fn cut_off(answer: String) -> HttpResponse {
    let length = answer.len() as u64;
    let first = Bytes::from(answer).slice(..SENT_OF_CUT);
    let then = async {
        // What was sent must have left before the connection ends.
        tokio::time::sleep(CUT_AFTER).await;
        Err(std::io::Error::from(std::io::ErrorKind::ConnectionReset))
    };
    let pieces = futures_util::stream::iter([Ok(first)]).chain(futures_util::stream::once(then));
    HttpResponse::Ok().content_type("text/plain").no_chunking(length).streaming(pieces)
}
