//! Runs the points of a scale experiment, in virtual time or on sockets, and writes their results.

use super::experiment::{Experiment, Point, MAX_REAL_SIDECARS};
use super::figures::{figures, Figures};
use super::report;
use super::sidecars::{MemorySidecars, SidecarHost, SocketSidecars};
use super::simulation::Simulation;
use super::topology::Topology;
use crate::run::write_file;
use crate::virtual_time::EPOCH_MS;
use indicatif::{ProgressBar, ProgressStyle};
use roseproxy_emulator::fabric::{Fabric, Loopback};
use roseproxy_emulator::memory::Memory;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::LocalSet;

/// Port of all addresses in virtual time.
const VIRTUAL_PORT: u16 = 7070;

/// How an experiment is run.
#[derive(Clone, Debug)]
pub struct ScaleOptions {
    /// Runs in virtual time, with all sidecars hollow.
    pub virtual_time: bool,
    /// Runs once with all sidecars real and once with all hollow, and reports the differences.
    pub calibrate: bool,
    /// The program of the real sidecars.
    pub program: PathBuf,
}

/// Runs an experiment and writes its results into a folder; returns the table.
pub fn run_experiment(file: &Path, out: &Path, options: &ScaleOptions) -> Result<String, String> {
    let (base, mut points) = Experiment::load(file)?;
    if options.calibrate {
        points = calibration_points(&base)?;
    }
    let seconds = points.iter().map(|p| p.experiment.length_s as u64).sum();
    let bar = ProgressBar::new(seconds);
    if let Ok(style) = ProgressStyle::with_template("{elapsed_precise} [{bar:30}] {pos}/{len} s {msg}") {
        bar.set_style(style.progress_chars("=> "));
    }
    let mut results = Vec::new();
    for point in points {
        let figures = if options.virtual_time {
            run_virtual(&point.experiment, &bar)
        } else {
            run_on_sockets(&point.experiment, options, &bar)
        };
        let figures = figures.map_err(|e| match &point.swept {
            Some((key, value)) => format!("{key} = {value}: {e}"),
            None => e,
        })?;
        results.push((point, figures));
    }
    bar.finish_and_clear();
    let table = report::table(&base, &results, options);
    write_file(&out.join("result.json"), &report::json(&base, &results)?)?;
    write_file(&out.join("table.md"), &table)?;
    Ok(table)
}

/// Two points: the experiment with all sidecars real, and with all hollow.
fn calibration_points(base: &Experiment) -> Result<Vec<Point>, String> {
    let point = |real: usize| {
        let mut experiment = base.clone();
        experiment.fleet.real = real;
        Point { swept: Some(("fleet.real".into(), real as f64)), experiment }
    };
    let sidecars = base.fleet.sidecars;
    if sidecars > MAX_REAL_SIDECARS {
        return Err(format!(
            "--calibrate: fleet.sidecars is above 300, all of them would be real: {sidecars}"
        ));
    }
    Ok(vec![point(sidecars), point(0)])
}

/// Runs an experiment in virtual time; equal experiments and builds give equal figures.
pub fn run_virtual(experiment: &Experiment, bar: &ProgressBar) -> Result<Figures, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        let memory = Memory::default();
        let sidecars = Rc::new(MemorySidecars::new(memory.clone(), EPOCH_MS)?);
        let topology = Topology::new(&experiment.fleet, VIRTUAL_PORT);
        run_point(memory, experiment, topology, EPOCH_MS, sidecars, bar).await
    })
}

fn run_on_sockets(
    experiment: &Experiment,
    options: &ScaleOptions,
    bar: &ProgressBar,
) -> Result<Figures, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        // A port that is free now, used with all addresses of this run.
        let free = tokio::net::TcpListener::bind("127.0.0.1:0").await.and_then(|l| l.local_addr());
        let port = free.map_err(|e| format!("no free port: {e}"))?.port();
        let epoch_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1e3);
        let sidecars = Rc::new(SocketSidecars::new(&experiment.fleet, &options.program, port)?);
        let topology = Topology::new(&experiment.fleet, port);
        // An interrupt ends the processes of the run too: they are killed when the run is dropped.
        let mut term = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
        tokio::select! {
            result = run_point(Loopback, experiment, topology, epoch_ms, sidecars, bar) => result,
            _ = term.recv() => Err("interrupted".into()),
            _ = tokio::signal::ctrl_c() => Err("interrupted".into()),
        }
    })
}

async fn run_point<F: Fabric>(
    fabric: F,
    experiment: &Experiment,
    topology: Topology,
    epoch_ms: f64,
    sidecars: Rc<dyn SidecarHost>,
    bar: &ProgressBar,
) -> Result<Figures, String> {
    bar.set_message("starting");
    let simulation = Simulation::new(fabric, experiment.clone(), topology, epoch_ms, sidecars)?;
    let run_bar = bar.clone();
    simulation
        .run(move |second| {
            run_bar.inc(1);
            run_bar.set_message(format!("second {second}"));
        })
        .await?;
    Ok(figures(&simulation))
}
