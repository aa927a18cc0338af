//! Model requests, in the chat completions format that clients of model engines use.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use actix_web::web::{Bytes, Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::dispatch::{self, InFlightGuard, Job, Output, Route};
use super::header;
use super::refusal::{Kind as Refused, Refusal};
use super::session::{self, Session};
use super::stream::in_flight_body;
use crate::client::body;
use crate::config::{Allowed, Snapshot, WorkspaceEntry, digest};
use crate::decide::poison::Fingerprint;
use crate::engine::client::EngineClient;
use crate::evidence::{Counts, Key};
use crate::unit::{self, Kind, Model, RequestId, Span, Target};
use crate::vm::{Command, Vm};

/// Number of tokens buffered for a slow client before generation waits.
const CHANNEL_CAPACITY: usize = 16;

/// Maximum answer length if the client sets none, in tokens.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Upper bound of the maximum answer length that a client can set, in tokens.
const MAX_TOKENS_LIMIT: u32 = 32_000;

/// Time until the deadline if the client sets none.
const DEFAULT_TIMEOUT: Span = Span::secs(60);

/// Number of characters at the start of a prompt that are hashed, to find servers that have this
/// prefix cached.
const PREFIX_CHARS: usize = 256;

#[derive(Deserialize)]
struct ChatRequest {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    metadata: Option<Value>,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: Value,
}

/// Authenticated client of a request, with the settings from its headers.
pub struct Caller {
    /// Configuration at the time of the check.
    pub snapshot: Arc<Snapshot>,
    /// Workspace of the API key.
    pub workspace: WorkspaceEntry,
    /// Kind of work, `any` if the client names none.
    pub kind: Kind,
    /// How long the client waits.
    pub timeout: Span,
    /// Priority; higher values go first.
    pub priority: u8,
}

/// Authenticates the client and checks that this VM may start new work for it.
///
/// # Errors
/// Refuses the request if the VM is stopping or has lost contact, if the API key is unknown, if
/// bills can't be stored, or if the rate limit of the workspace is exhausted.
pub fn admit(vm: &Data<Vm>, request: &HttpRequest) -> Result<Caller, Refusal> {
    let now = vm.clock.now();
    if vm.is_stopping() {
        return Err(Refusal::new(Refused::Stopping));
    }
    if !vm.may_start(now) {
        return Err(Refusal::new(Refused::CutOff));
    }
    let snapshot = vm.config();
    let text = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
    let key = text("authorization").and_then(|value| value.strip_prefix("Bearer "));
    let workspace = key.and_then(|key| snapshot.by_key(&digest(key.as_bytes())));
    let workspace = workspace.ok_or_else(|| Refusal::new(Refused::Unauthorised))?.clone();
    if !vm.has_bill_room.load(std::sync::atomic::Ordering::Relaxed) {
        return Err(Refusal::new(Refused::NoLedger));
    }
    let demand = Key::Demand { workspace: workspace.name.clone() };
    vm.record_evidence(demand, Counts { ended: 1, ..Counts::default() });
    vm.try_acquire_rate(&workspace.name, workspace.limit, now)
        .map_err(|wait| Refusal::with_retry_after(Refused::Limited, wait))?;
    let kind = text(header::KIND).and_then(|kind| kind.parse().ok());
    let kind = kind.unwrap_or_else(|| "any".parse().expect("`any` is a valid name"));
    let timeout = text(header::DEADLINE).and_then(|ms| ms.parse().ok()).map(Span::millis);
    let priority = text(header::PRIORITY).and_then(|n| n.parse().ok()).unwrap_or(5);
    Ok(Caller { snapshot, workspace, kind, timeout: timeout.unwrap_or(DEFAULT_TIMEOUT), priority })
}

/// Reads a request body of at most the configured size.
pub async fn read_body(
    vm: &Data<Vm>,
    request: &HttpRequest,
    payload: Payload,
) -> Result<Bytes, Refusal> {
    let limit = vm.settings.body_limit.0 as usize;
    let account = super::account_of(request);
    let read = body::read(payload, request.headers(), &account, limit).await;
    read.map_err(|error| match error {
        body::Error::TooLarge => Refusal::new(Refused::TooLarge),
        body::Error::Broken(reason) => Refusal::with_detail(Refused::Malformed, reason),
        body::Error::NoRoom => Refusal::new(Refused::Crowded),
    })
}

