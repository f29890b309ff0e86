//! Idle connections to targets, kept for the next request: a handshake costs both sides.

use super::budget::Permit;
use super::connection::{Connection, State};
use roseproxy_decision::interface::ServerId;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Share of the platform's idle time after which this side closes first: a request must never meet
/// the other side's close.
const IDLE_SHARE: f64 = 0.6;

/// How long a connection rests after an answer before it carries the next request (ms). A spoilt answer may be followed by
/// a second one some milliseconds late; behind a request written meanwhile nothing tells it from the answer to that.
pub const REST: f64 = 20.0;

/// An open connection with its place in the budget.
#[derive(Debug)]
pub struct Line {
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
    idle: BTreeMap<ServerId, Vec<(f64, Line)>>,
    longest: f64,
}

impl Pool {
    /// A pool for targets that close idle connections after so many milliseconds.
    pub fn new(conn_idle: f64) -> Pool {
        Pool { idle: BTreeMap::new(), longest: conn_idle * IDLE_SHARE }
    }

    /// The connection to a target that was used last, of those that have rested, so that those not needed grow old.
    pub fn take(&mut self, now: f64, target: ServerId, address: SocketAddr) -> Option<Line> {
        let lines = self.idle.get_mut(&target)?;
        let mut rested = lines.partition_point(|(since, _)| now - since >= REST);
        while rested > 0 {
            rested -= 1;
            let (since, line) = lines.remove(rested);
            let fresh = now - since < self.longest;
            // One that the target closed, or that leads to where it stood before, is of no use.
            if fresh && line.address == address && line.connection.state() == State::Idle {
                return Some(line);
            }
        }
        None
    }

    /// Keeps a connection for later.
    pub fn put(&mut self, now: f64, target: ServerId, line: Line) {
        self.idle.entry(target).or_default().push((now, line));
    }

    /// Closes those that have stood idle for long, or that the target has closed.
    pub fn sweep(&mut self, now: f64) {
        let longest = self.longest;
        self.idle.retain(|_, lines| {
            lines.retain(|(since, line)| now - since < longest && line.connection.state() == State::Idle);
            !lines.is_empty()
        });
    }

    /// Closes those to one target.
    pub fn close(&mut self, target: ServerId) {
        self.idle.remove(&target);
    }

    /// Closes the one idle longest, to free its descriptor; false where there is none.
    pub fn evict(&mut self) -> bool {
        let oldest = |lines: &Vec<(f64, Line)>| lines.first().map_or(f64::INFINITY, |(since, _)| *since);
        let lines = self.idle.values_mut().filter(|l| !l.is_empty());
        let Some(lines) = lines.min_by(|a, b| oldest(a).total_cmp(&oldest(b))) else { return false };
        lines.remove(0);
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
