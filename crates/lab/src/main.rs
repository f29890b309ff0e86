//! Command line of the laboratory: runs scenarios against the whole sidecar and reports the results.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand, ValueEnum};
use roseproxy_emulator::scenario::Scenario;
use roseproxy_lab::run::RunOptions;
use roseproxy_lab::strategies::Strategy;
use roseproxy_lab::{claims, report, run, scale, swarm, sweep, trace};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit code when a rule was broken or a claim did not hold.
const EXIT_RULE_BROKEN: u8 = 1;
/// Exit code for an invalid file or argument.
const EXIT_INVALID_INPUT: u8 = 2;

#[derive(Parser)]
#[command(
    name = "roseproxy-lab",
    version,
    about = "Runs scenarios against the whole sidecar, in virtual time or on real sockets"
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
    /// Run one scenario; exit 1 if a rule was broken
    Run {
        /// Scenario file
        day: PathBuf,
        /// Seed of all random draws, instead of the scenario's own
        #[arg(long)]
        seed: Option<u64>,
        /// Strategy that chooses the server of each attempt
        #[arg(long, value_enum, default_value = "module")]
        strategy: Strategy,
        /// Run on real sockets in 127.0.0.0/8, against processes of the program
        #[arg(long)]
        real: bool,
        /// Sidecar program to start with --real
        #[arg(long, default_value = "target/release/roseproxy")]
        program: PathBuf,
        /// Show a live table
        #[arg(long)]
        live: bool,
        /// Folder for results, charts and the HTML report
        #[arg(long)]
        out: PathBuf,
    },
    /// Run an experiment: every variant with every scenario and seed
    Sweep {
        /// Experiment file
        experiment: PathBuf,
        /// Folder for the results
        #[arg(long)]
        out: PathBuf,
        /// Number of concurrent runs, instead of one per core
        #[arg(long)]
        threads: Option<usize>,
    },
    /// Run a scale experiment: a fleet of real and hollow sidecars on sockets, or all hollow in virtual time
    Scale {
        /// Experiment file
        experiment: PathBuf,
        /// Folder for the results
        #[arg(long)]
        out: PathBuf,
        /// Run in virtual time, with all sidecars hollow
        #[arg(long = "virtual")]
        virtual_time: bool,
        /// Run once with all sidecars real and once with all hollow, and report the differences
        #[arg(long, conflicts_with = "virtual_time")]
        calibrate: bool,
        /// Program of the real sidecars
        #[arg(long, default_value = "target/release/roseproxy")]
        program: PathBuf,
    },
    /// Run hollow sidecars by commands read from standard input; started by `scale`
    #[command(hide = true, name = scale::worker::SUBCOMMAND)]
    Hollow,
    /// Compare two folders of results, paired by scenario and seed
    Compare {
        /// First folder of results, the baseline
        a: PathBuf,
        /// Second folder of results
        b: PathBuf,
        /// Metric to compare, as a path in result.json
        #[arg(long, default_value = "service")]
        metric: String,
    },
    /// Check a subsystem's claims; exit 1 if one does not hold
    Claims {
        /// Claims file
        file: PathBuf,
        /// Seeds A..B, both inclusive, instead of the file's own
        #[arg(long, value_parser = parse_seed_range)]
        seeds: Option<[u64; 2]>,
    },
    /// Run random scenarios with random faults; shrink those that break a rule
    Swarm {
        /// Number of scenarios
        #[arg(long, default_value_t = 50)]
        seeds: u64,
        /// First seed
        #[arg(long, default_value_t = 1)]
        first: u64,
        /// Folder for the scenarios that break a rule
        #[arg(long, default_value = "out/swarm")]
        out: PathBuf,
    },
    /// Print the full trace of one flow
    Trace {
        /// Scenario file
        day: PathBuf,
        /// Flow number, in order of arrival
        #[arg(long)]
        flow: usize,
        /// Seed of all random draws, instead of the scenario's own
        #[arg(long)]
        seed: Option<u64>,
        /// Strategy that chooses the server of each attempt
        #[arg(long, value_enum, default_value = "module")]
        strategy: Strategy,
    },
    /// Rerun the scenario of a stored result and write its HTML report and charts
    Report {
        /// Folder written by `run`
        folder: PathBuf,
        /// Scenario file
        #[arg(long)]
        day: PathBuf,
    },
}

