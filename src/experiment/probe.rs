//! Helpers of the experiments over real sockets: a client that times streamed responses, and
//! CPU and memory figures of this process.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use serde_json::json;

/// Unit of the CPU times in `/proc/self/stat`.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// Unit of the sizes in `/proc/self/statm`.
const PAGE_BYTES: f64 = 4096.0;

/// Returns the CPU time of this process in user and kernel mode, in seconds.
pub fn cpu_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or_default();
    (ticks(11) + ticks(12)) / CLOCK_TICKS_PER_SECOND
}

/// Returns the resident set size of this process in bytes.
pub fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|field| field.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

/// Returns the bytes that are allocated in the main arena of the allocator or mapped directly.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
pub fn allocated_bytes() -> f64 {
    // SAFETY: the call reads the allocator's own counters and takes no arguments.
    let info = unsafe { libc::mallinfo2() };
    (info.uordblks + info.hblkhd) as f64
}

/// Returns the resident set size: allocator statistics are only read with glibc.
#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub fn allocated_bytes() -> f64 {
    resident_bytes()
}

/// Timing of one streamed response.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamTiming {
    /// Time from the request to the first bytes of the body, in milliseconds.
    pub first_ms: f64,
    /// Mean time between two tokens, in milliseconds.
    pub token_ms: f64,
}

/// Server that a streamed response is requested from.
#[derive(Clone)]
pub enum Target {
    /// An engine, without kitepulley in between.
    Engine(SocketAddr),
    /// A VM of kitepulley, with the API key of a workspace.
    Vm(SocketAddr, String),
}

impl Target {
    /// Sends a request for `tokens` tokens and returns the response body, or none if the request
    /// failed or was refused. `number` makes the request unique.
    pub async fn open_stream(
        &self,
        http: &awc::Client,
        number: usize,
        tokens: u32,
    ) -> Option<
        impl futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + use<>,
    > {
        let sent = match self {
            Target::Engine(at) => {
                let body = json!({
                    "request": format!("direct-{number}"), "attempt": 0, "workspace": "w",
                    "target": "roastmind@v3", "prompt": format!("user: ask {number}\n"),
                    "max_tokens": tokens, "offset": 0, "priority": 5, "wait": true,
                });
                http.post(format!("http://{at}/v1/generate")).send_json(&body).await
            }
            Target::Vm(at, key) => {
                let body = json!({
                    "model": "roastmind@v3", "stream": true, "max_tokens": tokens,
                    "messages": [{"role": "user", "content": format!("ask {number}")}],
                });
                let post = http.post(format!("http://{at}/v1/chat/completions"));
                let key = format!("Bearer {key}");
                post.insert_header(("authorization", key)).send_json(&body).await
            }
        };
        sent.ok().filter(|answer| answer.status().is_success())
    }

    /// Sends a request, reads the response to its end and returns its timing, or none if it failed.
    pub async fn time_stream(
        &self,
        http: &awc::Client,
        number: usize,
        tokens: u32,
    ) -> Option<StreamTiming> {
        let started_at = Instant::now();
        let mut body = self.open_stream(http, number, tokens).await?;
        let first = loop {
            // An empty chunk carries no token.
            if !body.next().await?.ok()?.is_empty() {
                break Instant::now();
            }
        };
        let mut newlines = 0usize;
        while let Some(part) = body.next().await {
            let part = part.ok()?;
            newlines += part.iter().filter(|byte| **byte == b'\n').count();
        }
        let lines = if matches!(self, Target::Vm(..)) { newlines / 2 } else { newlines };
        let token_total_ms = first.elapsed().as_secs_f64() * 1e3;
        Some(StreamTiming {
            first_ms: (first - started_at).as_secs_f64() * 1e3,
            token_ms: token_total_ms / lines.max(1) as f64,
        })
    }
}

/// Creates an HTTP client without a response timeout and without a connection limit.
pub fn client() -> awc::Client {
    awc::Client::builder()
        .connector(awc::Connector::new().limit(0).timeout(Duration::from_secs(5)))
        .disable_timeout()
        .finish()
}
