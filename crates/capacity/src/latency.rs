//! The latency that a sidecar adds to a call, compared with a bare relay and with direct calls.
//!
//! All call paths are kept running and take turns in every round, so that other load on the machine affects
//! all of them alike. The latency that a path adds in a round is its quantile less that of the direct calls
//! in the same round; the median of the rounds and their range are reported.

use crate::error::{check_range, Result};
use crate::fit::median;
use crate::load::{draw_arrivals, send_load};
use crate::messages::{endpoint_address, sidecar_settings};
use crate::quantiles::{evenly_spaced_points, Quantiles};
use crate::report::{Report, Table};
use crate::sidecar::{Process, Sidecar, TempFolder};
use crate::stand_ins::{free_port, run_local, StandInConfig, StandIns};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

/// Time for all processes to settle before the first round.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// The arguments of the measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Options {
    /// Path of the sidecar's program.
    pub program: PathBuf,
    /// Path of this program, which also runs the bare relay.
    pub relay: PathBuf,
    /// Numbers of endpoints known.
    pub endpoints: Vec<usize>,
    /// Request rates (requests per second).
    pub rates: Vec<f64>,
    /// Number of keys of the keyed requests; 0 leaves keyed requests out.
    pub keys: usize,
    /// Number of rounds in which all call paths take turns.
    pub rounds: usize,
    /// Measured time of each turn, in seconds.
    pub seconds: u64,
    /// Time at the start of each turn that is not measured, in seconds.
    pub warm_up: u64,
    /// Time that an endpoint takes for a request (ms).
    pub service_ms: u64,
    /// Number of sidecars in the fleet, as set in the settings.
    pub sidecars: usize,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// The path from the client to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum CallPath {
    /// Directly to one endpoint.
    None,
    /// Through the bare relay to one endpoint.
    Relay,
    /// Through a sidecar.
    Sidecar {
        /// Number of endpoints that the sidecar knows.
        endpoints: usize,
        /// Number of keys of the requests; 0 for requests without a key.
        keys: usize,
    },
}

impl CallPath {
    fn name(self) -> String {
        match self {
            CallPath::None => "no relay".into(),
            CallPath::Relay => "bare relay".into(),
            CallPath::Sidecar { endpoints, keys: 0 } => format!("sidecar, {endpoints} endpoints"),
            CallPath::Sidecar { endpoints, keys } => format!("sidecar, {endpoints} endpoints, {keys} keys"),
        }
    }

    fn keys(self) -> usize {
        match self {
            CallPath::Sidecar { keys, .. } => keys,
            CallPath::None | CallPath::Relay => 0,
        }
    }
}

/// The figures of one call path in one round at one rate.
#[derive(Clone, Debug, Serialize)]
pub struct Turn {
    /// The call path.
    pub way: CallPath,
    /// Request rate (requests per second).
    pub rate: f64,
    /// The round, counted from 0.
    pub round: usize,
    /// Time from sending a request to its answer, less the endpoint's time (µs).
    pub times: Quantiles,
    /// How late the load generator sent the requests (µs).
    pub lateness: Quantiles,
    /// Number of requests sent.
    pub sent: usize,
    /// Number of those requests without a good answer.
    pub failed: usize,
    /// Processor time per request, warm-up included (µs); 0 for direct calls.
    pub cpu_us: f64,
    /// Time per request that the process was ready to run but waited for a core (µs).
    pub wait_us: f64,
    /// Share of attempts that opened a connection; 0 for paths without a sidecar.
    pub opened: f64,
    /// Open connections from the sidecar to endpoints after the turn.
    pub connections: f64,
    /// Changes of the sidecar's counters during the turn.
    pub counted: Counters,
    /// Resident memory after the turn (kB).
    pub resident_kb: f64,
    /// Points of the distribution, evenly spaced in order (µs).
    pub distribution: Vec<f64>,
}

/// The counters of a sidecar by name.
type Counters = BTreeMap<String, f64>;

/// A call path whose processes are running.
struct RunningPath {
    way: CallPath,
    address: SocketAddr,
    process: Option<Process>,
    sidecar: Option<Sidecar>,
    /// Kept so that the stand-ins run for as long as the sidecar.
    _stand_ins: Option<StandIns>,
}

