//! Takes over a configuration that was replaced while the program runs.

use super::config::Config;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

/// Keys whose change waits for the next start: what they stand for is bound, shared out or learnt by.
const AT_START: [&str; 4] = ["name", "listen", "limits", "settings"];

/// How often it was asked for, and how often that changed nothing because the file was faulty.
#[derive(Debug, Default)]
pub struct Reloads {
    /// Configurations taken over.
    pub taken: Cell<u64>,
    /// Configurations that could not be read; the one before stayed in force.
    pub faulty: Cell<u64>,
}

impl Reloads {
    /// The counts by name.
    pub fn lines(&self) -> [(String, u64); 2] {
        [("reloads".into(), self.taken.get()), ("reloads_faulty".into(), self.faulty.get())]
    }
}

/// Moves the running program from one configuration to the next. Flows, connections, the list in hand
/// and all that was learnt stay as they are: only the watch on discovery moves.
#[derive(Debug)]
pub struct Reload {
    in_force: Config,
    discovery: watch::Sender<SocketAddr>,
    counts: Rc<Reloads>,
}

impl Reload {
    /// From the configuration that the program started with; what follows discovery's address gets
    /// the receiver.
    pub fn new(in_force: Config) -> (Reload, watch::Receiver<SocketAddr>) {
        let (discovery, receiver) = watch::channel(in_force.discovery);
        (Reload { in_force, discovery, counts: Rc::default() }, receiver)
    }

    /// What it counts.
    pub fn counts(&self) -> Rc<Reloads> {
        self.counts.clone()
    }

    /// The configuration in force.
    pub fn in_force(&self) -> &Config {
        &self.in_force
    }

    /// Takes over what was read, whole or not at all; says what came of it, in a line for the log.
    pub fn take(&mut self, read: Result<Config, String>) -> String {
        let next = match read {
            Ok(next) => next,
            Err(reason) => {
                // A file half replaced or mistyped must not end what serves: the old one stays.
                self.counts.faulty.set(self.counts.faulty.get() + 1);
                return format!("configuration not taken over, the one before stays: {reason}");
            }
        };
        self.counts.taken.set(self.counts.taken.get() + 1);
        let moved = self
            .discovery
            .send_if_modified(|address| std::mem::replace(address, next.discovery) != next.discovery);
        let differs = |key: &&&str| self.in_force.file.get(**key) != next.file.get(**key);
        let waiting: Vec<&str> = AT_START.iter().filter(differs).copied().collect();
        let discovery = next.discovery;
        // What waits for the next start is named again by each reload until then.
        self.in_force.discovery = discovery;
        let moved = if moved { "moved to" } else { "still at" };
        let mut said = format!("configuration taken over, discovery {moved} {discovery}");
        if !waiting.is_empty() {
            said += &format!("; changed, and waiting for the next start: {}", waiting.join(", "));
        }
        said
    }
}
