//! A process that runs many hollow sidecars: the very program from the listener down, on real sockets.
//!
//! It is told what to do by lines of JSON on its input and says by lines on its output which sidecars have
//! ended; it ends when its input does.

use crate::in_process::InProcess;
use roseproxy::Clock;
use roseproxy_emulator::world::Signal;
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
/// How often a worker looks which of its sidecars have ended.
const LOOK: Duration = Duration::from_millis(20);

/// What a worker is told.
#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum Order {
    /// To start a sidecar.
    Start { number: usize, config: Value },
    /// To end a sidecar in order.
    Term { number: usize },
    /// To drop a sidecar at once.
    Kill { number: usize },
    /// To replace a sidecar's configuration.
    Reload { number: usize, config: Value },
}

/// What a worker says.
#[derive(Debug, Deserialize, Serialize)]
struct Ended {
    /// The sidecar that has ended.
    ended: usize,
}

/// A worker process, as seen by who started it.
pub struct Worker {
    child: RefCell<Child>,
    orders: Sender<Order>,
    running: Arc<Mutex<HashSet<usize>>>,
}

impl Worker {
    /// Starts one.
    pub fn start() -> Result<Worker, String> {
        let program = std::env::current_exe().map_err(|e| format!("the laboratory's own program: {e}"))?;
        let child =
            Command::new(program).arg(SUBCOMMAND).stdin(Stdio::piped()).stdout(Stdio::piped()).spawn();
        let mut child = child.map_err(|e| format!("a process of hollow sidecars: {e}"))?;
        let (input, output) = (child.stdin.take(), child.stdout.take());
        let (Some(mut input), Some(output)) = (input, output) else {
            return Err("a process of hollow sidecars has no pipes".into());
        };
        let (orders, to_write) = channel::<Order>();
        // Threads of their own: a worker that is busy must not hold up who talks to it.
        std::thread::spawn(move || {
            for order in to_write {
                let Ok(text) = serde_json::to_string(&order) else { continue };
                if writeln!(input, "{text}").and_then(|()| input.flush()).is_err() {
                    return;
                }
            }
        });
        let running = Arc::<Mutex<HashSet<usize>>>::default();
        let left = running.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if let Ok(Ended { ended }) = serde_json::from_str(&line) {
                    left.lock().unwrap_or_else(|e| e.into_inner()).remove(&ended);
                }
            }
        });
        Ok(Worker { child: RefCell::new(child), orders, running })
    }

    fn tell(&self, order: Order) -> Result<(), String> {
        self.orders.send(order).map_err(|_| "a process of hollow sidecars ended".into())
    }

    /// Starts a sidecar.
    pub fn start_sidecar(&self, number: usize, config: &Value) -> Result<(), String> {
        self.running.lock().unwrap_or_else(|e| e.into_inner()).insert(number);
        self.tell(Order::Start { number, config: config.clone() })
    }

    /// Tells a sidecar something.
    pub fn signal(&self, number: usize, signal: Signal) {
        let order = match signal {
            Signal::Term => Order::Term { number },
            Signal::Kill => Order::Kill { number },
            Signal::Reload(config) => Order::Reload { number, config },
        };
        if let Err(reason) = self.tell(order) {
            tracing::warn!("{reason}");
        }
    }

    /// Whether a sidecar has ended.
    pub fn ended(&self, number: usize) -> bool {
        !self.running.lock().unwrap_or_else(|e| e.into_inner()).contains(&number)
    }

    /// The number of its process.
    pub fn pid(&self) -> String {
        self.child.borrow().id().to_string()
    }

    /// Whether its process has ended.
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
pub fn run() -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        let (sender, mut orders) = unbounded_channel::<Order>();
        std::thread::spawn(move || {
            for line in std::io::stdin().lock().lines().map_while(Result::ok) {
                match serde_json::from_str(&line) {
                    Ok(order) => {
                        if sender.send(order).is_err() {
                            return;
                        }
                    }
                    Err(e) => eprintln!("roseproxy-lab {SUBCOMMAND}: not understood: {e}"),
                }
            }
        });
        let sidecars = Rc::new(InProcess::default());
        let mut running = HashSet::new();
        loop {
            tokio::select! {
                biased;
                order = orders.recv() => match order {
                    Some(order) => obey(&sidecars, &mut running, order),
                    None => return Ok(()),
                },
                () = tokio::time::sleep(LOOK) => report_ended(&sidecars, &mut running),
            }
        }
    })
}

fn obey(sidecars: &InProcess, running: &mut HashSet<usize>, order: Order) {
    match order {
        Order::Start { number, config } => {
            match sidecars.start(number, &config, Tcp, Clock::system(), None) {
                Ok(()) => drop(running.insert(number)),
                Err(reason) => eprintln!("roseproxy-lab {SUBCOMMAND}: sidecar {number}: {reason}"),
            }
        }
        Order::Term { number } => sidecars.signal(number, Signal::Term),
        Order::Kill { number } => sidecars.signal(number, Signal::Kill),
        Order::Reload { number, config } => sidecars.signal(number, Signal::Reload(config)),
    }
}

fn report_ended(sidecars: &InProcess, running: &mut HashSet<usize>) {
    running.retain(|number| {
        let ended = sidecars.ended(*number);
        if ended {
            // Whoever started this process and no longer listens needs no word.
            let _ = serde_json::to_string(&Ended { ended: *number })
                .map(|text| writeln!(std::io::stdout(), "{text}"));
        }
        !ended
    });
}