impl RunningPath {
    fn usage(&self) -> Result<crate::usage::Usage> {
        let process = self.process.as_ref().or(self.sidecar.as_ref().map(|s| &s.process));
        process.map_or(Ok(crate::usage::Usage::default()), Process::usage)
    }

    /// Reads the sidecar's counters; empty for paths without a sidecar.
    fn counters(&self) -> Result<Counters> {
        self.sidecar.as_ref().map_or(Ok(Counters::new()), |sidecar| run_local(sidecar.counters())?)
    }

    fn measure_turn(&self, options: &Options, rate: f64, round: usize) -> Result<Turn> {
        let warm_up = Duration::from_secs(options.warm_up);
        let length = warm_up + Duration::from_secs(options.seconds);
        // Paths with the same number of keys get the same arrivals in a round.
        let arrivals = draw_arrivals(rate, length, self.way.keys(), options.seed + round as u64)?;
        let request_count = arrivals.len().max(1) as f64;
        let (usage_before, counters_before) = (self.usage()?, self.counters()?);
        let load = send_load(self.address, arrivals, warm_up, &format!("{:.0}-{round}", rate))?;
        let (used, counters_after) = (self.usage()?.since(&usage_before), self.counters()?);
        let counter_change = |name: &str| {
            let value = |counters: &Counters| counters.get(name).copied().unwrap_or(0.0);
            value(&counters_after) - value(&counters_before)
        };
        let (opened, reused) = (counter_change("targets_connected"), counter_change("targets_reused"));
        Ok(Turn {
            way: self.way,
            rate,
            round,
            times: load.times.quantiles(),
            lateness: load.lateness.quantiles(),
            sent: load.sent,
            failed: load.failed,
            cpu_us: used.cpu_us / request_count,
            wait_us: used.wait_us / request_count,
            opened: if opened + reused > 0.0 { opened / (opened + reused) } else { 0.0 },
            connections: counters_after.get("targets_open").copied().unwrap_or(0.0),
            counted: counters_after
                .keys()
                .map(|name| (name.clone(), counter_change(name)))
                .filter(|(_, change)| *change != 0.0)
                .collect(),
            resident_kb: used.resident_kb,
            distribution: evenly_spaced_points(load.samples),
        })
    }
}

fn start_relay(options: &Options, to: SocketAddr) -> Result<RunningPath> {
    let listen = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), free_port()?);
    let mut command = Command::new(&options.relay);
    command.arg("relay").args(["--listen", &listen.to_string(), "--to", &to.to_string()]);
    let process = Process::start("relay", &mut command, None)?;
    Ok(RunningPath {
        way: CallPath::Relay,
        address: listen,
        process: Some(process),
        sidecar: None,
        _stand_ins: None,
    })
}

fn start_sidecar(
    options: &Options,
    folder: &TempFolder,
    service_time: Duration,
    endpoints: usize,
    keys: usize,
) -> Result<RunningPath> {
    let stand_ins = StandIns::start(StandInConfig {
        listed_endpoints: endpoints,
        served_endpoints: endpoints,
        service_time,
    })?;
    let settings = sidecar_settings(options.sidecars, keys > 0);
    let name = format!("latency-{endpoints}-{keys}");
    let sidecar = Sidecar::start(&options.program, folder, &name, stand_ins.discovery.address, settings)?;
    run_local(sidecar.wait_until_ready())??;
    Ok(RunningPath {
        way: CallPath::Sidecar { endpoints, keys },
        address: sidecar.listen,
        process: None,
        sidecar: Some(sidecar),
        _stand_ins: Some(stand_ins),
    })
}

