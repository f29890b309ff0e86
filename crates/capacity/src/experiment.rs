//! Experiments: files that name measurements with their arguments, to be made one after the other.

use crate::error::{within, Error, Result};
use serde::Deserialize;
use std::path::Path;

/// Measurements of one experiment at most.
const MOST_STEPS: usize = 50;

/// A file of measurements.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// What it is for.
    pub name: String,
    /// The measurements, in order.
    #[serde(rename = "step")]
    pub steps: Vec<Step>,
}

/// One measurement.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// What its result files are named.
    pub name: String,
    /// The subcommand and its arguments, as on the command line.
    pub arguments: Vec<String>,
}

impl Experiment {
    /// Reads a file.
    pub fn load(path: &Path) -> Result<Experiment> {
        let file = |source| Error::File { path: path.to_owned(), source };
        let text = std::fs::read_to_string(path).map_err(file)?;
        let wrong = |e: toml::de::Error| file(std::io::Error::new(std::io::ErrorKind::InvalidData, e));
        let experiment: Experiment = toml::from_str(&text).map_err(wrong)?;
        within("experiment steps", experiment.steps.len(), 1, MOST_STEPS)?;
        Ok(experiment)
    }
}
