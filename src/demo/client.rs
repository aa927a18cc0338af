//! HTTP client of a caller, which records requests and answers in the history.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::StreamExt;
use serde_json::Value;

use crate::entry::header;
use crate::history::{Event, Ran, Sink};
use crate::standin::digest;
use crate::unit::{RequestId, Target, Vm, Workspace};

/// Number of the next request, over all clients of the process.
static NEXT_REQUEST_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Timeout of a request, after which its answer counts as broken.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(40);

/// Idle time after which a connection is not reused. VMs close connections that are idle for five
/// seconds, and a request that meets the close is cut off unread.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// HTTP client of one workspace.
#[derive(Clone)]
pub struct Client {
    workspace: Workspace,
    key: String,
    http: awc::Client,
    history: Sink,
}

/// A request of a caller.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Path of the URL.
    pub path: String,
    /// JSON body of a POST; without one the request is a GET.
    pub body: Option<Value>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Session token, or `new` to start a session.
    pub session: Option<String>,
    /// Number of the caller's conversation, for the history.
    pub talk: Option<u64>,
    /// Kind of work that the request names in a header.
    pub kind: Option<&'static str>,
}

/// Answer that a caller got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// HTTP status; 0 if the connection broke or could not be opened.
    pub status: u16,
    /// Whether the request ran, as a refusal states it.
    pub ran: Option<Ran>,
    /// True if the answer is complete.
    pub is_complete: bool,
    /// Text of the answer.
    pub text: String,
    /// Session token for the next request.
    pub session: Option<String>,
    /// Request id that the VM assigned.
    pub request: Option<RequestId>,
    /// Model version that answered.
    pub target: Option<Target>,
    /// True if the connection could not be opened, which a balancer notices.
    pub connect_failed: bool,
}

impl Client {
    /// Returns a client of a workspace.
    pub fn new(workspace: &str, history: Sink) -> Client {
        Client {
            workspace: workspace.parse().expect("a name of the demo"),
            key: super::workspace_key(workspace),
            http: awc::Client::builder()
                .connector(awc::Connector::new().conn_keep_alive(IDLE_TIMEOUT))
                .disable_timeout()
                .finish(),
            history,
        }
    }

    /// Sends a request to a VM, reads the answer to its end and records both.
    pub async fn send(&self, to: SocketAddr, vm: &Vm, ask: &Request) -> Answer {
        let number = NEXT_REQUEST_NUMBER.fetch_add(1, Ordering::Relaxed);
        self.history.record(|| Event::Asked {
            ask: number,
            workspace: self.workspace.clone(),
            key: ask.key.clone(),
            talk: ask.talk,
        });
        let exchange = self.exchange(to, ask);
        let answer = tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await.unwrap_or_default();
        self.history.record(|| Event::Answered {
            ask: number,
            request: answer.request.clone(),
            status: answer.status,
            ran: answer.ran,
            is_complete: answer.is_complete,
            digest: answer.is_complete.then(|| digest(&answer.text)),
            target: answer.target.clone(),
            vm: Some(vm.clone()),
        });
        answer
    }

    async fn exchange(&self, to: SocketAddr, ask: &Request) -> Answer {
        let url = format!("http://{to}{}", ask.path);
        let mut request = match ask.body {
            Some(_) => self.http.post(url),
            None => self.http.get(url),
        };
        request = request.insert_header(("authorization", format!("Bearer {}", self.key)));
        for (name, value) in [(header::IDEMPOTENCY_KEY, &ask.key), (header::SESSION, &ask.session)]
        {
            if let Some(value) = value {
                request = request.insert_header((name, value.as_str()));
            }
        }
        if let Some(kind) = ask.kind {
            request = request.insert_header((header::KIND, kind));
        }
        let sent = match &ask.body {
            Some(body) => request.send_json(body).await,
            None => request.send().await,
        };
        let mut response = match sent {
            Ok(response) => response,
            Err(error) => {
                let connect_failed = matches!(error, awc::error::SendRequestError::Connect(_));
                return Answer { connect_failed, ..Answer::default() };
            }
        };
        let text = |name: &str| {
            let value = response.headers().get(name).and_then(|value| value.to_str().ok());
            value.map(str::to_owned)
        };
        let mut answer = Answer {
            status: response.status().as_u16(),
            session: text(header::SESSION),
            request: text(header::REQUEST).and_then(|id| id.parse().ok()),
            target: text(header::VERSION).and_then(|target| target.parse().ok()),
            ..Answer::default()
        };
        let events = text("content-type").is_some_and(|kind| kind.contains("event-stream"));
        let mut bytes = Vec::new();
        let mut read = true;
        while let Some(part) = response.next().await {
            match part {
                Ok(part) => bytes.extend_from_slice(&part),
                Err(_) => {
                    read = false;
                    break;
                }
            }
        }
        if events {
            read_events(&bytes, &mut answer);
        } else {
            read_body(&bytes, read, ask, &mut answer);
        }
        answer
    }
}

fn read_events(bytes: &[u8], answer: &mut Answer) {
    for line in String::from_utf8_lossy(bytes).lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            answer.is_complete = true;
            return;
        }
        let Ok(value) = serde_json::from_str::<Value>(data) else {
            continue;
        };
        if let Some(text) = value["choices"][0]["delta"]["content"].as_str() {
            answer.text.push_str(text);
        }
        if let Ok(ran) = serde_json::from_value(value["error"]["ran"].clone()) {
            answer.ran = ran;
        }
    }
}

fn read_body(bytes: &[u8], read: bool, ask: &Request, answer: &mut Answer) {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let value: Value = serde_json::from_str(&text).unwrap_or_default();
    if answer.status >= 300 {
        answer.ran = serde_json::from_value(value["ran"].clone()).ok().flatten();
        return;
    }
    let is_model = ask.path.starts_with("/v1/chat");
    let content = value["choices"][0]["message"]["content"].as_str();
    answer.text = if is_model { content.unwrap_or_default().to_owned() } else { text };
    answer.is_complete = read && (!is_model || content.is_some());
}
