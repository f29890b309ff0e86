//! The records of the request accounting: tries, attempts and violations.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A rule of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Every accepted request gets one whole response.
    Unanswered,
    /// The response arrives before the client's timeout.
    Late,
    /// The sidecar closed the connection of a request that it had accepted.
    Lost,
    /// A served body was produced by a server for this request.
    WrongBody,
    /// A malformed request is not served.
    ServedBad,
    /// A malformed request gets an error or a close within the time limit.
    BadUnanswered,
    /// An unsafe request never runs twice, nor a keyed one where no server would drop the repeat.
    SecondRun,
    /// No new attempt goes to a draining server after the drain's grace period.
    PastDrain,
    /// No cold server is overloaded until it fails.
    PushedOver,
    /// Sidecars send only to servers that discovery has told them of.
    Unlisted,
    /// The attempts of one request stay within their limit.
    Attempts,
    /// Servers receive only requests that a client has sent.
    Unknown,
    /// A sidecar's open descriptors stay within their limit.
    Descriptors,
    /// A sidecar's memory stays within its limit.
    Memory,
    /// The sidecar's counters agree with the emulator's.
    Books,
    /// A sidecar's process never exits unless it is told to.
    Crash,
    /// A sidecar becomes ready after its start.
    NotReady,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// A broken rule.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// When (ms).
    pub at: f64,
    /// Which.
    pub rule: Rule,
    /// The sidecar that broke it, where it is known.
    pub sidecar: Option<usize>,
    /// The request (the number of its arrival), where the rule is about one.
    pub flow: Option<usize>,
    /// A description for people.
    pub what: String,
}

/// How an attempt ended at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEnd {
    /// Not yet.
    Open,
    /// Answered whole.
    Served,
    /// Answered with an error.
    Error,
    /// Turned away: the waiting room is full.
    Full,
    /// Turned away: it drains.
    Draining,
    /// Turned away: too many connections.
    Crowded,
    /// Answered with what can't be read.
    Spoilt,
    /// Its sidecar hung up.
    HungUp,
    /// Its server went down or was cut off.
    Cut,
}

/// One attempt, from its first byte at the server on.
#[derive(Clone, Debug, Serialize)]
pub struct Attempt {
    /// The server's number.
    pub server: usize,
    /// When its first byte came (ms).
    pub came: f64,
    /// Whether the server took it into work or its waiting room.
    pub ran: bool,
    /// Whether an earlier one was still out.
    pub second_copy: bool,
    /// When it ended (ms).
    pub ended: Option<f64>,
    /// How.
    pub end: AttemptEnd,
}

/// How a try ended at its client.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TryEnd {
    /// Not yet.
    Open,
    /// Served whole.
    Served,
    /// Refused, with this advice (ms; 0 for none).
    Refused(f64),
    /// Failed, with this status.
    Failed(u16),
    /// No connection came up.
    NoConnection,
    /// Nothing came in time, or the connection ended.
    Nothing,
    /// The sidecar was killed meanwhile.
    Excused,
}

/// What the emulator knows of a refusal at its moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Regret {
    /// A server in service had a core free and would have been in time.
    CoreIdle,
    /// A server in service would have been in time beside its other work.
    WouldFit,
    /// None would have been in time.
    Full,
    /// None was in service.
    Nobody,
}

/// One try of a flow: a request of its own to the sidecar.
#[derive(Clone, Debug, Serialize)]
pub struct Try {
    /// Its `Request-Id`.
    pub id: u64,
    /// The flow: the number of its arrival.
    pub flow: usize,
    /// Its number in the flow.
    pub number: usize,
    /// When it was written whole (ms); the connection's attempt where that failed.
    pub sent: f64,
    /// When its client gives it up (ms).
    pub until: f64,
    /// Its attempts.
    pub attempts: Vec<Attempt>,
    /// When it ended (ms).
    pub ended: f64,
    /// How.
    pub end: TryEnd,
    /// Whether a refusal is to be regretted.
    pub regret: Option<Regret>,
    /// Whether it was written whole to a sidecar that ran.
    pub taken: bool,
    #[serde(skip)]
    pub(super) bodies: Vec<Bytes>,
}

/// The zone and cell of a server, which decide where a repeat of keyed work is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its zone.
    pub zone: usize,
    /// Its cell.
    pub cell: u64,
}

impl Try {
    /// Adds an open attempt at a server, whose first byte came at this time (ms).
    pub(super) fn open_attempt(&mut self, server: usize, came: f64) {
        let second_copy = self.attempts.iter().any(|a| a.end == AttemptEnd::Open);
        let end = AttemptEnd::Open;
        self.attempts.push(Attempt { server, came, ran: false, second_copy, ended: None, end });
    }
}
