//! Commands that ask a VM or the store and print the answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use super::block;
use crate::cli;
use crate::error::Error;
use crate::ledger::{self, Entry};
use crate::options::{address, needed, optional};
use crate::platform::Store;
use crate::unit::{Cost, Workspace};

/// A VM that answers later is not waited for.
const WITHIN: Duration = Duration::from_secs(5);

async fn get(vm: SocketAddr, path: &str) -> Result<(u16, String), Error> {
    let fault = |cause: String| {
        Error::Unreachable(format!("The VM at {vm} did not answer: {cause}. Ask another."))
    };
    let mut request =
        awc::Client::builder().timeout(WITHIN).finish().get(format!("http://{vm}/{path}"));
    if let Ok(key) = std::env::var("KITEPULLEY_OPERATOR_KEY") {
        request = request.insert_header(("authorization", format!("Bearer {key}")));
    }
    let mut answer = request.send().await.map_err(|e| fault(e.to_string()))?;
    let body = answer.body().limit(8_000_000).await.map_err(|e| fault(e.to_string()))?;
    Ok((answer.status().as_u16(), String::from_utf8_lossy(&body).into_owned()))
}

/// JSON that a VM answers.
pub async fn json(vm: SocketAddr, path: &str) -> Result<Value, Error> {
    let text = text(vm, path).await?;
    serde_json::from_str(&text).map_err(|fault| Error::Unreachable(fault.to_string()))
}

async fn text(vm: SocketAddr, path: &str) -> Result<String, Error> {
    match get(vm, path).await? {
        (200, body) => Ok(body),
        (_, body) => Err(Error::Unreachable(body.trim().to_owned())),
    }
}

/// `status`.
pub fn status(flags: &cli::Ask) -> Result<(), Error> {
    let vm = address("vm", flags.vm.as_ref())?;
    let status = block(json(vm, "operator/status"))?;
    if flags.json {
        println!("{status:#}");
        return Ok(());
    }
    let state = if status["pending"] == true { "pending" } else { "in force everywhere" };
    println!("{} revision {}: {state}", status["vm"].as_str().unwrap_or("?"), status["revision"]);
    if status["waits_for"].as_array().is_some_and(|waits| !waits.is_empty()) {
        println!("  waits for {}", status["waits_for"]);
    }
    if let Some(age) = status["store_age_s"].as_f64() {
        println!("  knows the store as of {age:.1} s ago");
    }
    println!("  starts new work: {}", status["may_start"]);
    for rollout in status["rollouts"].as_array().into_iter().flatten() {
        let share = rollout["share"].as_f64().unwrap_or_default() / 1e4;
        println!(
            "  roll-out of {}: {} at {share:.2}%: {}",
            rollout["to"].as_str().unwrap_or_default(),
            rollout["state"].as_str().unwrap_or_default(),
            rollout["reason"].as_str().unwrap_or_default()
        );
    }
    println!("  withdrawn: {}", status["withdrawn"]);
    for member in status["members"].as_array().into_iter().flatten() {
        println!(
            "  VM {} in {}: {}",
            member["vm"].as_str().unwrap_or_default(),
            member["data_centre"].as_str().unwrap_or_default(),
            member["state"].as_str().unwrap_or_default()
        );
    }
    for record in status["log"].as_array().into_iter().flatten() {
        println!("  revision {} by {}: {}", record["revision"], record["who"], record["what"]);
    }
    Ok(())
}

/// `explain`.
pub fn explain(flags: &cli::Ask) -> Result<(), Error> {
    let request: String = needed("request", flags.request.as_ref())?;
    let vm = address("vm", flags.vm.as_ref())?;
    print!("{}", block(text(vm, &format!("operator/explain/{request}")))?);
    Ok(())
}

/// `burn`.
pub fn burn(flags: &cli::Ask) -> Result<(), Error> {
    let vm = address("vm", flags.vm.as_ref())?;
    let path = if flags.json { "operator/burn?json" } else { "operator/burn" };
    print!("{}", block(text(vm, path))?);
    Ok(())
}

/// `bill`.
pub fn bill(flags: &cli::Bill) -> Result<(), Error> {
    let platform = address("platform", flags.platform.as_ref())?;
    let only: Option<Workspace> = optional("workspace", flags.workspace.as_ref())?;
    let mut entries = block(ledger::read_all(&Store::new(platform)))?;
    entries.retain(|entry| only.as_ref().is_none_or(|only| entry.workspace == *only));
    if flags.json {
        println!("{}", serde_json::to_string(&entries).expect("entries are plain data"));
        return Ok(());
    }
    let mut sums: BTreeMap<&Workspace, (u64, Cost)> = BTreeMap::new();
    for entry in &entries {
        let sum = sums.entry(&entry.workspace).or_default();
        sum.0 += 1;
        sum.1 += Entry::cost(entry);
    }
    println!("{:<20} {:>10} {:>18}", "workspace", "requests", "cost");
    for (workspace, (requests, cost)) in sums {
        println!("{:<20} {requests:>10} {:>18}", workspace.to_string(), cost.to_string());
    }
    Ok(())
}
