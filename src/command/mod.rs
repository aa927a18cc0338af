//! Commands of the program: one module each, with a `run` function that takes the parsed flags.

mod check;
mod confirm;
mod demo;
mod entry;
mod experiment;
mod plan;
mod query;
mod serve;
mod standin;

use gumdrop::Options;

use crate::cli::{Cli, Command, example};
use crate::error::Error;
use crate::{chart, options};

/// Parses the arguments and runs the command that they name.
///
/// # Errors
/// If the arguments are invalid or the command fails.
pub fn run(arguments: &[String]) -> Result<(), Error> {
    let cli = Cli::parse_args_default(arguments)
        .map_err(|error| Error::Usage(format!("{error}; see `kitepulley --help`.")))?;
    if cli.version {
        println!("kitepulley {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let Some(command) = &cli.command else {
        println!("{}", help(&cli));
        return Ok(());
    };
    if cli.help || command.help_requested() {
        println!("{}", help(&cli));
        return Ok(());
    }
    init_logging();
    match command {
        Command::Serve(flags) => serve::run(flags),
        Command::Entry(flags) => entry::run(flags),
        Command::Standin(flags) => standin::run(flags),
        Command::Demo(flags) => demo::run(flags),
        Command::Plan(flags) => plan::run(flags),
        Command::Confirm(flags) => confirm::run(flags),
        Command::Status(flags) => query::status(flags),
        Command::Explain(flags) => query::explain(flags),
        Command::Burn(flags) => query::burn(flags),
        Command::Bill(flags) => query::bill(flags),
        Command::Check(flags) => check::run(flags),
        Command::Experiment(flags) => experiment::run(flags),
        Command::Chart(flags) => print_chart(flags.name.as_ref()),
    }
}

fn help(cli: &Cli) -> String {
    let usage = cli.self_usage();
    match cli.command_name() {
        Some(name) => format!(
            "Usage: kitepulley {name} [OPTIONS]\n\n{}\n\nEach flag `--some-name` can also be set \
             by KITEPULLEY_SOME_NAME.\n\nExample:\n  {}",
            cli.command.as_ref().map_or(usage, Options::self_usage),
            example(name)
        ),
        None => format!(
            "Usage: kitepulley COMMAND [OPTIONS]\n\n{usage}\n\nCommands:\n{}\n\nExample:\n  \
             kitepulley demo\n  kitepulley plan --help",
            cli.self_command_list().unwrap_or_default()
        ),
    }
}

/// Logs to standard error, at the level that `KITEPULLEY_LOG` names (default `info`).
fn init_logging() {
    let level = std::env::var("KITEPULLEY_LOG").ok().and_then(|text| text.parse().ok());
    let level = level.unwrap_or(simplelog::LevelFilter::Info);
    let config = simplelog::ConfigBuilder::new().add_filter_allow_str("kitepulley").build();
    let _ = simplelog::WriteLogger::init(level, config, std::io::stderr());
}

fn print_chart(name: Option<&String>) -> Result<(), Error> {
    let name: String = options::required("chart", name)?;
    let Some((_, text)) = chart::FILES.iter().find(|(known, _)| *known == name) else {
        let known: Vec<&str> = chart::FILES.iter().map(|(known, _)| *known).collect();
        return Err(Error::flag("chart", name, format!("name one of {}.", known.join(", "))));
    };
    let chart = chart::load(text).map_err(Error::Usage)?;
    print!("{}", chart::mermaid(&chart));
    Ok(())
}

/// Runs a future to completion on an actix system of its own.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    actix_web::rt::System::new().block_on(future)
}
