//! What the soak test tells its stand-ins: one JSON object a line on their standard input.

use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, BufReader};

/// How an endpoint behaves; the shares are of requests.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct EndpointConduct {
    /// Answers nothing, and keeps what it has.
    pub hangs: bool,
    /// Share of requests answered by a reset after they came whole.
    pub resets: f64,
    /// Share of requests whose connection is reset before they came whole.
    pub resets_early: f64,
    /// Share of requests answered by 500.
    pub fails: f64,
    /// Share of requests turned away unrun.
    pub rejects: f64,
    /// Share of answers that are no answer, or followed by a second one.
    pub spoils: f64,
    /// Closes each connection behind its answer.
    pub closes: bool,
    /// Time added to each answer (ms).
    pub slow: f64,
}

/// How clients behave; the shares are of requests.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct ClientConduct {
    /// Requests a second; nothing is asked at 0.
    pub rate: f64,
    /// Share of requests whose client leaves early.
    pub leaves: f64,
    /// Share of requests that are written in pieces.
    pub slow: f64,
    /// Share of requests on a new connection.
    pub reconnects: f64,
    /// What is no request, so often a second.
    pub misbehaves: f64,
    /// Bytes behind the request, for a share of requests whose client leaves.
    pub trails: f64,
    /// Whether clients open no connection, and ask on those that are open: as after SIGTERM.
    pub open_only: bool,
    /// Connections that are held open and on which nothing is asked.
    pub crowd: usize,
}

/// How discovery behaves.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Registry {
    /// Which of its two ports is in use.
    pub port: usize,
    /// Accepts nothing, and closes what is open.
    pub down: bool,
    /// While it is down, calls wait in its queue and are turned away then, in place of being closed at once.
    pub queues: bool,
    /// Open watches are told nothing, nor that nothing changed.
    pub silences: u64,
    /// Version of the list.
    pub revision: u64,
    /// Whether lists are indented.
    pub indented: bool,
    /// The list.
    pub members: Vec<Member>,
    /// Endpoints that are listed besides and never change; all of them are one process, at this port.
    pub listed: usize,
    /// See `listed`.
    pub listed_port: u16,
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The number of the endpoint's process, never used twice.
    pub endpoint: usize,
    /// What its id is made of: kept by a process that starts again.
    pub id: usize,
    /// Its port.
    pub port: u16,
    /// Its cell.
    pub cell: u32,
    /// `in_service`, `terminating` or `terminated`.
    pub phase: String,
    /// Its start (ms of Unix time).
    pub up_since_ms: f64,
}

/// The latest conduct that was told.
pub type Told<T> = Rc<RefCell<T>>;

/// Follows what is told on standard input; the end of that ends the process.
pub fn follow<T: DeserializeOwned + Default + 'static>(changed: impl Fn(&T) + 'static) -> Told<T> {
    let told = Told::<T>::default();
    let latest = told.clone();
    tokio::task::spawn_local(async move {
        let mut lines = BufReader::new(tokio::io::stdin()).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            if let Ok(next) = serde_json::from_str(&line) {
                *latest.borrow_mut() = next;
                changed(&latest.borrow());
            }
        }
        std::process::exit(0);
    });
    told
}
