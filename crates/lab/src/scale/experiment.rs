//! The file of a scale experiment: TOML, unknown keys refused, every figure within a bound.

use crate::sweep::set_key;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// Most points of a sweep.
const MOST_POINTS: usize = 60;
/// Seconds in a day.
pub const DAY_S: f64 = 86_400.0;

/// A scale experiment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name, as tables show it.
    pub name: String,
    /// What it is for, in a sentence.
    #[serde(default)]
    pub about: String,
    /// For all draws.
    #[serde(default = "one")]
    pub seed: u64,
    /// How long it runs once all sidecars are ready (s).
    pub length_s: f64,
    /// How many there are of everything.
    #[serde(default)]
    pub fleet: Fleet,
    /// The calls of the applications.
    #[serde(default)]
    pub calls: Calls,
    /// Changes of configuration.
    #[serde(default)]
    pub changes: Changes,
    /// What discovery bears.
    #[serde(default)]
    pub discovery: Discovery,
    /// The network.
    #[serde(default)]
    pub network: Network,
    /// What goes wrong, and when.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// Variables that are swept, one at a time, each from the experiment as it stands.
    #[serde(default, rename = "sweep")]
    pub sweeps: Vec<Sweep>,
}

fn one() -> u64 {
    1
}

/// How many there are of everything.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Config servers; every sidecar is told of all of them.
    pub servers: usize,
    /// Sidecars, each beside an application of its own.
    pub sidecars: usize,
    /// How many of them are processes of the program; the others are hollow.
    pub real: usize,
    /// Processes that the hollow ones share.
    pub workers: usize,
    /// Regions.
    pub regions: usize,
    /// Zones, spread over the regions.
    pub zones: usize,
    /// Descriptors of a sidecar.
    pub sockets: usize,
    /// Whether a sidecar starts with the list as it is then, or has to ask for it.
    pub known_list: bool,
    /// Whether servers report their load in every answer, and not only to probes.
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
    /// Calls a second of the whole fleet.
    pub per_s: f64,
    /// Mean time that a server works on one (ms); it has no queue.
    pub work_ms: f64,
    /// Time that an application gives one (ms).
    pub timeout_ms: f64,
}

impl Default for Calls {
    fn default() -> Calls {
        Calls { per_s: 200.0, work_ms: 20.0, timeout_ms: 1_500.0 }
    }
}

/// Changes of configuration: config servers that drain, restart and come back.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Changes {
    /// Entries of the list that change in a day.
    pub per_day: f64,
    /// When an entry is published once more with nothing changed, to time its spread (s).
    pub markers_s: Vec<f64>,
}

impl Default for Changes {
    fn default() -> Changes {
        Changes { per_day: 1_500.0, markers_s: Vec::new() }
    }
}

/// What discovery bears.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Calls answered a second, in turn.
    pub calls_per_s: f64,
    /// A call that would wait longer is answered with 503 after that time (ms).
    pub timeout_ms: f64,
    /// How long it takes to notice that servers were cut off (s).
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

/// One thing that goes wrong.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// When it begins (s).
    pub at_s: f64,
    /// For how long (s).
    #[serde(default)]
    pub len_s: f64,
    /// For `region-cut`: the region, from 0.
    #[serde(default)]
    pub region: usize,
    /// For `changes`: how many times the usual rate.
    #[serde(default = "ten")]
    pub times: f64,
}

fn ten() -> f64 {
    10.0
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Discovery refuses connections, and those that are open are reset.
    DiscoveryAway,
    /// All sidecars are told to end at once (SIGTERM), and each starts again as soon as it has ended.
    RestartAll,
    /// A region is silent to all others, and they and discovery to it.
    RegionCut,
    /// Changes come `times` as often.
    Changes,
}

/// A variable that is swept.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// Its key in this file, as `fleet.sidecars`.
    pub key: String,
    /// What it is set to; the slopes need two values at least.
    pub values: Vec<f64>,
}

/// One run of an experiment: the experiment with one swept variable set.
#[derive(Clone, Debug)]
pub struct Point {
    /// The variable and its value; `None` where nothing is swept.
    pub swept: Option<(String, f64)>,
    /// What is run.
    pub experiment: Experiment,
}

