//! What the experiments over real sockets share: a caller that times, and readings of the process.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use serde_json::json;

/// Clock ticks a second of the kernel's accounting.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// Bytes of a page of memory.
const PAGE_BYTES: f64 = 4096.0;

/// Processor seconds that this process has used.
pub fn cpu_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or_default();
    (ticks(11) + ticks(12)) / CLOCK_TICKS_PER_SECOND
}

/// Bytes of memory that this process holds.
pub fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|field| field.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

/// Bytes that the allocator has handed out on the main thread and not got back.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
pub fn allocated_bytes() -> f64 {
    // SAFETY: the call reads the allocator's own counters and takes no arguments.
    let info = unsafe { libc::mallinfo2() };
    (info.uordblks + info.hblkhd) as f64
}

/// Elsewhere, what the process holds stands in for it.
#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub fn allocated_bytes() -> f64 {
    resident_bytes()
}

/// The times of one streamed answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamTiming {
    /// Until the first token, in milliseconds.
    pub first_ms: f64,
    /// Between two tokens, in milliseconds.
    pub token_ms: f64,
}

/// Where a streamed answer is asked for.
#[derive(Clone)]
pub enum Target {
    /// An engine itself.
    Engine(SocketAddr),
    /// A VM, with a workspace's key.
    Vm(SocketAddr, String),
}

impl Target {
    /// Sends a request for so many tokens and returns the answer's body.
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

    /// Times an answer from the request to its end.
    pub async fn time_stream(
        &self,
        http: &awc::Client,
        number: usize,
        tokens: u32,
    ) -> Option<StreamTiming> {
        let started_at = Instant::now();
        let mut body = self.open_stream(http, number, tokens).await?;
        let first = loop {
            // Nothing is a token until its bytes are there.
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

/// A client that waits as long as it must.
pub fn client() -> awc::Client {
    awc::Client::builder()
        .connector(awc::Connector::new().limit(0).timeout(Duration::from_secs(5)))
        .disable_timeout()
        .finish()
}
