//! Pool of idle connections to targets, kept for reuse because a handshake costs both sides.

use super::budget::Permit;
use super::connection::{Connection, ConnectionState};
use roseproxy_decision::interface::ServerId;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Share of the platform's idle timeout after which this side closes a connection: a request must
/// never cross a close by the other side.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;

/// How long a connection stays unused after an answer before it carries the next request. A
/// malformed answer may be followed by a second one some milliseconds later; if a request were
/// written in between, the second answer could not be told from the answer to that request.
pub const REUSE_DELAY_MS: f64 = 20.0;

/// An open connection together with its permit in the socket budget.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection itself.
    pub connection: Connection,
    /// The address it is connected to.
    pub address: SocketAddr,
    /// The permit for its descriptor.
    pub permit: Permit,
}

/// The idle connections, by target.
#[derive(Debug)]
pub struct Pool {
    /// Each with the time since which it has been idle, oldest first. Ordered by target so that
    /// equal runs close connections in the same order.
    idle: BTreeMap<ServerId, Vec<(f64, PooledConnection)>>,
    max_idle_ms: f64,
}

impl Pool {
    /// Creates a pool for targets that close idle connections after `target_idle_timeout_ms`.
    pub fn new(target_idle_timeout_ms: f64) -> Pool {
        Pool { idle: BTreeMap::new(), max_idle_ms: target_idle_timeout_ms * IDLE_TIMEOUT_SHARE }
    }

    /// Takes the most recently used connection to a target among those past the reuse delay, so
    /// that surplus connections expire.
    pub fn take(&mut self, now: f64, target: ServerId, address: SocketAddr) -> Option<PooledConnection> {
        let connections = self.idle.get_mut(&target)?;
        let mut reusable = connections.partition_point(|(idle_since, _)| now - idle_since >= REUSE_DELAY_MS);
        while reusable > 0 {
            reusable -= 1;
            let (idle_since, pooled) = connections.remove(reusable);
            let not_expired = now - idle_since < self.max_idle_ms;
            // A connection that the target closed, or that leads to a former address of the target,
            // is discarded.
            if not_expired && pooled.address == address && pooled.connection.state() == ConnectionState::Idle
            {
                return Some(pooled);
            }
        }
        None
    }

    /// Adds an idle connection to the pool.
    pub fn put(&mut self, now: f64, target: ServerId, pooled: PooledConnection) {
        self.idle.entry(target).or_default().push((now, pooled));
    }

    /// Closes connections that have been idle for too long or that the target has closed.
    pub fn close_expired(&mut self, now: f64) {
        let max_idle_ms = self.max_idle_ms;
        self.idle.retain(|_, connections| {
            connections.retain(|(idle_since, pooled)| {
                now - idle_since < max_idle_ms && pooled.connection.state() == ConnectionState::Idle
            });
            !connections.is_empty()
        });
    }

    /// Closes all idle connections to one target.
    pub fn close_target(&mut self, target: ServerId) {
        self.idle.remove(&target);
    }

    /// Closes the connection that has been idle longest to free its descriptor; returns false if
    /// the pool is empty.
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

    /// The number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Whether the pool is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
