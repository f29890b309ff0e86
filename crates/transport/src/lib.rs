//! Socket layer of the sidecar: accepts client connections, keeps connections to targets, and
//! follows discovery.
//!
//! The [`listener`] reads requests and hands them to [`Gateway`], which executes the orders of
//! [`roseproxy_routing`] on the network and reports the results back. HTTP messages and their
//! encoding come from [`roseproxy_platform`], the HTTP implementation from hyper. All sockets are
//! opened through the [`network::Network`] trait, so that tests and simulations can replace them.
//! Start reading at [`Gateway`], then see [`listener`] for the client side, [`connection`] and
//! [`pool`] for the target side, and [`discovery`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod acceptor;
pub mod answer_memory;
mod attempt;
pub mod budget;
mod client_slot;
mod client_slots;
mod client_stream;
pub mod connection;
mod connection_state;
pub mod connector;
mod counters;
pub mod discovery;
pub mod errno;
mod event_loop_lag;
mod gateway;
pub mod listener;
pub mod memory;
pub mod memory_budget;
mod message_body;
pub mod network;
mod pending_flow;
pub mod pool;
mod probe;
pub mod request_framing;
pub mod request_ids;
mod retrying_stream;
mod tap;
mod write_progress;

pub use connector::connect;
pub use counters::Counters;
pub use gateway::Gateway;
pub use pending_flow::RequestMemory;

use tokio::task::{AbortHandle, JoinHandle};

/// A task handle that aborts the task on drop, which also releases the task's connection.
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

/// Converts milliseconds on the program's clock to a duration between zero and one day, so never
/// negative or infinite.
pub(crate) fn duration_from_ms(millis: f64) -> std::time::Duration {
    std::time::Duration::from_secs_f64(millis.clamp(0.0, 86_400_000.0) / 1000.0)
}
