//! Measures what a sidecar costs as a function of the fleet's size.
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
#[command(name = "roseproxy-capacity", version, about = "Measures what a sidecar costs at a fleet's size")]
#[command(after_help = "Every measurement prints a table, and writes it and its samples with --out.
Examples:
  roseproxy-capacity decisions --endpoints 33,200,1000 --keys 0,300
  roseproxy-capacity lists --endpoints 33,200,1000,4000
  roseproxy-capacity latency --endpoints 33,1000 --rates 170 --out out/latency
  roseproxy-capacity experiment lab/experiments/capacity.toml --out out/capacity")]
struct Cli {
    #[command(subcommand)]
    command: Command,
    /// Folder for the result as JSON and as a table
    #[arg(long, global = true)]
    out: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Processor time of the decision module for each request, and the delay that it causes
    Decisions(DecisionArguments),
    /// Processor time of reading a list and of taking it in
    Lists(ListArguments),
    /// Resident memory of one idle sidecar
    Memory(MemoryArguments),
    /// Processor time, bytes and delay of changes and of whole lists
    Changes(ChangeArguments),
    /// Latency added to a call, beside a bare relay and none
    Latency(LatencyArguments),
    /// Bytes and time of whole lists after a reload
    Reload(ReloadArguments),
    /// Computed: what several layers of calls make of a measured latency
    Layers(LayerArguments),
    /// Computed: what several layers of calls make of repeated attempts
    Attempts(AttemptArguments),
    /// Make the measurements that a file names, one after the other
    Experiment {
        /// The file
        file: PathBuf,
    },
    /// The bare relay that `latency` starts
    #[command(hide = true)]
    Relay(RelayArguments),
}

#[derive(Args)]
struct DecisionArguments {
    /// Numbers of endpoints known
    #[arg(long, value_delimiter = ',', default_value = "33,200,1000,4000")]
    endpoints: Vec<usize>,
    /// Requests a second
    #[arg(long, value_delimiter = ',', default_value = "170")]
    rates: Vec<f64>,
    /// Numbers of keys, 0 for requests without
    #[arg(long, value_delimiter = ',', default_value = "0,300")]
    keys: Vec<usize>,
    /// Sidecars in the fleet
    #[arg(long, default_value_t = 1_000)]
    sidecars: usize,
    /// Mean time that an endpoint takes (ms)
    #[arg(long, default_value_t = 20.0)]
    service_ms: f64,
    /// Virtual seconds that are counted
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Processor time of a request outside of the module, for the computed delay (µs)
    #[arg(long, default_value_t = 200.0)]
    other_us: f64,
    /// For random numbers
    #[arg(long, default_value_t = 7)]
    seed: u64,
}

#[derive(Args)]
struct ListArguments {
    /// Numbers of endpoints in the list
    #[arg(long, value_delimiter = ',', default_value = "33,200,1000,4000")]
    endpoints: Vec<usize>,
    /// Times that each is measured
    #[arg(long, default_value_t = 31)]
    runs: usize,
    /// Sidecars in the fleet
    #[arg(long, default_value_t = 1_000)]
    sidecars: usize,
}

#[derive(Args)]
struct ProgramArguments {
    /// The sidecar's program
    #[arg(long, default_value = "target/release/roseproxy")]
    program: PathBuf,
    /// Sidecars in the fleet that the settings name
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
    /// Processes started for each number
    #[arg(long, default_value_t = 5)]
    runs: usize,
    /// How long each is left alone before it is read (ms)
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
    /// Changes of one entry a second
    #[arg(long, default_value_t = 100.0)]
    change_rate: f64,
    /// Whole lists a second
    #[arg(long, default_value_t = 5.0)]
    list_rate: f64,
    /// Seconds of each phase: heartbeats alone, changes, whole lists
    #[arg(long, default_value_t = 6)]
    seconds: u64,
    /// Lists and changes whose taking in is timed
    #[arg(long, default_value_t = 20)]
    timed: usize,
    /// Rounds over all numbers
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
    /// Requests a second
    #[arg(long, value_delimiter = ',', default_value = "170")]
    rates: Vec<f64>,
    /// Keys of the requests that have one; 0 leaves keyed requests out
    #[arg(long, default_value_t = 300)]
    keys: usize,
    /// Rounds in which all ways take turns
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Seconds counted of each turn
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Seconds of each turn before them
    #[arg(long, default_value_t = 2)]
    warm_up: u64,
    /// Time that an endpoint takes (ms)
    #[arg(long, default_value_t = 20)]
    service_ms: u64,
    /// For random numbers
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
    /// Numbers of sidecars told at once
    #[arg(long, value_delimiter = ',', default_value = "1,10,40")]
    at_once: Vec<usize>,
    /// Times that each is measured
    #[arg(long, default_value_t = 3)]
    runs: usize,
}

