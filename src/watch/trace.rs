//! Decision records: the steps by which a request was routed, for operators.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::unit::{Date, RequestId, Revision, Workspace};

/// Maximum number of records kept; the oldest are dropped.
const MAX_RECORDS: usize = 4000;

/// Decision record of one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Trace {
    /// Request.
    pub request: RequestId,
    /// Workspace of the request.
    pub workspace: Workspace,
    /// Configuration revision that applied to it.
    pub revision: Revision,
    /// Time at which it arrived.
    pub date: Date,
    /// Decisions and events in order, one sentence each.
    pub steps: Vec<String>,
}

impl Trace {
    /// Formats the record for operators, one step per line.
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

/// Latest decision records, and the subscribers to new ones.
#[derive(Debug, Default)]
pub struct TraceLog {
    records: VecDeque<Trace>,
    subscribers: Vec<tokio::sync::mpsc::Sender<String>>,
}

impl TraceLog {
    /// Stores a record and sends it to all subscribers. A subscriber whose channel is full misses
    /// it.
    pub fn record(&mut self, trace: Trace) {
        if !self.subscribers.is_empty() {
            let text = serde_json::to_string(&trace).expect("a decision record serializes");
            self.subscribers.retain(|to| !to.is_closed());
            for to in &self.subscribers {
                let _ = to.try_send(text.clone());
            }
        }
        if self.records.len() >= MAX_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back(trace);
    }

    /// Returns the newest record of a request, if it is still kept.
    pub fn find(&self, request: &str) -> Option<&Trace> {
        self.records.iter().rev().find(|trace| trace.request.as_str() == request)
    }

    /// Subscribes a channel to new records, which are sent as JSON.
    pub fn subscribe(&mut self, to: tokio::sync::mpsc::Sender<String>) {
        self.subscribers.push(to);
    }
}
