//! `check`: checks a recorded history against the promises.

use std::io::BufReader;
use std::path::Path;

use crate::cli;
use crate::error::Error;
use crate::history::{judge, read};
use crate::options::required;

/// Prints the verdicts; a broken promise is an error.
pub fn run(flags: &cli::Check) -> Result<(), Error> {
    let file: String = required("file", flags.file.as_ref())?;
    let path = Path::new(&file);
    let opened = std::fs::File::open(path).map_err(|error| Error::file(path, &error))?;
    let mut lines = read(&file, BufReader::new(opened))?;
    lines.sort_by_key(|line| line.at);
    let report = judge(&lines);
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&report).expect("verdicts can be serialised"));
    } else {
        print!("{report}");
    }
    match report.broken() {
        0 => Ok(()),
        count => Err(Error::BrokenPromises(count)),
    }
}
