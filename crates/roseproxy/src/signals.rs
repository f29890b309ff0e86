//! Signals: to end, and to read the configuration again.

use std::future::Future;
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
}

/// Where the program hears what it is asked for.
pub trait Asking {
    /// Waits for the next thing asked.
    fn next(&mut self) -> impl Future<Output = Asked>;
}

impl Asking for Signals {
    async fn next(&mut self) -> Asked {
        tokio::select! {
            // The end wins where both wait.
            biased;
            _ = self.term.recv() => Asked::End,
            _ = self.int.recv() => Asked::End,
            _ = self.hup.recv() => Asked::Reload,
        }
    }
}

impl Asking for tokio::sync::mpsc::UnboundedReceiver<Asked> {
    /// Who holds the program in hand has let go of it: it ends.
    async fn next(&mut self) -> Asked {
        self.recv().await.unwrap_or(Asked::End)
    }
}
