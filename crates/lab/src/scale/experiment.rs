//! The file of a scale experiment: TOML, with unknown keys rejected and every number checked against its range.

use crate::sweep::set_key;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// Most points that the sweeps of one experiment may have.
const MAX_POINTS: usize = 60;
/// Most sidecars that run as processes of their own.
pub(super) const MAX_REAL_SIDECARS: usize = 300;
pub const SECONDS_PER_DAY: f64 = 86_400.0;

/// A scale experiment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the experiment, as shown in tables.
    pub name: String,
    /// Purpose of the experiment, in one sentence.
    #[serde(default)]
    pub about: String,
    /// Seed of all random draws.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Length of the run after all sidecars are ready (s).
    pub length_s: f64,
    /// Size of the fleet.
    #[serde(default)]
    pub fleet: Fleet,
    /// The calls of the applications.
    #[serde(default)]
    pub calls: Calls,
    /// Configuration changes.
    #[serde(default)]
    pub changes: Changes,
    /// Capacity of discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// Delays of the network.
    #[serde(default)]
    pub network: Network,
    /// Faults, with their times.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// Variables to sweep, one at a time; all others keep their values in this file.
    #[serde(default, rename = "sweep")]
    pub sweeps: Vec<Sweep>,
}

fn default_seed() -> u64 {
    1
}

/// Size of the fleet.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Number of config servers; every sidecar gets the list of all of them.
    pub servers: usize,
    /// Number of sidecars, each with its own application.
    pub sidecars: usize,
    /// Number of sidecars that are processes of the program; the others are hollow.
    pub real: usize,
    /// Number of worker processes that the hollow sidecars share.
    pub workers: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of zones, spread over the regions.
    pub zones: usize,
    /// Descriptor limit of a sidecar.
    pub sockets: usize,
    /// Whether a sidecar starts with the current list in its configuration, or has to request it.
    pub known_list: bool,
    /// Whether servers report their load in every answer, not only in answers to probes.
    pub report_in_answers: bool,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            servers: 200,
            sidecars: 200,
            real: 0,
            workers: 4,
            regions: 3,
            zones: 8,
            sockets: 256,
            known_list: true,
            report_in_answers: false,
        }
    }
}

/// The calls of the applications.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Calls {
    /// Calls per second of the whole fleet.
    pub per_s: f64,
    /// Mean time that a server works on a call (ms); servers have no queue.
    pub work_ms: f64,
    /// Time-out that an application sets for a call (ms).
    pub timeout_ms: f64,
}

impl Default for Calls {
    fn default() -> Calls {
        Calls { per_s: 200.0, work_ms: 20.0, timeout_ms: 1_500.0 }
    }
}

/// Configuration changes: config servers that drain, restart and come back.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Changes {
    /// Changes of list entries per day.
    pub per_day: f64,
    /// Times at which an unchanged entry is published again, to time how a change spreads (s).
    pub markers_s: Vec<f64>,
}

impl Default for Changes {
    fn default() -> Changes {
        Changes { per_day: 1_500.0, markers_s: Vec::new() }
    }
}

/// Capacity of discovery.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Calls answered per second, one after another.
    pub calls_per_s: f64,
    /// A call that would wait longer than this is answered with 503 after this time (ms).
    pub timeout_ms: f64,
    /// Time until discovery notices that servers were cut off (s).
    pub silent_notice_s: f64,
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery { calls_per_s: 600.0, timeout_ms: 2_000.0, silent_notice_s: 10.0 }
    }
}

/// One-way delays (ms).
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Within a region.
    pub same_region_ms: f64,
    /// Between regions.
    pub cross_region_ms: f64,
}

impl Default for Network {
    fn default() -> Network {
        Network { same_region_ms: 0.5, cross_region_ms: 10.0 }
    }
}

/// A fault.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start of the fault (s).
    pub at_s: f64,
    /// Length of the fault (s).
    #[serde(default)]
    pub len_s: f64,
    /// For `region-cut`: number of the region, from 0.
    #[serde(default)]
    pub region: usize,
    /// For `changes`: factor on the usual rate.
    #[serde(default = "default_rate_factor")]
    pub times: f64,
}

fn default_rate_factor() -> f64 {
    10.0
}

/// The kind of a fault.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Discovery refuses connections; open ones are reset.
    DiscoveryAway,
    /// All sidecars get SIGTERM at the same time; each is started again as soon as it has ended.
    RestartAll,
    /// No traffic passes between a region and all other regions and discovery; connections hang.
    RegionCut,
    /// Changes are published `times` as often as usual.
    Changes,
}

/// A variable to sweep.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// Key in this file, such as `fleet.sidecars`.
    pub key: String,
    /// Values of the variable; a slope needs at least two.
    pub values: Vec<f64>,
}

/// One run of an experiment, with one swept variable set.
#[derive(Clone, Debug)]
pub struct Point {
    /// Swept variable and its value; `None` for an experiment without sweeps.
    pub swept: Option<(String, f64)>,
    /// The experiment to run.
    pub experiment: Experiment,
}

