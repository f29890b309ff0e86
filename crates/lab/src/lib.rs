//! The laboratory's parts; `roseproxy-lab` is its command line.
#![forbid(unsafe_code)]

pub mod claims;
pub mod live;
pub mod real;
pub mod report;
pub mod run;
pub mod stats;
pub mod strategies;
pub mod swarm;
pub mod sweep;
pub mod trace;
pub mod virtual_time;
