//! Checker that verifies the ten promises of the system from a history alone.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::fmt;
use std::io::BufRead;

use serde::Serialize;

use super::{Event, Line, Ran};
use crate::error::Error;
use crate::unit::{Date, RequestId, Revision, Server, Span, Target, Vm, Workspace};

/// A draining backend server must get no new work after this time.
const DRAIN_TIMEOUT: Span = Span::secs(3);

/// A new revision must be accepted (no VM starts work under an older one) within this time, unless
/// a fault was active meanwhile.
const ACCEPT_TIMEOUT: Span = Span::secs(15);

/// Most breaches described for each promise.
const MAX_LISTED_BREACHES: usize = 5;

/// The result for one promise.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Text of the promise.
    pub promise: &'static str,
    /// Number of events at which the promise was checked.
    pub occasions: u64,
    /// Number of events at which it was broken.
    pub breaches: u64,
    /// Descriptions of the first breaches.
    pub first: Vec<String>,
}

impl Verdict {
    fn new(promise: &'static str) -> Verdict {
        Verdict { promise, occasions: 0, breaches: 0, first: Vec::new() }
    }

    /// Counts one check; `describe` is called only for a breach that is listed.
    fn record(&mut self, holds: bool, describe: impl FnOnce() -> String) {
        self.occasions += 1;
        if !holds {
            self.breaches += 1;
            if self.first.len() < MAX_LISTED_BREACHES {
                self.first.push(describe());
            }
        }
    }

    /// Returns the outcome in words; a promise that was never checked does not count as held.
    pub fn outcome(&self) -> &'static str {
        match (self.occasions, self.breaches) {
            (0, _) => "not tested",
            (_, 0) => "held",
            _ => "BROKEN",
        }
    }
}

/// The results for all promises.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// One verdict for each promise, in fixed order.
    pub verdicts: Vec<Verdict>,
}

impl Report {
    /// Returns the number of promises that were broken.
    pub fn broken(&self) -> usize {
        self.verdicts.iter().filter(|verdict| verdict.breaches > 0).count()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for verdict in &self.verdicts {
            writeln!(
                f,
                "  {:<10} {:>8} times  {}",
                verdict.outcome(),
                verdict.occasions,
                verdict.promise
            )?;
            for breach in &verdict.first {
                writeln!(f, "             {breach}")?;
            }
        }
        Ok(())
    }
}

/// Reads a history, one JSON event per line; `name` stands for the file in errors.
///
/// # Errors
/// Fails at the first line that cannot be read or is not an event.
pub fn read(name: &str, from: impl BufRead) -> Result<Vec<Line>, Error> {
    let mut lines = Vec::new();
    for (number, text) in from.lines().enumerate() {
        let text = text.map_err(|e| Error::Format(name.into(), number + 1, e.to_string()))?;
        let line = serde_json::from_str(&text)
            .map_err(|e| Error::Format(name.into(), number + 1, format!("not an event: {e}")))?;
        lines.push(line);
    }
    Ok(lines)
}

/// What a revision of the configuration's root object permits, and when it was stored.
struct Root {
    at: Date,
    allowed: BTreeMap<Workspace, Vec<Target>>,
    withdrawn: BTreeSet<Target>,
}

/// A run of a request at a backend server, as the server recorded it.
struct Work<'a> {
    at: Date,
    server: &'a Server,
    workspace: &'a Workspace,
    target: Option<&'a Target>,
    digest: &'a str,
}

#[derive(Default)]
struct Facts<'a> {
    roots: BTreeMap<Revision, Root>,
    accepted: Vec<(Date, Revision)>,
    work: HashMap<&'a RequestId, Vec<Work<'a>>>,
    bills: HashMap<&'a RequestId, Vec<&'a Workspace>>,
    leaving: HashMap<&'a Server, Date>,
    stopping: HashMap<&'a Vm, Date>,
    killed: HashSet<&'a Vm>,
    asks: HashMap<u64, (&'a Workspace, Option<u64>)>,
    /// Starts (true) and ends (false) of injected faults.
    faults: Vec<(Date, bool)>,
}

fn collect_facts(lines: &[Line]) -> Facts<'_> {
    let mut facts = Facts::default();
    for line in lines {
        match &line.event {
            Event::Confirmed { revision, allowed, withdrawn } => {
                let withdrawn = withdrawn.iter().cloned().collect();
                let root = Root { at: line.at, allowed: allowed.clone(), withdrawn };
                facts.roots.entry(*revision).or_insert(root);
            }
            Event::Accepted { revision } => facts.accepted.push((line.at, *revision)),
            Event::Ran { server, request, workspace, target, digest, .. } => {
                let target = Some(target);
                let work = Work { at: line.at, server, workspace, target, digest };
                facts.work.entry(request).or_default().push(work);
            }
            Event::Served { server, request, workspace, digest, .. } => {
                let work = Work { at: line.at, server, workspace, target: None, digest };
                facts.work.entry(request).or_default().push(work);
            }
            Event::Billed { request, workspace, .. } => {
                facts.bills.entry(request).or_default().push(workspace);
            }
            Event::Leaving { server } => {
                facts.leaving.entry(server).or_insert(line.at);
            }
            Event::Stopping { vm } => {
                facts.stopping.insert(vm, line.at);
            }
            Event::Killed { vm } => {
                facts.killed.insert(vm);
            }
            Event::Asked { ask, workspace, talk, .. } => {
                facts.asks.insert(*ask, (workspace, *talk));
            }
            Event::Fault { is_start, .. } => facts.faults.push((line.at, *is_start)),
            Event::Adopted { .. } | Event::Answered { .. } | Event::Started { .. } => {}
        }
    }
    facts.accepted.sort();
    facts
}