/// `POST /v1/chat/completions`: answers as one JSON object or as server-sent events.
pub async fn chat(
    vm: Data<Vm>,
    engines: Data<EngineClient>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let id = vm.next_request_id();
    let in_flight = InFlightGuard::new(&vm);
    let prepared = async {
        let bytes = read_body(&vm, &request, payload).await?;
        let caller = admit(&vm, &request)?;
        prepare_job(&vm, &request, caller, &bytes, id.clone()).await
    };
    let (job, stream, new_session) = match prepared.await {
        Ok(prepared) => prepared,
        Err(refusal) => {
            vm.metrics.refusals.with_label_values(&[refusal.kind.row().name]).inc();
            return refusal.to_response(vm.settings.vm.as_str(), Some(&id));
        }
    };
    let revision = job.snapshot.revision();
    let (sender, mut receiver) = mpsc::channel(CHANNEL_CAPACITY);
    actix_web::rt::spawn(dispatch::run(vm.clone(), engines.get_ref().clone(), job, sender));
    let target = match receiver.recv().await {
        Some(Output::Started(target)) => target,
        Some(Output::Refused(refusal)) => {
            return refusal.to_response(vm.settings.vm.as_str(), Some(&id));
        }
        _ => return Refusal::new(Refused::Broken).to_response(vm.settings.vm.as_str(), Some(&id)),
    };
    let mut answer = HttpResponse::Ok();
    answer
        .insert_header((header::REQUEST, id.as_str()))
        .insert_header((header::VM, vm.settings.vm.as_str()))
        .insert_header((header::VERSION, target.to_string()))
        .insert_header((header::REVISION, revision.to_string()));
    if let Some(session) = new_session {
        let session = Session { target: target.clone(), ..session };
        let token = session::encode_token(&session, &vm.settings.session_keys);
        answer.insert_header((header::SESSION, token));
    }
    if stream {
        let (sender, body) = mpsc::channel(CHANNEL_CAPACITY);
        actix_web::rt::spawn(write_events(receiver, sender, id, target));
        return answer.content_type("text/event-stream").streaming(in_flight_body(body, in_flight));
    }
    match collect_answer(&mut receiver).await {
        Ok((text, tokens)) => answer.json(json!({
            "id": id,
            "object": "chat.completion",
            "model": target,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "stop",
            }],
            "usage": {"completion_tokens": tokens},
        })),
        Err(refusal) => refusal.to_response(vm.settings.vm.as_str(), Some(&id)),
    }
}

/// Collects the tokens of an answer until it is complete; returns the text and token count.
async fn collect_answer(input: &mut mpsc::Receiver<Output>) -> Result<(String, u32), Refusal> {
    let mut text = String::new();
    loop {
        match input.recv().await {
            Some(Output::Token(token)) => text.push_str(&token),
            Some(Output::Completed(tokens)) => return Ok((text, tokens)),
            Some(Output::Refused(refusal)) => return Err(refusal),
            Some(Output::Started(_)) => {}
            None => return Err(Refusal::new(Refused::Broken)),
        }
    }
}

/// Writes the answer as server-sent events. If it ends early, an `error` event replaces `[DONE]`,
/// because the HTTP status was already sent.
async fn write_events(
    mut input: mpsc::Receiver<Output>,
    output: mpsc::Sender<Result<Bytes, std::io::Error>>,
    id: RequestId,
    target: Target,
) {
    let prefix = format!(
        "data: {{\"id\":\"{id}\",\"object\":\"chat.completion.chunk\",\"model\":\"{target}\",\
         \"choices\":[{{\"index\":0,\"delta\":"
    );
    let mut is_last = false;
    while !is_last {
        let next = input.recv().await;
        is_last = matches!(next, Some(Output::Completed(_) | Output::Refused(_)));
        let text = match next {
            Some(Output::Token(token)) => {
                let content = serde_json::to_string(&token).expect("text can be encoded as JSON");
                format!("{prefix}{{\"content\":{content}}},\"finish_reason\":null}}]}}\n\n")
            }
            Some(Output::Completed(tokens)) => format!(
                "{prefix}{{}},\"finish_reason\":\"stop\"}}],\
                 \"usage\":{{\"completion_tokens\":{tokens}}}}}\n\ndata: [DONE]\n\n"
            ),
            Some(Output::Refused(refusal)) => {
                format!("data: {}\n\n", json!({"error": refusal.to_json()}))
            }
            Some(Output::Started(_)) => continue,
            None => return,
        };
        if output.send(Ok(text.into())).await.is_err() {
            return;
        }
    }
}

