//! The door: what callers and operators meet.

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

use actix_web::web::{self, ServiceConfig};

use crate::vm::Vm;

pub use stream::channel_body;

/// All routes of a VM's door.
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
