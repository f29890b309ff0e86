//! Sockets: the listener, connections to targets and to discovery, byte accounting, socket budget.
//!
//! [`Gateway`] joins them with [`roseproxy_routing`]: it carries out routing's orders on the network and
//! reports back what came of them.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod accepting;
mod attempt;
pub mod budget;
mod client;
pub mod connecting;
pub mod connection;
pub mod discovery;
pub mod errno;
mod gateway;
mod head;
mod lateness;
pub mod listener;
mod meter;
pub mod network;
pub mod pool;
mod steady;
mod tap;
mod traffic;

pub use connecting::connect;
pub use gateway::Gateway;
pub use traffic::Traffic;

use tokio::task::{AbortHandle, JoinHandle};

/// A task that ends, and lets go of its connection, when nobody holds it any more.
#[derive(Debug)]
pub(crate) struct Task(AbortHandle);

impl<T> From<JoinHandle<T>> for Task {
    fn from(handle: JoinHandle<T>) -> Task {
        Task(handle.abort_handle())
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Program milliseconds as a length of time for the runtime; never negative, never endless.
pub(crate) fn length(millis: f64) -> std::time::Duration {
    std::time::Duration::from_secs_f64(millis.clamp(0.0, 86_400_000.0) / 1000.0)
}
