//! Progress of the checks of servers that broke off their responses, for the requests that wait
//! for the results before they are refused. The rules are in [`crate::decide::poison::refusal`].

use futures_util::future::join_all;
use tokio::sync::watch;

use crate::decide::poison::refusal::CheckProgress;
use crate::unit::Span;

/// The end of a check that makes progress. Dropping it completes the check.
pub struct Reporter(watch::Sender<CheckProgress>);

impl Reporter {
    /// Records that the server accepted a connection.
    pub fn on_accepted(&self) {
        self.0.send_replace(CheckProgress::Accepted);
    }
}

impl Reporter {
    /// Records that the result of the check is recorded.
    pub fn on_result(&self) {
        self.0.send_replace(CheckProgress::Recorded);
    }
}

impl Drop for Reporter {
    fn drop(&mut self) {
        self.0.send_replace(CheckProgress::Complete);
    }
}

/// A check of a server. Clones share it.
#[derive(Clone, Debug)]
pub struct Check(watch::Receiver<CheckProgress>);

impl Check {
    /// Creates a check that has just started, and the end that makes progress.
    pub fn start() -> (Reporter, Check) {
        let (sender, receiver) = watch::channel(CheckProgress::Connecting);
        (Reporter(sender), Check(receiver))
    }

    /// Waits until a refusal need not wait for this check any longer.
    async fn wait(mut self, is_suspect: bool) {
        // Fails only if the reporter is gone, which completes the check.
        let _ = self.0.wait_for(|progress| progress.allows_refusal(is_suspect)).await;
    }
}

/// The checks of the servers that broke off their responses to one request.
#[derive(Clone, Debug, Default)]
pub struct Checks(Vec<Check>);

impl Checks {
    /// Adds a check.
    pub fn push(&mut self, check: Check) {
        self.0.push(check);
    }

    /// Returns the number of checks.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the number of checks without a result.
    pub fn without_result(&self) -> usize {
        self.0.iter().filter(|check| !check.0.borrow().has_result()).count()
    }

    /// Waits for the results of all checks, `limit` at most.
    pub async fn wait_for_results(&self, limit: Span) {
        let all = self.0.iter().map(|check| {
            let mut progress = check.0.clone();
            async move { progress.wait_for(|progress| progress.has_result()).await.is_ok() }
        });
        let _ = tokio::time::timeout(limit.duration(), join_all(all)).await;
    }

    /// Returns true if no server broke off its response.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Waits until the request may be refused, `limit` at most. `is_suspect` is true if there is
    /// evidence against the content of the request. Returns false if the time was up; the checks
    /// then go on, and their results count for later requests.
    pub async fn wait(&self, is_suspect: bool, limit: Span) -> bool {
        let is_suspect = is_suspect || self.len() > 1;
        let all = self.0.iter().map(|check| check.clone().wait(is_suspect));
        tokio::time::timeout(limit.duration(), join_all(all)).await.is_ok()
    }
}

impl Extend<Check> for Checks {
    fn extend<T: IntoIterator<Item = Check>>(&mut self, checks: T) {
        self.0.extend(checks);
    }
}
