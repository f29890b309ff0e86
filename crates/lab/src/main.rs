//! The laboratory: plays days against the whole sidecar, and shows what came of them.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand, ValueEnum};
use roseproxy_emulator::day::Day;
use roseproxy_lab::run::How;
use roseproxy_lab::strategies::Strategy;
use roseproxy_lab::{claims, report, run, scale, swarm, sweep, trace};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A rule was broken, or a claim not kept.
const BROKEN: u8 = 1;
/// A file or an argument is faulty.
const FAULTY: u8 = 2;

#[derive(Parser)]
#[command(
    name = "roseproxy-lab",
    version,
    about = "Plays days against the whole sidecar, in virtual time or on real sockets"
)]
#[command(after_help = "Examples:
  roseproxy-lab run lab/days/burst.toml --out out/burst
  roseproxy-lab run lab/days/calm.toml --real --out out/calm
  roseproxy-lab sweep lab/experiments/yardsticks.toml --out out/yardsticks
  roseproxy-lab compare out/yardsticks/module out/yardsticks/random
  roseproxy-lab claims lab/claims/laboratory.toml
  roseproxy-lab swarm --seeds 50 --out out/swarm
  roseproxy-lab trace lab/days/burst.toml --flow 120")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play one day; exit 1 where a rule was broken
    Run {
        /// The day's file
        day: PathBuf,
        /// For all draws, in place of the day's own
        #[arg(long)]
        seed: Option<u64>,
        /// Who decides
        #[arg(long, value_enum, default_value = "module")]
        strategy: Strategy,
        /// On real sockets of 127.0.0.0/8, against processes
        #[arg(long)]
        real: bool,
        /// The program to start there
        #[arg(long, default_value = "target/release/roseproxy")]
        program: PathBuf,
        /// Show a live table
        #[arg(long)]
        live: bool,
        /// Where results, charts and the page go
        #[arg(long)]
        out: PathBuf,
    },
    /// Play an experiment: variants times days times seeds
    Sweep {
        /// The experiment's file
        experiment: PathBuf,
        /// Where its results go
        #[arg(long)]
        out: PathBuf,
        /// Plays at a time, in place of one a core
        #[arg(long)]
        threads: Option<usize>,
    },
    /// Run a scale experiment: a fleet of real and hollow sidecars on sockets, or all of it in virtual time
    Scale {
        /// The experiment's file
        experiment: PathBuf,
        /// Where its results go
        #[arg(long)]
        out: PathBuf,
        /// In virtual time, with all sidecars hollow
        #[arg(long = "virtual")]
        virtual_time: bool,
        /// Run it with all sidecars real and with all hollow, and say how much they differ
        #[arg(long, conflicts_with = "virtual_time")]
        calibrate: bool,
        /// The program that real sidecars run
        #[arg(long, default_value = "target/release/roseproxy")]
        program: PathBuf,
    },
    /// Run hollow sidecars as told on the input; `scale` starts this
    #[command(hide = true, name = scale::worker::SUBCOMMAND)]
    Hollow,
    /// Compare two folders of results, paired by day and seed
    Compare {
        /// The one
        a: PathBuf,
        /// The other
        b: PathBuf,
        /// A path in result.json
        #[arg(long, default_value = "service")]
        metric: String,
    },
    /// Run a subsystem's claims; exit 1 where one is not kept
    Claims {
        /// The claims' file
        file: PathBuf,
        /// Seeds A..B, both played, in place of the file's own
        #[arg(long, value_parser = seeds)]
        seeds: Option<[u64; 2]>,
    },
    /// Play random days with random faults; shrink those that break a rule
    Swarm {
        /// How many
        #[arg(long, default_value_t = 50)]
        seeds: u64,
        /// The first of them
        #[arg(long, default_value_t = 1)]
        first: u64,
        /// Where days go that break a rule
        #[arg(long, default_value = "out/swarm")]
        out: PathBuf,
    },
    /// Tell one flow's whole story
    Trace {
        /// The day's file
        day: PathBuf,
        /// The flow: the number of its arrival
        #[arg(long)]
        flow: usize,
        /// For all draws, in place of the day's own
        #[arg(long)]
        seed: Option<u64>,
        /// Who decides
        #[arg(long, value_enum, default_value = "module")]
        strategy: Strategy,
    },
    /// Write the page and charts of a day that is played anew from a result in a folder
    Report {
        /// A folder that `run` has written
        folder: PathBuf,
        /// The day's file
        #[arg(long)]
        day: PathBuf,
    },
}

