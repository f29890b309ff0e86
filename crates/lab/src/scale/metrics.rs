//! Counts that are collected while an experiment runs.

use serde::Serialize;
use std::ops::{AddAssign, Sub};

/// Defines a struct of counts with addition and subtraction, field by field.
macro_rules! counts {
    ($(#[$doc:meta])* $name:ident { $($(#[$field_doc:meta])* $field:ident,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
        pub struct $name {
            $($(#[$field_doc])* pub $field: u64,)*
        }
        impl Sub for $name {
            type Output = $name;
            fn sub(self, other: $name) -> $name {
                $name { $($field: self.$field - other.$field,)* }
            }
        }
        impl AddAssign for $name {
            fn add_assign(&mut self, other: $name) {
                $(self.$field += other.$field;)*
            }
        }
    };
}

counts! {
    /// Connections, calls and bytes at discovery.
    DiscoveryCounts {
        /// Accepted connections.
        connects,
        /// Calls for the whole list.
        lists,
        /// Calls that open a watch.
        watches,
        /// Calls that failed because their wait would have exceeded the time-out.
        failed,
        /// Changes and heartbeats written to watches.
        updates,
        /// Bytes in both directions.
        bytes,
    }
}

impl DiscoveryCounts {
    /// Calls of all kinds.
    pub fn calls(&self) -> u64 {
        self.lists + self.watches + self.failed
    }
}

counts! {
    /// Connections, attempts and probes at config servers.
    ServerCounts {
        /// Accepted connections.
        connects,
        /// Attempts of requests.
        attempts,
        /// Probes.
        probes,
        /// Bytes of attempts in both directions.
        attempt_bytes,
        /// Bytes of probes in both directions.
        probe_bytes,
    }
}

impl ServerCounts {
    /// Attempts and probes.
    pub fn calls(&self) -> u64 {
        self.attempts + self.probes
    }

    /// Bytes of attempts and probes.
    pub fn bytes(&self) -> u64 {
        self.attempt_bytes + self.probe_bytes
    }
}

counts! {
    /// How calls of the applications ended.
    CallCounts {
        /// Calls that were sent.
        sent,
        /// Answered with 200.
        served,
        /// Rejected by the sidecar with 429 or 503.
        rejected,
        /// Answered with another status, or not answered although the sidecar was running.
        failed,
        /// No connection to the sidecar, or the call ended when the sidecar restarted.
        no_sidecar,
        /// Not sent, because the application was down together with its sidecar.
        not_sent,
    }
}

/// Counts of one second.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Second {
    /// Number of the second, from the start of the measurement.
    pub second: usize,
    /// Counts at discovery.
    pub discovery: DiscoveryCounts,
    /// Open watches at the end of the second.
    pub watching: usize,
    /// Counts at all config servers together.
    pub servers: ServerCounts,
    /// Highest counts of a single config server.
    pub busiest_server: Busiest,
    /// Counts of the applications' calls.
    pub calls: CallCounts,
}

/// Highest counts of a single config server in a second; each may come from a different server.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Busiest {
    /// Attempts and probes.
    pub calls: u64,
    /// Accepted connections.
    pub connects: u64,
    /// Bytes.
    pub bytes: u64,
}

impl Busiest {
    /// Raises the highest counts to those of a server.
    pub fn include(&mut self, counts: &ServerCounts) {
        self.calls = self.calls.max(counts.calls());
        self.connects = self.connects.max(counts.connects);
        self.bytes = self.bytes.max(counts.bytes());
    }
}
