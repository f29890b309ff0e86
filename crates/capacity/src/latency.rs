//! Latency that a sidecar adds to a call, beside a bare relay and no relay at all.
//!
//! All ways of sending are kept running and take turns, round after round, so that what else the
//! machine does meets all of them alike. What a way adds in a round is its quantile less that of no
//! relay in the same round; the middle of the rounds and their spread are reported.

use crate::error::{within, Result};
use crate::fit::median;
use crate::load::{arrivals, play};
use crate::messages::{endpoint_address, settings};
use crate::quantiles::{thinned, Quantiles};
use crate::report::{Report, Table};
use crate::sidecar::{Folder, Process, Sidecar};
use crate::standin::{free_port, run_local, Plan, StandIns};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

/// Time for all processes to settle before the first round.
const SETTLE: Duration = Duration::from_millis(1_000);

/// What to measure.
#[derive(Clone, Debug, Serialize)]
pub struct Options {
    /// The sidecar's program.
    pub program: PathBuf,
    /// This program, for the bare relay.
    pub relay: PathBuf,
    /// Numbers of endpoints known.
    pub endpoints: Vec<usize>,
    /// Requests a second.
    pub rates: Vec<f64>,
    /// Keys of requests that have one; 0 leaves keyed requests out.
    pub keys: usize,
    /// Rounds.
    pub rounds: usize,
    /// Seconds counted of each turn.
    pub seconds: u64,
    /// Seconds of each turn before them.
    pub warm_up: u64,
    /// Time that an endpoint takes (ms).
    pub service_ms: u64,
    /// Sidecars in the fleet.
    pub sidecars: usize,
    /// For random numbers.
    pub seed: u64,
}

/// A way of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Way {
    /// From the client straight to one endpoint.
    None,
    /// Over the bare relay to one endpoint.
    Relay,
    /// Over a sidecar.
    Sidecar {
        /// Endpoints that it knows.
        endpoints: usize,
        /// Keys of the requests; 0 for none.
        keys: usize,
    },
}

impl Way {
    fn name(self) -> String {
        match self {
            Way::None => "no relay".into(),
            Way::Relay => "bare relay".into(),
            Way::Sidecar { endpoints, keys: 0 } => format!("sidecar, {endpoints} endpoints"),
            Way::Sidecar { endpoints, keys } => format!("sidecar, {endpoints} endpoints, {keys} keys"),
        }
    }

    fn keys(self) -> usize {
        match self {
            Way::Sidecar { keys, .. } => keys,
            Way::None | Way::Relay => 0,
        }
    }
}

/// One turn of one way.
#[derive(Clone, Debug, Serialize)]
pub struct Turn {
    /// The way.
    pub way: Way,
    /// Requests a second.
    pub rate: f64,
    /// The round.
    pub round: usize,
    /// From when a request was sent to its answer, less the endpoint's time (µs).
    pub times: Quantiles,
    /// How late the generator itself was (µs).
    pub lateness: Quantiles,
    /// Requests sent, and those without a good answer.
    pub sent: usize,
    /// Those of them without a good answer.
    pub failed: usize,
    /// Processor time for each request, warm-up included (µs); 0 without a process.
    pub cpu_us: f64,
    /// Time for each request that the process was ready and had no core (µs).
    pub wait_us: f64,
    /// Share of attempts that opened a connection; 0 for other ways than a sidecar.
    pub opened: f64,
    /// Connections to endpoints that a sidecar holds after the turn.
    pub connections: f64,
    /// How the sidecar's counters changed in the turn.
    pub counted: Counters,
    /// Resident memory after the turn (kB).
    pub resident_kb: f64,
    /// Points of the distribution, evenly spaced in order (µs).
    pub distribution: Vec<f64>,
}

/// Counters of a sidecar by name.
type Counters = BTreeMap<String, f64>;

/// A way that is running.
struct Running {
    way: Way,
    address: SocketAddr,
    process: Option<Process>,
    sidecar: Option<Sidecar>,
    /// Kept alive for as long as the sidecar is.
    _stand_ins: Option<StandIns>,
}

impl Running {
    fn usage(&self) -> Result<crate::cost::Usage> {
        let process = self.process.as_ref().or(self.sidecar.as_ref().map(|s| &s.process));
        process.map_or(Ok(crate::cost::Usage::default()), Process::usage)
    }

    /// The sidecar's counters; none for other ways.
    fn counters(&self) -> Result<Counters> {
        self.sidecar.as_ref().map_or(Ok(Counters::new()), |sidecar| run_local(sidecar.counters())?)
    }

    fn turn(&self, options: &Options, rate: f64, round: usize) -> Result<Turn> {
        let warm_up = Duration::from_secs(options.warm_up);
        let length = warm_up + Duration::from_secs(options.seconds);
        // The same arrivals for all ways of a round.
        let arrivals = arrivals(rate, length, self.way.keys(), options.seed + round as u64)?;
        let all = arrivals.len().max(1) as f64;
        let (usage, before) = (self.usage()?, self.counters()?);
        let played = play(self.address, arrivals, warm_up, &format!("{:.0}-{round}", rate))?;
        let (used, after) = (self.usage()?.since(&usage), self.counters()?);
        let counted = |name: &str| {
            let of = |counters: &Counters| counters.get(name).copied().unwrap_or(0.0);
            of(&after) - of(&before)
        };
        let (opened, reused) = (counted("targets_connected"), counted("targets_reused"));
        Ok(Turn {
            way: self.way,
            rate,
            round,
            times: played.times.quantiles(),
            lateness: played.lateness.quantiles(),
            sent: played.sent,
            failed: played.failed,
            cpu_us: used.cpu_us / all,
            wait_us: used.wait_us / all,
            opened: if opened + reused > 0.0 { opened / (opened + reused) } else { 0.0 },
            connections: after.get("targets_open").copied().unwrap_or(0.0),
            counted: after.keys().map(|name| (name.clone(), counted(name))).filter(|c| c.1 != 0.0).collect(),
            resident_kb: used.resident_kb,
            distribution: thinned(played.samples),
        })
    }
}

