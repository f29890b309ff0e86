//! The laboratory's parts; `roseproxy-lab` is its command line.
#![forbid(unsafe_code)]

pub mod claims;
pub mod in_process;
pub mod live;
pub mod processes;
pub mod real;
pub mod recorded;
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
