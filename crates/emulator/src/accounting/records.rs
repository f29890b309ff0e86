//! The records of the request accounting: tries, attempts and violations.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A rule of the platform. The names appear in results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Every accepted request gets one complete response.
    Unanswered,
    /// The response arrives before the client's timeout.
    Late,
    /// The sidecar does not close the connection of a request that it has accepted.
    Lost,
    /// A served body was produced by a server for this request.
    WrongBody,
    /// A malformed request is not served.
    ServedBad,
    /// A malformed request gets an error or a close within the time limit.
    BadUnanswered,
    /// An unsafe request never runs twice, nor does a keyed one where no server deduplicates the repeat.
    SecondRun,
    /// No new attempt is sent to a draining server after the grace period of the drain.
    PastDrain,
    /// No cold server fails by overload.
    PushedOver,
    /// Sidecars send only to servers that discovery has listed for them.
    Unlisted,
    /// The number of attempts for one request stays within its limit.
    Attempts,
    /// Servers receive only requests that a client has sent.
    Unknown,
    /// A sidecar's open descriptors stay within their limit.
    Descriptors,
    /// A sidecar's memory stays within its limit.
    Memory,
    /// The sidecar's counters agree with the emulator's.
    Books,
    /// A sidecar's process exits only when told to.
    Crash,
    /// A sidecar becomes ready after its start.
    NotReady,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// The time of the violation (ms).
    pub at: f64,
    /// The violated rule.
    pub rule: Rule,
    /// The sidecar that violated it, if known.
    pub sidecar: Option<usize>,
    /// The flow (number of the arrival), if the rule concerns one.
    pub flow: Option<usize>,
    /// A human-readable description.
    pub what: String,
}

/// How an attempt ended at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEnd {
    /// Still in progress.
    Open,
    /// Answered with a complete response.
    Served,
    /// Answered with an error.
    Error,
    /// Rejected: the queue is full.
    Full,
    /// Rejected: the server drains or is down.
    Draining,
    /// Rejected: the connection table is full.
    Crowded,
    /// Answered with a corrupted response that cannot be read.
    Spoilt,
    /// The sidecar closed the connection.
    HungUp,
    /// The server went down, was partitioned, or closed the connection.
    Cut,
}

/// One request of a sidecar to a server.
#[derive(Clone, Debug, Serialize)]
pub struct Attempt {
    /// The number of the server.
    pub server: usize,
    /// When the server received its first byte (ms).
    pub came: f64,
    /// Whether the server accepted it to run or to wait in its queue.
    pub ran: bool,
    /// Whether an earlier attempt of the same try was still open.
    pub second_copy: bool,
    /// When it ended (ms).
    pub ended: Option<f64>,
    /// How it ended.
    pub end: AttemptEnd,
}

/// How a try ended at its client.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TryEnd {
    /// Still in progress.
    Open,
    /// Served with a complete response.
    Served,
    /// Rejected with 429 or 503; holds the `Retry-After` (ms; 0 if absent).
    Refused(f64),
    /// Failed with this status code.
    Failed(u16),
    /// No connection could be used: connecting failed, no permit was free in time, or the request was not written.
    NoConnection,
    /// No valid response arrived in time, or the connection ended.
    Nothing,
    /// The sidecar was killed or its application stopped meanwhile.
    Excused,
}

/// Whether a server could have served a rejected request, as the emulator knows at the time of the rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Regret {
    /// A server in service had a free core and would have answered in time.
    CoreIdle,
    /// A server in service would have answered in time beside its other work.
    WouldFit,
    /// No server in service would have answered in time.
    Full,
    /// No server was in service.
    Nobody,
}

/// One try of a flow: one request of the client to the sidecar.
#[derive(Clone, Debug, Serialize)]
pub struct Try {
    /// The `Request-Id`.
    pub id: u64,
    /// The flow: the number of the arrival.
    pub flow: usize,
    /// The number of the try within the flow, from 0.
    pub number: usize,
    /// When the client obtained a connection permit, or gave up waiting for one (ms).
    pub sent: f64,
    /// When the client gives it up (ms).
    pub until: f64,
    /// The attempts that servers received for it.
    pub attempts: Vec<Attempt>,
    /// When it ended (ms); NaN while open.
    pub ended: f64,
    /// How it ended.
    pub end: TryEnd,
    /// For a rejected try: whether a server could have served it.
    pub regret: Option<Regret>,
    /// Whether the request was written completely to the sidecar.
    #[serde(rename = "taken")]
    pub written: bool,
    /// The response bodies that servers produced for it.
    #[serde(skip)]
    pub(super) bodies: Vec<Bytes>,
}

/// The zone and cell of a server, which determine whether a repeat of keyed work is deduplicated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The zone.
    pub zone: usize,
    /// The cell.
    pub cell: u64,
}

impl Try {
    /// Adds an open attempt at a server that received its first byte at `came` (ms).
    pub(super) fn open_attempt(&mut self, server: usize, came: f64) {
        let second_copy = self.attempts.iter().any(|a| a.end == AttemptEnd::Open);
        let end = AttemptEnd::Open;
        self.attempts.push(Attempt { server, came, ran: false, second_copy, ended: None, end });
    }
}