fn parse_seed_range(text: &str) -> Result<[u64; 2], String> {
    let invalid = || format!("{text} is not a range A..B with A <= B");
    let (first, last) = text.split_once("..").ok_or_else(invalid)?;
    let number = |t: &str| t.parse::<u64>().map_err(|_| invalid());
    let range = [number(first)?, number(last)?];
    if range[0] <= range[1] {
        Ok(range)
    } else {
        Err(invalid())
    }
}

fn load_scenario(path: &Path) -> Result<Scenario, String> {
    Scenario::load(path).map_err(|e| e.to_string())
}

fn main() -> ExitCode {
    let filter = tracing_subscriber::EnvFilter::try_from_env("LAB_LOG").unwrap_or_else(|_| "warn".into());
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).init();
    match execute(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_RULE_BROKEN),
        Err(reason) => {
            eprintln!("roseproxy-lab: {reason}");
            ExitCode::from(EXIT_INVALID_INPUT)
        }
    }
}

/// Executes a command. Returns false if a rule was broken or a claim did not hold.
fn execute(command: Command) -> Result<bool, String> {
    match command {
        Command::Run { day, seed, strategy, real, program, live, out } => {
            let scenario = load_scenario(&day)?;
            let options = RunOptions { strategy, program: real.then_some(program), live_table: live };
            let completed = run::run_scenario(&scenario, seed.unwrap_or(scenario.seed), &options)?;
            run::write_results(&completed, &out)?;
            report::write_report(&completed, &out)?;
            print!("{}", run::summary(&completed));
            println!("report: {}", out.join("report.html").display());
            Ok(completed.outcome.violation_counts.is_empty())
        }
        Command::Sweep { experiment, out, threads } => {
            print!("{}", sweep::run_sweep(&experiment, &out, threads)?);
            Ok(true)
        }
        Command::Scale { experiment, out, virtual_time, calibrate, program } => {
            let options = scale::ScaleOptions { virtual_time, calibrate, program };
            print!("{}", scale::run_experiment(&experiment, &out, &options)?);
            Ok(true)
        }
        Command::Hollow => scale::worker::run_worker().map(|()| true),
        Command::Compare { a, b, metric } => {
            print!("{}", sweep::compare(&a, &b, &metric)?);
            Ok(true)
        }
        Command::Claims { file, seeds } => {
            let (table, all_hold) = claims::check_claims(&file, seeds)?;
            print!("{table}");
            Ok(all_hold)
        }
        Command::Swarm { seeds, first, out } => {
            let (text, failing) = swarm::run_swarm(first, seeds, &out)?;
            print!("{text}");
            Ok(failing == 0)
        }
        Command::Trace { day, flow, seed, strategy } => {
            let scenario = load_scenario(&day)?;
            print!("{}", trace::trace_flow(&scenario, seed.unwrap_or(scenario.seed), strategy, flow)?);
            Ok(true)
        }
        Command::Report { folder, day } => {
            let scenario = load_scenario(&day)?;
            let text = std::fs::read_to_string(folder.join("result.json"));
            let text = text.map_err(|e| format!("{}: {e}", folder.join("result.json").display()))?;
            let result: serde_json::Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
            let seed = result.get("seed").and_then(serde_json::Value::as_u64).unwrap_or(scenario.seed);
            let name = result.get("strategy").and_then(|s| s.as_str()).unwrap_or("module").to_owned();
            let strategy = Strategy::from_str(&name, false);
            let strategy = strategy.map_err(|_| format!("result.json: unknown strategy {name}"))?;
            let options = RunOptions { strategy, ..RunOptions::default() };
            let completed = run::run_scenario(&scenario, seed, &options)?;
            report::write_report(&completed, &folder)?;
            println!("report: {}", folder.join("report.html").display());
            Ok(true)
        }
    }
}
