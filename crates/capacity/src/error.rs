//! Why a measurement could not be made.

use std::path::PathBuf;

/// Why a measurement could not be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An argument is out of its bounds.
    #[error("--{name}: {value} is not {wanted}")]
    Argument {
        /// Its name on the command line, without dashes.
        name: &'static str,
        /// What it was.
        value: String,
        /// What it must be.
        wanted: String,
    },
    /// A file could not be read, written or started.
    #[error("{path}: {source}")]
    File {
        /// Which one.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A socket or a thread could not be set up.
    #[error("{what}: {source}")]
    System {
        /// What was to be set up.
        what: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
    /// A process did not do what it was waited for.
    #[error("the process {name} {what}")]
    Process {
        /// Its name.
        name: String,
        /// What it did, or failed to do.
        what: String,
    },
    /// Fewer samples came than a figure needs.
    #[error("{what}: {count} samples, which is too few")]
    TooFew {
        /// The figure.
        what: &'static str,
        /// How many came.
        count: usize,
    },
}

/// Shorthand for results of this package.
pub type Result<T> = std::result::Result<T, Error>;

/// Checks that a count lies within bounds, both included.
pub fn within<T: PartialOrd + std::fmt::Display + Copy>(
    name: &'static str,
    value: T,
    low: T,
    high: T,
) -> Result<T> {
    if value >= low && value <= high {
        return Ok(value);
    }
    Err(Error::Argument { name, value: value.to_string(), wanted: format!("from {low} to {high}") })
}
