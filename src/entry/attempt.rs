//! One attempt on one engine: its frames, in order, each once, and none of another request.

use std::net::SocketAddr;
use std::time::Duration;

use crate::decide::retry::Failure;
use crate::engine::client::{Engines, Fault, Frames};
use crate::engine::wire::{Cancel, End, Generate, NotRun, Reason};
use crate::history::Event;
use crate::unit::{Moment, RequestId, Revision, Server, Span, Target};
use crate::vm::{Errand, Group, Picked, Vm};

/// An engine that sends no frame for this long is given up.
const SILENT: Span = Span::secs(3);

/// Records tell of each candidate if there are so few, and else of a share of requests.
const TOLD: usize = 32;
const TOLD_SHARE: f64 = 0.01;

/// An attempt that runs.
pub struct Attempt<'a> {
    vm: &'a Vm,
    work: Generate,
    picked: Picked,
    frames: Frames,
    next: u32,
    ended: bool,
}

/// What an attempt gives next.
pub enum Piece {
    /// A token.
    Token(String),
    /// The end.
    End(End),
}

/// Looks for a server and starts work on it.
pub async fn start<'a>(
    vm: &'a Vm,
    engines: &Engines,
    work: Generate,
    prefix: u64,
    revision: Revision,
    steps: &mut Vec<String>,
) -> Result<Attempt<'a>, (Option<Picked>, Fault)> {
    let now = vm.clock.now();
    let group = Group::Version(work.target.clone());
    let picked = {
        let mut fleet = vm.fleet.lock().expect("no panic while held");
        if fleet.size(&group) <= TOLD || rand::random::<f64>() < TOLD_SHARE {
            steps.extend(fleet.candidates(&group, now));
        }
        fleet.pick(&group, Some(prefix), rand::random(), now)
    };
    let Some(picked) = picked else {
        let words = format!("no server of {} can take it", work.target);
        return Err((None, Fault { failure: Failure::NotRun, told: None, words }));
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
                fleet.hint(&picked.server, running, waiting, now);
            }
            steps.push(format!(
                "{} began on {}, the cheapest of those drawn",
                work.target, picked.server
            ));
            let next = work.offset;
            Ok(Attempt { vm, work, picked, frames, next, ended: false })
        }
        Err(fault) => {
            note_fault(vm, &picked, &fault, now);
            steps.push(format!("{} on {}: {}", work.target, picked.server, fault.words));
            count(vm, &work.target, "refused");
            Err((Some(picked), fault))
        }
    }
}

fn note_fault(vm: &Vm, picked: &Picked, fault: &Fault, now: Moment) {
    let mut fleet = vm.fleet.lock().expect("no panic while held");
    fleet.ended(&picked.server);
    match &fault.told {
        Some(NotRun { reason: Reason::Leaving, .. }) => fleet.leaving(&picked.server),
        // Full is no failure: the load that it told keeps others away.
        Some(NotRun { reason: Reason::Full, load }) => {
            fleet.hint(&picked.server, load.0, load.1, now);
            return;
        }
        _ => fleet.failed(&picked.server, now),
    }
    drop(fleet);
    vm.errand(Errand::Look(picked.server.clone()));
}

fn count(vm: &Vm, target: &Target, outcome: &str) {
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
    pub async fn next(&mut self, deadline: Moment) -> Result<Piece, String> {
        let left = deadline.since(self.vm.clock.now()).min(SILENT);
        let until = Duration::from_micros(left.0);
        match tokio::time::timeout(until, self.own()).await {
            Ok(piece) => piece,
            Err(_) => Err(format!("it sent nothing for {left}")),
        }
    }

    async fn own(&mut self) -> Result<Piece, String> {
        loop {
            let frame = match self.frames.next().await {
                None => return Err("the stream ended without its end".to_owned()),
                Some(frame) => frame?,
            };
            let own = frame.request == self.work.request && frame.attempt == self.work.attempt;
            let old = frame.end.is_none() && frame.offset < self.next;
            if !own || old {
                self.vm.metrics.stray_frames.inc();
                continue;
            }
            if frame.offset > self.next {
                return Err(format!("tokens {} to {} are missing", self.next, frame.offset));
            }
            if let Some(end) = frame.end {
                if end.tokens != self.next {
                    return Err("its end does not fit its tokens".to_owned());
                }
                self.ended = true;
                count(self.vm, &self.work.target, "whole");
                return Ok(Piece::End(end));
            }
            self.next += 1;
            return Ok(Piece::Token(frame.text));
        }
    }
}

impl Drop for Attempt<'_> {
    /// An attempt that is dropped before its end is cancelled, whoever dropped it.
    fn drop(&mut self) {
        self.vm.fleet.lock().expect("no panic while held").ended(&self.picked.server);
        if !self.ended {
            count(self.vm, &self.work.target, "cut");
            let (request, attempt): (RequestId, u32) =
                (self.work.request.clone(), self.work.attempt);
            self.vm.errand(Errand::Cancel(self.picked.address, Cancel { request, attempt }));
        }
    }
}
