//! Decision records: why a request went where it went.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::unit::{Date, RequestId, Revision, Workspace};

/// Records kept; older ones are dropped.
const KEPT: usize = 4000;

/// The record of one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Trace {
    /// The request.
    pub request: RequestId,
    /// Its workspace.
    pub workspace: Workspace,
    /// The revision it was decided under.
    pub revision: Revision,
    /// When it came.
    pub date: Date,
    /// What was weighed and met, a sentence each, in order.
    pub steps: Vec<String>,
}

impl Trace {
    /// The record in words.
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "request {} of {} under revision {}\n",
            self.request, self.workspace, self.revision
        );
        for step in &self.steps {
            text.push_str("  ");
            text.push_str(step);
            text.push('\n');
        }
        text
    }
}

/// The latest records, and who listens to new ones.
#[derive(Debug, Default)]
pub struct TraceLog {
    kept: VecDeque<Trace>,
    listeners: Vec<tokio::sync::mpsc::Sender<String>>,
}

impl TraceLog {
    /// Keeps a record and tells listeners; one that does not keep up misses records.
    pub fn record(&mut self, trace: Trace) {
        if !self.listeners.is_empty() {
            let text = serde_json::to_string(&trace).expect("a record is plain data");
            self.listeners.retain(|to| !to.is_closed());
            for to in &self.listeners {
                let _ = to.try_send(text.clone());
            }
        }
        if self.kept.len() >= KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back(trace);
    }

    /// The record of a request.
    pub fn find(&self, request: &str) -> Option<&Trace> {
        self.kept.iter().rev().find(|trace| trace.request.as_str() == request)
    }

    /// Listens to records to come.
    pub fn subscribe(&mut self, to: tokio::sync::mpsc::Sender<String>) {
        self.listeners.push(to);
    }
}