impl Facts<'_> {
    /// Returns the highest revision accepted before `at`; work must not start under an older one.
    fn accepted_before(&self, at: Date) -> Revision {
        let before = self.accepted.iter().take_while(|(date, _)| *date < at);
        before.map(|(_, revision)| *revision).max().unwrap_or_default()
    }

    fn all_work(&self) -> impl Iterator<Item = (&RequestId, &Work<'_>)> {
        self.work.iter().flat_map(|(id, works)| works.iter().map(move |work| (*id, work)))
    }

    /// Returns true if a fault was active at any time from `from` to `to`.
    fn fault_between(&self, from: Date, to: Date) -> bool {
        let mut active = 0;
        for (at, is_start) in &self.faults {
            if *at > to {
                break;
            }
            if *at >= from && *is_start {
                return true;
            }
            active += if *is_start { 1 } else { -1 };
        }
        active > 0
    }
}

/// Checks the ten promises against a history, whose lines must be in order of time.
pub fn judge(lines: &[Line]) -> Report {
    let facts = collect_facts(lines);
    let verdicts = vec![
        check_allowed(&facts),
        check_withdrawn(&facts),
        check_sessions(lines, &facts),
        check_bills(lines, &facts),
        check_answers(lines, &facts),
        check_refusals(lines, &facts),
        check_at_most_once(lines),
        check_draining(&facts),
        check_planned_stops(lines, &facts),
        check_configuration(lines, &facts),
    ];
    Report { verdicts }
}

fn check_allowed(facts: &Facts) -> Verdict {
    let mut verdict =
        Verdict::new("A request runs only on a model and version its workspace allows.");
    for (id, work) in facts.all_work() {
        let Some(target) = work.target else { continue };
        let mut valid = facts.roots.range(facts.accepted_before(work.at)..);
        let holds = valid.any(|(_, root)| {
            let list = root.allowed.get(work.workspace);
            root.at <= work.at && list.is_some_and(|list| list.contains(target))
        });
        verdict.record(holds, || {
            format!("request {id} of {} ran on {target} at {}", work.workspace, work.at.0)
        });
    }
    verdict
}

fn check_withdrawn(facts: &Facts) -> Verdict {
    let mut verdict = Verdict::new("A withdrawn version receives no new work.");
    let all_withdrawn: BTreeSet<&Target> =
        facts.roots.values().flat_map(|r| &r.withdrawn).collect();
    if all_withdrawn.is_empty() {
        return verdict;
    }
    for (id, work) in facts.all_work() {
        let Some(target) = work.target else { continue };
        let accepted = facts.accepted_before(work.at);
        let root = facts.roots.get(&accepted);
        if root.is_none_or(|root| root.withdrawn.is_empty()) {
            continue;
        }
        let holds = root.is_none_or(|root| !root.withdrawn.contains(target));
        verdict.record(holds, || {
            format!("request {id} ran on {target}, withdrawn by revision {accepted}")
        });
    }
    verdict
}

fn check_sessions(lines: &[Line], facts: &Facts) -> Verdict {
    let mut verdict = Verdict::new("A session keeps its version for its whole life.");
    let mut pinned: HashMap<u64, &Target> = HashMap::new();
    for line in lines {
        let Event::Answered { ask, target: Some(target), is_complete: true, .. } = &line.event
        else {
            continue;
        };
        let Some((_, Some(talk))) = facts.asks.get(ask) else {
            continue;
        };
        match pinned.get(talk) {
            None => {
                pinned.insert(*talk, target);
            }
            Some(first) => verdict.record(*first == target, || {
                format!("session {talk} started on {first}, but ask {ask} ran on {target}")
            }),
        }
    }
    verdict
}

fn check_bills(lines: &[Line], facts: &Facts) -> Verdict {
    let mut verdict = Verdict::new("Each request is billed exactly once.");
    for line in lines {
        let Event::Answered { ask, request: Some(id), is_complete: true, .. } = &line.event else {
            continue;
        };
        if !facts.work.contains_key(id) {
            continue;
        }
        let payers = facts.bills.get(id).map(Vec::as_slice).unwrap_or_default();
        let owner = facts.asks.get(ask).map(|(workspace, _)| *workspace);
        let holds = payers.len() == 1 && owner.is_none_or(|owner| payers[0] == owner);
        verdict.record(holds, || format!("request {id} has {} bills", payers.len()));
    }
    for (id, payers) in &facts.bills {
        let ran = facts.work.contains_key(id);
        if payers.len() > 1 || !ran {
            verdict.record(false, || {
                format!("request {id} has {} bills; it ran: {ran}", payers.len())
            });
        }
    }
    verdict
}

