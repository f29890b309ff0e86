//! The driver on real sockets: the same day on 127.0.0.0/8 against processes of the program.

use crate::live::Live;
use crate::run::Timing;
use roseproxy_emulator::fabric::Loopback;
use roseproxy_emulator::plan::Plan;
use roseproxy_emulator::world::{Addresses, Sidecars, Signal, World};
use serde_json::Value;
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::task::LocalSet;

/// Clock ticks of the kernel's CPU figures a second (Linux: fixed at 100 for user space).
const TICKS: f64 = 100.0;

struct Process {
    child: Child,
    file: PathBuf,
}

/// Sidecars as processes.
struct Processes {
    program: PathBuf,
    folder: PathBuf,
    sockets: usize,
    running: RefCell<Vec<Option<Process>>>,
    /// CPU time of those that have ended (s), and the most memory of one (MB).
    spent: RefCell<(f64, f64)>,
}

/// CPU time (s) by the kernel's books of a process.
fn cpu(pid: &str) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name in brackets may hold blanks: fields count from behind it.
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok());
    Some((ticks(11)? + ticks(12)?) / TICKS)
}

/// A figure of a process's memory (MB).
fn memory(pid: &str, name: &str) -> Option<f64> {
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

    fn holds(&self, number: usize) -> (Option<usize>, Option<f64>) {
        let running = self.running.borrow();
        let Some(Some(process)) = running.get(number) else { return (None, None) };
        let pid = process.child.id().to_string();
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).ok().map(Iterator::count);
        (descriptors, memory(&pid, "VmRSS"))
    }
}

/// Plays a draw of a day with processes of this program.
pub fn play<T, S>(
    plan: Plan,
    program: &Path,
    show: bool,
    then: impl FnOnce(&World<Loopback>) -> (T, S),
) -> Result<(T, S, Timing), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        // A port that is free now, for all the addresses of this play.
        let free = tokio::net::TcpListener::bind("127.0.0.1:0").await.and_then(|l| l.local_addr());
        let port = free.map_err(|e| format!("no free port: {e}"))?.port();
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1e3);
        let folder = std::env::temp_dir().join(format!("roseproxy-lab-{}-{port}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let program = program.canonicalize().map_err(|e| format!("{}: {e}", program.display()))?;
        let sidecars = Rc::new(Processes {
            program,
            folder,
            sockets: plan.day.limits.sockets,
            running: RefCell::default(),
            spent: RefCell::default(),
        });
        let world = World::new(Loopback, plan, Addresses { port }, epoch, sidecars.clone());
        let shown = show.then(|| tokio::task::spawn_local(Live::default().show(world.clone())));
        world.play().await?;
        shown.iter().for_each(|s| s.abort());
        let (result, more) = then(&world);
        for process in sidecars.running.borrow_mut().iter_mut().flatten() {
            sidecars.end(process);
        }
        let (cpu_s, memory_mb) = *sidecars.spent.borrow();
        Ok((result, more, Timing { cpu_s, memory_mb, ..Timing::default() }))
    })
}