/// Parses a chat request and resolves its session and route. Returns the job, true if the answer is
/// to be streamed, and the session for which the client gets a token, if any.
async fn prepare_job(
    vm: &Data<Vm>,
    request: &HttpRequest,
    caller: Caller,
    bytes: &[u8],
    id: RequestId,
) -> Result<(Job, bool, Option<Session>), Refusal> {
    let malformed = |detail: String| Refusal::with_detail(Refused::Malformed, detail);
    let text = std::str::from_utf8(bytes).map_err(|error| malformed(error.to_string()))?;
    let chat: ChatRequest =
        serde_json::from_str(text).map_err(|error| malformed(error.to_string()))?;
    if chat.messages.is_empty() {
        return Err(malformed("`messages` is empty".to_owned()));
    }
    let prompt = prompt_text(&chat.messages);
    let now = vm.clock.now();
    let point = rollout_point(&id);
    let header_token = request.headers().get(header::SESSION).and_then(|value| value.to_str().ok());
    let body_token = chat.metadata.as_ref().and_then(|m| m["session"].as_str());
    let mut snapshot = caller.snapshot;
    let mut workspace = caller.workspace;
    let (route, in_session, new_session) = match header_token.or(body_token) {
        Some("new") => {
            let route = resolve_route(&snapshot, &workspace, &chat.model, point, true)?;
            let target = match &route {
                Route::Fixed(t) | Route::Model(t) | Route::Cascade(_, t) => t.clone(),
            };
            let session = Session {
                id: rand::random(),
                workspace: workspace.name.clone(),
                target,
                revision: snapshot.revision(),
                created_at: vm.clock.date(),
            };
            (route, false, Some(session))
        }
        Some(token) => {
            let session = session::decode_token(token, &vm.settings.session_keys, vm.clock.date());
            let session = session.ok_or_else(|| Refusal::new(Refused::BadSession))?;
            if session.workspace != workspace.name {
                return Err(Refusal::new(Refused::BadSession));
            }
            if session.revision > snapshot.revision() {
                snapshot = fetch_revision(vm, &session).await?;
                let newer = snapshot.workspace(&session.workspace).cloned();
                workspace = newer.ok_or_else(|| Refusal::new(Refused::Unauthorised))?;
            }
            match snapshot.allowed(&workspace, &session.target) {
                Allowed::Yes => {}
                Allowed::Withdrawn => return Err(Refusal::new(Refused::SessionEnded)),
                Allowed::No | Allowed::Unknown => return Err(Refusal::new(Refused::NotAllowed)),
            }
            (Route::Fixed(session.target.clone()), true, Some(session))
        }
        None => (resolve_route(&snapshot, &workspace, &chat.model, point, false)?, false, None),
    };
    let job = Job {
        request: id,
        prefix_hash: prefix_hash(&workspace, &prompt),
        fingerprint: fingerprint(&workspace, &chat, &prompt),
        reason: route_reason(&snapshot, &route, in_session, point),
        workspace,
        snapshot,
        route,
        in_session,
        prompt,
        max_tokens: chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).clamp(1, MAX_TOKENS_LIMIT),
        kind: caller.kind,
        priority: caller.priority,
        arrived_at: now,
        deadline: now + caller.timeout,
    };
    Ok((job, chat.stream, new_session))
}

/// Returns the configuration once it has the revision of a session, which another VM created under
/// a later revision than this VM's.
async fn fetch_revision(vm: &Data<Vm>, session: &Session) -> Result<Arc<Snapshot>, Refusal> {
    let (sender, done) = tokio::sync::oneshot::channel();
    vm.send_command(Command::CatchUp(session.revision, sender));
    let _ = done.await;
    let snapshot = vm.config();
    if snapshot.revision() < session.revision {
        return Err(Refusal::new(Refused::Behind));
    }
    Ok(snapshot)
}

