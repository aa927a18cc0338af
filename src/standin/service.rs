//! Stand-in for a plain service, which counts the calls that it ran by idempotency key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_web::web::{Bytes, Data, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse, web};
use futures_util::StreamExt;

use super::{Instance, digest, launch};
use crate::entry::header;
use crate::error::Error;
use crate::history::{Event, Sink};
use crate::unit::Server;

/// Bytes that are sent of a truncated response.
const TRUNCATED_BODY_BYTES: usize = 5;

/// Delay between these bytes and the reset of the connection.
const RESET_DELAY: Duration = Duration::from_millis(20);

/// A replica of the service; clones share its state.
#[derive(Clone)]
pub struct Service {
    name: Server,
    delay: Duration,
    ran: Arc<Mutex<BTreeMap<String, u64>>>,
    /// Number of next calls whose response is truncated.
    cut: Arc<AtomicU32>,
    history: Sink,
}

impl Service {
    /// Returns a replica that takes `delay` for each call.
    pub fn new(name: Server, delay: Duration, history: Sink) -> Service {
        Service { name, delay, ran: Arc::default(), cut: Arc::default(), history }
    }

    /// Starts the HTTP server on `address`.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn launch(&self, address: SocketAddr) -> Result<Instance, Error> {
        let service = self.clone();
        launch(address, move |app: &mut ServiceConfig| {
            app.app_data(Data::new(service.clone()))
                .route("/ran", web::get().to(ran))
                .default_service(web::to(call));
        })
    }

    /// Runs the next `calls` calls, but truncates their responses.
    pub fn truncate_next(&self, calls: u32) {
        self.cut.store(calls, Ordering::SeqCst);
    }

    /// Returns how often each key ran; calls without a key are counted under `-`.
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
    let request_id = text(header::REQUEST).and_then(|id| id.parse().ok());
    let workspace = text(header::WORKSPACE).and_then(|name| name.parse().ok());
    if let (Some(id), Some(workspace)) = (request_id, workspace) {
        service.history.record(|| Event::Served {
            server: service.name.clone(),
            request: id,
            workspace,
            key,
            digest: digest(&answer),
        });
    }
    tokio::time::sleep(service.delay).await;
    let decrement = |left: u32| left.checked_sub(1);
    if service.cut.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement).is_ok() {
        return truncated_response(answer);
    }
    HttpResponse::Ok().content_type("text/plain").body(answer)
}

/// Announces the full length of the body, sends its first bytes and resets the connection.
fn truncated_response(answer: String) -> HttpResponse {
    let length = answer.len() as u64;
    let first = Bytes::from(answer).slice(..TRUNCATED_BODY_BYTES);
    let then = async {
        // The reset must not overtake the bytes that were written.
        tokio::time::sleep(RESET_DELAY).await;
        Err(std::io::Error::from(std::io::ErrorKind::ConnectionReset))
    };
    let pieces = futures_util::stream::iter([Ok(first)]).chain(futures_util::stream::once(then));
    HttpResponse::Ok().content_type("text/plain").no_chunking(length).streaming(pieces)
}
