//! `demo`: runs VMs, stand-ins and callers in one process, injects faults and prints the verdicts.

use std::path::Path;

use crate::cli;
use crate::demo::{Fault, Scenario, Shape, run as run_scenario};
use crate::error::Error;
use crate::options::{list, value_of, with_default};

/// Faults of the default run, injected one after the other.
const DEFAULT_FAULTS: [Fault; 7] = [
    Fault::StoreDown,
    Fault::Stop,
    Fault::AnswerLost,
    Fault::Kill,
    Fault::Cut,
    Fault::Leave,
    Fault::Race,
];

/// Runs the demo; a broken promise is an error.
pub fn run(flags: &cli::Demo) -> Result<(), Error> {
    let vms: usize = with_default("vms", flags.vms.as_ref(), 3)?;
    if !(2..=32).contains(&vms) {
        return Err(Error::flag("--vms", vms, "use 2 to 32."));
    }
    let requests: usize = with_default("requests", flags.requests.as_ref(), 6000)?;
    if requests > 1_000_000 {
        return Err(Error::flag("--requests", requests, "use at most 1000000."));
    }
    let scenario = Scenario {
        requests,
        seed: with_default("seed", flags.seed.as_ref(), 1)?,
        faults: faults(flags)?,
        shape: Shape { vms, ..Shape::default() },
        verbose: true,
    };
    println!("{vms} VMs, {} engines, seed {}", scenario.shape.engines, scenario.seed);
    let outcome = run_scenario(&scenario)?;
    let (whole, refused, broken) = outcome.counts;
    println!(
        "\n{whole} complete answers, {refused} refusals, {broken} broken answers, in {:.1?}",
        outcome.duration
    );
    println!(
        "\nBurn of the objectives (1.00 uses up the error budget in 30 days):\n{}",
        outcome.burn
    );
    println!("Promises:\n{}", outcome.report);
    if let Some(file) = &flags.history {
        outcome.cluster.history.save(Path::new(file))?;
        println!("The history is in {file}; check it again with `kitepulley check {file}`.");
    }
    match outcome.report.broken() {
        0 => Ok(()),
        count => Err(Error::BrokenPromises(count)),
    }
}

fn faults(flags: &cli::Demo) -> Result<Vec<Vec<Fault>>, Error> {
    use crate::demo::ALL_FAULTS;
    match value_of("faults", flags.faults.as_ref()).as_deref() {
        None => Ok(DEFAULT_FAULTS.iter().map(|fault| vec![*fault]).collect()),
        Some("none") => Ok(Vec::new()),
        Some("all") => Ok(ALL_FAULTS.iter().map(|(fault, _)| vec![*fault]).collect()),
        Some("pairs") => {
            let pair = |i: usize| {
                let next = (i + 1) % ALL_FAULTS.len();
                vec![ALL_FAULTS[i].0, ALL_FAULTS[next].0]
            };
            Ok((0..ALL_FAULTS.len()).map(pair).collect())
        }
        Some(_) => {
            // Faults joined by `+` are injected together, groups separated by commas in turn.
            let groups = list::<String>("faults", flags.faults.as_ref())?;
            let group = |text: &String| -> Result<Vec<Fault>, Error> {
                let parse =
                    |part: &str| part.parse().map_err(|fault| Error::flag("--faults", part, fault));
                text.split('+').map(parse).collect()
            };
            groups.iter().map(group).collect()
        }
    }
}
