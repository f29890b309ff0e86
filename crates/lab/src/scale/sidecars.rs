//! Hosts of the sidecars: processes of the program, worker processes with hollow sidecars, or tasks in virtual time.

use super::experiment::Fleet;
use super::worker::Worker;
use crate::in_process::{InProcess, MemoryNetwork};
use crate::processes::{process_cpu_s, process_memory_mb, Processes};
use roseproxy::Clock;
use roseproxy_emulator::memory::Memory;
use roseproxy_emulator::simulation::{Sidecars, Signal};
use serde::Serialize;
use serde_json::Value;
use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use tokio::time::Instant;

/// Largest share of the machine's memory that a run may use.
const MAX_MEMORY_SHARE: f64 = 0.5;

/// Resources that all sidecars of one kind use.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct GroupUsage {
    /// Number of sidecars.
    pub sidecars: usize,
    /// CPU time so far (s).
    pub cpu_s: f64,
    /// Resident memory (MB).
    pub memory_mb: f64,
}

/// Resources that the sidecars use, by kind.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Usage {
    /// Sidecars that are processes of the program.
    pub real: GroupUsage,
    /// Hollow sidecars, including the worker processes.
    pub hollow: GroupUsage,
}

/// Runs the sidecars of a scale experiment.
pub trait SidecarHost: Sidecars {
    /// Resources that the sidecars use; zero if they cannot be measured.
    fn usage(&self) -> Usage;
    /// An error if the run has to end: a worker has exited or the memory limit is exceeded.
    fn check(&self) -> Result<(), String>;
}

/// Sidecars on sockets: the first `real` ones are processes of the program, the others hollow.
pub struct SocketSidecars {
    processes: Processes,
    real: usize,
    sidecars: usize,
    workers: Vec<Worker>,
    memory_limit_mb: f64,
}

impl SocketSidecars {
    /// Starts the worker processes of a fleet. Real sidecars run `program`; `port` keeps concurrent runs apart.
    pub fn new(fleet: &Fleet, program: &Path, port: u16) -> Result<SocketSidecars, String> {
        let hollow = fleet.sidecars - fleet.real;
        let workers = (0..fleet.workers.min(hollow)).map(|_| Worker::start());
        Ok(SocketSidecars {
            processes: Processes::new(program, port, fleet.sockets)?,
            real: fleet.real,
            sidecars: fleet.sidecars,
            workers: workers.collect::<Result<_, _>>()?,
            memory_limit_mb: machine_memory_mb()? * MAX_MEMORY_SHARE,
        })
    }

    fn worker(&self, number: usize) -> &Worker {
        &self.workers[number % self.workers.len()]
    }
}

/// Total memory of the machine.
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
            usage.hollow.cpu_s += process_cpu_s(&worker.pid()).unwrap_or(0.0);
            usage.hollow.memory_mb += process_memory_mb(&worker.pid(), "VmRSS").unwrap_or(0.0);
        }
        usage
    }

    fn check(&self) -> Result<(), String> {
        if self.workers.iter().any(Worker::has_ended) {
            return Err("a worker process of hollow sidecars exited".into());
        }
        let usage = self.usage();
        let own = process_memory_mb("self", "VmRSS").unwrap_or(0.0);
        check_memory(usage.real.memory_mb + usage.hollow.memory_mb + own, self.memory_limit_mb)
    }
}

fn check_memory(used_mb: f64, limit_mb: f64) -> Result<(), String> {
    if used_mb > limit_mb {
        return Err(format!("{used_mb:.0} MB used, more than half of the machine's memory"));
    }
    Ok(())
}

/// Sidecars as tasks over in-memory streams, in virtual time.
pub struct MemorySidecars {
    memory: Memory,
    in_process: InProcess,
    origin: Instant,
    epoch_ms: f64,
    memory_limit_mb: f64,
}

impl MemorySidecars {
    /// A host without sidecars; `epoch_ms` is the current Unix time.
    pub fn new(memory: Memory, epoch_ms: f64) -> Result<MemorySidecars, String> {
        let memory_limit_mb = machine_memory_mb()? * MAX_MEMORY_SHARE;
        let (in_process, origin) = (InProcess::default(), Instant::now());
        Ok(MemorySidecars { memory, in_process, origin, epoch_ms, memory_limit_mb })
    }
}

impl Sidecars for MemorySidecars {
    fn start(&self, number: usize, config: &Value) -> Result<(), String> {
        let clock = Clock::simulated(self.epoch_ms + self.origin.elapsed().as_secs_f64() * 1e3);
        let network = MemoryNetwork { memory: self.memory.clone(), open_streams: Rc::new(Cell::new(0)) };
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
        check_memory(process_memory_mb("self", "VmRSS").unwrap_or(0.0), self.memory_limit_mb)
    }
}
