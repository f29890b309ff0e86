//! The sidecar program: configuration, clock, log, counters, signals, reload, startup and shutdown.
//!
//! The crate joins the layers into one process. [`roseproxy_transport`] moves bytes,
//! [`roseproxy_platform`] translates messages, [`roseproxy_routing`] keeps the flows, and
//! [`roseproxy_decision`] chooses targets. The binary `roseproxy` runs on real sockets; the test
//! laboratory runs the same code on a simulated network and clock. Begin with [`serve::serve`], which
//! starts everything, and with [`config::Config`], which lists what can be configured.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod clock;
pub mod config;
pub mod counters;
pub mod log;
pub mod process_memory;
pub mod reload;
pub mod serve;
pub mod shutdown;
pub mod signals;
pub mod startup_retry;

pub use clock::Clock;