fn start_relay(options: &Options, to: SocketAddr) -> Result<Running> {
    let listen = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), free_port()?);
    let mut command = Command::new(&options.relay);
    command.arg("relay").args(["--listen", &listen.to_string(), "--to", &to.to_string()]);
    let process = Process::start("relay", &mut command, None)?;
    Ok(Running { way: Way::Relay, address: listen, process: Some(process), sidecar: None, _stand_ins: None })
}

fn start_sidecar(
    options: &Options,
    folder: &Folder,
    service: Duration,
    endpoints: usize,
    keys: usize,
) -> Result<Running> {
    let stand_ins = StandIns::start(Plan { listed: endpoints, served: endpoints, service })?;
    let settings = settings(options.sidecars, keys > 0);
    let name = format!("latency-{endpoints}-{keys}");
    let sidecar = Sidecar::start(&options.program, folder, &name, stand_ins.discovery.address, settings)?;
    run_local(sidecar.ready())??;
    Ok(Running {
        way: Way::Sidecar { endpoints, keys },
        address: sidecar.listen,
        process: None,
        sidecar: Some(sidecar),
        _stand_ins: Some(stand_ins),
    })
}

/// Measures all ways at all rates.
pub fn measure(options: &Options) -> Result<Report> {
    within("rounds", options.rounds, 1, 20)?;
    within("seconds", options.seconds, 1, 120)?;
    within("warm-up", options.warm_up, 0, 30)?;
    within("service-ms", options.service_ms, 0, 500)?;
    within("keys", options.keys, 0, 100_000)?;
    options.rates.iter().try_for_each(|n| within("rates", *n, 1.0, 5_000.0).map(drop))?;
    options.endpoints.iter().try_for_each(|n| within("endpoints", *n, 1, 2_000).map(drop))?;
    let mut report = Report::begin("latency", options);
    let folder = Folder::new()?;
    let service = Duration::from_millis(options.service_ms);
    let plain = StandIns::start(Plan { listed: 1, served: 1, service })?;
    let endpoint = endpoint_address(0, plain.port);
    let direct =
        Running { way: Way::None, address: endpoint, process: None, sidecar: None, _stand_ins: None };
    let mut ways = vec![direct, start_relay(options, endpoint)?];
    for &endpoints in &options.endpoints {
        ways.push(start_sidecar(options, &folder, service, endpoints, 0)?);
        if options.keys > 0 {
            ways.push(start_sidecar(options, &folder, service, endpoints, options.keys)?);
        }
    }
    std::thread::sleep(SETTLE);
    let mut turns = Vec::new();
    for round in 0..options.rounds {
        for &rate in &options.rates {
            for way in &ways {
                turns.push(way.turn(options, rate, round)?);
            }
        }
    }
    for &rate in &options.rates {
        let all: Vec<Way> = ways.iter().map(|w| w.way).collect();
        report.tables.push(tabulate(&turns, &all, rate));
    }
    report.samples = serde_json::to_value(&turns).unwrap_or_default();
    Ok(report.end())
}

/// The middle of some figures with the least and the greatest.
fn spread(figures: &[f64]) -> String {
    let low = figures.iter().copied().fold(f64::INFINITY, f64::min);
    let high = figures.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    format!("{:.0} ({low:.0} to {high:.0})", median(figures).unwrap_or(f64::NAN))
}

fn tabulate(turns: &[Turn], ways: &[Way], rate: f64) -> Table {
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
    for &way in ways {
        let these: Vec<&Turn> = turns.iter().filter(|t| t.way == way && t.rate == rate).collect();
        let base =
            |round: usize| turns.iter().find(|t| t.way == Way::None && t.rate == rate && t.round == round);
        let added = |figure: fn(&Quantiles) -> f64| {
            let of = |t: &&Turn| Some(figure(&t.times) - figure(&base(t.round)?.times));
            spread(&these.iter().filter_map(of).collect::<Vec<f64>>())
        };
        let middle = |figure: &dyn Fn(&Turn) -> f64| {
            median(&these.iter().map(|t| figure(t)).collect::<Vec<f64>>()).unwrap_or(f64::NAN)
        };
        let (failed, sent) = these.iter().fold((0, 0), |(f, s), t| (f + t.failed, s + t.sent));
        table.row([
            way.name(),
            added(|q| q.p50),
            added(|q| q.p99),
            added(|q| q.p999),
            format!("{:.0}", middle(&|t| t.times.p50)),
            format!("{:.0}", middle(&|t| t.times.p99)),
            format!("{:.0}", middle(&|t| t.lateness.p99)),
            format!("{:.0}", middle(&|t| t.cpu_us)),
            format!("{:.0}", middle(&|t| t.wait_us)),
            format!("{:.0}", middle(&|t| t.opened) * 100.0),
            format!("{:.0}", middle(&|t| t.connections)),
            format!("{failed} of {sent}"),
            format!("{:.0}", middle(&|t| t.resident_kb)),
        ]);
    }
    table
}
