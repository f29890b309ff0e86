//! Opens connections and decides whether a failure is local or the target's.

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

/// Delay before the first retry of a connect that failed for a local reason; it doubles with each
/// retry.
const FIRST_RETRY_DELAY_MS: f64 = 5.0;
/// Longest delay between retries.
const MAX_RETRY_DELAY_MS: f64 = 40.0;

/// Why a connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// The connection failed for a reason on this machine, which says nothing about the other side.
    Local,
    /// The other side refused the connection or did not accept it in time.
    Remote,
}

/// Where a connect error comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ErrorOrigin {
    /// A shortage of descriptors, memory, watches or ports on this machine, a local firewall rule,
    /// or a signal.
    Local,
    /// No route to the address, which may be temporary.
    NoRoute,
    /// A response of the other side.
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

/// Opens a connection within `timeout_ms`. A connect that fails for a local reason or for lack of a
/// route is retried until then.
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
