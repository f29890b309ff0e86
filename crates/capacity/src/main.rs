//! Command line of `roseproxy-capacity`, which measures what a sidecar costs by size of the fleet.
#![forbid(unsafe_code)]

use clap::{Args, Parser, Subcommand};
use roseproxy_capacity::error::Error;
use roseproxy_capacity::experiment::Experiment;
use roseproxy_capacity::report::Report;
use roseproxy_capacity::{attempts, changes, decisions, latency, layers, lists, memory, relay, reload};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "roseproxy-capacity", version, about = "Measures what a sidecar costs by size of the fleet")]
#[command(
    after_help = "Every measurement prints a table; with --out it also writes the table and its samples.
Examples:
  roseproxy-capacity decisions --endpoints 33,200,1000 --keys 0,300
  roseproxy-capacity lists --endpoints 33,200,1000,4000
  roseproxy-capacity latency --endpoints 33,1000 --rates 170 --out out/latency
  roseproxy-capacity experiment lab/experiments/capacity.toml --out out/capacity"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
    /// Folder for the results, as JSON and as Markdown tables
    #[arg(long, global = true)]
    out: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Processor time of the decision module per request, and the delay that it causes
    Decisions(DecisionArguments),
    /// Processor time of parsing and of applying a list
    Lists(ListArguments),
    /// Resident memory of one idle sidecar
    Memory(MemoryArguments),
    /// Processor time, bytes and delay of list changes and of whole lists
    Changes(ChangeArguments),
    /// Latency added to a call, compared with a bare relay and with direct calls
    Latency(LatencyArguments),
    /// Bytes and time of the whole lists requested after a reload
    Reload(ReloadArguments),
    /// Computed: added latency of a chain of several layers, from a measured distribution
    Layers(LayerArguments),
    /// Computed: attempts at the last layer of a chain of several layers
    Attempts(AttemptArguments),
    /// Make the measurements listed in a file, one after the other
    Experiment {
        /// Path of the experiment file
        file: PathBuf,
    },
    /// Run the bare relay that `latency` starts
    #[command(hide = true)]
    Relay(RelayArguments),
}

#[derive(Args)]
struct DecisionArguments {
    /// Numbers of endpoints known
    #[arg(long, value_delimiter = ',', default_value = "33,200,1000,4000")]
    endpoints: Vec<usize>,
    /// Request rates (requests per second)
    #[arg(long, value_delimiter = ',', default_value = "170")]
    rates: Vec<f64>,
    /// Numbers of keys; 0 for requests without a key
    #[arg(long, value_delimiter = ',', default_value = "0,300")]
    keys: Vec<usize>,
    /// Number of sidecars in the fleet
    #[arg(long, default_value_t = 1_000)]
    sidecars: usize,
    /// Mean time that an endpoint takes for a request (ms)
    #[arg(long, default_value_t = 20.0)]
    service_ms: f64,
    /// Measured virtual time (s)
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Processor time of a request outside the module, for the computed delay (µs)
    #[arg(long, default_value_t = 200.0)]
    other_us: f64,
    /// Seed of the random numbers
    #[arg(long, default_value_t = 7)]
    seed: u64,
}

#[derive(Args)]
struct ListArguments {
    /// Numbers of endpoints in the list
    #[arg(long, value_delimiter = ',', default_value = "33,200,1000,4000")]
    endpoints: Vec<usize>,
    /// Number of runs of each measurement
    #[arg(long, default_value_t = 31)]
    runs: usize,
    /// Number of sidecars in the fleet
    #[arg(long, default_value_t = 1_000)]
    sidecars: usize,
}

#[derive(Args)]
struct ProgramArguments {
    /// Path of the sidecar's program
    #[arg(long, default_value = "target/release/roseproxy")]
    program: PathBuf,
    /// Number of sidecars in the fleet, as set in the settings
    #[arg(long, default_value_t = 1_000)]
    sidecars: usize,
}

