//! What one sidecar may do by itself, as a function of the fleet's size.
//!
//! Sidecars share nothing, and all of them decide alike. What is harmless when a few do it is not when
//! a hundred do, so whatever all do at once asks here how much of it is one sidecar's part. No I/O, no
//! clock, no state of its own: the decision module and the transport ask it.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod homes;
