//! A caller's client: it sends, reads to the end, and notes both in the history.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::StreamExt;
use serde_json::Value;

use crate::entry::header;
use crate::history::{Event, Ran, Sink};
use crate::standin::digest;
use crate::unit::{RequestId, Target, Vm, Workspace};

/// Callers' own numbers of requests, over all clients of the process.
static ASKS: AtomicU64 = AtomicU64::new(1);

/// A caller that waits longer counts the answer as broken.
const WITHIN: Duration = Duration::from_secs(40);

/// A connection that rested longer is not used again: VMs close those that rest for five seconds, and a request that meets
/// the close is cut off unread.
const RESTS: Duration = Duration::from_secs(4);

/// A caller of one workspace.
#[derive(Clone)]
pub struct Client {
    workspace: Workspace,
    key: String,
    http: awc::Client,
    history: Sink,
}

/// What a caller sends.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// Path.
    pub path: String,
    /// JSON body; none makes it a GET.
    pub body: Option<Value>,
    /// Key of a call that may not be repeated.
    pub key: Option<String>,
    /// Session token, or `new`.
    pub session: Option<String>,
    /// The caller's conversation.
    pub talk: Option<u64>,
    /// Kind of work.
    pub kind: Option<&'static str>,
}

/// What a caller got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// HTTP status; 0 if the connection broke or was refused.
    pub status: u16,
    /// What a refusal says.
    pub ran: Option<Ran>,
    /// Whether the answer came to its proper end.
    pub whole: bool,
    /// Its text.
    pub text: String,
    /// The session's token.
    pub session: Option<String>,
    /// The request's id.
    pub request: Option<RequestId>,
    /// The version.
    pub target: Option<Target>,
    /// Whether the connection never opened, as a balancer would notice.
    pub unopened: bool,
}

impl Client {
    /// A caller of a workspace.
    pub fn new(workspace: &str, history: Sink) -> Client {
        Client {
            workspace: workspace.parse().expect("a name of the demo"),
            key: super::key(workspace),
            http: awc::Client::builder()
                .connector(awc::Connector::new().conn_keep_alive(RESTS))
                .disable_timeout()
                .finish(),
            history,
        }
    }

    /// Sends to a VM and reads the answer to its end.
    pub async fn send(&self, to: SocketAddr, vm: &Vm, ask: &Ask) -> Answer {
        let number = ASKS.fetch_add(1, Ordering::Relaxed);
        self.history.record(|| Event::Asked {
            ask: number,
            workspace: self.workspace.clone(),
            key: ask.key.clone(),
            talk: ask.talk,
        });
        let exchange = self.exchange(to, ask);
        let answer = tokio::time::timeout(WITHIN, exchange).await.unwrap_or_default();
        self.history.record(|| Event::Answered {
            ask: number,
            request: answer.request.clone(),
            status: answer.status,
            ran: answer.ran,
            whole: answer.whole,
            digest: answer.whole.then(|| digest(&answer.text)),
            target: answer.target.clone(),
            vm: Some(vm.clone()),
        });
        answer
    }

    async fn exchange(&self, to: SocketAddr, ask: &Ask) -> Answer {
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
            Err(fault) => {
                let unopened = matches!(fault, awc::error::SendRequestError::Connect(_));
                return Answer { unopened, ..Answer::default() };
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
            answer.whole = true;
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

fn read_body(bytes: &[u8], read: bool, ask: &Ask, answer: &mut Answer) {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let value: Value = serde_json::from_str(&text).unwrap_or_default();
    if answer.status >= 300 {
        answer.ran = serde_json::from_value(value["ran"].clone()).ok().flatten();
        return;
    }
    let is_model = ask.path.starts_with("/v1/chat");
    let content = value["choices"][0]["message"]["content"].as_str();
    answer.text = if is_model { content.unwrap_or_default().to_owned() } else { text };
    answer.whole = read && (!is_model || content.is_some());
}
