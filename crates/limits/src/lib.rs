//! Limits by route and class: which route a request takes, how long it may last, how often it may be tried,
//! and what retries and second copies may add to the load.
//!
//! No I/O and no clock of its own: times are the program's milliseconds. A limit only ever forbids or
//! shortens; whether there is another try is the decision module's to say.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod budget;
pub mod hedge;
pub mod route;
pub mod rules;
