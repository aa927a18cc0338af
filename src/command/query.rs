//! `status`, `explain`, `burn` and `bill`: query a VM or the store and print the response.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use super::block_on;
use crate::cli;
use crate::error::Error;
use crate::ledger::{self, Entry};
use crate::options::{address, optional, required};
use crate::platform::{Store, path};
use crate::unit::{Cost, Workspace};

/// Timeout of a request to a VM.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);

async fn get(vm: SocketAddr, path: &str) -> Result<(u16, String), Error> {
    let to_error = |cause: String| {
        Error::Unreachable(format!("The VM at {vm} did not respond: {cause}. Try another VM."))
    };
    let mut request =
        awc::Client::builder().timeout(QUERY_TIMEOUT).finish().get(format!("http://{vm}/{path}"));
    if let Ok(key) = std::env::var("KITEPULLEY_OPERATOR_KEY") {
        request = request.insert_header(("authorization", format!("Bearer {key}")));
    }
    let mut response = request.send().await.map_err(|e| to_error(e.to_string()))?;
    let body = response.body().limit(8_000_000).await.map_err(|e| to_error(e.to_string()))?;
    Ok((response.status().as_u16(), String::from_utf8_lossy(&body).into_owned()))
}

/// Returns the JSON that a VM responds with.
///
/// # Errors
/// If the VM does not respond with status 200, or the body is not JSON.
pub async fn get_json(vm: SocketAddr, path: &str) -> Result<Value, Error> {
    let text = get_text(vm, path).await?;
    serde_json::from_str(&text).map_err(|error| Error::Unreachable(error.to_string()))
}

async fn get_text(vm: SocketAddr, path: &str) -> Result<String, Error> {
    match get(vm, path).await? {
        (200, body) => Ok(body),
        (_, body) => Err(Error::Unreachable(body.trim().to_owned())),
    }
}

/// Prints the configuration, roll-outs and members, as one VM sees them.
pub fn status(flags: &cli::Query) -> Result<(), Error> {
    let vm = address("vm", flags.vm.as_ref())?;
    let status = block_on(get_json(vm, "operator/status"))?;
    if flags.json {
        println!("{status:#}");
        return Ok(());
    }
    let state = if status["pending"] == true { "pending" } else { "in force everywhere" };
    println!("{} revision {}: {state}", status["vm"].as_str().unwrap_or("?"), status["revision"]);
    if status["waits_for"].as_array().is_some_and(|list| !list.is_empty()) {
        println!("  waits for {}", status["waits_for"]);
    }
    if let Some(age) = status["store_age_s"].as_f64() {
        println!("  store state: {age:.1} s old");
    }
    println!("  accepts new requests: {}", status["may_start"]);
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

/// Prints the decision record of a request.
pub fn explain(flags: &cli::Query) -> Result<(), Error> {
    let request: String = required("request", flags.request.as_ref())?;
    let vm = address("vm", flags.vm.as_ref())?;
    let path = format!("operator/explain/{}", path::encode(&request));
    print!("{}", block_on(get_text(vm, &path))?);
    Ok(())
}

/// Prints the error-budget burn of the objectives over all VMs.
pub fn burn(flags: &cli::Query) -> Result<(), Error> {
    let vm = address("vm", flags.vm.as_ref())?;
    let path = if flags.json { "operator/burn?json" } else { "operator/burn" };
    print!("{}", block_on(get_text(vm, path))?);
    Ok(())
}

/// Prints the number of bills and the cost of each workspace, from the store.
pub fn bill(flags: &cli::Bill) -> Result<(), Error> {
    let platform = address("platform", flags.platform.as_ref())?;
    let only: Option<Workspace> = optional("workspace", flags.workspace.as_ref())?;
    let mut entries = block_on(ledger::read_all(&Store::new(platform)))?;
    entries.retain(|entry| only.as_ref().is_none_or(|only| entry.workspace == *only));
    if flags.json {
        println!("{}", serde_json::to_string(&entries).expect("entries can be serialised"));
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
