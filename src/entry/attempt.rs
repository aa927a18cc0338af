//! One attempt of a request at one engine (a backend server that runs models).
//!
//! Yields each frame of the request once and in order, and drops duplicates and frames of other
//! requests.

use std::net::SocketAddr;
use std::time::Duration;

use crate::decide::retry::Failure;
use crate::engine::client::{AttemptError, EngineClient, Frames};
use crate::engine::wire::{Cancel, End, Generate, NotRun, Reason};
use crate::history::Event;
use crate::unit::{Moment, RequestId, Revision, Server, Span, Target};
use crate::vm::{Command, Group, SelectedServer, Vm};

/// Maximum wait for the next frame of an answer before the attempt counts as broken.
const FRAME_TIMEOUT: Span = Span::secs(3);

/// Size of a group of servers up to which each decision trace lists every candidate server. For
/// larger groups, only a share of the requests ([`TRACED_SHARE`]) lists them.
const MAX_TRACED_CANDIDATES: usize = 32;
/// Share of the requests whose traces list the candidates of a large group.
const TRACED_SHARE: f64 = 0.01;

/// An attempt that the engine accepted. Dropping the value before the end of the answer cancels the
/// attempt at the engine.
pub struct Attempt<'a> {
    vm: &'a Vm,
    work: Generate,
    selected: SelectedServer,
    frames: Frames,
    /// Index of the next token to yield.
    next_offset: u32,
    is_complete: bool,
}

/// Next part of an answer stream.
pub enum Chunk {
    /// The text of one token.
    Token(String),
    /// The end of the answer, with its token count and confidence.
    End(End),
}

/// Selects a server and starts the generation there.
///
/// # Errors
/// The cause, with the server that was selected, if that server refused the request or failed;
/// without a server if none can take the request.
pub async fn start<'a>(
    vm: &'a Vm,
    engines: &EngineClient,
    work: Generate,
    prefix: u64,
    revision: Revision,
    steps: &mut Vec<String>,
) -> Result<Attempt<'a>, (Option<SelectedServer>, AttemptError)> {
    let now = vm.clock.now();
    let group = Group::Version(work.target.clone());
    let selected = {
        let mut fleet = vm.fleet.lock().expect("no panic while held");
        if fleet.server_count(&group) <= MAX_TRACED_CANDIDATES
            || rand::random::<f64>() < TRACED_SHARE
        {
            steps.extend(fleet.describe_candidates(&group, now));
        }
        fleet.select_server(&group, Some(prefix), rand::random(), now)
    };
    let Some(selected) = selected else {
        let reason = format!("no server of {} can take it", work.target);
        return Err((None, AttemptError { failure: Failure::NotRun, not_run: None, reason }));
    };
    vm.history.record(|| Event::Started {
        vm: vm.settings.vm.clone(),
        request: work.request.clone(),
        revision,
        target: Some(work.target.clone()),
        server: selected.server.clone(),
    });
    let outcome = engines.generate(selected.address, &work).await;
    let now = vm.clock.now();
    match outcome {
        Ok(frames) => {
            if let Some((running, waiting)) = frames.load {
                let mut fleet = vm.fleet.lock().expect("no panic while held");
                fleet.on_load_hint(&selected.server, running, waiting, now);
            }
            steps.push(format!(
                "{} started on {}, the cheapest of the sampled servers",
                work.target, selected.server
            ));
            let next_offset = work.offset;
            Ok(Attempt { vm, work, selected, frames, next_offset, is_complete: false })
        }
        Err(error) => {
            record_failed_start(vm, &selected, &error, now);
            steps.push(format!("{} on {}: {}", work.target, selected.server, error.reason));
            count_attempt(vm, &work.target, "refused");
            Err((Some(selected), error))
        }
    }
}

/// Records at the fleet state that an engine did not start an attempt, and asks for a probe of its
/// load unless it was just full.
fn record_failed_start(vm: &Vm, selected: &SelectedServer, error: &AttemptError, now: Moment) {
    let mut fleet = vm.fleet.lock().expect("no panic while held");
    fleet.on_request_end(&selected.server);
    match &error.not_run {
        Some(NotRun { reason: Reason::Leaving, .. }) => fleet.on_drain(&selected.server),
        // A full server has not failed. The load that it reports steers other requests away.
        Some(NotRun { reason: Reason::Full, load }) => {
            fleet.on_load_hint(&selected.server, load.0, load.1, now);
            return;
        }
        _ => fleet.on_failure(&selected.server, now),
    }
    drop(fleet);
    vm.send_command(Command::ProbeServer(selected.server.clone()));
}

/// Counts an attempt in the metrics, by version and outcome.
fn count_attempt(vm: &Vm, target: &Target, outcome: &str) {
    vm.metrics.attempts.with_label_values(&[target.to_string().as_str(), outcome]).inc();
}

impl Attempt<'_> {
    /// Returns the address of the server that runs the attempt.
    pub fn address(&self) -> SocketAddr {
        self.selected.address
    }

    /// Returns the name of the server that runs the attempt.
    pub fn server(&self) -> &Server {
        &self.selected.server
    }

    /// Returns the next token of the answer, or its end.
    ///
    /// # Errors
    /// Returns the reason if the stream ends early, skips a token, or sends no frame within
    /// `FRAME_TIMEOUT` or until the deadline.
    pub async fn next(&mut self, deadline: Moment) -> Result<Chunk, String> {
        let left = deadline.since(self.vm.clock.now()).min(FRAME_TIMEOUT);
        let until = Duration::from_micros(left.0);
        match tokio::time::timeout(until, self.read_chunk()).await {
            Ok(chunk) => chunk,
            Err(_) => Err(format!("it sent nothing for {left}")),
        }
    }

    /// Reads frames until one belongs to this attempt and is new; counts the others as stray.
    async fn read_chunk(&mut self) -> Result<Chunk, String> {
        loop {
            let frame = match self.frames.next().await {
                None => return Err("the stream ended without its end".to_owned()),
                Some(frame) => frame?,
            };
            let is_own = frame.request == self.work.request && frame.attempt == self.work.attempt;
            let is_duplicate = frame.end.is_none() && frame.offset < self.next_offset;
            if !is_own || is_duplicate {
                self.vm.metrics.stray_frames.inc();
                continue;
            }
            if frame.offset > self.next_offset {
                return Err(format!("tokens {} to {} are missing", self.next_offset, frame.offset));
            }
            if let Some(end) = frame.end {
                if end.tokens != self.next_offset {
                    return Err("its end does not fit its tokens".to_owned());
                }
                self.is_complete = true;
                count_attempt(self.vm, &self.work.target, "whole");
                return Ok(Chunk::End(end));
            }
            self.next_offset += 1;
            return Ok(Chunk::Token(frame.text));
        }
    }
}

impl Drop for Attempt<'_> {
    /// Cancels the attempt at the engine unless it is complete.
    fn drop(&mut self) {
        self.vm.fleet.lock().expect("no panic while held").on_request_end(&self.selected.server);
        if !self.is_complete {
            count_attempt(self.vm, &self.work.target, "cut");
            let (request, attempt): (RequestId, u32) =
                (self.work.request.clone(), self.work.attempt);
            self.vm
                .send_command(Command::Cancel(self.selected.address, Cancel { request, attempt }));
        }
    }
}
