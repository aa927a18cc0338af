//! Idle timeouts that backend servers announce for their connections.

use kitepulley::platform::header;
use kitepulley::unit::Span;

/// Guards against an idle timeout that is read from a number which no parameter names.
#[test]
fn a_keep_alive_header_without_a_named_timeout_sets_none() {
    let idle_timeout = |text: &str| {
        let mut head = actix_http::ResponseHead::new(actix_http::StatusCode::OK);
        let name = actix_http::header::HeaderName::from_static("keep-alive");
        head.headers.insert(name, text.parse().unwrap());
        header::decode_response(&head).idle_timeout
    };
    assert_eq!(idle_timeout("timeout=5, max=100"), Some(Span::secs(5)));
    assert_eq!(idle_timeout("max=100, timeout=5"), Some(Span::secs(5)));
    assert_eq!(idle_timeout("5"), None);
    assert_eq!(idle_timeout("max=100"), None);
}
