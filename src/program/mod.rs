//! The program: configuration, clock, counters, signals, and the start that joins the layers.

pub mod clock;
pub mod config;
pub mod counters;
pub mod signals;
pub mod start;

pub use clock::Clock;
