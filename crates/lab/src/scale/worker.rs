//! Worker processes, each with many hollow sidecars: the program from the listener down, on real sockets.
//!
//! A worker reads commands as lines of JSON from standard input and writes a line of JSON to standard output for
//! each sidecar that has ended. It exits when its input is closed.

use crate::in_process::InProcess;
use roseproxy::Clock;
use roseproxy_emulator::simulation::Signal;
use roseproxy_transport::network::Tcp;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::cell::RefCell;
use std::collections::HashSet;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;

/// The subcommand that runs a worker.
pub const SUBCOMMAND: &str = "hollow";
/// How often a worker checks which of its sidecars have ended.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A command to a worker.
#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum WorkerCommand {
    /// Starts a sidecar.
    Start { number: usize, config: Value },
    /// Shuts a sidecar down gracefully.
    Term { number: usize },
    /// Drops a sidecar at once.
    Kill { number: usize },
    /// Replaces the configuration of a sidecar.
    Reload { number: usize, config: Value },
}

/// A worker's message that a sidecar has ended.
#[derive(Debug, Deserialize, Serialize)]
struct Ended {
    /// Number of the sidecar.
    ended: usize,
}

/// A worker process, from the side of the process that started it.
pub struct Worker {
    child: RefCell<Child>,
    commands: Sender<WorkerCommand>,
    running: Arc<Mutex<HashSet<usize>>>,
}

impl Worker {
    /// Starts a worker process.
    pub fn start() -> Result<Worker, String> {
        let program =
            std::env::current_exe().map_err(|e| format!("cannot find this program's own executable: {e}"))?;
        let child =
            Command::new(program).arg(SUBCOMMAND).stdin(Stdio::piped()).stdout(Stdio::piped()).spawn();
        let mut child =
            child.map_err(|e| format!("cannot start a worker process of hollow sidecars: {e}"))?;
        let (input, output) = (child.stdin.take(), child.stdout.take());
        let (Some(mut input), Some(output)) = (input, output) else {
            return Err("a worker process of hollow sidecars has no pipes".into());
        };
        let (commands, to_write) = channel::<WorkerCommand>();
        // Reading and writing have threads of their own, so that a busy worker cannot block this process.
        std::thread::spawn(move || {
            for command in to_write {
                let Ok(text) = serde_json::to_string(&command) else { continue };
                if writeln!(input, "{text}").and_then(|()| input.flush()).is_err() {
                    return;
                }
            }
        });
        let running = Arc::<Mutex<HashSet<usize>>>::default();
        let reader_running = running.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if let Ok(Ended { ended }) = serde_json::from_str(&line) {
                    reader_running.lock().unwrap_or_else(|e| e.into_inner()).remove(&ended);
                }
            }
        });
        Ok(Worker { child: RefCell::new(child), commands, running })
    }

    fn send(&self, command: WorkerCommand) -> Result<(), String> {
        self.commands.send(command).map_err(|_| "a worker process of hollow sidecars exited".into())
    }

    /// Starts a sidecar.
    pub fn start_sidecar(&self, number: usize, config: &Value) -> Result<(), String> {
        self.running.lock().unwrap_or_else(|e| e.into_inner()).insert(number);
        self.send(WorkerCommand::Start { number, config: config.clone() })
    }

    /// Sends a signal to a sidecar.
    pub fn signal(&self, number: usize, signal: Signal) {
        let command = match signal {
            Signal::Term => WorkerCommand::Term { number },
            Signal::Kill => WorkerCommand::Kill { number },
            Signal::Reload(config) => WorkerCommand::Reload { number, config },
        };
        if let Err(reason) = self.send(command) {
            tracing::warn!("{reason}");
        }
    }

    /// Whether a sidecar has ended.
    pub fn ended(&self, number: usize) -> bool {
        !self.running.lock().unwrap_or_else(|e| e.into_inner()).contains(&number)
    }

    /// Process id of the worker.
    pub fn pid(&self) -> String {
        self.child.borrow().id().to_string()
    }

    /// Whether the worker process has exited.
    pub fn has_ended(&self) -> bool {
        !matches!(self.child.borrow_mut().try_wait(), Ok(None))
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        let child = self.child.get_mut();
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Runs a worker until its input ends.
pub fn run_worker() -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        let (sender, mut commands) = unbounded_channel::<WorkerCommand>();
        std::thread::spawn(move || {
            for line in std::io::stdin().lock().lines().map_while(Result::ok) {
                match serde_json::from_str(&line) {
                    Ok(command) => {
                        if sender.send(command).is_err() {
                            return;
                        }
                    }
                    Err(e) => eprintln!("roseproxy-lab {SUBCOMMAND}: invalid command: {e}"),
                }
            }
        });
        let sidecars = Rc::new(InProcess::default());
        let mut running = HashSet::new();
        loop {
            tokio::select! {
                biased;
                command = commands.recv() => match command {
                    Some(command) => execute(&sidecars, &mut running, command),
                    None => return Ok(()),
                },
                () = tokio::time::sleep(END_CHECK_INTERVAL) => report_ended(&sidecars, &mut running),
            }
        }
    })
}

fn execute(sidecars: &InProcess, running: &mut HashSet<usize>, command: WorkerCommand) {
    match command {
        WorkerCommand::Start { number, config } => {
            match sidecars.start(number, &config, Tcp, Clock::system(), None) {
                Ok(()) => drop(running.insert(number)),
                Err(reason) => eprintln!("roseproxy-lab {SUBCOMMAND}: sidecar {number}: {reason}"),
            }
        }
        WorkerCommand::Term { number } => sidecars.signal(number, Signal::Term),
        WorkerCommand::Kill { number } => sidecars.signal(number, Signal::Kill),
        WorkerCommand::Reload { number, config } => sidecars.signal(number, Signal::Reload(config)),
    }
}

fn report_ended(sidecars: &InProcess, running: &mut HashSet<usize>) {
    running.retain(|number| {
        let ended = sidecars.ended(*number);
        if ended {
            // A write error means that the starting process no longer reads; it needs no message then.
            let _ = serde_json::to_string(&Ended { ended: *number })
                .map(|text| writeln!(std::io::stdout(), "{text}"));
        }
        !ended
    });
}