#[derive(Args)]
struct MemoryArguments {
    #[command(flatten)]
    program: ProgramArguments,
    /// Numbers of endpoints known
    #[arg(long, value_delimiter = ',', default_value = "33,200,1000,4000")]
    endpoints: Vec<usize>,
    /// Number of processes started for each number of endpoints
    #[arg(long, default_value_t = 5)]
    runs: usize,
    /// Time that a process is left idle before its memory is read (ms)
    #[arg(long, default_value_t = 2_000)]
    settle_ms: u64,
}

#[derive(Args)]
struct ChangeArguments {
    #[command(flatten)]
    program: ProgramArguments,
    /// Numbers of endpoints known
    #[arg(long, value_delimiter = ',', default_value = "33,200,1000,4000")]
    endpoints: Vec<usize>,
    /// Changes of one entry per second
    #[arg(long, default_value_t = 100.0)]
    change_rate: f64,
    /// Whole lists per second
    #[arg(long, default_value_t = 5.0)]
    list_rate: f64,
    /// Length of each phase (s): heartbeats alone, changes, whole lists
    #[arg(long, default_value_t = 6)]
    seconds: u64,
    /// Number of lists, and of changes, whose application is timed
    #[arg(long, default_value_t = 20)]
    timed: usize,
    /// Number of rounds over all numbers of endpoints
    #[arg(long, default_value_t = 3)]
    runs: usize,
}

#[derive(Args)]
struct LatencyArguments {
    #[command(flatten)]
    program: ProgramArguments,
    /// Numbers of endpoints known
    #[arg(long, value_delimiter = ',', default_value = "33,200,1000")]
    endpoints: Vec<usize>,
    /// Request rates (requests per second)
    #[arg(long, value_delimiter = ',', default_value = "170")]
    rates: Vec<f64>,
    /// Number of keys of the keyed requests; 0 leaves keyed requests out
    #[arg(long, default_value_t = 300)]
    keys: usize,
    /// Number of rounds in which all call paths take turns
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Measured time of each turn (s)
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Time at the start of each turn that is not measured (s)
    #[arg(long, default_value_t = 2)]
    warm_up: u64,
    /// Time that an endpoint takes for a request (ms)
    #[arg(long, default_value_t = 20)]
    service_ms: u64,
    /// Seed of the random numbers
    #[arg(long, default_value_t = 7)]
    seed: u64,
}

#[derive(Args)]
struct ReloadArguments {
    #[command(flatten)]
    program: ProgramArguments,
    /// Numbers of endpoints in the list
    #[arg(long, value_delimiter = ',', default_value = "33,1000")]
    endpoints: Vec<usize>,
    /// Numbers of sidecars reloaded at once
    #[arg(long, value_delimiter = ',', default_value = "1,10,40")]
    at_once: Vec<usize>,
    /// Number of runs of each measurement
    #[arg(long, default_value_t = 3)]
    runs: usize,
}

#[derive(Args)]
struct LayerArguments {
    /// Path of a JSON result of `latency` or `decisions`
    #[arg(long)]
    result: PathBuf,
    /// Numbers of layers
    #[arg(long, value_delimiter = ',', default_value = "1,11")]
    depths: Vec<usize>,
    /// Number of sums drawn for each number of layers
    #[arg(long, default_value_t = 200_000)]
    draws: usize,
    /// Seed of the random numbers
    #[arg(long, default_value_t = 7)]
    seed: u64,
}

#[derive(Args)]
struct AttemptArguments {
    /// Numbers of layers
    #[arg(long, value_delimiter = ',', default_value = "1,3,11")]
    depths: Vec<usize>,
    /// Shares of attempts that fail at the last layer
    #[arg(long, value_delimiter = ',', default_value = "0.01,0.1,0.5,1")]
    failing: Vec<f64>,
    /// Number of requests at the first layer
    #[arg(long, default_value_t = 2_000)]
    requests: usize,
}

