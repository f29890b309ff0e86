//! Limits for each route and request class: the route that a request takes, its time-outs, the number of
//! its attempts, and the load that retries and hedged requests may add.
//!
//! The crate depends on nothing, does no I/O and reads no clock: callers pass the current time in
//! milliseconds of the program's clock. A limit only forbids or shortens; the decision module decides
//! whether a further attempt is made. Begin with [`rules`], which holds the limits of a route and validates
//! them against the platform's rules; [`route`] selects the route, [`budget`] and [`hedge`] keep the
//! run-time state.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod budget;
pub mod hedge;
pub mod route;
pub mod rules;
