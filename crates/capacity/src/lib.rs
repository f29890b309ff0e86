//! Measures what one sidecar costs as a function of the size of the fleet.
//!
//! Real `roseproxy` processes run on 127.0.0.0/8 beside stand-ins of this process: config servers
//! ([`endpoints`]) and discovery ([`discovery`]). The decision module is also driven directly
//! ([`decisions`], [`lists`]), timed by the thread's processor clock, which other work on the
//! machine does not blur. [`layers`] and [`attempts`] compute what several layers of calls make of
//! one layer's figures.
//!
//! Every measurement is bounded in time and count and returns a [`report::Report`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod attempts;
pub mod changes;
pub mod cost;
pub mod decisions;
pub mod discovery;
pub mod endpoints;
pub mod error;
pub mod experiment;
pub mod fit;
pub mod latency;
pub mod layers;
pub mod lists;
pub mod load;
pub mod memory;
pub mod messages;
pub mod quantiles;
pub mod relay;
pub mod reload;
pub mod report;
pub mod sidecar;
pub mod standin;
