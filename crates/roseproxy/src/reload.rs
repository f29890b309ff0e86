//! Takes over a configuration that was replaced while the program runs.

use super::config::{Config, ConfigError};
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

/// How long until a file is tried again that could not be read (ms): at first, and at most.
const RETRY: (f64, f64) = (50.0, 1_000.0);
/// How often in a row it is tried.
const MOST_TRIES: u32 = 40;

/// What came of a configuration that was read.
#[derive(Debug, PartialEq)]
pub struct Taken {
    /// A line for the log, where there is something to say.
    pub said: Option<String>,
    /// When the file is to be read again (ms from now), as it could not be.
    pub again_in: Option<f64>,
}

/// Moves the running program from one configuration to the next. Flows, connections, the list in hand
/// and all that was learnt stay as they are: only the watch on discovery moves.
#[derive(Debug)]
pub struct Reload {
    in_force: Config,
    discovery: watch::Sender<SocketAddr>,
    counts: Rc<Reloads>,
    /// How often in a row the file could not be read.
    unreadable: u32,
}

impl Reload {
    /// From the configuration that the program started with; what follows discovery's address gets
    /// the receiver.
    pub fn new(in_force: Config) -> (Reload, watch::Receiver<SocketAddr>) {
        let (discovery, receiver) = watch::channel(in_force.discovery);
        (Reload { in_force, discovery, counts: Rc::default(), unreadable: 0 }, receiver)
    }

    /// What it counts.
    pub fn counts(&self) -> Rc<Reloads> {
        self.counts.clone()
    }

    /// The configuration in force.
    pub fn in_force(&self) -> &Config {
        &self.in_force
    }

    /// Takes over what was read, whole or not at all. A file that could not be read is to be tried again: it was
    /// replaced, and nobody will say so once more.
    pub fn take(&mut self, read: Result<Config, ConfigError>) -> Taken {
        let tries = std::mem::take(&mut self.unreadable);
        match read {
            Ok(next) => Taken { said: Some(self.take_over(next)), again_in: None },
            Err(reason @ (ConfigError::Unreadable { .. } | ConfigError::Incomplete(_)))
                if tries + 1 < MOST_TRIES =>
            {
                self.unreadable = tries + 1;
                let said = (tries == 0).then(|| self.waits_for(&reason));
                let pause = RETRY.0 * f64::from(1 << tries.min(8));
                Taken { said, again_in: Some(pause.min(RETRY.1)) }
            }
            // One that ended too early was counted when it was read first.
            Err(ConfigError::Incomplete(_)) if tries > 0 => Taken { said: None, again_in: None },
            Err(reason) => {
                // A file half replaced or mistyped must not end what serves: the old one stays.
                self.counts.faulty.set(self.counts.faulty.get() + 1);
                let said = format!("configuration not taken over, the one before stays: {reason}");
                Taken { said: Some(said), again_in: None }
            }
        }
    }

    /// Counts and names what has to be read again, as it is the first time.
    fn waits_for(&self, reason: &ConfigError) -> String {
        if let ConfigError::Incomplete(_) = reason {
            self.counts.faulty.set(self.counts.faulty.get() + 1);
            return format!("configuration not taken over, the one before stays until it is whole: {reason}");
        }
        format!("configuration cannot be read, is tried again: {reason}")
    }

    fn take_over(&mut self, next: Config) -> String {
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
