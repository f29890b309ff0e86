//! Opening connections, and whose fault it is where that fails.

use super::connection::Connection;
use super::duration_from_ms;
use super::errno::{
    EACCES, EADDRINUSE, EADDRNOTAVAIL, EAGAIN, EINTR, EMFILE, ENETDOWN, ENETUNREACH, ENFILE, ENOBUFS, ENOMEM,
    ENOSPC, EPERM,
};
use super::network::Network;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How long to wait before a connect is tried again that failed here (ms): at first, and at most.
const FIRST_RETRY_DELAY_MS: f64 = 5.0;
const MAX_RETRY_DELAY_MS: f64 = 40.0;

/// Why no connection came up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// This machine could not make it; that tells nothing of the other side.
    Local,
    /// The other side refused it, or did not come up in time.
    Remote,
}

/// What an error of a connect means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ErrorOrigin {
    /// Descriptors, memory, watches or ports are out here, a rule of this machine forbids it, or a signal came.
    Local,
    /// No way leads there, which may be so for a moment.
    NoRoute,
    /// The other side's answer.
    Remote,
}

fn classify(error: &io::Error) -> ErrorOrigin {
    match error.raw_os_error() {
        Some(EINTR | EAGAIN | ENOMEM | ENFILE | EMFILE | ENOSPC | ENOBUFS) => ErrorOrigin::Local,
        Some(EADDRINUSE | EADDRNOTAVAIL | EACCES | EPERM) => ErrorOrigin::Local,
        Some(ENETDOWN | ENETUNREACH) => ErrorOrigin::NoRoute,
        _ => ErrorOrigin::Remote,
    }
}

/// Opens a connection within a time (ms). A connect that fails here is tried again for as long.
pub async fn connect<N: Network>(
    network: &N,
    address: SocketAddr,
    timeout_ms: f64,
) -> Result<Connection, ConnectError> {
    let deadline = Instant::now() + duration_from_ms(timeout_ms);
    let mut retry_delay = FIRST_RETRY_DELAY_MS;
    loop {
        let opened = tokio::time::timeout_at(deadline, open(network, address)).await;
        let error = match opened {
            Ok(Ok(connection)) => return Ok(connection),
            Ok(Err(error)) => error,
            Err(_) => return Err(ConnectError::Remote),
        };
        let failure = match classify(&error) {
            ErrorOrigin::Remote => return Err(ConnectError::Remote),
            ErrorOrigin::NoRoute => ConnectError::Remote,
            ErrorOrigin::Local => ConnectError::Local,
        };
        if time_left(deadline) <= duration_from_ms(retry_delay) {
            return Err(failure);
        }
        tokio::time::sleep(duration_from_ms(retry_delay)).await;
        retry_delay = (retry_delay * 2.0).min(MAX_RETRY_DELAY_MS);
    }
}

fn time_left(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

async fn open<N: Network>(network: &N, address: SocketAddr) -> io::Result<Connection> {
    let (stream, peek) = network.connect(address).await?;
    Connection::start(stream, peek).await.map_err(io::Error::other)
}
