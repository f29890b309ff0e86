//! The meaning of the platform's HTTP and JSON messages, independent of how they are transported.
//!
//! The crate translates client requests, responses of config servers, load reports and discovery lists
//! into the types of [`roseproxy_routing`] and [`roseproxy_decision`], and flow answers back into HTTP.
//! It does no input or output and makes no routing decisions. A front end for another client protocol
//! would be a sibling of this crate and would pass the same types to [`roseproxy_routing`].
//!
//! Begin with [`request`] for the path of a client request and with [`discovery`] for the list of
//! targets. [`wire`] reads the settings of the platform and the simulator's line protocol.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod answer;
pub mod buffer;
pub mod discovery;
mod list_reader;
pub mod load;
pub mod outcome;
pub mod request;
pub mod wire;

/// Largest body of a request or a response on the platform, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
