//! Opening connections, and whose fault it is where that fails.

use super::connection::Connection;
use super::errno::{
    EACCES, EADDRINUSE, EADDRNOTAVAIL, EAGAIN, EINTR, EMFILE, ENETDOWN, ENETUNREACH, ENFILE, ENOBUFS, ENOMEM,
    ENOSPC, EPERM,
};
use super::length;
use super::network::Network;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How long to wait before a connect is tried again that failed here (ms): at first, and at most.
const RETRY: (f64, f64) = (5.0, 40.0);

/// Why no connection came up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// This machine could not make it; that tells nothing of the other side.
    Here,
    /// The other side refused it, or did not come up in time.
    There,
}

/// What an error of a connect means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Meaning {
    /// Descriptors, memory, watches or ports are out here, a rule of this machine forbids it, or a signal came.
    Short,
    /// No way leads there, which may be so for a moment.
    NoWay,
    /// The other side's answer.
    Answer,
}

fn meaning(error: &io::Error) -> Meaning {
    match error.raw_os_error() {
        Some(EINTR | EAGAIN | ENOMEM | ENFILE | EMFILE | ENOSPC | ENOBUFS) => Meaning::Short,
        Some(EADDRINUSE | EADDRNOTAVAIL | EACCES | EPERM) => Meaning::Short,
        Some(ENETDOWN | ENETUNREACH) => Meaning::NoWay,
        _ => Meaning::Answer,
    }
}

/// Opens a connection within a time (ms). A connect that fails here is tried again for as long.
pub async fn connect<N: Network>(
    network: &N,
    address: SocketAddr,
    within: f64,
) -> Result<Connection, ConnectError> {
    let until = Instant::now() + length(within);
    let mut pause = RETRY.0;
    loop {
        let opened = tokio::time::timeout_at(until, open(network, address)).await;
        let error = match opened {
            Ok(Ok(connection)) => return Ok(connection),
            Ok(Err(error)) => error,
            Err(_) => return Err(ConnectError::There),
        };
        let failed = match meaning(&error) {
            Meaning::Answer => return Err(ConnectError::There),
            Meaning::NoWay => ConnectError::There,
            Meaning::Short => ConnectError::Here,
        };
        if left(until) <= length(pause) {
            return Err(failed);
        }
        tokio::time::sleep(length(pause)).await;
        pause = (pause * 2.0).min(RETRY.1);
    }
}

fn left(until: Instant) -> Duration {
    until.saturating_duration_since(Instant::now())
}

async fn open<N: Network>(network: &N, address: SocketAddr) -> io::Result<Connection> {
    let (stream, peek) = network.connect(address).await?;
    Connection::start(stream, peek).await.map_err(io::Error::other)
}
