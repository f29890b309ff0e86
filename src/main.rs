//! The sidecar: one program on real sockets round the decision module.
#![forbid(unsafe_code)]

use roseproxy::program::{config::Config, start, Clock};
use std::process::ExitCode;

fn run() -> Result<(), String> {
    let read = || Config::load(|name| std::env::var(name).ok());
    let config = read().map_err(|e| format!("configuration: {e}"))?;
    // One thread: the platform gives the program one core, and routing needs no locks then.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, start::serve(config, Clock::system(), read))
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("roseproxy: {reason}");
            ExitCode::FAILURE
        }
    }
}
