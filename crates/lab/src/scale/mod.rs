//! The scale run: a fleet of real and hollow sidecars round a hollow discovery and hollow config servers.
//!
//! A hollow sidecar is the program from the listener down, with many of them in one process, so that the same
//! code decides what it sends and when. What that leaves out: a process, its start and its descriptors of its
//! own; signals; and a core of its own, so that CPU and delays of a crowded worker are not those of a sidecar.
//! A hollow config server answers after a time and has no queue; hollow discovery builds each text once.

mod audit;
mod changes;
mod clients;
mod config_server;
mod convergence;
mod discovery;
mod drive;
mod experiment;
mod faults;
mod figures;
mod fit;
mod link;
mod metered;
mod metrics;
mod report;
mod sidecar_config;
mod sidecars;
mod simulation;
mod topology;
pub mod worker;

pub use audit::{Audit, Rule};
pub use convergence::{Convergence, Spread};
pub use drive::{run, run_virtual, How};
pub use experiment::{Experiment, Point};
pub use figures::Figures;
pub use fit::{fit, Fit};
