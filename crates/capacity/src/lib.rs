//! Measures what one sidecar costs as a function of the size of the fleet.
//!
//! Real `roseproxy` processes run on 127.0.0.0/8 against stand-ins that this process provides: config
//! servers ([`endpoints`]) and discovery ([`discovery`]). The decision module is also driven directly
//! ([`decisions`], [`lists`]) and timed by the thread's processor clock, which other work on the
//! machine does not distort. [`layers`] and [`attempts`] compute the figures of a chain of several
//! layers from those of one layer. Every measurement is bounded in time and count and returns a
//! [`report::Report`]. The crate depends on the decision, fleet and routing crates, on the platform's
//! discovery parser and on the emulator's HTTP code; begin reading with [`memory`], the shortest
//! measurement.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod attempts;
pub mod changes;
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
pub mod stand_ins;
pub mod usage;