fn seeds(text: &str) -> Result<[u64; 2], String> {
    let wrong = || format!("{text} is not A..B with A up to B");
    let (a, b) = text.split_once("..").ok_or_else(wrong)?;
    let number = |t: &str| t.parse::<u64>().map_err(|_| wrong());
    let range = [number(a)?, number(b)?];
    if range[0] <= range[1] {
        Ok(range)
    } else {
        Err(wrong())
    }
}

fn load(path: &Path) -> Result<Day, String> {
    Day::load(path).map_err(|e| e.to_string())
}

fn main() -> ExitCode {
    let filter = tracing_subscriber::EnvFilter::try_from_env("LAB_LOG").unwrap_or_else(|_| "warn".into());
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).init();
    match act(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(BROKEN),
        Err(reason) => {
            eprintln!("roseproxy-lab: {reason}");
            ExitCode::from(FAULTY)
        }
    }
}

/// Carries out a command; false where a rule was broken or a claim not kept.
fn act(command: Command) -> Result<bool, String> {
    match command {
        Command::Run { day, seed, strategy, real, program, live, out } => {
            let day = load(&day)?;
            let how = How { strategy, program: real.then_some(program), live };
            let played = run::play(&day, seed.unwrap_or(day.seed), &how)?;
            run::keep(&played, &out)?;
            report::report(&played, &out)?;
            print!("{}", run::summary(&played));
            println!("report: {}", out.join("report.html").display());
            Ok(played.outcome.violation_counts.is_empty())
        }
        Command::Sweep { experiment, out, threads } => {
            print!("{}", sweep::sweep(&experiment, &out, threads)?);
            Ok(true)
        }
        Command::Scale { experiment, out, virtual_time, calibrate, program } => {
            let how = scale::How { virtual_time, calibrate, program };
            print!("{}", scale::run(&experiment, &out, &how)?);
            Ok(true)
        }
        Command::Hollow => scale::worker::run().map(|()| true),
        Command::Compare { a, b, metric } => {
            print!("{}", sweep::compare(&a, &b, &metric)?);
            Ok(true)
        }
        Command::Claims { file, seeds } => {
            let (table, kept) = claims::claims(&file, seeds)?;
            print!("{table}");
            Ok(kept)
        }
        Command::Swarm { seeds, first, out } => {
            let (text, found) = swarm::swarm(first, seeds, &out)?;
            print!("{text}");
            Ok(found == 0)
        }
        Command::Trace { day, flow, seed, strategy } => {
            let day = load(&day)?;
            print!("{}", trace::story(&day, seed.unwrap_or(day.seed), strategy, flow)?);
            Ok(true)
        }
        Command::Report { folder, day } => {
            let day = load(&day)?;
            let text = std::fs::read_to_string(folder.join("result.json"));
            let text = text.map_err(|e| format!("{}: {e}", folder.join("result.json").display()))?;
            let known: serde_json::Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
            let seed = known.get("seed").and_then(serde_json::Value::as_u64).unwrap_or(day.seed);
            let name = known.get("strategy").and_then(|s| s.as_str()).unwrap_or("module").to_owned();
            let strategy = Strategy::from_str(&name, false);
            let strategy = strategy.map_err(|_| format!("result.json: unknown strategy {name}"))?;
            let played = run::play(&day, seed, &How { strategy, ..How::default() })?;
            report::report(&played, &folder)?;
            println!("report: {}", folder.join("report.html").display());
            Ok(true)
        }
    }
}
