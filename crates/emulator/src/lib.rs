//! Emulates the environment of a sidecar: config servers, clients, the discovery service and the network.
//!
//! Faults are injected on a timeline, and checks (oracles) report every violation of the platform's rules.
//! The model follows the platform's public documentation and does not depend on the decision module.
//! A [`scenario::Scenario`] is read from a file, [`schedule::Schedule`] is drawn from it by a seed, with all
//! arrivals, and [`simulation::Simulation`] runs the schedule over a [`fabric::Fabric`]: in-memory pipes
//! under the runtime's paused clock ([`memory::Memory`]) or sockets on 127.0.0.0/8 ([`fabric::Loopback`]).
//! The checks use only what the emulator observes on its side of the streams, except for
//! [`accounting::Rule::Books`], which compares the sidecar's counters with the emulator's own.
//! Start reading at [`simulation`], then [`schedule`] and [`accounting`].
//!
//! The simulation owns all parties. Each of them ([`client`], [`misbehaving`], [`discovery`], [`fleet`]) gets
//! an [`environment::Environment`] and whatever else it needs; none of them depends on the simulation.
//!
//! A *flow* is one need of a client, that is one scheduled arrival. A *try* is one request that the client
//! sends to its sidecar for that flow; a flow has several tries where the client retries. An *attempt* is one
//! request that the sidecar sends to a server for a try. Some keys of scenario and result files use the older
//! words *day* (scenario) and *trouble* (fault).
//!
//! All times are milliseconds as `f64`. Times in a scenario or schedule count from the start of the scenario,
//! times in a running simulation from the start of the simulation; [`clock::Clock`] converts between them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod accounting;
pub mod addresses;
pub mod applications;
pub mod client;
pub mod clock;
pub mod corruption;
pub mod discovery;
pub mod environment;
pub mod fabric;
pub mod fleet;
pub mod http;
pub mod memory;
pub mod misbehaving;
pub mod progress;
pub mod result;
pub mod scenario;
pub mod schedule;
pub mod server;
pub mod simulation;
