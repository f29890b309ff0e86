//! Accepting: what is known of how long a connection has waited for it, and which errors want a pause.

use super::network::{Network, Peek};
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::pin;

/// Errors in a row after which accepting rests: against a busy loop. Fewer say nothing of the next call: they are of one connection
/// alone, or what is short is there again in a moment, and all clients that have connected wait meanwhile.
const ERRORS_BEFORE_PAUSE: u32 = 64;
/// Errors in a row, half a second of them, after which what is short is short for longer.
const ERRORS_BEFORE_LONG_PAUSE: u32 = 250;
/// How long accepting rests after an error (ms): while something may be short for a moment, and for longer.
const SHORT_PAUSE_MS: f64 = 2.0;
const LONG_PAUSE_MS: f64 = 20.0;

/// A connection that was accepted.
pub(super) struct AcceptedClient<S> {
    /// The client's stream.
    pub stream: S,
    /// Looks at what waits to be read on it.
    pub peek: Peek,
    /// The earliest moment at which the client may have connected (ms): all that came before had been accepted then.
    /// What it sent may have waited since.
    pub earliest_connect_at: f64,
}

/// Accepts connections, and keeps in mind when none was left to be accepted.
#[derive(Debug)]
pub(super) struct Acceptor {
    /// Whether all that clients have connected is accepted, and the next one is awaited.
    waiting: Cell<bool>,
    /// When a connection, or an error in its place, last came to an acceptor that was waiting for it (ms).
    queue_last_empty_at: Cell<f64>,
    /// Errors in a row.
    consecutive_errors: Cell<u32>,
}

impl Acceptor {
    pub fn new(now: f64) -> Acceptor {
        Acceptor {
            waiting: Cell::new(false),
            queue_last_empty_at: Cell::new(now),
            consecutive_errors: Cell::new(0),
        }
    }

    /// Whether the next connection is awaited with none left.
    pub fn is_waiting(&self) -> bool {
        self.waiting.get()
    }

    /// Waits for the next connection.
    pub async fn accept<N: Network>(
        &self,
        network: &N,
        socket: &N::Listener,
        now: impl Fn() -> f64,
    ) -> io::Result<AcceptedClient<N::AcceptedStream>> {
        let mut accept = pin!(network.accept(socket));
        let accepted = poll_fn(|cx| {
            let polled = accept.as_mut().poll(cx);
            self.waiting.set(polled.is_pending());
            if polled.is_pending() {
                // What comes from here on is met at once.
                self.queue_last_empty_at.set(f64::INFINITY);
            }
            polled
        })
        .await;
        self.queue_last_empty_at.set(self.queue_last_empty_at.get().min(now()));
        self.consecutive_errors.set(if accepted.is_ok() { 0 } else { self.consecutive_errors.get() + 1 });
        accepted.map(|(stream, peek)| AcceptedClient {
            stream,
            peek,
            earliest_connect_at: self.queue_last_empty_at.get(),
        })
    }

    /// How long to rest after the last error (ms).
    pub fn pause_ms(&self) -> f64 {
        match self.consecutive_errors.get() {
            0..ERRORS_BEFORE_PAUSE => 0.0,
            ERRORS_BEFORE_PAUSE..ERRORS_BEFORE_LONG_PAUSE => SHORT_PAUSE_MS,
            _ => LONG_PAUSE_MS,
        }
    }
}