impl Experiment {
    /// Reads a file and derives the points of its sweeps. The error names the file and the key.
    pub fn load(path: &Path) -> Result<(Experiment, Vec<Point>), String> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
        Experiment::parse(&text).map_err(|e| format!("{name}: {e}"))
    }

    /// Reads a file with some keys set and its sweeps removed.
    pub fn load_with(path: &Path, set: &BTreeMap<String, toml::Value>) -> Result<Experiment, String> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
        let table: toml::Table = text.parse().map_err(|e| format!("{name}: {e}"))?;
        parse_with(&table, set).map_err(|e| format!("{name}: {e}"))
    }

    /// Parses a text and derives the points of its sweeps.
    pub fn parse(text: &str) -> Result<(Experiment, Vec<Point>), String> {
        let table: toml::Table = text.parse().map_err(|e: toml::de::Error| e.to_string())?;
        let base: Experiment = toml::from_str(text).map_err(|e| e.to_string())?;
        base.validate()?;
        let mut points = Vec::new();
        for sweep in &base.sweeps {
            if sweep.values.is_empty() {
                return Err(format!("sweep {}: values names none", sweep.key));
            }
            for value in &sweep.values {
                let set = BTreeMap::from([(sweep.key.clone(), as_toml(*value))]);
                let experiment = parse_with(&table, &set).map_err(|e| format!("sweep {}: {e}", sweep.key))?;
                points.push(Point { swept: Some((sweep.key.clone(), *value)), experiment });
            }
        }
        if points.is_empty() {
            points.push(Point { swept: None, experiment: base.clone() });
        }
        if points.len() > MAX_POINTS {
            return Err(format!("sweep: {} points, more than {MAX_POINTS}", points.len()));
        }
        Ok((base, points))
    }

    /// Checks the range of every number; the error names the first that is out of range.
    fn validate(&self) -> Result<(), String> {
        let fleet = &self.fleet;
        check_range("length_s", self.length_s, 1.0, 900.0)?;
        check_range("fleet.servers", fleet.servers as f64, 1.0, 2_000.0)?;
        check_range("fleet.sidecars", fleet.sidecars as f64, 1.0, 2_000.0)?;
        check_range("fleet.real", fleet.real as f64, 0.0, fleet.sidecars.min(MAX_REAL_SIDECARS) as f64)?;
        check_range("fleet.workers", fleet.workers as f64, 1.0, 16.0)?;
        check_range("fleet.regions", fleet.regions as f64, 1.0, 16.0)?;
        check_range("fleet.zones", fleet.zones as f64, fleet.regions as f64, 64.0)?;
        check_range("fleet.sockets", fleet.sockets as f64, 64.0, 4_096.0)?;
        check_range("calls.per_s", self.calls.per_s, 0.0, 20_000.0)?;
        check_range("calls.work_ms", self.calls.work_ms, 0.0, 1_000.0)?;
        check_range("calls.timeout_ms", self.calls.timeout_ms, 100.0, 10_000.0)?;
        check_range("changes.per_day", self.changes.per_day, 0.0, 1e6)?;
        check_range("discovery.calls_per_s", self.discovery.calls_per_s, 1.0, 1e6)?;
        check_range("discovery.timeout_ms", self.discovery.timeout_ms, 1.0, 60_000.0)?;
        check_range("discovery.silent_notice_s", self.discovery.silent_notice_s, 0.0, 60.0)?;
        check_range("network.same_region_ms", self.network.same_region_ms, 0.0, 1_000.0)?;
        check_range("network.cross_region_ms", self.network.cross_region_ms, 0.0, 1_000.0)?;
        for marker in &self.changes.markers_s {
            check_range("changes.markers_s", *marker, 0.0, self.length_s)?;
        }
        for (number, fault) in self.faults.iter().enumerate() {
            let key = |key: &str| format!("fault {}: {key}", number + 1);
            check_range(&key("at_s"), fault.at_s, 0.0, self.length_s)?;
            check_range(&key("len_s"), fault.len_s, 0.0, self.length_s - fault.at_s)?;
            check_range(&key("region"), fault.region as f64, 0.0, fleet.regions as f64 - 1.0)?;
            check_range(&key("times"), fault.times, 0.0, 1_000.0)?;
        }
        Ok(())
    }
}

fn check_range(key: &str, value: f64, min: f64, max: f64) -> Result<(), String> {
    if (min..=max).contains(&value) {
        Ok(())
    } else {
        Err(format!("{key} is not from {min} to {max}: {value}"))
    }
}

/// Converts a swept value; whole numbers become integers, because counts accept nothing else.
fn as_toml(value: f64) -> toml::Value {
    if value.fract() == 0.0 {
        toml::Value::Integer(value as i64)
    } else {
        toml::Value::Float(value)
    }
}

/// Parses an experiment with some keys set and its sweeps removed.
fn parse_with(table: &toml::Table, set: &BTreeMap<String, toml::Value>) -> Result<Experiment, String> {
    let mut table = table.clone();
    table.remove("sweep");
    for (key, value) in set {
        set_key(&mut table, key, value)?;
    }
    let text = toml::to_string(&table).map_err(|e| e.to_string())?;
    let experiment: Experiment = toml::from_str(&text).map_err(|e| e.to_string())?;
    experiment.validate()?;
    Ok(experiment)
}
