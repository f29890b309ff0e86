//! The platform's HTTP and JSON: what its messages mean, and nothing of how they travel.
//!
//! A second front would stand beside this layer; it would hand the same words to [`roseproxy_routing`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod answer;
pub mod discovery;
mod list_reader;
pub mod load;
pub mod outcome;
pub mod request;
pub mod wire;

/// The largest body that the platform sends either way.
pub const BODY_LIMIT: usize = 64 * 1024;
