//! `plan`: what a wish would change; nothing is changed.

use std::path::Path;

use super::block;
use crate::config::{self, Plan, PlanSource};
use crate::error::Error;
use crate::options::address;
use crate::platform::Store;
use crate::{cli, operator};

/// Prints the plan, and writes it if asked to.
pub fn run(flags: &cli::Plan) -> Result<(), Error> {
    let wish = wish(&flags.wish)?;
    let platform = address("platform", flags.platform.as_ref())?;
    let plan = block(async {
        let snapshot = operator::read_snapshot(&Store::new(platform)).await?;
        config::make_plan(&snapshot, &wish)
    })?;
    let json = serde_json::to_string_pretty(&plan).expect("a plan is plain data");
    if let Some(out) = &flags.out {
        std::fs::write(out, &json).map_err(|fault| Error::file(Path::new(out), &fault))?;
    }
    if flags.json {
        println!("{json}")
    } else {
        print!("{}", words(&plan, flags.out.as_ref()))
    }
    Ok(())
}

fn wish(words: &[String]) -> Result<PlanSource, Error> {
    let what = "Name a file or folder of declarations, or an intent; see `kitepulley plan --help`.";
    let first = words.first().ok_or_else(|| Error::Contradiction(what.to_owned()))?;
    if words.len() == 1 && Path::new(first).exists() {
        return config::read_declarations(Path::new(first)).map(PlanSource::Declarations);
    }
    let text = words.join(" ");
    let fault = |fault: crate::unit::ParseError| {
        Error::Contradiction(format!("{fault} No file has that name either."))
    };
    text.parse().map(PlanSource::Intent).map_err(fault)
}

fn words(plan: &Plan, out: Option<&String>) -> String {
    if plan.changes.is_empty() {
        return format!("Nothing would change; revision {} stays.\n", plan.base);
    }
    let mut text = format!("Plan {} on revision {}:\n", plan.id, plan.base);
    for word in &plan.words {
        text.push_str(&format!("  - {word}\n"));
    }
    for word in &plan.irreversible {
        text.push_str(&format!("  cannot be undone: {word}\n"));
    }
    match out {
        Some(out) => {
            text.push_str(&format!("Nothing has changed. Apply it: kitepulley confirm {out}\n"))
        }
        None => {
            text.push_str("Nothing has changed. To apply it, add --out FILE and confirm FILE.\n")
        }
    }
    text
}