#[derive(Args)]
struct LayerArguments {
    /// The JSON result of `latency` or of `decisions`
    #[arg(long)]
    result: PathBuf,
    /// Numbers of layers
    #[arg(long, value_delimiter = ',', default_value = "1,11")]
    depths: Vec<usize>,
    /// Sums drawn for each
    #[arg(long, default_value_t = 200_000)]
    draws: usize,
    /// For random numbers
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
    /// Requests at the first layer
    #[arg(long, default_value_t = 2_000)]
    requests: usize,
}

#[derive(Args)]
struct RelayArguments {
    /// Where clients connect
    #[arg(long)]
    listen: SocketAddr,
    /// The one endpoint
    #[arg(long)]
    to: SocketAddr,
}

fn measure(command: Command) -> Result<Report, Error> {
    match command {
        Command::Memory(a) => memory::measure(&memory::Options {
            program: a.program.program,
            endpoints: a.endpoints,
            runs: a.runs,
            settle_ms: a.settle_ms,
            sidecars: a.program.sidecars,
        }),
        Command::Changes(a) => changes::measure(&changes::Options {
            program: a.program.program,
            endpoints: a.endpoints,
            change_rate: a.change_rate,
            list_rate: a.list_rate,
            seconds: a.seconds,
            timed: a.timed,
            runs: a.runs,
            sidecars: a.program.sidecars,
        }),
        Command::Latency(a) => latency::measure(&latency::Options {
            program: a.program.program,
            relay: std::env::current_exe()
                .map_err(|source| Error::System { what: "this program's path", source })?,
            endpoints: a.endpoints,
            rates: a.rates,
            keys: a.keys,
            rounds: a.rounds,
            seconds: a.seconds,
            warm_up: a.warm_up,
            service_ms: a.service_ms,
            sidecars: a.program.sidecars,
            seed: a.seed,
        }),
        Command::Reload(a) => reload::measure(&reload::Options {
            program: a.program.program,
            endpoints: a.endpoints,
            at_once: a.at_once,
            runs: a.runs,
            sidecars: a.program.sidecars,
        }),
        Command::Layers(a) => layers::measure(&layers::Options {
            result: a.result,
            depths: a.depths,
            draws: a.draws,
            seed: a.seed,
        }),
        Command::Attempts(a) => attempts::measure(&attempts::Options {
            depths: a.depths,
            failing: a.failing,
            requests: a.requests,
        }),
        Command::Relay(a) => {
            relay::run(a.listen, a.to)?;
            Ok(Report::begin("relay", &()))
        }
        Command::Experiment { .. } => Err(Error::Argument {
            name: "experiment",
            value: "an experiment".into(),
            wanted: "a single measurement".into(),
        }),
        Command::Decisions(a) => decisions::measure(&decisions::Options {
            endpoints: a.endpoints,
            rates: a.rates,
            keys: a.keys,
            sidecars: a.sidecars,
            service_ms: a.service_ms,
            seconds: a.seconds,
            other_us: a.other_us,
            seed: a.seed,
        }),
        Command::Lists(a) => {
            lists::measure(&lists::Options { endpoints: a.endpoints, runs: a.runs, sidecars: a.sidecars })
        }
    }
}

/// Makes one measurement, prints its table and keeps the result.
fn run(cli: Cli, name: Option<&str>) -> Result<(), Error> {
    let report = measure(cli.command)?;
    println!("{}", report.markdown());
    cli.out.map_or(Ok(()), |folder| report.write(&folder, name.unwrap_or(&report.command)))
}

/// Makes all measurements of a file. All are read before the first is made.
fn run_all(file: &Path, out: Option<&Path>) -> Result<(), Error> {
    let experiment = Experiment::load(file)?;
    let mut steps = Vec::new();
    for step in experiment.steps {
        let words = std::iter::once("roseproxy-capacity").chain(step.arguments.iter().map(String::as_str));
        let cli = Cli::try_parse_from(words).map_err(|e| Error::Argument {
            name: "experiment",
            value: step.name.clone(),
            wanted: format!("a measurement: {e}"),
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
    let done = match &cli.command {
        Command::Experiment { file } => run_all(file, cli.out.as_deref()),
        _ => run(cli, None),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("roseproxy-capacity: {reason}");
            ExitCode::FAILURE
        }
    }
}
