//! Scenarios as TOML files: every figure is a plain value or a range; unknown keys are rejected.

mod checks;
mod defaults;
mod fault;
mod figures;
mod fleet;
mod range;
mod traffic;

pub use fault::{Fault, FaultKind};
pub use fleet::{Cancel, Fleet, Kind, ServerFigures};
pub use range::Range;
pub use traffic::{Class, Clients, Discovery, Effect, Group, Limits, Load, Network, Tenant};

use serde::Deserialize;
use std::path::Path;

/// A scenario, which seeds turn into schedules.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name, as tables show it.
    pub name: String,
    /// What it is for, in a sentence.
    #[serde(default)]
    pub about: String,
    /// The seed, where the command line gives none.
    #[serde(default = "defaults::one")]
    pub seed: u64,
    /// How long clients send requests (s).
    #[serde(default = "defaults::minute")]
    pub length_s: f64,
    /// How many there are of everything, and where.
    #[serde(default)]
    pub fleet: Fleet,
    /// Machine kinds.
    #[serde(default = "defaults::kinds", rename = "kind")]
    pub kinds: Vec<Kind>,
    /// What holds for all servers.
    #[serde(default)]
    pub server: ServerFigures,
    /// What clients ask for.
    #[serde(default)]
    pub load: Load,
    /// Request classes.
    #[serde(default = "defaults::classes", rename = "class")]
    pub classes: Vec<Class>,
    /// Who shares the fleet.
    #[serde(default = "defaults::tenants", rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// How clients behave.
    #[serde(default)]
    pub clients: Clients,
    /// How discovery behaves.
    #[serde(default)]
    pub discovery: Discovery,
    /// How the network behaves.
    #[serde(default)]
    pub network: Network,
    /// What sidecars may do and hold.
    #[serde(default)]
    pub limits: Limits,
    /// The faults (`[[trouble]]` in the file).
    #[serde(default, rename = "trouble")]
    pub faults: Vec<Fault>,
}

/// Why a scenario can't be simulated: all problems at once, each with its key.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file can't be read.
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    /// The file is no scenario in TOML.
    #[error("{0}: {1}")]
    Unparsable(String, toml::de::Error),
    /// Its figures can't be simulated.
    #[error("{0}: {list}", list = .1.join("; "))]
    Impossible(String, Vec<String>),
}

impl Scenario {
    /// Reads a scenario file; the error names the file.
    pub fn load(path: &Path) -> Result<Scenario, ScenarioError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| ScenarioError::Unreadable(name.clone(), e))?;
        Scenario::read(&name, &text)
    }

    /// Parses the text of a scenario; `name` is the file's name in the error.
    pub fn read(name: &str, text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario =
            toml::from_str(text).map_err(|e| ScenarioError::Unparsable(name.into(), e))?;
        let problems = scenario.problems();
        if problems.is_empty() {
            Ok(scenario)
        } else {
            Err(ScenarioError::Impossible(name.into(), problems))
        }
    }
}
