//! The loopback addresses of all parties of a simulation.

use std::net::SocketAddr;

/// The address plan: each sidecar has a range of its own, in which it reaches every party.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// The first port.
    pub port: u16,
}

impl Addresses {
    fn at(&self, sidecar: usize, last: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, 16 + (sidecar >> 8) as u8, sidecar as u8, last], port))
    }

    /// The address of the server at a place, for one sidecar.
    pub fn server(&self, sidecar: usize, place: usize) -> SocketAddr {
        self.at(sidecar, 10 + (place % 240) as u8, self.port + (place / 240) as u16)
    }

    /// The address of discovery after so many moves, for one sidecar.
    pub fn discovery(&self, sidecar: usize, moves: usize) -> SocketAddr {
        self.at(sidecar, 1 + (moves % 8) as u8, self.port)
    }

    /// The address at which a sidecar listens.
    pub fn listen(&self, sidecar: usize) -> SocketAddr {
        self.at(sidecar, 9, self.port)
    }
}
