//! Signals that ask the program to end.

use std::io;
use tokio::signal::unix::{signal, SignalKind};

/// Waits for SIGTERM or, from a terminal, SIGINT.
pub async fn asked_to_end() -> io::Result<()> {
    let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}
