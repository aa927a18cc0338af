//! HTML page for operators that shows decisions and roll-outs live.

use actix_web::HttpResponse;

/// The page. It streams `/operator/decisions` and polls `/operator/status` every second.
const PAGE: &str = include_str!("page.html");

/// `GET /operator`: serves the page; the endpoints it reads check the operator key.
pub async fn show() -> HttpResponse {
    HttpResponse::Ok().content_type("text/html; charset=utf-8").body(PAGE)
}
