//! Signals: to end, and to read the configuration again.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The signals that the program heeds, caught from the moment this is made: one that comes while the
/// program still starts, or while it reads a configuration, is found waiting.
#[derive(Debug)]
pub struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    /// SIGTERM or, from a terminal, SIGINT: end in order.
    End,
    /// SIGHUP: the configuration was replaced.
    Reload,
}

impl Signals {
    /// Catches them. Left alone, each of them would end the program at once.
    pub fn catch() -> io::Result<Signals> {
        Ok(Signals {
            term: signal(SignalKind::terminate())?,
            int: signal(SignalKind::interrupt())?,
            hup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next one.
    pub async fn next(&mut self) -> Asked {
        tokio::select! {
            // The end wins where both wait.
            biased;
            _ = self.term.recv() => Asked::End,
            _ = self.int.recv() => Asked::End,
            _ = self.hup.recv() => Asked::Reload,
        }
    }
}