/// Measures all call paths at all rates and returns the report.
pub fn measure(options: &Options) -> Result<Report> {
    check_range("rounds", options.rounds, 1, 20)?;
    check_range("seconds", options.seconds, 1, 120)?;
    check_range("warm-up", options.warm_up, 0, 30)?;
    check_range("service-ms", options.service_ms, 0, 500)?;
    check_range("keys", options.keys, 0, 100_000)?;
    options.rates.iter().try_for_each(|n| check_range("rates", *n, 1.0, 5_000.0).map(drop))?;
    options.endpoints.iter().try_for_each(|n| check_range("endpoints", *n, 1, 2_000).map(drop))?;
    let mut report = Report::start("latency", options);
    let folder = TempFolder::new()?;
    let service_time = Duration::from_millis(options.service_ms);
    let single = StandIns::start(StandInConfig { listed_endpoints: 1, served_endpoints: 1, service_time })?;
    let endpoint = endpoint_address(0, single.port);
    let direct = RunningPath {
        way: CallPath::None,
        address: endpoint,
        process: None,
        sidecar: None,
        _stand_ins: None,
    };
    let mut paths = vec![direct, start_relay(options, endpoint)?];
    for &endpoints in &options.endpoints {
        paths.push(start_sidecar(options, &folder, service_time, endpoints, 0)?);
        if options.keys > 0 {
            paths.push(start_sidecar(options, &folder, service_time, endpoints, options.keys)?);
        }
    }
    std::thread::sleep(SETTLE_TIME);
    let mut turns = Vec::new();
    for round in 0..options.rounds {
        for &rate in &options.rates {
            for path in &paths {
                turns.push(path.measure_turn(options, rate, round)?);
            }
        }
    }
    for &rate in &options.rates {
        let all: Vec<CallPath> = paths.iter().map(|path| path.way).collect();
        report.tables.push(tabulate(&turns, &all, rate));
    }
    report.samples = serde_json::to_value(&turns).unwrap_or_default();
    Ok(report.finish())
}

/// Formats the median of some figures with the least and the greatest.
fn format_median_and_range(figures: &[f64]) -> String {
    let low = figures.iter().copied().fold(f64::INFINITY, f64::min);
    let high = figures.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    format!("{:.0} ({low:.0} to {high:.0})", median(figures).unwrap_or(f64::NAN))
}

fn tabulate(turns: &[Turn], paths: &[CallPath], rate: f64) -> Table {
    let mut table = Table::new(
        &format!(
            "At {rate:.0} requests a second: added over no relay, µs, middle of the rounds (least to greatest)"
        ),
        &[
            "way",
            "p50",
            "p99",
            "p99.9",
            "whole p50",
            "whole p99",
            "generator late, p99",
            "processor µs a request",
            "waited for a core, µs a request",
            "new connections, %",
            "open after",
            "failed of sent",
            "resident, kB",
        ],
    );
    for &way in paths {
        let turns_of_path: Vec<&Turn> = turns.iter().filter(|t| t.way == way && t.rate == rate).collect();
        let direct_turn = |round: usize| {
            turns.iter().find(|t| t.way == CallPath::None && t.rate == rate && t.round == round)
        };
        let added = |figure: fn(&Quantiles) -> f64| {
            let difference = |t: &&Turn| Some(figure(&t.times) - figure(&direct_turn(t.round)?.times));
            format_median_and_range(&turns_of_path.iter().filter_map(difference).collect::<Vec<f64>>())
        };
        let median_of = |figure: &dyn Fn(&Turn) -> f64| {
            median(&turns_of_path.iter().map(|t| figure(t)).collect::<Vec<f64>>()).unwrap_or(f64::NAN)
        };
        let (failed, sent) = turns_of_path
            .iter()
            .fold((0, 0), |(failed, sent), turn| (failed + turn.failed, sent + turn.sent));
        table.add_row([
            way.name(),
            added(|q| q.p50),
            added(|q| q.p99),
            added(|q| q.p999),
            format!("{:.0}", median_of(&|t| t.times.p50)),
            format!("{:.0}", median_of(&|t| t.times.p99)),
            format!("{:.0}", median_of(&|t| t.lateness.p99)),
            format!("{:.0}", median_of(&|t| t.cpu_us)),
            format!("{:.0}", median_of(&|t| t.wait_us)),
            format!("{:.0}", median_of(&|t| t.opened) * 100.0),
            format!("{:.0}", median_of(&|t| t.connections)),
            format!("{failed} of {sent}"),
            format!("{:.0}", median_of(&|t| t.resident_kb)),
        ]);
    }
    table
}
