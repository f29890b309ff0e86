//! Accepts client connections, bounds how long each may have waited in the accept queue, and pauses
//! after repeated errors.

use super::network::{Network, Peek};
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::pin;

/// Consecutive accept errors before accepting pauses, which prevents a busy loop. Fewer errors say
/// nothing about the next call: they concern a single connection, or a shortage that is over in a
/// moment, and every connected client waits during a pause.
const ERRORS_BEFORE_PAUSE: u32 = 64;
/// Consecutive accept errors, about half a second of them, after which the shortage is taken to be
/// a longer one.
const ERRORS_BEFORE_LONG_PAUSE: u32 = 250;
/// Pause after an accept error while the shortage may be momentary.
const SHORT_PAUSE_MS: f64 = 2.0;
/// Pause after an accept error once the shortage has lasted longer.
const LONG_PAUSE_MS: f64 = 20.0;

/// A client connection that was accepted.
pub(super) struct AcceptedClient<S> {
    pub stream: S,
    /// Inspects the unread input of the stream.
    pub peek: Peek,
    /// The earliest time at which the client may have connected (ms): every earlier connection had
    /// been accepted by then. Bytes that the client sent may have waited unread since this time.
    pub earliest_connect_at: f64,
}

/// Accepts connections and records when the accept queue was last empty.
#[derive(Debug)]
pub(super) struct Acceptor {
    /// Whether every connection has been accepted and the next one is being waited for.
    waiting: Cell<bool>,
    /// When a connection, or an accept error, last arrived while the acceptor was waiting for it
    /// (ms).
    queue_last_empty_at: Cell<f64>,
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

    /// Whether the accept queue is empty and the next connection is being waited for.
    pub fn is_waiting(&self) -> bool {
        self.waiting.get()
    }

    pub async fn accept<N: Network>(
        &self,
        network: &N,
        socket: &N::Listener,
        now: impl Fn() -> f64,
    ) -> io::Result<AcceptedClient<N::AcceptedStream>> {
        // The runtime makes a task that has done much in one turn wait as well; that must not be taken
        // for an empty queue.
        let mut accept = pin!(tokio::task::unconstrained(network.accept(socket)));
        let accepted = poll_fn(|cx| {
            let polled = accept.as_mut().poll(cx);
            self.waiting.set(polled.is_pending());
            if polled.is_pending() {
                // From now on a connection is accepted as soon as it arrives.
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

    /// How long to pause after the last error (ms).
    pub fn pause_ms(&self) -> f64 {
        match self.consecutive_errors.get() {
            0..ERRORS_BEFORE_PAUSE => 0.0,
            ERRORS_BEFORE_PAUSE..ERRORS_BEFORE_LONG_PAUSE => SHORT_PAUSE_MS,
            _ => LONG_PAUSE_MS,
        }
    }
}
