//! The HTTP interface of a VM for clients and operators.

mod attempt;
mod dispatch;
pub mod header;
mod models;
mod operator;
mod page;
pub mod refusal;
mod services;
pub mod session;
mod stream;

use std::sync::Arc;

use actix_http::ConnectionType;
use actix_web::HttpRequest;
use actix_web::body::{BoxBody, MessageBody};
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::middleware::Next;
use actix_web::web::{self, ServiceConfig};

use crate::client::{Account, body};
use crate::vm::Vm;

pub use stream::channel_body;

/// Accounts for a request until its response has ended.
///
/// # Errors
/// As the service that handles the request.
pub async fn account_for(
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<BoxBody>, actix_web::Error> {
    let account = account_of(request.request());
    let open = account.begin_request();
    body::earlier_responses(&account).await;
    let has_body = body::has_body(request.headers());
    let mut response = next.call(request).await?;
    if has_body && account.is_body_unread() {
        account.close_input();
        response.response_mut().head_mut().set_connection_type(ConnectionType::Close);
    }
    let size = response.response().body().size();
    body::reserve_response(&account, size, body::MAX_RESPONSE_WAIT).await;
    Ok(response.map_body(|_, content| BoxBody::new(body::Response::new(content.boxed(), open))))
}

/// Returns the account of the connection of a request.
fn account_of(request: &HttpRequest) -> Arc<Account> {
    request.conn_data::<Arc<Account>>().expect("each connection has one").clone()
}

/// Registers all HTTP routes of a VM.
pub fn routes(vm: &Arc<Vm>, app: &mut ServiceConfig) {
    let limit = vm.settings.body_limit.0 as usize;
    app.app_data(web::PayloadConfig::new(limit))
        .route("/v1/chat/completions", web::post().to(models::chat))
        .route("/v1/models", web::get().to(models::list_models))
        .route("/v1/services/{name}/{path:.*}", web::to(services::call))
        .route("/v1/reservations/{name}", web::post().to(services::reserve))
        .route("/healthz", web::get().to(operator::health))
        .route("/readyz", web::get().to(operator::ready))
        .route("/metrics", web::get().to(operator::metrics))
        .route("/operator/status", web::get().to(operator::status))
        .route("/operator/explain/{request}", web::get().to(operator::explain))
        .route("/operator/burn", web::get().to(operator::burn))
        .route("/operator/decisions", web::get().to(operator::decisions))
        .route("/operator", web::get().to(page::show))
        .default_service(web::to(operator::not_found));
}
