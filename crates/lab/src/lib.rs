//! Simulation experiments for the sidecar load balancer; `roseproxy-lab` is the command line.
//!
//! The crate runs whole sidecars, from the listener down, against the simulated fleet of `roseproxy-emulator`,
//! either in virtual time over in-memory streams or on loopback sockets against processes of the program.
//! It checks the rules of the platform, measures service, and writes results, charts and reports.
//! [`run`] runs one scenario and is the place to begin reading; [`sweep`], [`claims`] and [`swarm`] run many.
//! [`scale`] simulates large fleets of sidecars with a simplified discovery and simplified config servers.
#![forbid(unsafe_code)]

pub mod claims;
pub mod in_process;
pub mod live;
pub mod processes;
pub mod real_sockets;
pub mod recording_decider;
pub mod report;
pub mod run;
pub mod scale;
pub mod stats;
pub mod strategies;
pub mod swarm;
pub mod sweep;
pub mod timing;
pub mod trace;
pub mod virtual_time;
