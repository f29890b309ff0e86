//! The sidecar: one program on real sockets round the decision module.
#![forbid(unsafe_code)]

use roseproxy::config::{Config, ConfigError};
use roseproxy::log::Log;
use roseproxy::signals::Signals;
use roseproxy::start::{serve, Surroundings};
use roseproxy::startup::{patiently, wait_for_descriptors};
use roseproxy::Clock;
use roseproxy_transport::network::Tcp;
use std::process::ExitCode;
use std::rc::Rc;

fn run(log: &Rc<Log>) -> Result<(), String> {
    let read = || Config::load(|name| std::env::var(name).ok());
    wait_for_descriptors(&|line| log.say(line));
    // One thread: the platform gives the program one core, and routing needs no locks then.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        // Before anything else, so that a signal that comes early is heeded too.
        let signals = Signals::catch().map_err(|e| format!("signals: {e}"))?;
        let lines = log.clone();
        let say: Rc<dyn Fn(&str)> = Rc::new(move |line| lines.say(line));
        let config = patiently(&*say, ConfigError::tries, || async { read() }).await;
        let config = config.map_err(|e| format!("configuration: {e}"))?;
        let print_events = std::env::var_os("LB_EVENT_LOG").is_some();
        let around = Surroundings { network: Tcp, clock: Clock::system(), say, decider: None, print_events };
        let counts = serve(config, around, signals, read).await?;
        log.say_last(&format!("{counts}log_lines_lost {}\n", log.lost()));
        Ok(())
    })
}

fn main() -> ExitCode {
    let log = Rc::new(Log::open());
    match run(&log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            log.say_last(&format!("roseproxy: {reason}\n"));
            ExitCode::FAILURE
        }
    }
}
