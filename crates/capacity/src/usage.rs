//! Processor time and memory as accounted by the kernel.

use rustix::time::{clock_gettime, ClockId};
use serde::Serialize;
use std::path::Path;

/// Returns the processor time that this thread has used, in microseconds. It does not advance while other
/// threads or processes have the core.
pub fn thread_cpu_us() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// Processor time and memory of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Processor time of the process's first thread, in microseconds.
    pub cpu_us: f64,
    /// Time that this thread was ready to run and waited for a core, in microseconds.
    pub wait_us: f64,
    /// Resident memory, in kB.
    pub resident_kb: f64,
    /// Peak of the resident memory, in kB.
    pub peak_kb: f64,
}

impl Usage {
    /// Reads the usage of a process with one thread; `None` if the process has ended.
    pub fn of_process(pid: u32) -> Option<Usage> {
        let folder = Path::new("/proc").join(pid.to_string());
        let scheduler = std::fs::read_to_string(folder.join("schedstat")).ok()?;
        let mut times = scheduler.split_whitespace().filter_map(|t| t.parse::<f64>().ok());
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        Some(Usage {
            cpu_us: times.next()? / 1e3,
            wait_us: times.next()? / 1e3,
            resident_kb: parse_status_kb(&status, "VmRSS:")?,
            peak_kb: parse_status_kb(&status, "VmHWM:")?,
        })
    }

    /// Returns the processor and waiting time since an earlier reading; memory is that of this reading.
    pub fn since(&self, earlier: &Usage) -> Usage {
        Usage { cpu_us: self.cpu_us - earlier.cpu_us, wait_us: self.wait_us - earlier.wait_us, ..*self }
    }
}

/// Parses a figure of `/proc/PID/status`, in kB.
pub fn parse_status_kb(status: &str, name: &str) -> Option<f64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Returns the load average of the machine over the last minute, or NaN if it cannot be read.
pub fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().and_then(|t| t.parse().ok()).unwrap_or(f64::NAN)
}
