//! The decision module: which server gets a request, whether there is another try, what is refused.
//!
//! Each client process hosts one [`policy::Balancer`]. It is a state machine without I/O: the host
//! hands it [`interface::Event`]s with the time they happened and carries out the
//! [`interface::Action`]s it answers with. Servers are drawn at random by shares that come from a
//! water-fill over late queue reports; see `docs/design.md` for the source and the changes.
//!
//! ```
//! use roseproxy_decision::interface::*;
//! use roseproxy_decision::policy::Balancer;
//!
//! let mut settings = Settings::default();
//! settings.classes.push(Class { aim: 100_000, give_up: 400_000, ..Class::default() });
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
pub mod picture;
pub mod policy;
mod slow_start;
mod state;
mod table;
mod water_fill;
