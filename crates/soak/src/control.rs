//! Commands that the soak test sends to its stand-ins: one JSON object per line on standard input.

use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, BufReader};

/// Behavior of an endpoint. Shares are fractions of requests.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct EndpointBehavior {
    /// Holds all responses back.
    #[serde(rename = "hangs")]
    pub hang: bool,
    /// Share of requests whose connection is reset after the request was read completely.
    #[serde(rename = "resets")]
    pub reset_share: f64,
    /// Share of requests whose connection is reset before the request was read completely.
    #[serde(rename = "resets_early")]
    pub early_reset_share: f64,
    /// Share of requests answered with status 500.
    #[serde(rename = "fails")]
    pub error_share: f64,
    /// Share of requests rejected without being executed.
    #[serde(rename = "rejects")]
    pub reject_share: f64,
    /// Share of responses that are malformed or followed by a second response.
    #[serde(rename = "spoils")]
    pub malformed_share: f64,
    /// Closes the connection after each response.
    #[serde(rename = "closes")]
    pub close_after_response: bool,
    /// Time added to each response (ms).
    #[serde(rename = "slow")]
    pub added_delay_ms: f64,
}

/// Behavior of the clients of one sidecar. Shares are fractions of requests.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct ClientBehavior {
    /// Requests per second; 0 stops the load.
    pub rate: f64,
    /// Share of requests whose client leaves before the response.
    #[serde(rename = "leaves")]
    pub leave_share: f64,
    /// Share of requests that are written slowly, in pieces.
    #[serde(rename = "slow")]
    pub slow_write_share: f64,
    /// Share of requests that use a new connection.
    #[serde(rename = "reconnects")]
    pub reconnect_share: f64,
    /// Malformed inputs per second.
    #[serde(rename = "misbehaves")]
    pub malformed_per_s: f64,
    /// Share of requests that are followed by extra bytes if their client leaves.
    #[serde(rename = "trails")]
    pub trailing_bytes_share: f64,
    /// Whether clients only use connections that are already open, as they do after SIGTERM.
    pub open_only: bool,
    /// Number of idle connections to hold open.
    #[serde(rename = "crowd")]
    pub idle_connections: usize,
    /// Number of connections to hold open on which half a request is sent.
    #[serde(default)]
    pub half_requests: usize,
}

/// State and behavior of the discovery stand-in, with the list of endpoints that it serves.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Registry {
    /// Which of the two ports of each sidecar is in use (0 or 1).
    #[serde(rename = "port")]
    pub active_port: usize,
    /// Whether discovery is down: it serves no calls and closes open connections.
    pub down: bool,
    /// Whether calls that arrive while discovery is down are queued and then rejected, instead of being closed at once.
    #[serde(rename = "queues")]
    pub queue_while_down: bool,
    /// Incremented to make all open watches fall silent: no changes and no heartbeats.
    #[serde(rename = "silences")]
    pub silence_count: u64,
    /// Version of the list.
    pub revision: u64,
    /// Whether the JSON of lists is indented.
    pub indented: bool,
    /// Entries of the list.
    pub members: Vec<Member>,
    /// Number of listed-only endpoints: further entries that never change, all served by one process.
    pub listed: usize,
    /// Port of the process that serves the listed-only endpoints.
    pub listed_port: u16,
}

/// Entry of the list of endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Number of the endpoint's process; never reused.
    pub endpoint: usize,
    /// Number from which the entry's id is formed; a restarted process keeps it.
    pub id: usize,
    /// Port on which the endpoint listens.
    pub port: u16,
    /// Cell to which the endpoint belongs.
    pub cell: u32,
    /// `in_service`, `terminating` or `terminated`.
    pub phase: String,
    /// Start time (ms since the Unix epoch).
    pub up_since_ms: f64,
}

/// Latest command received on standard input.
pub type Latest<T> = Rc<RefCell<T>>;

/// Follows the commands on standard input, calling `changed` for each. The end of the input ends the process.
pub fn follow_stdin<T: DeserializeOwned + Default + 'static>(changed: impl Fn(&T) + 'static) -> Latest<T> {
    let latest = Latest::<T>::default();
    let writer = latest.clone();
    tokio::task::spawn_local(async move {
        let mut lines = BufReader::new(tokio::io::stdin()).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            if let Ok(command) = serde_json::from_str(&line) {
                *writer.borrow_mut() = command;
                changed(&writer.borrow());
            }
        }
        std::process::exit(0);
    });
    latest
}
