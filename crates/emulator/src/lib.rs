//! A model of what the sidecar lives among: config servers, clients, discovery and the network, with
//! faults on a timeline and oracles that watch the rules.
//!
//! It is written from the platform's public pages and knows nothing of the decision module. A
//! [`scenario::Scenario`] is a file; [`schedule::Schedule`] is one draw from it by one seed, arrivals
//! included; [`simulation::Simulation`] plays it over a [`fabric::Fabric`]: pipes in memory under the
//! runtime's paused clock ([`memory::Memory`]), or sockets on 127.0.0.0/8 ([`fabric::Loopback`]).
//! Everything that the oracles say is told by this side of the streams and not by the sidecar's own
//! counters.
//!
//! The simulation owns all parties. Each of them ([`client`], [`misbehaving`], [`discovery`], [`fleet`])
//! has an [`environment::Environment`] and what else it needs, and none of them knows the simulation.
//!
//! All times are milliseconds as `f64`, from the start of the scenario.
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
pub mod result;
pub mod scenario;
pub mod schedule;
pub mod server;
pub mod simulation;

/// The former name of [`scenario`].
pub mod day {
    pub use crate::scenario::*;
    pub use crate::scenario::{
        Fault as Trouble, FaultKind as TroubleKind, Scenario as Day, ScenarioError as Faulty,
    };
}

/// The former name of [`accounting`].
pub mod ledger {
    pub use crate::accounting::RequestAccounting as Ledger;
    pub use crate::accounting::*;
}

/// The former name of [`schedule`].
pub mod plan {
    pub use crate::schedule::*;
    pub use crate::schedule::{Schedule as Plan, ScheduledFault as TroublePlan};
}

/// The former name of [`simulation`].
pub mod world {
    pub use crate::simulation::Simulation as World;
    pub use crate::simulation::*;
}
