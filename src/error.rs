//! Errors that end a command, and their exit codes.

use std::path::Path;

use quick_error::quick_error;

quick_error! {
    /// Reason why a command failed, displayed as a sentence that says what to do.
    #[derive(Debug)]
    pub enum Error {
        /// The value of a flag or environment variable is invalid.
        InvalidValue(flag: String, value: String, accepted: String) {
            display("The value `{value}` of {flag} is not accepted: {accepted}")
        }
        /// The command line is wrong: a setting is missing, or two contradict each other.
        Usage(what: String) {
            display("{what}")
        }
        /// The declarations have errors, all of which are listed.
        Declarations(faults: Vec<String>) {
            display("The declarations have {} fault(s):\n{}", faults.len(), faults.join("\n"))
        }
        /// A plan cannot be made or applied.
        Plan(what: String) {
            display("{what}")
        }
        /// The configuration changed since the plan was made.
        ConfigChanged(since: String) {
            display("The configuration has changed since this plan was made; plan again. {since}")
        }
        /// A file cannot be read or written.
        File(path: String, cause: String) {
            display("The file `{path}` cannot be used: {cause}.")
        }
        /// A line of a file cannot be parsed.
        Format(path: String, line: usize, cause: String) {
            display("{path}:{line}: {cause}")
        }
        /// The platform's settings file is missing or cannot be read.
        SettingsFile(path: String, cause: String) {
            display("The settings file `{path}` cannot be read: {cause}.")
        }
        /// A field of the platform's settings file is missing or invalid.
        SettingsField(path: String, field: String, cause: String) {
            display("The field `{field}` of `{path}` is not accepted: {cause}.")
        }
        /// The platform's object API did not respond.
        Store(cause: String) {
            display("The platform's object API did not answer: {cause}. Try again when it is back.")
        }
        /// Another process did not respond, or did not finish in time.
        Unreachable(what: String) {
            display("{what}")
        }
        /// A listening address cannot be bound.
        Bind(address: String, cause: String) {
            display("The address {address} cannot be bound: {cause}. Choose another with its flag.")
        }
        /// Some of the checked promises did not hold.
        BrokenPromises(count: usize) {
            display("{count} promise(s) did not hold; the lines above name the first events.")
        }
    }
}

/// Exit code of a command that failed, or that found a broken promise.
const EXIT_FAILURE: i32 = 1;

/// Exit code of a command with invalid flags, settings or input files.
const EXIT_USAGE: i32 = 2;

impl Error {
    /// Returns the error of a file that cannot be read or written.
    pub fn file(path: &Path, cause: &std::io::Error) -> Error {
        Error::File(path.display().to_string(), cause.to_string())
    }

    /// Returns the error of a flag with an invalid value; `accepted` says which values are valid.
    pub fn flag(flag: &str, value: impl ToString, accepted: impl ToString) -> Error {
        Error::InvalidValue(flag.to_owned(), value.to_string(), accepted.to_string())
    }

    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> i32 {
        match self {
            Error::InvalidValue(..)
            | Error::Usage(_)
            | Error::Declarations(_)
            | Error::Format(..)
            | Error::SettingsFile(..)
            | Error::SettingsField(..) => EXIT_USAGE,
            _ => EXIT_FAILURE,
        }
    }
}
