//! Records that the stand-in processes report to the soak test: one JSON object per line on standard output.

use serde::{Deserialize, Serialize};
use std::time::{SystemTime, UNIX_EPOCH};

/// Request class, by the effect of repeating a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Class {
    /// May be executed any number of times.
    Safe,
    /// Repeats are dropped within a cell for the length of the deduplication window.
    Keyed,
    /// Must never be executed twice.
    Unsafe,
}

impl Class {
    /// All classes.
    pub const ALL: [Class; 3] = [Class::Safe, Class::Keyed, Class::Unsafe];

    /// Name of the class on the wire.
    pub fn name(self) -> &'static str {
        match self {
            Class::Safe => "quote",
            Class::Keyed => "stock-update",
            Class::Unsafe => "place-order",
        }
    }

    /// Finds the class with this wire name.
    pub fn from_name(name: &str) -> Option<Class> {
        Class::ALL.into_iter().find(|class| class.name() == name)
    }
}

/// Outcome of a request, as its client sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum End {
    /// A complete response arrived; `matches_request` is false if a 200 response carries the body of another request.
    Answered {
        status: u16,
        #[serde(rename = "own")]
        matches_request: bool,
    },
    /// The client left before the response.
    #[serde(rename = "Left")]
    ClientLeft,
    /// The connection ended without a complete response. `new_connection`: it had not carried a request before;
    /// `partial`: part of a response had arrived.
    #[serde(rename = "Cut")]
    ConnectionClosed { new_connection: bool, partial: bool },
    /// No response arrived up to half a second after the client's timeout.
    #[serde(rename = "Silence")]
    TimedOut,
    /// No connection could be established.
    Unreachable,
    /// The connection was closed while the request was being sent, and the client may not open another one.
    #[serde(rename = "Crossed")]
    ClosedWhileSending,
}

/// Event observed by a stand-in process. `lag_ms` is the scheduling lag of that process at the time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Record {
    /// A request has ended. `sent_at` is the time at which its last byte was written.
    Request {
        id: String,
        sidecar: usize,
        class: Class,
        #[serde(rename = "sent")]
        sent_at: f64,
        #[serde(rename = "timeout")]
        timeout_ms: f64,
        #[serde(rename = "at")]
        ended_at: f64,
        end: End,
    },
    /// A client sent malformed input, and got an error or a close after `response_ms`, or nothing at all.
    #[serde(rename = "Misbehaved")]
    MalformedInput {
        sidecar: usize,
        at: f64,
        #[serde(rename = "within")]
        response_ms: Option<f64>,
        #[serde(rename = "lag")]
        lag_ms: f64,
    },
    /// An endpoint has read an attempt completely; `timeout_ms` is the time that the attempt's header allows it.
    Attempt {
        id: String,
        class: Class,
        endpoint: usize,
        cell: u32,
        #[serde(rename = "began")]
        first_byte_at: f64,
        #[serde(rename = "whole")]
        last_byte_at: f64,
        #[serde(rename = "told")]
        timeout_ms: f64,
        #[serde(rename = "ran")]
        executed: bool,
        #[serde(rename = "lag")]
        lag_ms: f64,
    },
    /// Discovery has sent the state of an endpoint to a sidecar.
    #[serde(rename = "Told")]
    NoticeSent { sidecar: usize, endpoint: usize, at: f64, in_service: bool },
    /// The connection broke just after the notice sent at this time, so the notice may not have arrived; the change
    /// then counts as known only after the maximum propagation time.
    #[serde(rename = "Lost")]
    NoticeLost { sidecar: usize, endpoint: usize, at: f64 },
    /// A stand-in met an error of its own, which says nothing about the sidecar.
    #[serde(rename = "Trouble")]
    StandInError {
        #[serde(rename = "what")]
        message: String,
    },
}

/// Writes a record to standard output.
pub fn print(record: &Record) {
    if let Ok(line) = serde_json::to_string(record) {
        println!("{line}");
    }
}

/// Current wall-clock time (ms since the Unix epoch). Only the sidecars' clocks are stepped, never those of the
/// stand-ins.
pub fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1e3)
}
