//! `confirm`: applies a plan exactly once and waits until it is in force on all VMs.

use std::path::Path;
use std::time::{Duration, Instant};

use super::{block_on, query};
use crate::cli;
use crate::config::{Plan, digest};
use crate::error::Error;
use crate::operator::{Confirmation, confirm};
use crate::options::{address, optional, required};
use crate::platform::Store;
use crate::unit::Revision;
use crate::vm::Clock;

/// Longest wait until the change is in force on all VMs.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval of the queries for the accepted revision.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Applies the plan, unless it was edited after it was made.
pub fn run(flags: &cli::Confirm) -> Result<(), Error> {
    let file: String = required("plan", flags.plan.as_ref())?;
    let path = Path::new(&file);
    let text = std::fs::read_to_string(path).map_err(|error| Error::file(path, &error))?;
    let plan: Plan = serde_json::from_str(&text)
        .map_err(|error| Error::Format(file.clone(), error.line(), error.to_string()))?;
    let body = serde_json::to_vec(&(plan.base, &plan.changes)).expect("changes can be serialised");
    if digest(&body)[..16] != plan.id {
        let cause = "the plan was edited after it was made; plan again".to_owned();
        return Err(Error::Format(file, 1, cause));
    }
    let who: String = required("who", flags.who.as_ref())?;
    let platform = address("platform", flags.platform.as_ref())?;
    let vm = optional("vm", flags.vm.as_ref())?;
    block_on(async {
        let date = Clock::default().date();
        let done = confirm(&Store::new(platform), &plan, &who, date).await?;
        let revision = match done {
            Confirmation::Applied(revision) => {
                println!("Revision {revision} has taken effect; VMs apply it as they receive it.");
                revision
            }
            Confirmation::AlreadyApplied(revision) => {
                println!("This plan was already applied, as revision {revision}; nothing changed.");
                revision
            }
        };
        match vm {
            Some(vm) => wait_until_in_force(vm, revision).await,
            None => Ok(()),
        }
    })
}

async fn wait_until_in_force(vm: std::net::SocketAddr, revision: Revision) -> Result<(), Error> {
    let started = Instant::now();
    let mut waits_for = String::new();
    while started.elapsed() < IN_FORCE_TIMEOUT {
        let status = query::get_json(vm, "operator/status").await?;
        if status["accepted"].as_u64().unwrap_or_default() >= revision.0 {
            println!(
                "Revision {revision} is in force everywhere, after {:.1?}.",
                started.elapsed()
            );
            return Ok(());
        }
        waits_for = status["waits_for"].to_string();
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    println!(
        "Revision {revision} is still pending: it waits for {waits_for}. See `kitepulley status`."
    );
    Ok(())
}
