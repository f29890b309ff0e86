//! Experiment files: each lists measurements with their arguments, which are made one after the other.

use crate::error::{check_range, Error, Result};
use serde::Deserialize;
use std::path::Path;

/// Maximum number of measurements in one experiment.
const MAX_STEPS: usize = 50;

/// An experiment file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the experiment.
    pub name: String,
    /// The measurements, in order.
    #[serde(rename = "step")]
    pub steps: Vec<Step>,
}

/// One measurement.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// File name of the results, without extension.
    pub name: String,
    /// The subcommand and its arguments, as on the command line.
    pub arguments: Vec<String>,
}

impl Experiment {
    /// Reads and parses an experiment file.
    pub fn load(path: &Path) -> Result<Experiment> {
        let file_error = |source| Error::File { path: path.to_owned(), source };
        let text = std::fs::read_to_string(path).map_err(file_error)?;
        let parse_error =
            |e: toml::de::Error| file_error(std::io::Error::new(std::io::ErrorKind::InvalidData, e));
        let experiment: Experiment = toml::from_str(&text).map_err(parse_error)?;
        check_range("experiment steps", experiment.steps.len(), 1, MAX_STEPS)?;
        Ok(experiment)
    }
}
