//! Processor time and memory by the kernel's accounts.

use rustix::time::{clock_gettime, ClockId};
use serde::Serialize;
use std::path::Path;

/// Processor time that this thread has used, in microseconds. It stands still while other threads
/// or processes have the core.
pub fn thread_micros() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// What one process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Processor time of its first thread, in microseconds.
    pub cpu_us: f64,
    /// Time that this thread was ready to run and waited for a core, in microseconds.
    pub wait_us: f64,
    /// Memory resident now, in kB.
    pub resident_kb: f64,
    /// The most memory that was resident, in kB.
    pub peak_kb: f64,
}

impl Usage {
    /// Reads the accounts of a process with one thread; `None` where it has ended.
    pub fn of(pid: u32) -> Option<Usage> {
        let folder = Path::new("/proc").join(pid.to_string());
        let scheduler = std::fs::read_to_string(folder.join("schedstat")).ok()?;
        let mut times = scheduler.split_whitespace().filter_map(|t| t.parse::<f64>().ok());
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        Some(Usage {
            cpu_us: times.next()? / 1e3,
            wait_us: times.next()? / 1e3,
            resident_kb: status_kb(&status, "VmRSS:")?,
            peak_kb: status_kb(&status, "VmHWM:")?,
        })
    }

    /// What was used since an earlier reading; memory is that of this reading.
    pub fn since(&self, earlier: &Usage) -> Usage {
        Usage { cpu_us: self.cpu_us - earlier.cpu_us, wait_us: self.wait_us - earlier.wait_us, ..*self }
    }
}

/// A figure of `/proc/PID/status`, in kB.
pub fn status_kb(status: &str, name: &str) -> Option<f64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}

/// The load average of the machine over the last minute; NaN where it cannot be read.
pub fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().and_then(|t| t.parse().ok()).unwrap_or(f64::NAN)
}
