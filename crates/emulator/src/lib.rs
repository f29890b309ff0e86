//! A model of what the sidecar lives among: config servers, clients, discovery and the network, with
//! faults on a timeline and oracles that watch the rules.
//!
//! It is written from the platform's public pages and knows nothing of the decision module. A [`day::Day`]
//! is a file; [`plan::Plan`] is one draw from it by one seed, arrivals included; [`world::World`] plays it
//! over a [`fabric::Fabric`]: pipes in memory under the runtime's paused clock ([`memory::Memory`]), or
//! sockets on 127.0.0.0/8 ([`fabric::Loopback`]). Everything that the oracles say is told by this side of
//! the streams and not by the sidecar's own counters.
//!
//! All times are milliseconds as `f64`, from the start of the day.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod addresses;
pub mod applications;
pub mod client;
pub mod clock;
pub mod corruption;
pub mod day;
pub mod discovery;
pub mod environment;
pub mod fabric;
pub mod fleet;
pub mod http;
pub mod ledger;
pub mod memory;
pub mod misbehaving;
pub mod plan;
pub mod result;
pub mod server;
pub mod world;
