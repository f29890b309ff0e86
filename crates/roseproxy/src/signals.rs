//! Control requests to the running sidecar, from process signals or from a channel: shutdown and reload.

use std::future::Future;
use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Handlers of the signals that control the sidecar. From installation on, a signal that arrives during startup
/// or while a configuration is being read is kept until it is handled.
#[derive(Debug)]
pub struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

/// A control request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Control {
    /// SIGTERM or, from a terminal, SIGINT: shut down gracefully.
    Shutdown,
    /// SIGHUP: the configuration was replaced.
    Reload,
}

impl Signals {
    /// Installs the handlers. Without them, each of these signals would end the process at once.
    pub fn install() -> io::Result<Signals> {
        Ok(Signals {
            term: signal(SignalKind::terminate())?,
            int: signal(SignalKind::interrupt())?,
            hup: signal(SignalKind::hangup())?,
        })
    }
}

/// A source of control requests.
pub trait ControlSource {
    /// Waits for the next control request.
    fn next(&mut self) -> impl Future<Output = Control>;
}

impl ControlSource for Signals {
    async fn next(&mut self) -> Control {
        tokio::select! {
            // If several signals are pending, shutdown takes precedence.
            biased;
            _ = self.term.recv() => Control::Shutdown,
            _ = self.int.recv() => Control::Shutdown,
            _ = self.hup.recv() => Control::Reload,
        }
    }
}

impl ControlSource for tokio::sync::mpsc::UnboundedReceiver<Control> {
    /// Waits for the next control request. A closed channel means shutdown, as the controlling side is gone.
    async fn next(&mut self) -> Control {
        self.recv().await.unwrap_or(Control::Shutdown)
    }
}
