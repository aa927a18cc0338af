//! The closed list of errors that end a command.

use std::path::Path;

use quick_error::quick_error;

quick_error! {
    /// Why a command ended; each is a whole sentence that says what to do.
    #[derive(Debug)]
    pub enum Error {
        /// A flag or environment variable has a wrong value.
        InvalidValue(flag: String, value: String, accepted: String) {
            display("The value `{value}` of {flag} is not accepted: {accepted}")
        }
        /// Two settings contradict one another, or one is missing.
        Usage(what: String) {
            display("{what}")
        }
        /// The declarations are faulty.
        Declarations(faults: Vec<String>) {
            display("The declarations have {} fault(s):\n{}", faults.len(), faults.join("\n"))
        }
        /// A plan cannot be made or applied.
        Plan(what: String) {
            display("{what}")
        }
        /// The configuration changed since the plan was made.
        ConfigChanged(since: String) {
            display("The configuration has changed since this plan was made; plan anew. {since}")
        }
        /// A file cannot be read or written.
        File(path: String, cause: String) {
            display("The file `{path}` cannot be used: {cause}.")
        }
        /// A file is not in the form it should have.
        Format(path: String, line: usize, cause: String) {
            display("{path}:{line}: {cause}")
        }
        /// The settings file is missing or cannot be read.
        SettingsFile(path: String, cause: String) {
            display("The settings file `{path}` cannot be read: {cause}.")
        }
        /// A field of a settings file is missing or does not read.
        SettingsField(path: String, field: String, cause: String) {
            display("The field `{field}` of `{path}` is not accepted: {cause}.")
        }
        /// The platform's object API did not answer.
        Store(cause: String) {
            display("The platform's object API did not answer: {cause}. Try again when it is back.")
        }
        /// Another process did not answer.
        Unreachable(what: String) {
            display("{what}")
        }
        /// An address cannot be bound.
        Bind(address: String, cause: String) {
            display("The address {address} cannot be bound: {cause}. Choose another with its flag.")
        }
        /// A promise was broken.
        BrokenPromises(count: usize) {
            display("{count} promise(s) did not hold; the lines above name the first events.")
        }
    }
}

/// Exit code of a command that ran and found a breach or failed.
const EXIT_FAILURE: i32 = 1;

/// Exit code of a command that was called wrongly or given a malformed file.
const EXIT_USAGE: i32 = 2;

impl Error {
    /// A file that cannot be used.
    pub fn file(path: &Path, cause: &std::io::Error) -> Error {
        Error::File(path.display().to_string(), cause.to_string())
    }

    /// A flag whose value is not accepted.
    pub fn flag(flag: &str, value: impl ToString, accepted: impl ToString) -> Error {
        Error::InvalidValue(flag.to_owned(), value.to_string(), accepted.to_string())
    }

    /// The process's exit code.
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