impl Experiment {
    /// Reads a file, with the points that its sweeps ask for. The error names the file and the key.
    pub fn load(path: &Path) -> Result<(Experiment, Vec<Point>), String> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
        Experiment::read(&text).map_err(|e| format!("{name}: {e}"))
    }

    /// Reads a file with some keys set and without its sweeps.
    pub fn load_with(path: &Path, set: &BTreeMap<String, toml::Value>) -> Result<Experiment, String> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
        let table: toml::Table = text.parse().map_err(|e| format!("{name}: {e}"))?;
        with(&table, set).map_err(|e| format!("{name}: {e}"))
    }

    /// Reads a text, with the points that its sweeps ask for.
    pub fn read(text: &str) -> Result<(Experiment, Vec<Point>), String> {
        let table: toml::Table = text.parse().map_err(|e: toml::de::Error| e.to_string())?;
        let base: Experiment = toml::from_str(text).map_err(|e| e.to_string())?;
        base.check()?;
        let mut points = Vec::new();
        for sweep in &base.sweeps {
            if sweep.values.is_empty() {
                return Err(format!("sweep {}: values names none", sweep.key));
            }
            for value in &sweep.values {
                let set = BTreeMap::from([(sweep.key.clone(), as_toml(*value))]);
                let experiment = with(&table, &set).map_err(|e| format!("sweep {}: {e}", sweep.key))?;
                points.push(Point { swept: Some((sweep.key.clone(), *value)), experiment });
            }
        }
        if points.is_empty() {
            points.push(Point { swept: None, experiment: base.clone() });
        }
        if points.len() > MOST_POINTS {
            return Err(format!("sweep: {} points, more than {MOST_POINTS}", points.len()));
        }
        Ok((base, points))
    }

    /// The first figure that is out of its bounds.
    fn check(&self) -> Result<(), String> {
        let fleet = &self.fleet;
        within("length_s", self.length_s, 1.0, 900.0)?;
        within("fleet.servers", fleet.servers as f64, 1.0, 2_000.0)?;
        within("fleet.sidecars", fleet.sidecars as f64, 1.0, 2_000.0)?;
        within("fleet.real", fleet.real as f64, 0.0, fleet.sidecars.min(300) as f64)?;
        within("fleet.workers", fleet.workers as f64, 1.0, 16.0)?;
        within("fleet.regions", fleet.regions as f64, 1.0, 16.0)?;
        within("fleet.zones", fleet.zones as f64, fleet.regions as f64, 64.0)?;
        within("fleet.sockets", fleet.sockets as f64, 64.0, 4_096.0)?;
        within("calls.per_s", self.calls.per_s, 0.0, 20_000.0)?;
        within("calls.work_ms", self.calls.work_ms, 0.0, 1_000.0)?;
        within("calls.timeout_ms", self.calls.timeout_ms, 100.0, 10_000.0)?;
        within("changes.per_day", self.changes.per_day, 0.0, 1e6)?;
        within("discovery.calls_per_s", self.discovery.calls_per_s, 1.0, 1e6)?;
        within("discovery.timeout_ms", self.discovery.timeout_ms, 1.0, 60_000.0)?;
        within("discovery.silent_notice_s", self.discovery.silent_notice_s, 0.0, 60.0)?;
        within("network.same_region_ms", self.network.same_region_ms, 0.0, 1_000.0)?;
        within("network.cross_region_ms", self.network.cross_region_ms, 0.0, 1_000.0)?;
        for marker in &self.changes.markers_s {
            within("changes.markers_s", *marker, 0.0, self.length_s)?;
        }
        for (number, fault) in self.faults.iter().enumerate() {
            let key = |key: &str| format!("fault {}: {key}", number + 1);
            within(&key("at_s"), fault.at_s, 0.0, self.length_s)?;
            within(&key("len_s"), fault.len_s, 0.0, self.length_s - fault.at_s)?;
            within(&key("region"), fault.region as f64, 0.0, fleet.regions as f64 - 1.0)?;
            within(&key("times"), fault.times, 0.0, 1_000.0)?;
        }
        Ok(())
    }
}

fn within(key: &str, value: f64, low: f64, high: f64) -> Result<(), String> {
    if (low..=high).contains(&value) {
        Ok(())
    } else {
        Err(format!("{key} is not from {low} to {high}: {value}"))
    }
}

/// A swept value; whole numbers stay whole, as counts want them.
fn as_toml(value: f64) -> toml::Value {
    if value.fract() == 0.0 {
        toml::Value::Integer(value as i64)
    } else {
        toml::Value::Float(value)
    }
}

/// The experiment with some keys set and without its sweeps.
fn with(table: &toml::Table, set: &BTreeMap<String, toml::Value>) -> Result<Experiment, String> {
    let mut table = table.clone();
    table.remove("sweep");
    for (key, value) in set {
        set_key(&mut table, key, value)?;
    }
    let text = toml::to_string(&table).map_err(|e| e.to_string())?;
    let experiment: Experiment = toml::from_str(&text).map_err(|e| e.to_string())?;
    experiment.check()?;
    Ok(experiment)
}
