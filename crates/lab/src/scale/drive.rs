//! Runs the points of an experiment, in virtual time or on sockets, and keeps what came of them.

use super::experiment::{Experiment, Point};
use super::figures::{figures, Figures};
use super::report;
use super::sidecars::{MemorySidecars, SidecarHost, SocketSidecars};
use super::simulation::Simulation;
use super::topology::Topology;
use crate::run::write;
use crate::virtual_time::EPOCH;
use indicatif::{ProgressBar, ProgressStyle};
use roseproxy_emulator::fabric::{Fabric, Loopback};
use roseproxy_emulator::memory::Memory;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::LocalSet;

/// The port of all addresses in virtual time.
const VIRTUAL_PORT: u16 = 7070;

/// How an experiment is to be run.
#[derive(Clone, Debug)]
pub struct How {
    /// In virtual time, with all sidecars hollow.
    pub virtual_time: bool,
    /// Once with all sidecars real and once with all hollow, and how much they differ.
    pub calibrate: bool,
    /// The program that real sidecars run.
    pub program: PathBuf,
}

/// Runs an experiment and keeps its results in a folder; returns the table.
pub fn run(file: &Path, out: &Path, how: &How) -> Result<String, String> {
    let (base, mut points) = Experiment::load(file)?;
    if how.calibrate {
        points = calibration(&base)?;
    }
    let seconds = points.iter().map(|p| p.experiment.length_s as u64).sum();
    let bar = ProgressBar::new(seconds);
    if let Ok(style) = ProgressStyle::with_template("{elapsed_precise} [{bar:30}] {pos}/{len} s {msg}") {
        bar.set_style(style.progress_chars("=> "));
    }
    let mut results = Vec::new();
    for point in points {
        let figures = if how.virtual_time {
            run_virtual(&point.experiment, &bar)
        } else {
            run_on_sockets(&point.experiment, how, &bar)
        };
        let figures = figures.map_err(|e| match &point.swept {
            Some((key, value)) => format!("{key} = {value}: {e}"),
            None => e,
        })?;
        results.push((point, figures));
    }
    bar.finish_and_clear();
    let table = report::table(&base, &results, how);
    write(&out.join("result.json"), &report::json(&base, &results)?)?;
    write(&out.join("table.md"), &table)?;
    Ok(table)
}

/// The experiment with all sidecars real, and with all hollow.
fn calibration(base: &Experiment) -> Result<Vec<Point>, String> {
    let point = |real: usize| {
        let mut experiment = base.clone();
        experiment.fleet.real = real;
        Point { swept: Some(("fleet.real".into(), real as f64)), experiment }
    };
    let all = base.fleet.sidecars;
    if all > 300 {
        return Err(format!("--calibrate: fleet.sidecars is above 300, all of them would be real: {all}"));
    }
    Ok(vec![point(all), point(0)])
}

/// Runs an experiment in virtual time: equal experiments and builds give equal figures.
pub fn run_virtual(experiment: &Experiment, bar: &ProgressBar) -> Result<Figures, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        let memory = Memory::default();
        let sidecars = Rc::new(MemorySidecars::new(memory.clone(), EPOCH)?);
        let topology = Topology::new(&experiment.fleet, VIRTUAL_PORT);
        play(memory, experiment, topology, EPOCH, sidecars, bar).await
    })
}

fn run_on_sockets(experiment: &Experiment, how: &How, bar: &ProgressBar) -> Result<Figures, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        // A port that is free now, for all the addresses of this run.
        let free = tokio::net::TcpListener::bind("127.0.0.1:0").await.and_then(|l| l.local_addr());
        let port = free.map_err(|e| format!("no free port: {e}"))?.port();
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1e3);
        let sidecars = Rc::new(SocketSidecars::new(&experiment.fleet, &how.program, port)?);
        let topology = Topology::new(&experiment.fleet, port);
        // Whoever interrupts the run means its processes too, and those end as the run is dropped.
        let mut term = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
        tokio::select! {
            played = play(Loopback, experiment, topology, epoch, sidecars, bar) => played,
            _ = term.recv() => Err("interrupted".into()),
            _ = tokio::signal::ctrl_c() => Err("interrupted".into()),
        }
    })
}

async fn play<F: Fabric>(
    fabric: F,
    experiment: &Experiment,
    topology: Topology,
    epoch: f64,
    sidecars: Rc<dyn SidecarHost>,
    bar: &ProgressBar,
) -> Result<Figures, String> {
    bar.set_message("starting");
    let simulation = Simulation::new(fabric, experiment.clone(), topology, epoch, sidecars)?;
    let shown = bar.clone();
    simulation
        .run(move |second| {
            shown.inc(1);
            shown.set_message(format!("second {second}"));
        })
        .await?;
    Ok(figures(&simulation))
}
