//! The error type of the crate.

use std::path::PathBuf;

/// The reasons why a measurement cannot be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An argument is outside its allowed range.
    #[error("--{name}: {value} is not {expected}")]
    Argument {
        /// Name of the argument on the command line, without dashes.
        name: &'static str,
        /// The value given.
        value: String,
        /// The values allowed.
        expected: String,
    },
    /// A file could not be read or written, or a program could not be started.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A socket or a thread could not be set up.
    #[error("{resource}: {source}")]
    System {
        /// What was to be set up.
        resource: &'static str,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A process ended or did not do what the measurement waited for.
    #[error("the process {name} {problem}")]
    Process {
        /// Name of the process.
        name: String,
        /// What the process did or failed to do; follows the name in the message.
        problem: String,
    },
    /// There are fewer samples than a figure needs.
    #[error("{figure}: {count} samples, which is too few")]
    TooFew {
        /// The figure.
        figure: &'static str,
        /// Number of samples.
        count: usize,
    },
}

/// The result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Returns `value` if it lies from `low` to `high`, both included, and an error that names the argument
/// otherwise.
pub fn check_range<T: PartialOrd + std::fmt::Display + Copy>(
    name: &'static str,
    value: T,
    low: T,
    high: T,
) -> Result<T> {
    if value >= low && value <= high {
        return Ok(value);
    }
    Err(Error::Argument { name, value: value.to_string(), expected: format!("from {low} to {high}") })
}
