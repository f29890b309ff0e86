//! The one place where configuration is read, checked and given defaults.

use roseproxy_decision::interface::Settings;
use roseproxy_platform::discovery::{self, Listing};
use roseproxy_platform::wire::{read_settings, Dialect};
use serde_json::Value;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Fewest sockets that serving works with.
const FEWEST_SOCKETS: u64 = 64;
/// Sockets where the configuration sets no limit.
const USUAL_SOCKETS: u64 = 1024;

/// How often a start reads a file again that ends too early (a tenth of a second each).
const TRIES_OF_INCOMPLETE: u32 = 10;

/// What a sidecar is told.
#[derive(Debug)]
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// Descriptors that it may hold.
    pub sockets: usize,
    /// The target group as it was known last, where it was.
    pub known: Option<Listing>,
    /// The platform's figures.
    pub settings: Settings,
    /// How the platform names classes.
    pub dialect: Dialect,
    /// The file itself but for the list, to tell later what a new one changes.
    pub file: Value,
}

/// Why there is no configuration.
#[derive(Debug)]
pub enum ConfigError {
    /// The file could not be opened or read, which may be different in a moment.
    Unreadable {
        /// Its path.
        path: String,
        /// Why.
        error: io::Error,
    },
    /// The file ends too early, as one does that is just being written.
    Incomplete(String),
    /// What it says is missing or wrong; names the key.
    Faulty(String),
}

impl ConfigError {
    /// How often a start reads the file again: where descriptors are short, or the file may be just being written. One that
    /// is not there is none.
    pub fn tries(&self) -> u32 {
        match self {
            ConfigError::Unreadable { error, .. } => super::startup::tries(error),
            ConfigError::Incomplete(_) => TRIES_OF_INCOMPLETE,
            ConfigError::Faulty(_) => 0,
        }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Unreadable { path, error } => write!(f, "LB_CONFIG: {path}: {error}"),
            ConfigError::Incomplete(reason) | ConfigError::Faulty(reason) => f.write_str(reason),
        }
    }
}

impl From<String> for ConfigError {
    fn from(reason: String) -> ConfigError {
        ConfigError::Faulty(reason)
    }
}

impl From<&str> for ConfigError {
    fn from(reason: &str) -> ConfigError {
        ConfigError::Faulty(reason.to_owned())
    }
}

impl Config {
    /// Reads the file that `LB_CONFIG` names; `LB_NAME`, `LB_LISTEN` and `LB_DISCOVERY` stand in for
    /// keys that it lacks.
    pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let path = variable("LB_CONFIG").ok_or("LB_CONFIG is not set")?;
        match std::fs::read_to_string(&path) {
            Ok(text) => Config::read(&text, variable).map_err(|reason| match ends_too_early(&text) {
                true => ConfigError::Incomplete(reason),
                false => ConfigError::Faulty(reason),
            }),
            Err(error) => Err(ConfigError::Unreadable { path, error }),
        }
    }

    /// Reads a configuration's text.
    pub fn read(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let mut all: Value = serde_json::from_str(text).map_err(|e| format!("LB_CONFIG is not JSON: {e}"))?;
        if !all.is_object() {
            return Err("LB_CONFIG is no JSON object".into());
        }
        let text = |key: &str, stand_in: &str| match all.get(key) {
            Some(value) => value.as_str().map(str::to_owned).ok_or_else(|| format!("{key} is not a text")),
            None => variable(stand_in).ok_or_else(|| format!("{key} is missing, and {stand_in} is not set")),
        };
        let address = |key: &str, stand_in: &str| {
            let text = text(key, stand_in)?;
            text.parse().map_err(|_| format!("{key} is not an address with a port: {text}"))
        };
        let settings = all.get("settings").ok_or("settings is missing")?;
        let (settings, dialect) = read_settings(settings)?;
        let config = Config {
            name: text("name", "LB_NAME")?,
            listen: address("listen", "LB_LISTEN")?,
            discovery: address("discovery", "LB_DISCOVERY")?,
            seed: seed(&all)?,
            sockets: sockets(&all)?,
            known: match all.get("known") {
                None | Some(Value::Null) => None,
                Some(known) => Some(discovery::from_json(known).map_err(|e| format!("known: {e}"))?),
            },
            settings,
            dialect,
            file: Value::Null,
        };
        // Thousands of entries, which nothing is ever held against.
        all.as_object_mut().and_then(|all| all.remove("known"));
        Ok(Config { file: all, ..config })
    }
}

/// Whether more of this text would make JSON of it.
fn ends_too_early(text: &str) -> bool {
    serde_json::from_str::<Value>(text).is_err_and(|error| error.is_eof())
}

fn seed(all: &Value) -> Result<u64, String> {
    let text = all.get("seed").ok_or("seed is missing")?;
    let text = text.as_str().ok_or("seed is not a text")?;
    u64::from_str_radix(text, 16).map_err(|_| format!("seed is not a hexadecimal number: {text}"))
}

fn sockets(all: &Value) -> Result<usize, String> {
    match all.get("limits").and_then(|limits| limits.get("sockets")) {
        None => Ok(USUAL_SOCKETS as usize),
        Some(sockets) => sockets
            .as_u64()
            .filter(|n| *n >= FEWEST_SOCKETS)
            .map(|n| n.min(1 << 20) as usize)
            .ok_or_else(|| format!("limits.sockets is not a whole number from {FEWEST_SOCKETS}")),
    }
}
