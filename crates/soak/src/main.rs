//! Soak test of the sidecar: real processes on loopback run under overlapping faults, and the invariants are checked.
//!
//! `run` starts sidecars and their stand-in counterparts (endpoints, discovery, clients), each as a process of its own.
//! The stand-ins are this same program under hidden subcommands; a C library, `shim/faults.c`, is compiled with `cc`
//! and preloaded into the sidecars to make system calls fail. Every run is drawn from its seed. Begin reading at
//! [`run`], then [`faults`] for what is injected and [`checker`] for what is verified. `docs/invariants.md` defines
//! the rules, `docs/soak.md` explains how to read a report.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod checker;
mod client;
mod control;
mod discovery;
mod endpoint;
mod faults;
mod fleet;
mod http;
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

/// Exit code when a rule was broken.
const EXIT_VIOLATIONS: u8 = 1;
/// Exit code when a run could not be carried out.
const EXIT_ERROR: u8 = 2;

#[derive(Parser)]
#[command(name = "roseproxy-soak", version, about = "Real sidecars on loopback under overlapping faults")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run seeds; exits with 1 if a rule was broken
    Run {
        /// First seed
        #[arg(long, default_value_t = 1)]
        first: u64,
        /// Number of seeds
        #[arg(long, default_value_t = 10)]
        seeds: u64,
        /// Duration of client load per seed (s)
        #[arg(long, default_value_t = 25.0)]
        seconds: f64,
        /// Number of sidecars, each with a client process of its own
        #[arg(long, default_value_t = 8)]
        sidecars: usize,
        /// Number of endpoints
        #[arg(long, default_value_t = 12)]
        endpoints: usize,
        /// Requests per second at each sidecar; the first sidecar gets twice as many
        #[arg(long, default_value_t = 30.0)]
        rate: f64,
        /// Calls per second that a warm endpoint can serve
        #[arg(long, default_value_t = 40.0)]
        capacity: f64,
        /// Measurement error to allow for, on top of the rules' own tolerance (ms)
        #[arg(long, default_value_t = 50.0)]
        slack: f64,
        /// Sidecar program under test
        #[arg(long, default_value = "target/release/roseproxy")]
        program: PathBuf,
        /// Directory for the logs of runs that break a rule
        #[arg(long, default_value = "out/soak")]
        out: PathBuf,
    },
    /// Act as an endpoint; started by `run`
    #[command(hide = true)]
    Endpoint { number: usize, cell: u32, port: u16, seed: u64 },
    /// Act as discovery; started by `run`
    #[command(hide = true)]
    Discovery { ports: Vec<u16> },
    /// Act as the clients of one sidecar; started by `run`
    #[command(hide = true)]
    Client { sidecar: usize, port: u16, seed: u64, slack: f64, deadline: f64 },
}

/// Runs a stand-in to its end on a single-threaded runtime.
fn run_stand_in(role: impl std::future::Future<Output = std::io::Result<()>>) -> Result<bool, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, role).map_err(|e| e.to_string())?;
    Ok(true)
}

/// Executes a subcommand; the result is false if a rule was broken.
fn execute(command: Command) -> Result<bool, String> {
    match command {
        Command::Endpoint { number, cell, port, seed } => {
            run_stand_in(endpoint::run(number, cell, port, seed))
        }
        Command::Discovery { ports } => run_stand_in(discovery::run(&ports)),
        Command::Client { sidecar, port, seed, slack, deadline } => run_stand_in(async move {
            client::run(sidecar, ([127, 0, 0, 1], port).into(), seed, slack, deadline).await;
            Ok(())
        }),
        Command::Run { first, seeds, seconds, sidecars, endpoints, rate, capacity, slack, program, out } => {
            let options =
                run::RunOptions { sidecars, endpoints, rate, capacity, seconds, slack, program, out };
            let mut failed_seeds = Vec::new();
            for seed in first..first + seeds {
                let report = run::run(seed, &options)?;
                print!("{}", report.text);
                if !report.violations.is_empty() {
                    failed_seeds.push(report.seed.to_string());
                }
            }
            println!("{} of {seeds} seeds kept every rule", seeds - failed_seeds.len() as u64);
            if !failed_seeds.is_empty() {
                println!("broken: {}", failed_seeds.join(", "));
            }
            Ok(failed_seeds.is_empty())
        }
    }
}

fn main() -> ExitCode {
    match execute(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_VIOLATIONS),
        Err(reason) => {
            eprintln!("roseproxy-soak: {reason}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}
