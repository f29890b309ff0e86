//! Sockets: the listener, connections to targets and to discovery, byte accounting, socket budget.
//!
//! [`Gateway`] joins them with [`roseproxy_routing`]: it carries out routing's orders on the network and
//! reports back what came of them.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod acceptor;
mod attempt;
pub mod budget;
mod client_stream;
pub mod connection;
pub mod connector;
mod counters;
pub mod discovery;
pub mod errno;
mod event_loop_lag;
mod gateway;
pub mod listener;
pub mod network;
pub mod pool;
mod request_framing;
mod retrying_stream;
mod tap;
mod write_progress;

pub use connector::connect;
pub use counters::Counters;
pub use gateway::Gateway;

use tokio::task::{AbortHandle, JoinHandle};

/// A task that ends, and lets go of its connection, when nobody holds it any more.
#[derive(Debug)]
pub(crate) struct AbortOnDrop(AbortHandle);

impl<T> From<JoinHandle<T>> for AbortOnDrop {
    fn from(handle: JoinHandle<T>) -> AbortOnDrop {
        AbortOnDrop(handle.abort_handle())
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Program milliseconds as a length of time for the runtime; never negative, never endless.
pub(crate) fn duration_from_ms(millis: f64) -> std::time::Duration {
    std::time::Duration::from_secs_f64(millis.clamp(0.0, 86_400_000.0) / 1000.0)
}
