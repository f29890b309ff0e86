//! What is counted while an experiment runs.

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
    /// What came to discovery.
    DiscoveryCounts {
        /// Connections.
        connects,
        /// Calls for the whole list.
        lists,
        /// Calls that open a watch.
        watches,
        /// Calls that failed, as they would have waited too long.
        failed,
        /// Changes and heartbeats written to watches.
        updates,
        /// Bytes, both ways.
        bytes,
    }
}

impl DiscoveryCounts {
    /// Calls of any kind.
    pub fn calls(&self) -> u64 {
        self.lists + self.watches + self.failed
    }
}

counts! {
    /// What came to config servers.
    ServerCounts {
        /// Connections.
        connects,
        /// Attempts of requests.
        attempts,
        /// Probes.
        probes,
        /// Bytes of attempts, both ways.
        attempt_bytes,
        /// Bytes of probes, both ways.
        probe_bytes,
    }
}

impl ServerCounts {
    /// Attempts and probes.
    pub fn calls(&self) -> u64 {
        self.attempts + self.probes
    }

    /// Bytes of both.
    pub fn bytes(&self) -> u64 {
        self.attempt_bytes + self.probe_bytes
    }
}

counts! {
    /// How calls of the applications ended.
    CallCounts {
        /// Sent.
        sent,
        /// Answered with 200.
        served,
        /// Turned away by the sidecar: 429 or 503.
        rejected,
        /// Answered with another status.
        failed,
        /// Without a connection to the sidecar, or ended with it when it restarted.
        no_sidecar,
        /// Not sent, as the application was down with its sidecar.
        not_sent,
    }
}

/// One second.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Second {
    /// Its number, from the start of the measurement.
    pub second: usize,
    /// At discovery.
    pub discovery: DiscoveryCounts,
    /// Watches open at its end.
    pub watching: usize,
    /// At all config servers.
    pub servers: ServerCounts,
    /// Most calls, connections and bytes of one config server.
    pub busiest_server: Busiest,
    /// Of the applications.
    pub calls: CallCounts,
}

/// The most that one config server had in a second, each figure for itself.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Busiest {
    /// Attempts and probes.
    pub calls: u64,
    /// Connections.
    pub connects: u64,
    /// Bytes.
    pub bytes: u64,
}

impl Busiest {
    /// Takes in what one server had.
    pub fn include(&mut self, counts: &ServerCounts) {
        self.calls = self.calls.max(counts.calls());
        self.connects = self.connects.max(counts.connects);
        self.bytes = self.bytes.max(counts.bytes());
    }
}
