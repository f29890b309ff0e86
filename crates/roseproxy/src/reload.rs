//! Applies a configuration file that was replaced while the sidecar runs.

use super::config::{Config, ConfigError};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

/// Keys whose changes take effect only at the next start, because sockets are bound, resources are divided
/// or decisions are learned according to them.
const RESTART_KEYS: [&str; 4] = ["name", "listen", "limits", "settings"];

/// Counts of the reloads by result.
#[derive(Debug, Default)]
pub struct ReloadCounts {
    /// Configurations applied.
    pub applied: Cell<u64>,
    /// Configurations that were faulty or could not be read; the current one stayed in force.
    pub faulty: Cell<u64>,
}

impl ReloadCounts {
    /// The counts with the names under which they are published.
    pub fn by_name(&self) -> [(String, u64); 2] {
        [("reloads".into(), self.applied.get()), ("reloads_faulty".into(), self.faulty.get())]
    }
}

/// Pause before an unreadable file is read again for the first time. It doubles with each further failure.
const FIRST_RETRY_MS: f64 = 50.0;
/// Longest pause before an unreadable file is read again.
const MAX_RETRY_MS: f64 = 1_000.0;
/// Limits the doubling of the pause, so that it cannot overflow.
const MAX_DOUBLINGS: u32 = 8;
/// How often in a row an unreadable file is read before the reload is given up.
const MAX_READS: u32 = 40;

/// The result of an attempt to reload the configuration.
#[derive(Debug, PartialEq)]
pub struct ReloadResult {
    /// A line for the log, if there is anything to report.
    pub log_line: Option<String>,
    /// Pause after which the file is to be read again, if it could not be read.
    pub retry_in_ms: Option<f64>,
}

/// Moves the running sidecar from one configuration to the next. Flows, connections, the current list and
/// the learned state are kept; only the address of discovery changes.
#[derive(Debug)]
pub struct Reload {
    current: Config,
    discovery: watch::Sender<SocketAddr>,
    counts: Rc<ReloadCounts>,
    /// How often in a row the file could not be read.
    failed_reads: u32,
}

impl Reload {
    /// Begins with the configuration of the start. The receiver follows the address of discovery.
    pub fn new(current: Config) -> (Reload, watch::Receiver<SocketAddr>) {
        let (discovery, receiver) = watch::channel(current.discovery);
        (Reload { current, discovery, counts: Rc::default(), failed_reads: 0 }, receiver)
    }

    /// The counts of reloads, which stay up to date.
    pub fn counts(&self) -> Rc<ReloadCounts> {
        self.counts.clone()
    }

    /// The configuration in force.
    pub fn current(&self) -> &Config {
        &self.current
    }

    /// Applies a configuration completely or not at all. A file that could not be read has to be read again,
    /// because no second signal will announce the replacement.
    pub fn apply(&mut self, read: Result<Config, ConfigError>) -> ReloadResult {
        let failed_reads = std::mem::take(&mut self.failed_reads);
        match read {
            Ok(next) => ReloadResult { log_line: Some(self.switch_to(next)), retry_in_ms: None },
            Err(reason @ (ConfigError::Unreadable { .. } | ConfigError::Incomplete(_)))
                if failed_reads + 1 < MAX_READS =>
            {
                self.failed_reads = failed_reads + 1;
                let log_line = (failed_reads == 0).then(|| self.describe_retry(&reason));
                let pause = FIRST_RETRY_MS * f64::from(1 << failed_reads.min(MAX_DOUBLINGS));
                ReloadResult { log_line, retry_in_ms: Some(pause.min(MAX_RETRY_MS)) }
            }
            // An incomplete file was counted and logged at the first read.
            Err(ConfigError::Incomplete(_)) if failed_reads > 0 => {
                ReloadResult { log_line: None, retry_in_ms: None }
            }
            Err(reason) => {
                // A partly written or invalid file must not stop a serving sidecar, so the current one stays.
                self.counts.faulty.set(self.counts.faulty.get() + 1);
                let log_line = format!("configuration rejected, keeping the current one: {reason}");
                ReloadResult { log_line: Some(log_line), retry_in_ms: None }
            }
        }
    }

    /// Describes the first failed read for the log, and counts an incomplete file as faulty.
    fn describe_retry(&self, reason: &ConfigError) -> String {
        if let ConfigError::Incomplete(_) = reason {
            self.counts.faulty.set(self.counts.faulty.get() + 1);
            return format!(
                "configuration rejected, keeping the current one and reading the file again: {reason}"
            );
        }
        format!("configuration cannot be read, reading the file again: {reason}")
    }

    /// Makes a configuration the current one, and describes the change for the log.
    fn switch_to(&mut self, next: Config) -> String {
        self.counts.applied.set(self.counts.applied.get() + 1);
        let moved = self
            .discovery
            .send_if_modified(|address| std::mem::replace(address, next.discovery) != next.discovery);
        let differs = |key: &&&str| self.current.file.get(**key) != next.file.get(**key);
        let at_restart: Vec<&str> = RESTART_KEYS.iter().filter(differs).copied().collect();
        let discovery = next.discovery;
        // Only the address is replaced, so that each later reload names the keys that still wait for a restart.
        self.current.discovery = discovery;
        let moved = if moved { "moved to" } else { "still at" };
        let mut log_line = format!("configuration reloaded, discovery {moved} {discovery}");
        if !at_restart.is_empty() {
            log_line += &format!("; changes that take effect at the next start: {}", at_restart.join(", "));
        }
        log_line
    }
}
