//! Accepting: what is known of how long a connection has waited for it, and which errors want a pause.

use super::network::{Network, Peek};
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::pin;

/// Errors in a row after which accepting rests: against a busy loop. Fewer say nothing of the next call: they are of one connection
/// alone, or what is short is there again in a moment, and all clients that have connected wait meanwhile.
const MOST_WITHOUT_REST: u32 = 64;
/// Errors in a row, half a second of them, after which what is short is short for longer.
const FOR_A_MOMENT: u32 = 250;
/// How long accepting rests after an error (ms): while something may be short for a moment, and for longer.
const RESTS: (f64, f64) = (2.0, 20.0);

/// A connection that was accepted.
pub(super) struct Accepted<S> {
    /// The client's stream.
    pub stream: S,
    /// Looks at what waits to be read on it.
    pub peek: Peek,
    /// The earliest moment at which the client may have connected (ms): all that came before had been accepted then.
    /// What it sent may have waited since.
    pub came: f64,
}

/// Accepts connections, and keeps in mind when none was left to be accepted.
#[derive(Debug)]
pub(super) struct Acceptor {
    /// Whether all that clients have connected is accepted, and the next one is awaited.
    awaiting: Cell<bool>,
    /// When a connection, or an error in its place, last came to an acceptor that was waiting for it (ms).
    caught_up: Cell<f64>,
    /// Errors in a row.
    errors: Cell<u32>,
}

impl Acceptor {
    pub fn new(now: f64) -> Acceptor {
        Acceptor { awaiting: Cell::new(false), caught_up: Cell::new(now), errors: Cell::new(0) }
    }

    /// Whether the next connection is awaited with none left.
    pub fn awaits(&self) -> bool {
        self.awaiting.get()
    }

    /// Waits for the next connection.
    pub async fn accept<N: Network>(
        &self,
        network: &N,
        socket: &N::Listener,
        now: impl Fn() -> f64,
    ) -> io::Result<Accepted<N::Accepted>> {
        let mut accept = pin!(network.accept(socket));
        let accepted = poll_fn(|cx| {
            let polled = accept.as_mut().poll(cx);
            self.awaiting.set(polled.is_pending());
            if polled.is_pending() {
                // What comes from here on is met at once.
                self.caught_up.set(f64::INFINITY);
            }
            polled
        })
        .await;
        self.caught_up.set(self.caught_up.get().min(now()));
        self.errors.set(if accepted.is_ok() { 0 } else { self.errors.get() + 1 });
        accepted.map(|(stream, peek)| Accepted { stream, peek, came: self.caught_up.get() })
    }

    /// How long to rest after the last error (ms).
    pub fn rest(&self) -> f64 {
        match self.errors.get() {
            0..MOST_WITHOUT_REST => 0.0,
            MOST_WITHOUT_REST..FOR_A_MOMENT => RESTS.0,
            _ => RESTS.1,
        }
    }
}
