//! The decision module: chooses a server for each request, and decides on further attempts and refusals.
//!
//! Each sidecar hosts one [`policy::Balancer`]. It is a state machine without I/O or a clock: the host
//! passes it [`interface::Event`]s with the time at which they happened and carries out the
//! [`interface::Action`]s that it returns. Servers are drawn at random in proportion to shares, which a
//! water-fill ([`policy::water_fill`]) computes from delayed load reports so that the emptiest servers get
//! the most; `docs/design.md` names the source and the changes to it.
//! The crate depends on `roseproxy-fleet` for the rules that take the number of sidecars into account.
//! Begin with `interface.rs`, then read `policy.rs`, which holds the decisions; `state.rs` holds the data.
//!
//! ```
//! use roseproxy_decision::interface::*;
//! use roseproxy_decision::policy::Balancer;
//!
//! let mut settings = Settings::default();
//! settings.classes.push(Class { latency_goal: 100_000, client_timeout: 400_000, ..Class::default() });
//! let mut balancer = Balancer::new(settings, 7, 1_000_000);
//! let servers = [Server { id: ServerId(1), ..Server::default() }];
//! let mut actions = Vec::new();
//! balancer.handle(1_000_000, Event::Servers { update: Update::Complete, servers: &servers }, &mut actions);
//! let request = Request { id: 42, class: 0, time_left: 400_000, ..Request::default() };
//! balancer.handle(1_000_500, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: 42, .. })));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod affinity;
pub mod interface;
mod learn;
pub mod policy;
mod slow_start;
pub mod snapshot;
mod state;
mod table;
mod water_fill;
