//! Idle connections to targets, kept for the next request: a handshake costs both sides.

use super::budget::Permit;
use super::connection::{Connection, ConnectionState};
use roseproxy_decision::interface::ServerId;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Share of the platform's idle time after which this side closes first: a request must never meet
/// the other side's close.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;

/// How long a connection rests after an answer before it carries the next request (ms). A spoilt answer may be followed by
/// a second one some milliseconds late; behind a request written meanwhile nothing tells it from the answer to that.
pub const REUSE_DELAY_MS: f64 = 20.0;

/// An open connection with its place in the budget.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection.
    pub connection: Connection,
    /// Where it leads.
    pub address: SocketAddr,
    /// Its descriptor.
    pub permit: Permit,
}

/// The idle connections.
#[derive(Debug)]
pub struct Pool {
    /// In a fixed order, so that equal runs close them in the same one.
    idle: BTreeMap<ServerId, Vec<(f64, PooledConnection)>>,
    max_idle_ms: f64,
}

impl Pool {
    /// A pool for targets that close idle connections after so many milliseconds.
    pub fn new(target_idle_timeout_ms: f64) -> Pool {
        Pool { idle: BTreeMap::new(), max_idle_ms: target_idle_timeout_ms * IDLE_TIMEOUT_SHARE }
    }

    /// The connection to a target that was used last, of those that have rested, so that those not needed grow old.
    pub fn take(&mut self, now: f64, target: ServerId, address: SocketAddr) -> Option<PooledConnection> {
        let connections = self.idle.get_mut(&target)?;
        let mut rested = connections.partition_point(|(idle_since, _)| now - idle_since >= REUSE_DELAY_MS);
        while rested > 0 {
            rested -= 1;
            let (idle_since, pooled) = connections.remove(rested);
            let not_expired = now - idle_since < self.max_idle_ms;
            // One that the target closed, or that leads to where it stood before, is of no use.
            if not_expired && pooled.address == address && pooled.connection.state() == ConnectionState::Idle
            {
                return Some(pooled);
            }
        }
        None
    }

    /// Keeps a connection for later.
    pub fn put(&mut self, now: f64, target: ServerId, pooled: PooledConnection) {
        self.idle.entry(target).or_default().push((now, pooled));
    }

    /// Closes those that have stood idle for long, or that the target has closed.
    pub fn close_expired(&mut self, now: f64) {
        let max_idle_ms = self.max_idle_ms;
        self.idle.retain(|_, connections| {
            connections.retain(|(idle_since, pooled)| {
                now - idle_since < max_idle_ms && pooled.connection.state() == ConnectionState::Idle
            });
            !connections.is_empty()
        });
    }

    /// Closes those to one target.
    pub fn close_target(&mut self, target: ServerId) {
        self.idle.remove(&target);
    }

    /// Closes the one idle longest, to free its descriptor; false where there is none.
    pub fn evict_oldest(&mut self) -> bool {
        let oldest = |connections: &Vec<(f64, PooledConnection)>| {
            connections.first().map_or(f64::INFINITY, |(idle_since, _)| *idle_since)
        };
        let connections = self.idle.values_mut().filter(|c| !c.is_empty());
        let Some(connections) = connections.min_by(|a, b| oldest(a).total_cmp(&oldest(b))) else {
            return false;
        };
        connections.remove(0);
        true
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
