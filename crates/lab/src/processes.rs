//! Runs sidecars as processes, and reads the CPU time and memory of processes from the kernel.

use roseproxy_emulator::simulation::{Sidecars, Signal};
use serde_json::Value;
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Clock ticks per second in `/proc/PID/stat`; Linux fixes this at 100 for user space.
const CLOCK_TICKS_PER_S: f64 = 100.0;

struct Process {
    child: Child,
    file: PathBuf,
}

/// Sidecar processes, each with its configuration file in a temporary folder of this run.
pub struct Processes {
    program: PathBuf,
    folder: PathBuf,
    sockets: usize,
    running: RefCell<Vec<Option<Process>>>,
    /// CPU time of all stopped processes together (s), and the highest peak memory of one of them (MB).
    stopped_usage: RefCell<(f64, f64)>,
}

/// CPU time of a process (s), from `/proc/PID/stat`.
pub fn process_cpu_s(pid: &str) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The program name in parentheses may contain spaces, so fields are counted from the closing one.
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
    Some((ticks(11)? + ticks(12)?) / CLOCK_TICKS_PER_S)
}

/// A memory value of a process (MB) by its name in `/proc/PID/status`.
pub fn process_memory_mb(pid: &str, name: &str) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|l| l.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse::<f64>().ok().map(|kb| kb / 1024.0)
}

/// CPU time of this process (s).
pub fn own_cpu_s() -> f64 {
    process_cpu_s("self").unwrap_or(0.0)
}

/// Peak memory of this process so far (MB).
pub fn own_peak_memory_mb() -> f64 {
    process_memory_mb("self", "VmHWM").unwrap_or(0.0)
}

impl Processes {
    /// Creates the temporary folder; starts no process. `port` keeps the folders of concurrent runs apart.
    pub fn new(program: &Path, port: u16, sockets: usize) -> Result<Processes, String> {
        let folder = std::env::temp_dir().join(format!("roseproxy-lab-{}-{port}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let program = program.canonicalize().map_err(|e| format!("{}: {e}", program.display()))?;
        Ok(Processes {
            program,
            folder,
            sockets,
            running: RefCell::default(),
            stopped_usage: RefCell::default(),
        })
    }

    /// Kills all processes. Returns the CPU time of all processes of the run (s) and the highest peak memory of
    /// one of them (MB).
    pub fn stop_all(&self) -> (f64, f64) {
        for process in self.running.borrow_mut().iter_mut().flatten() {
            self.stop(process);
        }
        *self.stopped_usage.borrow()
    }

    /// CPU time (s) and resident memory (MB) of a running sidecar.
    pub fn usage(&self, number: usize) -> Option<(f64, f64)> {
        let running = self.running.borrow();
        let pid = running.get(number)?.as_ref()?.child.id().to_string();
        Some((process_cpu_s(&pid)?, process_memory_mb(&pid, "VmRSS")?))
    }

    fn record_usage(&self, process: &mut Process) {
        let pid = process.child.id().to_string();
        let mut stopped_usage = self.stopped_usage.borrow_mut();
        stopped_usage.0 += process_cpu_s(&pid).unwrap_or(0.0);
        stopped_usage.1 = stopped_usage.1.max(process_memory_mb(&pid, "VmHWM").unwrap_or(0.0));
    }

    fn send_signal(&self, process: &Process, name: &str) {
        // Uses the kill command: the standard library can send SIGKILL only.
        let status =
            Command::new("kill").arg(format!("-{name}")).arg(process.child.id().to_string()).status();
        if !status.is_ok_and(|s| s.success()) {
            tracing::warn!(name, "signal could not be sent to a sidecar");
        }
    }

    fn stop(&self, process: &mut Process) {
        self.record_usage(process);
        // kill fails if the process has already exited; wait still reaps it.
        let _ = process.child.kill();
        let _ = process.child.wait();
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for process in self.running.borrow_mut().iter_mut().flatten() {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Sidecars for Processes {
    fn start(&self, number: usize, config: &Value) -> Result<(), String> {
        let file = self.folder.join(format!("sidecar-{number}.json"));
        std::fs::write(&file, config.to_string()).map_err(|e| format!("{}: {e}", file.display()))?;
        let log = std::fs::File::create(self.folder.join(format!("sidecar-{number}.log")));
        let log = log.map_or(Stdio::null(), Stdio::from);
        // The shell sets the descriptor limit and then replaces itself with the program.
        let child = Command::new("sh")
            .arg("-c")
            .arg(format!("ulimit -n {}; exec \"$0\"", self.sockets))
            .arg(&self.program)
            .env("LB_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        let child = child.map_err(|e| format!("{}: {e}", self.program.display()))?;
        let mut running = self.running.borrow_mut();
        if running.len() <= number {
            running.resize_with(number + 1, || None);
        }
        running[number] = Some(Process { child, file });
        Ok(())
    }

    fn signal(&self, number: usize, signal: Signal) {
        let mut running = self.running.borrow_mut();
        let Some(Some(process)) = running.get_mut(number) else { return };
        match signal {
            Signal::Term => self.send_signal(process, "TERM"),
            Signal::Reload(config) => {
                // Replaces the file by rename, as operators are told to, so that no half-written file is read.
                let new_file = process.file.with_extension("new");
                let written = std::fs::write(&new_file, config.to_string());
                if written.and_then(|()| std::fs::rename(&new_file, &process.file)).is_ok() {
                    self.send_signal(process, "HUP");
                }
            }
            Signal::Kill => self.stop(process),
        }
    }

    fn ended(&self, number: usize) -> bool {
        let mut running = self.running.borrow_mut();
        let Some(Some(process)) = running.get_mut(number) else { return true };
        !matches!(process.child.try_wait(), Ok(None))
    }

    fn resource_use(&self, number: usize) -> (Option<usize>, Option<f64>) {
        let running = self.running.borrow();
        let Some(Some(process)) = running.get(number) else { return (None, None) };
        let pid = process.child.id().to_string();
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).ok().map(Iterator::count);
        (descriptors, process_memory_mb(&pid, "VmRSS"))
    }
}
