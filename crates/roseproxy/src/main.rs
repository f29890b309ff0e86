//! The sidecar binary: serves on real sockets with the configuration that `LB_CONFIG` names.
//!
//! It opens the log, waits until the system can start the runtime, reads the configuration and hands over
//! to [`roseproxy::serve::serve`], which runs until SIGTERM or SIGINT. The counters are the last lines of
//! the log. It depends on the library crate of the same name, where reading should begin.
#![forbid(unsafe_code)]

use cap::Cap;
use roseproxy::config::{Config, ConfigError};
use roseproxy::log::Log;
use roseproxy::process_memory::ProcessMemory;
use roseproxy::serve::{serve, Environment};
use roseproxy::signals::Signals;
use roseproxy::startup_retry::{retry_transient, wait_for_descriptors};
use roseproxy::Clock;
use roseproxy_transport::network::Tcp;
use std::alloc::System;
use std::process::ExitCode;
use std::rc::Rc;

/// Counts what the program allocates.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

struct CountedMemory;

impl ProcessMemory for CountedMemory {
    fn allocated_bytes(&self) -> u64 {
        ALLOCATOR.allocated() as u64
    }
}

fn run(log: &Rc<Log>) -> Result<(), String> {
    let read_config = || Config::load(|name| std::env::var(name).ok());
    wait_for_descriptors(&|line| log.write_line(line));
    // The platform gives the sidecar one core, and on one thread routing needs no locks.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot create the runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        // Installed first, so that a signal during startup is not lost.
        let signals = Signals::install().map_err(|e| format!("cannot install the signal handlers: {e}"))?;
        let log_lines = log.clone();
        let write_line: Rc<dyn Fn(&str)> = Rc::new(move |line| log_lines.write_line(line));
        let config =
            retry_transient(&*write_line, ConfigError::max_retries, || async { read_config() }).await;
        let config = config.map_err(|e| format!("configuration: {e}"))?;
        let print_events = std::env::var_os("LB_EVENT_LOG").is_some();
        let environment = Environment {
            network: Tcp,
            clock: Clock::system(),
            log: write_line,
            decider: None,
            print_events,
            process_memory: Box::new(CountedMemory),
        };
        let counters = serve(config, environment, signals, read_config).await?;
        log.write_final(&format!("{counters}log_lines_lost {}\n", log.lines_lost()));
        Ok(())
    })
}

fn main() -> ExitCode {
    let log = Rc::new(Log::open());
    match run(&log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            log.write_final(&format!("roseproxy: {reason}\n"));
            ExitCode::FAILURE
        }
    }
}
