//! Workload of the demo, drawn from a seed: requests of two workspaces.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use super::client::Request;

/// Requests per conversation.
const TURNS: usize = 4;

/// One unit of work of a caller.
#[derive(Clone, Debug)]
pub enum Work {
    /// A single request.
    Single(Request),
    /// A call with an idempotency key, sent twice concurrently.
    Duplicate(Request),
    /// A call whose idempotency key is reserved first, as when a parent opens the form.
    Reserved(Request),
    /// The requests of a conversation, sent one after the other in one session.
    Conversation(Vec<Request>),
}

impl Work {
    /// Returns the number of requests that it sends, without retries.
    pub fn requests(&self) -> usize {
        match self {
            Work::Single(_) => 1,
            Work::Duplicate(_) | Work::Reserved(_) => 2,
            Work::Conversation(turns) => turns.len(),
        }
    }
}

fn chat(model: &str, text: &str, stream: bool, max_tokens: u32, kind: &'static str) -> Request {
    Request {
        path: "/v1/chat/completions".to_owned(),
        body: Some(json!({
            "model": model,
            "messages": [{"role": "user", "content": text}],
            "stream": stream,
            "max_tokens": max_tokens,
        })),
        kind: Some(kind),
        ..Request::default()
    }
}

fn enrolment(number: u64) -> Request {
    Request {
        path: "/v1/services/tellimus-api/enrolments".to_owned(),
        body: Some(json!({"seat": number})),
        key: Some(format!("seat-{number}")),
        ..Request::default()
    }
}

fn conversation(rng: &mut SmallRng) -> Vec<Request> {
    let number = rng.random::<u64>() >> 1;
    let turn = |i: usize| {
        let text = format!("conversation {number}, turn {i}");
        let request = chat("roastmind", &text, i.is_multiple_of(2), 16, "talk");
        Request { talk: Some(number), ..request }
    };
    (0..TURNS).map(turn).collect()
}

/// Draws work of at least this many requests.
pub fn draw(seed: u64, requests: usize) -> Vec<Work> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut all = Vec::new();
    let mut sent = 0;
    while sent < requests {
        let number = rng.random::<u64>() >> 1;
        let work = match rng.random_range(0..100) {
            0..35 => Work::Single(chat("auto", &format!("tag order {number}"), false, 8, "tag")),
            35..50 => Work::Single(chat("roastmind", &format!("plan {number}"), true, 40, "draft")),
            50..65 => Work::Single(Request {
                path: format!("/v1/services/tellimus-api/seats?centre={number}"),
                ..Request::default()
            }),
            65..73 => Work::Single(enrolment(number)),
            73..80 => Work::Reserved(enrolment(number)),
            80..90 => Work::Duplicate(enrolment(number)),
            _ => Work::Conversation(conversation(&mut rng)),
        };
        sent += work.requests();
        all.push(work);
    }
    all
}
