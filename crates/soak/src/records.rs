//! What the stand-in processes tell the soak test: one JSON object a line on their standard output.

use serde::{Deserialize, Serialize};
use std::time::{SystemTime, UNIX_EPOCH};

/// Effect of a class of requests, as the settings name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Class {
    /// May run any number of times.
    Safe,
    /// Repeats are dropped inside a cell for a while.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

impl Class {
    /// All of them.
    pub const ALL: [Class; 3] = [Class::Safe, Class::Keyed, Class::Unsafe];

    /// Its name on the wire.
    pub fn name(self) -> &'static str {
        match self {
            Class::Safe => "quote",
            Class::Keyed => "stock-update",
            Class::Unsafe => "place-order",
        }
    }

    /// The class of that name.
    pub fn named(name: &str) -> Option<Class> {
        Class::ALL.into_iter().find(|class| class.name() == name)
    }
}

/// How a request ended, as its client sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum End {
    /// A whole answer came.
    Answered { status: u16, own: bool },
    /// The client left before an answer.
    Left,
    /// The connection ended without a whole answer; on a connection that had carried a request before or not.
    Cut { new_connection: bool, partial: bool },
    /// Nothing came until half a second after the client's time.
    Silence,
    /// No connection could be made.
    Unreachable,
    /// The connection was closed as the request was sent on it, and no other may be opened.
    Crossed,
}

/// An event that one of the processes saw. `lag` is how late that process itself ran then (ms).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Record {
    /// A client's request has ended. `sent` is when its last byte went out.
    Request { id: String, sidecar: usize, class: Class, sent: f64, timeout: f64, at: f64, end: End },
    /// A client that sends what is no request got an error or a close after so long (ms), or nothing.
    Misbehaved { sidecar: usize, at: f64, within: Option<f64>, lag: f64 },
    /// An endpoint has read an attempt whole, which told it to take `told` ms.
    Attempt {
        id: String,
        class: Class,
        endpoint: usize,
        cell: u32,
        began: f64,
        whole: f64,
        told: f64,
        ran: bool,
        lag: f64,
    },
    /// Discovery has told a sidecar of an endpoint.
    Told { sidecar: usize, endpoint: usize, at: f64, in_service: bool },
    /// What was written at that time broke with its connection, and may not have arrived: it counts as told by the clock.
    Lost { sidecar: usize, endpoint: usize, at: f64 },
    /// A process says what went wrong with itself: no result of the test.
    Trouble { what: String },
}

/// Prints a record.
pub fn print(record: &Record) {
    if let Ok(line) = serde_json::to_string(record) {
        println!("{line}");
    }
}

/// Milliseconds of the machine's wall clock, which nothing steps in the stand-ins' processes.
pub fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1e3)
}