/// Resolves `name`, which is a cascade, a MODEL@VERSION or a model, to the versions that may
/// answer. `point`, a random number of the request from 0 to 1, is compared with the share of a
/// roll-out.
fn resolve_route(
    snapshot: &Snapshot,
    workspace: &WorkspaceEntry,
    name: &str,
    point: f64,
    begins_session: bool,
) -> Result<Route, Refusal> {
    if let Some(cascade) = snapshot.cascade(workspace, name) {
        let choose = |model| snapshot.select_version(workspace, model, point, begins_session);
        let rungs: Vec<Target> = cascade.rungs.iter().filter_map(choose).collect();
        return match rungs.as_slice() {
            [] => Err(Refusal::new(Refused::NotAllowed)),
            [only] => Ok(Route::Model(only.clone())),
            [cheap, .., strong] => Ok(Route::Cascade(cheap.clone(), strong.clone())),
        };
    }
    if let Ok(target) = name.parse::<Target>() {
        return match snapshot.allowed(workspace, &target) {
            Allowed::Yes => Ok(Route::Fixed(target)),
            Allowed::No => Err(Refusal::new(Refused::NotAllowed)),
            Allowed::Withdrawn => Err(Refusal::new(Refused::Withdrawn)),
            Allowed::Unknown => Err(Refusal::new(Refused::UnknownModel)),
        };
    }
    let model: Model = name.parse().map_err(|_| Refusal::new(Refused::UnknownModel))?;
    if snapshot.model(&model).is_none() {
        return Err(Refusal::new(Refused::UnknownModel));
    }
    let chosen = snapshot.select_version(workspace, &model, point, begins_session);
    chosen.map(Route::Model).ok_or_else(|| Refusal::new(Refused::NotAllowed))
}

/// Describes the reason for a route, for the decision trace.
fn route_reason(snapshot: &Snapshot, route: &Route, in_session: bool, point: f64) -> String {
    let target = match route {
        Route::Fixed(target) if in_session => return format!("the session is pinned to {target}"),
        Route::Fixed(target) => return format!("the client named {target}"),
        Route::Cascade(cheap, strong) => return format!("a cascade from {cheap} to {strong}"),
        Route::Model(target) => target,
    };
    match snapshot.rollout(&target.model) {
        Some(rollout) => format!(
            "{target}: the share of the roll-out of {} is {}, and the request drew {:.2}%",
            rollout.to,
            rollout.share,
            point * 100.0
        ),
        None => format!("{target} is the serving version"),
    }
}

/// Joins the messages to one prompt, a line `ROLE: TEXT` each; content parts without text are
/// skipped.
fn prompt_text(messages: &[Message]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        match &message.content {
            Value::String(text) => prompt.push_str(text),
            Value::Array(parts) => {
                let texts = parts.iter().filter_map(|part| part["text"].as_str());
                texts.for_each(|text| prompt.push_str(text));
            }
            _ => {}
        }
        prompt.push('\n');
    }
    prompt
}

/// Derives a number from 0 to 1 from the request id, uniform over requests, that decides if a
/// roll-out's new version is used.
fn rollout_point(id: &RequestId) -> f64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}

/// Hashes the workspace and the start of the prompt, to find servers that have it cached.
fn prefix_hash(workspace: &WorkspaceEntry, prompt: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    workspace.name.hash(&mut hasher);
    let end = prompt.char_indices().nth(PREFIX_CHARS).map_or(prompt.len(), |(at, _)| at);
    prompt[..end].hash(&mut hasher);
    hasher.finish()
}

/// Returns what identifies a request if it crashes servers: the digest of the workspace, the model
/// as the client named it, and the whole prompt; and, for the same model, those of all messages but
/// the last, such as a system prompt, which other requests may share.
fn fingerprint(workspace: &WorkspaceEntry, chat: &ChatRequest, prompt: &str) -> Fingerprint {
    let model = chat.model.as_bytes();
    let content = unit::digest(&[workspace.name.as_str().as_bytes(), model, prompt.as_bytes()]);
    let shared = chat.messages.split_last().map_or(&[][..], |(_, shared)| shared);
    let part = |message: &Message| {
        let text = prompt_text(std::slice::from_ref(message));
        unit::digest(&[b"prompt part", model, text.as_bytes()])
    };
    Fingerprint::new(content, shared.iter().map(part))
}

/// `GET /v1/models`: lists the cascades, models and versions that the workspace may use.
pub async fn list_models(vm: Data<Vm>, request: HttpRequest) -> HttpResponse {
    let caller = match admit(&vm, &request) {
        Ok(caller) => caller,
        Err(refusal) => return refusal.to_response(vm.settings.vm.as_str(), None),
    };
    let mut names: Vec<String> =
        caller.workspace.cascades.iter().map(|cascade| cascade.name.to_string()).collect();
    for target in &caller.workspace.versions {
        if caller.snapshot.allowed(&caller.workspace, target) == Allowed::Yes {
            if !names.contains(&target.model.to_string()) {
                names.push(target.model.to_string());
            }
            names.push(target.to_string());
        }
    }
    let data: Vec<Value> =
        names.iter().map(|name| json!({"id": name, "object": "model"})).collect();
    HttpResponse::Ok().json(json!({"object": "list", "data": data}))
}
