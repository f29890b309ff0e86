//! Who runs the sidecars: processes of the program, hollow ones in worker processes, or tasks in virtual time.

use super::experiment::Fleet;
use super::worker::Worker;
use crate::in_process::{InProcess, MemoryNetwork};
use crate::processes::{cpu, memory, Processes};
use roseproxy::Clock;
use roseproxy_emulator::memory::Memory;
use roseproxy_emulator::world::{Sidecars, Signal};
use serde::Serialize;
use serde_json::Value;
use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use tokio::time::Instant;

/// Share of the machine's memory that a run may take.
const MEMORY_SHARE: f64 = 0.5;

/// What one kind of sidecar takes.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct GroupUsage {
    /// How many there are.
    pub sidecars: usize,
    /// Their CPU time so far (s).
    pub cpu_s: f64,
    /// Their memory (MB).
    pub memory_mb: f64,
}

/// What the sidecars take.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Usage {
    /// The processes.
    pub real: GroupUsage,
    /// The hollow ones, with their share of the worker processes.
    pub hollow: GroupUsage,
}

/// Who runs the sidecars of a scale experiment.
pub trait SidecarHost: Sidecars {
    /// What they take, where that can be told.
    fn usage(&self) -> Usage;
    /// Why the run has to end, where it has to.
    fn check(&self) -> Result<(), String>;
}

/// Sidecars on sockets: the first are processes of the program, the others hollow.
pub struct SocketSidecars {
    processes: Processes,
    real: usize,
    sidecars: usize,
    workers: Vec<Worker>,
    memory_limit_mb: f64,
}

impl SocketSidecars {
    /// Starts the workers of a fleet; `program` is what the processes run, `port` tells concurrent runs apart.
    pub fn new(fleet: &Fleet, program: &Path, port: u16) -> Result<SocketSidecars, String> {
        let hollow = fleet.sidecars - fleet.real;
        let workers = (0..fleet.workers.min(hollow)).map(|_| Worker::start());
        Ok(SocketSidecars {
            processes: Processes::new(program, port, fleet.sockets)?,
            real: fleet.real,
            sidecars: fleet.sidecars,
            workers: workers.collect::<Result<_, _>>()?,
            memory_limit_mb: machine_memory_mb()? * MEMORY_SHARE,
        })
    }

    fn worker(&self, number: usize) -> &Worker {
        &self.workers[number % self.workers.len()]
    }
}

/// Memory of the machine (MB).
fn machine_memory_mb() -> Result<f64, String> {
    let text = std::fs::read_to_string("/proc/meminfo").map_err(|e| format!("/proc/meminfo: {e}"))?;
    let line = text.lines().find_map(|l| l.strip_prefix("MemTotal:"));
    let kb = line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok());
    kb.map(|kb| kb / 1024.0).ok_or_else(|| "/proc/meminfo: no MemTotal".into())
}

impl Sidecars for SocketSidecars {
    fn start(&self, number: usize, config: &Value) -> Result<(), String> {
        if number < self.real {
            self.processes.start(number, config)
        } else {
            self.worker(number).start_sidecar(number, config)
        }
    }

    fn signal(&self, number: usize, signal: Signal) {
        if number < self.real {
            self.processes.signal(number, signal);
        } else {
            self.worker(number).signal(number, signal);
        }
    }

    fn ended(&self, number: usize) -> bool {
        if number < self.real {
            self.processes.ended(number)
        } else {
            self.worker(number).ended(number)
        }
    }

    fn resource_use(&self, number: usize) -> (Option<usize>, Option<f64>) {
        if number < self.real {
            self.processes.resource_use(number)
        } else {
            (None, None)
        }
    }
}

impl SidecarHost for SocketSidecars {
    fn usage(&self) -> Usage {
        let mut usage = Usage::default();
        for (cpu_s, memory_mb) in (0..self.real).filter_map(|n| self.processes.usage(n)) {
            usage.real.sidecars += 1;
            usage.real.cpu_s += cpu_s;
            usage.real.memory_mb += memory_mb;
        }
        usage.hollow.sidecars = self.sidecars - self.real;
        for worker in &self.workers {
            usage.hollow.cpu_s += cpu(&worker.pid()).unwrap_or(0.0);
            usage.hollow.memory_mb += memory(&worker.pid(), "VmRSS").unwrap_or(0.0);
        }
        usage
    }

    fn check(&self) -> Result<(), String> {
        if self.workers.iter().any(Worker::has_ended) {
            return Err("a process of hollow sidecars ended".into());
        }
        let usage = self.usage();
        let own = memory("self", "VmRSS").unwrap_or(0.0);
        within_memory(usage.real.memory_mb + usage.hollow.memory_mb + own, self.memory_limit_mb)
    }
}

fn within_memory(taken_mb: f64, limit_mb: f64) -> Result<(), String> {
    if taken_mb > limit_mb {
        return Err(format!("{taken_mb:.0} MB taken, more than half of the machine's memory"));
    }
    Ok(())
}

/// Sidecars as tasks over pipes in memory, in virtual time.
pub struct MemorySidecars {
    memory: Memory,
    in_process: InProcess,
    origin: Instant,
    epoch: f64,
    memory_limit_mb: f64,
}

impl MemorySidecars {
    /// None started yet; `epoch` is the Unix time (ms) now.
    pub fn new(memory: Memory, epoch: f64) -> Result<MemorySidecars, String> {
        let memory_limit_mb = machine_memory_mb()? * MEMORY_SHARE;
        let (in_process, origin) = (InProcess::default(), Instant::now());
        Ok(MemorySidecars { memory, in_process, origin, epoch, memory_limit_mb })
    }
}

impl Sidecars for MemorySidecars {
    fn start(&self, number: usize, config: &Value) -> Result<(), String> {
        let clock = Clock::simulated(self.epoch + self.origin.elapsed().as_secs_f64() * 1e3);
        let network = MemoryNetwork { memory: self.memory.clone(), held: Rc::new(Cell::new(0)) };
        self.in_process.start(number, config, network, clock, None)
    }

    fn signal(&self, number: usize, signal: Signal) {
        self.in_process.signal(number, signal);
    }

    fn ended(&self, number: usize) -> bool {
        self.in_process.ended(number)
    }

    fn resource_use(&self, _: usize) -> (Option<usize>, Option<f64>) {
        (None, None)
    }
}

impl SidecarHost for MemorySidecars {
    fn usage(&self) -> Usage {
        Usage::default()
    }

    fn check(&self) -> Result<(), String> {
        within_memory(memory("self", "VmRSS").unwrap_or(0.0), self.memory_limit_mb)
    }
}
