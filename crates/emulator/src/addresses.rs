//! The addresses at which sidecars reach servers and discovery, and at which they listen.

use std::net::SocketAddr;

/// Where everybody is: each sidecar reaches every party at addresses of its own.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// The first port.
    pub port: u16,
}

impl Addresses {
    fn at(&self, sidecar: usize, last: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, 16 + (sidecar >> 8) as u8, sidecar as u8, last], port))
    }

    /// A server's place, for one sidecar.
    pub fn server(&self, sidecar: usize, place: usize) -> SocketAddr {
        self.at(sidecar, 10 + (place % 240) as u8, self.port + (place / 240) as u16)
    }

    /// Discovery for one sidecar, after so many moves.
    pub fn discovery(&self, sidecar: usize, moves: usize) -> SocketAddr {
        self.at(sidecar, 1 + (moves % 8) as u8, self.port)
    }

    /// Where a sidecar listens.
    pub fn listen(&self, sidecar: usize) -> SocketAddr {
        self.at(sidecar, 9, self.port)
    }
}
