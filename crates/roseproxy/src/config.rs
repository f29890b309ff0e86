//! Reads and validates the sidecar's configuration and applies its defaults.

use roseproxy_decision::interface::Settings;
use roseproxy_platform::discovery::{self, ListUpdate};
use roseproxy_platform::wire::{name_hash, read_settings, ProtocolNames};
use serde_json::Value;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Smallest limit on sockets with which the sidecar can serve.
const MIN_SOCKETS: u64 = 64;
/// Limit on sockets if the configuration sets none.
const DEFAULT_SOCKETS: u64 = 1024;
/// A larger configured limit on sockets is reduced to this one.
const MAX_SOCKETS: u64 = 1 << 20;

/// Smallest limit on memory with which the sidecar can serve.
const MIN_MEMORY_MB: f64 = 8.0;
/// Limit on memory if the configuration sets none.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// A larger configured limit on memory is reduced to this one.
const MAX_MEMORY_MB: f64 = 1e6;
/// Bytes of a megabyte, taken for the smaller of its two meanings.
const BYTES_PER_MB: f64 = 1e6;

/// How often startup reads an incomplete file again, at intervals of 0.1 s.
const INCOMPLETE_FILE_RETRIES: u32 = 10;

/// The configuration of a sidecar.
#[derive(Debug)]
pub struct Config {
    /// Name of the sidecar, which stays the same after a restart.
    pub name: String,
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the random numbers, different at each start.
    pub seed: u64,
    /// Maximum number of open file descriptors.
    pub sockets: usize,
    /// Maximum memory of the process (bytes).
    pub memory_bytes: usize,
    /// The last known list of the target group, if there is one.
    pub known: Option<ListUpdate>,
    /// The settings of the platform, for the decision module.
    pub settings: Settings,
    /// The names of classes, tenants and report values in the settings.
    pub names: ProtocolNames,
    /// The content of the file without the known list, to detect later which keys a reload changes.
    pub file: Value,
}

/// Why no configuration could be loaded.
#[derive(Debug)]
pub enum ConfigError {
    /// The file could not be opened or read. The cause may be temporary.
    Unreadable {
        /// Path of the file.
        path: String,
        /// The error of the system.
        error: io::Error,
    },
    /// The file ends too early, as it does while it is being written.
    Incomplete(String),
    /// A key is missing or has an invalid value; the text names the key.
    Faulty(String),
}

impl ConfigError {
    /// How often startup reads the file again. It does so for temporary errors, such as a shortage of file
    /// descriptors, and for a file that may still be being written, but not for a file that does not exist.
    pub fn max_retries(&self) -> u32 {
        match self {
            ConfigError::Unreadable { error, .. } => super::startup_retry::max_retries(error),
            ConfigError::Incomplete(_) => INCOMPLETE_FILE_RETRIES,
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
    /// Reads the file that `LB_CONFIG` names. `LB_NAME`, `LB_LISTEN` and `LB_DISCOVERY` are used for keys
    /// that the file lacks; `variable` reads an environment variable.
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

    /// Reads a configuration from its JSON text; `variable` reads an environment variable.
    pub fn read(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let mut all: Value = serde_json::from_str(text).map_err(|e| format!("LB_CONFIG is not JSON: {e}"))?;
        if !all.is_object() {
            return Err("LB_CONFIG is no JSON object".into());
        }
        let text = |key: &str, variable_name: &str| match all.get(key) {
            Some(value) => value.as_str().map(str::to_owned).ok_or_else(|| format!("{key} is not a text")),
            None => variable(variable_name)
                .ok_or_else(|| format!("{key} is missing, and {variable_name} is not set")),
        };
        let address = |key: &str, variable_name: &str| {
            let text = text(key, variable_name)?;
            text.parse().map_err(|_| format!("{key} is not an address with a port: {text}"))
        };
        let settings = all.get("settings").ok_or("settings is missing")?;
        let (settings, names) = read_settings(settings)?;
        let config = Config {
            name: text("name", "LB_NAME")?,
            listen: address("listen", "LB_LISTEN")?,
            discovery: address("discovery", "LB_DISCOVERY")?,
            seed: seed(&all)?,
            sockets: sockets(&all)?,
            memory_bytes: memory_bytes(&all)?,
            known: match all.get("known") {
                None | Some(Value::Null) => None,
                Some(known) => Some(discovery::from_json(known).map_err(|e| format!("known: {e}"))?),
            },
            settings,
            names,
            file: Value::Null,
        };
        // The known list has thousands of entries and is never compared with that of a new file.
        all.as_object_mut().and_then(|all| all.remove("known"));
        Ok(Config { file: all, ..config })
    }

    /// Seed of this sidecar's own random numbers. Sidecars may be given equal seeds, as by a copied file;
    /// with equal numbers they would call discovery in step, and send to the same endpoints.
    pub fn sidecar_seed(&self) -> u64 {
        self.seed ^ name_hash(&self.name)
    }
}

/// Whether the text is a truncated JSON document.
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
        None => Ok(DEFAULT_SOCKETS as usize),
        Some(sockets) => sockets
            .as_u64()
            .filter(|n| *n >= MIN_SOCKETS)
            .map(|n| n.min(MAX_SOCKETS) as usize)
            .ok_or_else(|| format!("limits.sockets is not a whole number from {MIN_SOCKETS}")),
    }
}

fn memory_bytes(all: &Value) -> Result<usize, String> {
    let megabytes = match all.get("limits").and_then(|limits| limits.get("memory_mb")) {
        None => DEFAULT_MEMORY_MB,
        Some(limit) => limit
            .as_f64()
            .filter(|megabytes| *megabytes >= MIN_MEMORY_MB)
            .ok_or_else(|| format!("limits.memory_mb is not a number from {MIN_MEMORY_MB}"))?,
    };
    Ok((megabytes.min(MAX_MEMORY_MB) * BYTES_PER_MB) as usize)
}
