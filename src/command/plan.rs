//! `plan`: shows what declarations or an intent would change, without changing it.

use std::path::Path;

use super::block_on;
use crate::config::{self, Plan, PlanSource};
use crate::error::Error;
use crate::options::address;
use crate::platform::Store;
use crate::{cli, operator};

/// Prints the plan and, with `--out`, writes it to a file for `confirm`.
pub fn run(flags: &cli::Plan) -> Result<(), Error> {
    let wish = parse_wish(&flags.wish)?;
    let platform = address("platform", flags.platform.as_ref())?;
    let plan = block_on(async {
        let snapshot = operator::read_snapshot(&Store::new(platform)).await?;
        config::make_plan(&snapshot, &wish)
    })?;
    let json = serde_json::to_string_pretty(&plan).expect("a plan can be serialised");
    if let Some(out) = &flags.out {
        std::fs::write(out, &json).map_err(|error| Error::file(Path::new(out), &error))?;
    }
    if flags.json {
        println!("{json}")
    } else {
        print!("{}", to_text(&plan, flags.out.as_ref()))
    }
    Ok(())
}

fn parse_wish(words: &[String]) -> Result<PlanSource, Error> {
    let what = "Name a file or folder of declarations, or an intent; see `kitepulley plan --help`.";
    let first = words.first().ok_or_else(|| Error::Usage(what.to_owned()))?;
    if words.len() == 1 && Path::new(first).exists() {
        return config::read_declarations(Path::new(first)).map(PlanSource::Declarations);
    }
    let text = words.join(" ");
    let to_error = |error: crate::unit::ParseError| {
        Error::Usage(format!("{error} There is no file of that name either."))
    };
    text.parse().map(PlanSource::Intent).map_err(to_error)
}

fn to_text(plan: &Plan, out: Option<&String>) -> String {
    if plan.changes.is_empty() {
        return format!("Nothing would change; revision {} stays in force.\n", plan.base);
    }
    let mut text = format!("Plan {} on revision {}:\n", plan.id, plan.base);
    for line in &plan.words {
        text.push_str(&format!("  - {line}\n"));
    }
    for line in &plan.irreversible {
        text.push_str(&format!("  irreversible: {line}\n"));
    }
    match out {
        Some(out) => text.push_str(&format!(
            "Nothing has changed yet. To apply the plan: kitepulley confirm {out}\n"
        )),
        None => text
            .push_str("Nothing has changed yet. To apply it, add --out FILE and confirm FILE.\n"),
    }
    text
}
