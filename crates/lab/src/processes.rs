//! Sidecars as processes, and what the kernel says of a process.

use roseproxy_emulator::world::{Sidecars, Signal};
use serde_json::Value;
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Clock ticks of the kernel's CPU figures a second (Linux: fixed at 100 for user space).
const TICKS: f64 = 100.0;

struct Process {
    child: Child,
    file: PathBuf,
}

/// Sidecars as processes of the program, each with its configuration file in a folder of this run.
pub struct Processes {
    program: PathBuf,
    folder: PathBuf,
    sockets: usize,
    running: RefCell<Vec<Option<Process>>>,
    /// CPU time of those that have ended (s), and the most memory of one (MB).
    spent: RefCell<(f64, f64)>,
}

/// CPU time (s) by the kernel's books of a process.
pub fn cpu(pid: &str) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name in brackets may hold blanks: fields count from behind it.
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok());
    Some((ticks(11)? + ticks(12)?) / TICKS)
}

/// A figure of a process's memory (MB).
pub fn memory(pid: &str, name: &str) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|l| l.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse::<f64>().ok().map(|kb| kb / 1024.0)
}

/// CPU time of this process (s).
pub fn own_cpu() -> f64 {
    cpu("self").unwrap_or(0.0)
}

/// Most memory of this process so far (MB).
pub fn own_memory() -> f64 {
    memory("self", "VmHWM").unwrap_or(0.0)
}

impl Processes {
    /// Processes of this program, none of them started; `port` tells the folders of concurrent runs apart.
    pub fn new(program: &Path, port: u16, sockets: usize) -> Result<Processes, String> {
        let folder = std::env::temp_dir().join(format!("roseproxy-lab-{}-{port}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let program = program.canonicalize().map_err(|e| format!("{}: {e}", program.display()))?;
        Ok(Processes { program, folder, sockets, running: RefCell::default(), spent: RefCell::default() })
    }

    /// Ends all of them. Returns the CPU time of all processes of the run (s) and the most memory of one (MB).
    pub fn end_all(&self) -> (f64, f64) {
        for process in self.running.borrow_mut().iter_mut().flatten() {
            self.end(process);
        }
        *self.spent.borrow()
    }

    /// CPU time (s) and resident memory (MB) of a running sidecar.
    pub fn usage(&self, number: usize) -> Option<(f64, f64)> {
        let running = self.running.borrow();
        let pid = running.get(number)?.as_ref()?.child.id().to_string();
        Some((cpu(&pid)?, memory(&pid, "VmRSS")?))
    }

    fn collect(&self, process: &mut Process) {
        let pid = process.child.id().to_string();
        let mut spent = self.spent.borrow_mut();
        spent.0 += cpu(&pid).unwrap_or(0.0);
        spent.1 = spent.1.max(memory(&pid, "VmHWM").unwrap_or(0.0));
    }

    fn tell(&self, process: &Process, name: &str) {
        // The shell's own kill: the standard library sends no signal but the last.
        let told = Command::new("kill").arg(format!("-{name}")).arg(process.child.id().to_string()).status();
        if !told.is_ok_and(|s| s.success()) {
            tracing::warn!(name, "a sidecar could not be told");
        }
    }

    fn end(&self, process: &mut Process) {
        self.collect(process);
        // One that has ended is only waited for.
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
        // The shell sets the limit of descriptors and becomes the program.
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
            Signal::Term => self.tell(process, "TERM"),
            Signal::Reload(config) => {
                // Replaced whole, as operators are told to: half a file is never read.
                let fresh = process.file.with_extension("new");
                let written = std::fs::write(&fresh, config.to_string());
                if written.and_then(|()| std::fs::rename(&fresh, &process.file)).is_ok() {
                    self.tell(process, "HUP");
                }
            }
            Signal::Kill => self.end(process),
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
        (descriptors, memory(&pid, "VmRSS"))
    }
}