#[derive(Args)]
struct RelayArguments {
    /// Address on which clients connect
    #[arg(long)]
    listen: SocketAddr,
    /// Address of the endpoint
    #[arg(long)]
    to: SocketAddr,
}

fn measure(command: Command) -> Result<Report, Error> {
    match command {
        Command::Memory(args) => memory::measure(&memory::Options {
            program: args.program.program,
            endpoints: args.endpoints,
            runs: args.runs,
            settle_ms: args.settle_ms,
            sidecars: args.program.sidecars,
        }),
        Command::Changes(args) => changes::measure(&changes::Options {
            program: args.program.program,
            endpoints: args.endpoints,
            change_rate: args.change_rate,
            list_rate: args.list_rate,
            seconds: args.seconds,
            timed: args.timed,
            runs: args.runs,
            sidecars: args.program.sidecars,
        }),
        Command::Latency(args) => latency::measure(&latency::Options {
            program: args.program.program,
            relay: std::env::current_exe()
                .map_err(|source| Error::System { resource: "this program's path", source })?,
            endpoints: args.endpoints,
            rates: args.rates,
            keys: args.keys,
            rounds: args.rounds,
            seconds: args.seconds,
            warm_up: args.warm_up,
            service_ms: args.service_ms,
            sidecars: args.program.sidecars,
            seed: args.seed,
        }),
        Command::Reload(args) => reload::measure(&reload::Options {
            program: args.program.program,
            endpoints: args.endpoints,
            at_once: args.at_once,
            runs: args.runs,
            sidecars: args.program.sidecars,
        }),
        Command::Layers(args) => layers::measure(&layers::Options {
            result: args.result,
            depths: args.depths,
            draws: args.draws,
            seed: args.seed,
        }),
        Command::Attempts(args) => attempts::measure(&attempts::Options {
            depths: args.depths,
            failing: args.failing,
            requests: args.requests,
        }),
        Command::Relay(args) => {
            relay::run(args.listen, args.to)?;
            Ok(Report::start("relay", &()))
        }
        Command::Experiment { .. } => Err(Error::Argument {
            name: "experiment",
            value: "an experiment".into(),
            expected: "a single measurement".into(),
        }),
        Command::Decisions(args) => decisions::measure(&decisions::Options {
            endpoints: args.endpoints,
            rates: args.rates,
            keys: args.keys,
            sidecars: args.sidecars,
            service_ms: args.service_ms,
            seconds: args.seconds,
            other_us: args.other_us,
            seed: args.seed,
        }),
        Command::Lists(args) => lists::measure(&lists::Options {
            endpoints: args.endpoints,
            runs: args.runs,
            sidecars: args.sidecars,
        }),
    }
}

/// Makes one measurement, prints its report and writes it if a folder is given.
fn run(cli: Cli, name: Option<&str>) -> Result<(), Error> {
    let report = measure(cli.command)?;
    println!("{}", report.to_markdown());
    cli.out.map_or(Ok(()), |folder| report.write(&folder, name.unwrap_or(&report.command)))
}

/// Makes all measurements of an experiment file. All are parsed before the first is made.
fn run_all(file: &Path, out: Option<&Path>) -> Result<(), Error> {
    let experiment = Experiment::load(file)?;
    let mut steps = Vec::new();
    for step in experiment.steps {
        let words = std::iter::once("roseproxy-capacity").chain(step.arguments.iter().map(String::as_str));
        let cli = Cli::try_parse_from(words).map_err(|e| Error::Argument {
            name: "experiment",
            value: step.name.clone(),
            expected: format!("a measurement: {e}"),
        })?;
        steps.push((step.name, cli));
    }
    for (name, mut cli) in steps {
        cli.out = out.map(Path::to_owned);
        run(cli, Some(&name))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match &cli.command {
        Command::Experiment { file } => run_all(file, cli.out.as_deref()),
        _ => run(cli, None),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("roseproxy-capacity: {reason}");
            ExitCode::FAILURE
        }
    }
}
