//! `confirm`: applies exactly a plan, and waits until it is in force everywhere.

use std::path::Path;
use std::time::{Duration, Instant};

use super::{ask, block};
use crate::cli;
use crate::config::{Plan, digest};
use crate::error::Error;
use crate::operator::{Confirmation, confirm};
use crate::options::{address, needed, optional};
use crate::platform::Store;
use crate::unit::Revision;
use crate::vm::Clock;

/// How long to ask whether the change is in force everywhere.
const ASK_FOR: Duration = Duration::from_secs(20);

/// Time between two questions.
const ASK_EVERY: Duration = Duration::from_millis(100);

/// Applies the plan.
pub fn run(flags: &cli::Confirm) -> Result<(), Error> {
    let file: String = needed("plan", flags.plan.as_ref())?;
    let path = Path::new(&file);
    let text = std::fs::read_to_string(path).map_err(|fault| Error::file(path, &fault))?;
    let plan: Plan = serde_json::from_str(&text)
        .map_err(|fault| Error::Format(file.clone(), fault.line(), fault.to_string()))?;
    let body = serde_json::to_vec(&(plan.base, &plan.changes)).expect("changes are plain data");
    if digest(&body)[..16] != plan.id {
        let cause = "the plan was changed after it was made; plan anew".to_owned();
        return Err(Error::Format(file, 1, cause));
    }
    let who: String = needed("who", flags.who.as_ref())?;
    let platform = address("platform", flags.platform.as_ref())?;
    let vm = optional("vm", flags.vm.as_ref())?;
    block(async {
        let date = Clock::default().date();
        let done = confirm(&Store::new(platform), &plan, &who, date).await?;
        let revision = match done {
            Confirmation::Applied(revision) => {
                println!("Revision {revision} has taken effect; VMs obey it as they hear of it.");
                revision
            }
            Confirmation::AlreadyApplied(revision) => {
                println!("This plan was applied before, as revision {revision}; nothing changed.");
                revision
            }
        };
        match vm {
            Some(vm) => wait(vm, revision).await,
            None => Ok(()),
        }
    })
}

async fn wait(vm: std::net::SocketAddr, revision: Revision) -> Result<(), Error> {
    let began = Instant::now();
    let mut waits = String::new();
    while began.elapsed() < ASK_FOR {
        let status = ask::json(vm, "operator/status").await?;
        if status["accepted"].as_u64().unwrap_or_default() >= revision.0 {
            println!("Revision {revision} is in force everywhere, after {:.1?}.", began.elapsed());
            return Ok(());
        }
        waits = status["waits_for"].to_string();
        tokio::time::sleep(ASK_EVERY).await;
    }
    println!("Revision {revision} is still pending; it waits for {waits}. See `status`.");
    Ok(())
}
