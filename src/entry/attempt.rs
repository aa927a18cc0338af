//! One attempt on one engine: its frames, in order, each once, and none of another request.

use std::net::SocketAddr;
use std::time::Duration;

use crate::decide::retry::Failure;
use crate::engine::client::{AttemptError, EngineClient, Frames};
use crate::engine::wire::{Cancel, End, Generate, NotRun, Reason};
use crate::history::Event;
use crate::unit::{Moment, RequestId, Revision, Server, Span, Target};
use crate::vm::{Command, Group, SelectedServer, Vm};

/// An engine that sends no frame for this long is given up.
const FRAME_TIMEOUT: Span = Span::secs(3);

/// Records tell of each candidate if there are so few, and else of a share of requests.
const MAX_TRACED_CANDIDATES: usize = 32;
const TRACED_SHARE: f64 = 0.01;

/// An attempt that runs.
pub struct Attempt<'a> {
    vm: &'a Vm,
    work: Generate,
    picked: SelectedServer,
    frames: Frames,
    next_offset: u32,
    is_complete: bool,
}

/// What an attempt gives next.
pub enum Chunk {
    /// A token.
    Token(String),
    /// The end.
    End(End),
}

/// Looks for a server and starts work on it.
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
    let picked = {
        let mut fleet = vm.fleet.lock().expect("no panic while held");
        if fleet.server_count(&group) <= MAX_TRACED_CANDIDATES
            || rand::random::<f64>() < TRACED_SHARE
        {
            steps.extend(fleet.describe_candidates(&group, now));
        }
        fleet.select_server(&group, Some(prefix), rand::random(), now)
    };
    let Some(picked) = picked else {
        let words = format!("no server of {} can take it", work.target);
        return Err((
            None,
            AttemptError { failure: Failure::NotRun, not_run: None, reason: words },
        ));
    };
    vm.history.record(|| Event::Started {
        vm: vm.settings.vm.clone(),
        request: work.request.clone(),
        revision,
        target: Some(work.target.clone()),
        server: picked.server.clone(),
    });
    let outcome = engines.generate(picked.address, &work).await;
    let now = vm.clock.now();
    match outcome {
        Ok(frames) => {
            if let Some((running, waiting)) = frames.load {
                let mut fleet = vm.fleet.lock().expect("no panic while held");
                fleet.on_load_hint(&picked.server, running, waiting, now);
            }
            steps.push(format!(
                "{} began on {}, the cheapest of those drawn",
                work.target, picked.server
            ));
            let next_offset = work.offset;
            Ok(Attempt { vm, work, picked, frames, next_offset, is_complete: false })
        }
        Err(fault) => {
            record_fault(vm, &picked, &fault, now);
            steps.push(format!("{} on {}: {}", work.target, picked.server, fault.reason));
            count_attempt(vm, &work.target, "refused");
            Err((Some(picked), fault))
        }
    }
}

fn record_fault(vm: &Vm, picked: &SelectedServer, fault: &AttemptError, now: Moment) {
    let mut fleet = vm.fleet.lock().expect("no panic while held");
    fleet.on_request_end(&picked.server);
    match &fault.not_run {
        Some(NotRun { reason: Reason::Leaving, .. }) => fleet.on_drain(&picked.server),
        // Full is no failure: the load that it told keeps others away.
        Some(NotRun { reason: Reason::Full, load }) => {
            fleet.on_load_hint(&picked.server, load.0, load.1, now);
            return;
        }
        _ => fleet.on_failure(&picked.server, now),
    }
    drop(fleet);
    vm.send_command(Command::ProbeServer(picked.server.clone()));
}

fn count_attempt(vm: &Vm, target: &Target, outcome: &str) {
    vm.metrics.attempts.with_label_values(&[target.to_string().as_str(), outcome]).inc();
}

impl Attempt<'_> {
    /// Where its server listens.
    pub fn address(&self) -> SocketAddr {
        self.picked.address
    }

    /// The server it runs on.
    pub fn server(&self) -> &Server {
        &self.picked.server
    }

    /// The next piece that is this request's own and new.
    ///
    /// # Errors
    /// In words, if the stream broke before its end.
    pub async fn next(&mut self, deadline: Moment) -> Result<Chunk, String> {
        let left = deadline.since(self.vm.clock.now()).min(FRAME_TIMEOUT);
        let until = Duration::from_micros(left.0);
        match tokio::time::timeout(until, self.read_chunk()).await {
            Ok(chunk) => chunk,
            Err(_) => Err(format!("it sent nothing for {left}")),
        }
    }

    async fn read_chunk(&mut self) -> Result<Chunk, String> {
        loop {
            let frame = match self.frames.next().await {
                None => return Err("the stream ended without its end".to_owned()),
                Some(frame) => frame?,
            };
            let own = frame.request == self.work.request && frame.attempt == self.work.attempt;
            let old = frame.end.is_none() && frame.offset < self.next_offset;
            if !own || old {
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
    /// An attempt that is dropped before its end is cancelled, whoever dropped it.
    fn drop(&mut self) {
        self.vm.fleet.lock().expect("no panic while held").on_request_end(&self.picked.server);
        if !self.is_complete {
            count_attempt(self.vm, &self.work.target, "cut");
            let (request, attempt): (RequestId, u32) =
                (self.work.request.clone(), self.work.attempt);
            self.vm.send_command(Command::Cancel(self.picked.address, Cancel { request, attempt }));
        }
    }
}