fn check_answers(lines: &[Line], facts: &Facts) -> Verdict {
    let mut verdict = Verdict::new("A caller receives the whole answer to its own request.");
    for line in lines {
        let Event::Answered {
            ask, request: Some(id), is_complete: true, digest: Some(digest), ..
        } = &line.event
        else {
            continue;
        };
        let Some(works) = facts.work.get(id) else {
            continue;
        };
        let owner = facts.asks.get(ask).map(|(workspace, _)| *workspace);
        let own = |work: &Work| owner.is_none_or(|owner| work.workspace == owner);
        let holds = works.iter().any(|work| work.digest == digest && own(work));
        verdict.record(holds, || {
            format!("ask {ask} got digest {digest}, which no run of request {id} produced")
        });
    }
    verdict
}

fn check_refusals(lines: &[Line], facts: &Facts) -> Verdict {
    let mut verdict = Verdict::new("A refusal that says \"not run\" is true.");
    for line in lines {
        let Event::Answered { ask, request, ran: Some(Ran::No), .. } = &line.event else {
            continue;
        };
        let ran = request.as_ref().is_some_and(|id| facts.work.contains_key(id));
        verdict.record(!ran, || format!("ask {ask} was refused as not run, but {request:?} ran"));
    }
    verdict
}

fn check_at_most_once(lines: &[Line]) -> Verdict {
    let mut verdict = Verdict::new("A request that may not be repeated runs at most once.");
    let mut runs: BTreeMap<(&Workspace, &str), Vec<&RequestId>> = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::Asked { workspace, key: Some(key), .. } => {
                runs.entry((workspace, key)).or_default();
            }
            Event::Served { workspace, key: Some(key), request, .. } => {
                runs.entry((workspace, key)).or_default().push(request);
            }
            _ => {}
        }
    }
    for ((workspace, key), ids) in runs {
        verdict
            .record(ids.len() <= 1, || format!("key {key} of {workspace} ran {} times", ids.len()));
    }
    verdict
}

fn check_draining(facts: &Facts) -> Verdict {
    let mut verdict =
        Verdict::new("A leaving backend server receives no new work after a few seconds.");
    let mut late: HashMap<&Server, (u64, &RequestId)> = HashMap::new();
    for (id, work) in facts.all_work() {
        let Some(since) = facts.leaving.get(work.server) else {
            continue;
        };
        if work.at.since(*since) > DRAIN_TIMEOUT {
            late.entry(work.server).or_insert((0, id)).0 += 1;
        }
    }
    for server in facts.leaving.keys() {
        let late_work = late.get(server);
        verdict.record(late_work.is_none(), || {
            format!("{server} got late work after it announced its drain: {late_work:?}")
        });
    }
    verdict
}

fn check_planned_stops(lines: &[Line], facts: &Facts) -> Verdict {
    let mut verdict = Verdict::new("A planned stop cuts off no request in flight.");
    for line in lines {
        let Event::Answered { ask, vm: Some(vm), status, is_complete, request, .. } = &line.event
        else {
            continue;
        };
        // Only a response that ended after the stop started can have been cut off by it.
        let stopped = facts.stopping.get(vm).is_some_and(|since| line.at >= *since);
        if !stopped || facts.killed.contains(vm) {
            continue;
        }
        // A request whose connection was refused after the stop was never in flight.
        let in_flight = request.is_some() || *status != 0;
        if in_flight {
            let cut = !*is_complete && *status < 300;
            verdict.record(!cut, || {
                format!("ask {ask} was cut off on {vm}, which stopped as planned")
            });
        }
    }
    verdict
}

fn check_configuration(lines: &[Line], facts: &Facts) -> Verdict {
    let mut verdict = Verdict::new(
        "An accepted configuration is in force everywhere within seconds and never reverts.",
    );
    let mut adopted: HashMap<(&Vm, u64), Revision> = HashMap::new();
    for line in lines {
        match &line.event {
            Event::Adopted { vm, incarnation, revision } => {
                let highest = adopted.entry((vm, *incarnation)).or_default();
                let before = *highest;
                verdict.record(*revision >= before, || {
                    format!("{vm} went back from revision {before} to {revision}")
                });
                *highest = before.max(*revision);
            }
            Event::Started { vm, request, revision, .. } => {
                let accepted = facts.accepted_before(line.at);
                verdict.record(*revision >= accepted, || {
                    format!("{vm} started {request} under {revision} after {accepted} was accepted")
                });
            }
            _ => {}
        }
    }
    let end = lines.last().map(|line| line.at).unwrap_or_default();
    for (revision, root) in &facts.roots {
        let accepted = facts.accepted.iter().find(|(_, r)| r >= revision).map(|(at, _)| *at);
        let elapsed = accepted.unwrap_or(end).since(root.at);
        if facts.fault_between(root.at, accepted.unwrap_or(end)) || elapsed <= ACCEPT_TIMEOUT {
            continue;
        }
        verdict.record(false, || format!("revision {revision} took {elapsed} to be accepted"));
    }
    verdict
}
