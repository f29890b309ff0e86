//! The soak test: a few dozen real processes on loopback, with faults that overlap, judged by the invariants.
//!
//! `run` starts sidecars, endpoints, discovery and clients, each a process of its own; the stand-ins are this very
//! program under other subcommands. `docs/invariants.md` names the rules, `docs/soak.md` says how to read a report.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
mod control;
mod discovery;
mod endpoint;
mod faults;
mod fleet;
mod http;
mod judge;
mod lag;
mod records;
mod run;
mod settings;
mod shim;
mod stand_in;
mod timeline;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// A rule was broken.
const BROKEN: u8 = 1;
/// A run could not be played.
const FAULTY: u8 = 2;

#[derive(Parser)]
#[command(name = "roseproxy-soak", version, about = "Real sidecars on loopback under overlapping faults")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play seeds; exit 1 where a rule was broken
    Run {
        /// The first seed
        #[arg(long, default_value_t = 1)]
        first: u64,
        /// How many seeds
        #[arg(long, default_value_t = 10)]
        seeds: u64,
        /// How long clients ask in each (s)
        #[arg(long, default_value_t = 25.0)]
        seconds: f64,
        /// Sidecars, each with a process of clients
        #[arg(long, default_value_t = 8)]
        sidecars: usize,
        /// Endpoints
        #[arg(long, default_value_t = 12)]
        endpoints: usize,
        /// Requests a second at each sidecar; the first one gets twice as many
        #[arg(long, default_value_t = 30.0)]
        rate: f64,
        /// Calls that a warm endpoint bears in a second
        #[arg(long, default_value_t = 40.0)]
        capacity: f64,
        /// What measuring may be off by, beside the rules' own slack (ms)
        #[arg(long, default_value_t = 50.0)]
        slack: f64,
        /// The program
        #[arg(long, default_value = "target/release/roseproxy")]
        program: PathBuf,
        /// Where the logs go of runs that break a rule
        #[arg(long, default_value = "out/soak")]
        out: PathBuf,
    },
    /// Be an endpoint; `run` starts this
    #[command(hide = true)]
    Endpoint { number: usize, cell: u32, port: u16, seed: u64 },
    /// Be discovery; `run` starts this
    #[command(hide = true)]
    Discovery { ports: Vec<u16> },
    /// Be the clients of a sidecar; `run` starts this
    #[command(hide = true)]
    Client { sidecar: usize, port: u16, seed: u64, slack: f64, deadline: f64 },
}

/// Runs a stand-in.
fn stand_in(role: impl std::future::Future<Output = std::io::Result<()>>) -> Result<bool, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, role).map_err(|e| e.to_string())?;
    Ok(true)
}

fn act(command: Command) -> Result<bool, String> {
    match command {
        Command::Endpoint { number, cell, port, seed } => stand_in(endpoint::run(number, cell, port, seed)),
        Command::Discovery { ports } => stand_in(discovery::run(&ports)),
        Command::Client { sidecar, port, seed, slack, deadline } => stand_in(async move {
            client::run(sidecar, ([127, 0, 0, 1], port).into(), seed, slack, deadline).await;
            Ok(())
        }),
        Command::Run { first, seeds, seconds, sidecars, endpoints, rate, capacity, slack, program, out } => {
            let how = run::How { sidecars, endpoints, rate, capacity, seconds, slack, program, out };
            let mut broken = Vec::new();
            for seed in first..first + seeds {
                let report = run::run(seed, &how)?;
                print!("{}", report.text);
                if !report.violations.is_empty() {
                    broken.push(report.seed.to_string());
                }
            }
            println!("{} of {seeds} seeds kept every rule", seeds - broken.len() as u64);
            if !broken.is_empty() {
                println!("broken: {}", broken.join(", "));
            }
            Ok(broken.is_empty())
        }
    }
}

fn main() -> ExitCode {
    match act(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(BROKEN),
        Err(reason) => {
            eprintln!("roseproxy-soak: {reason}");
            ExitCode::from(FAULTY)
        }
    }
}
