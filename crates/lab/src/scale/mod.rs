//! Scale experiments: a fleet of real and hollow sidecars with a simplified discovery and simplified config servers.
//!
//! A hollow sidecar is the program from the listener down, with many of them in one process, so the same code
//! decides what it sends and when. It differs from a real one in three ways: it has no process of its own with
//! its own start and descriptors; it receives no signals; and it shares a core with others, so the CPU time and
//! delays of a crowded worker process are not those of a real sidecar.
//! The simplified config servers answer after a delay and have no queue; the simplified discovery builds each
//! text once for all sidecars of a region.

mod audit;
mod changes;
mod clients;
mod config_server;
mod convergence;
mod discovery;
mod experiment;
mod faults;
mod figures;
mod fit;
mod link;
mod metered;
mod metrics;
mod report;
mod runner;
mod sidecar_config;
mod sidecars;
mod simulation;
mod topology;
pub mod worker;

pub use audit::{Audit, Rule};
pub use convergence::{Convergence, Spread};
pub use experiment::{Experiment, Point};
pub use figures::Figures;
pub use fit::{fit, Fit};
pub use runner::{run_experiment, run_virtual, ScaleOptions};
