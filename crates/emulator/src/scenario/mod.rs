//! Scenarios, read from TOML files: figures are plain values or ranges; unknown keys are rejected.

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

/// A scenario, from which a [`crate::schedule::Schedule`] is drawn by a seed. The fields are keys of the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The name, as shown in tables.
    pub name: String,
    /// The purpose of the scenario in one sentence.
    #[serde(default)]
    pub about: String,
    /// The seed, unless the command line sets one.
    #[serde(default = "defaults::seed")]
    pub seed: u64,
    /// Time during which new flows arrive (s).
    #[serde(default = "defaults::length_s")]
    pub length_s: f64,
    /// The numbers of servers and sidecars, and their zones.
    #[serde(default)]
    pub fleet: Fleet,
    /// Kinds of servers.
    #[serde(default = "defaults::kinds", rename = "kind")]
    pub kinds: Vec<Kind>,
    /// Figures that apply to all servers.
    #[serde(default)]
    pub server: ServerFigures,
    /// The load that clients generate.
    #[serde(default)]
    pub load: Load,
    /// Request classes.
    #[serde(default = "defaults::classes", rename = "class")]
    pub classes: Vec<Class>,
    /// The tenants that share the fleet.
    #[serde(default = "defaults::tenants", rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// Behaviour of the clients.
    #[serde(default)]
    pub clients: Clients,
    /// Behaviour of discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// Behaviour of the network.
    #[serde(default)]
    pub network: Network,
    /// Limits and permitted features of the sidecars.
    #[serde(default)]
    pub limits: Limits,
    /// The faults (`[[trouble]]` in the file).
    #[serde(default, rename = "trouble")]
    pub faults: Vec<Fault>,
}

/// Why a scenario cannot be loaded or simulated.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    /// The file is not a valid scenario in TOML.
    #[error("{0}: {1}")]
    Unparsable(String, toml::de::Error),
    /// Its figures cannot be simulated; lists all problems, each with its key.
    #[error("{0}: {list}", list = .1.join("; "))]
    Impossible(String, Vec<String>),
}

impl Scenario {
    /// Reads a scenario file; the error names the file.
    pub fn load(path: &Path) -> Result<Scenario, ScenarioError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| ScenarioError::Unreadable(name.clone(), e))?;
        Scenario::parse(&name, &text)
    }

    /// Parses and validates the text of a scenario; `name` is the file name used in errors.
    pub fn parse(name: &str, text: &str) -> Result<Scenario, ScenarioError> {
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
