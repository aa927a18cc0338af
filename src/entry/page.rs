//! A plain page that shows decisions and roll-outs as they happen.

use actix_web::HttpResponse;

/// The page; it listens to the decisions of its VM and asks for the status each second.
const PAGE: &str = include_str!("page.html");

/// `GET /operator`.
pub async fn show() -> HttpResponse {
    HttpResponse::Ok().content_type("text/html; charset=utf-8").body(PAGE)
}
