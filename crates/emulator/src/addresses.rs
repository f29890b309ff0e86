//! Loopback addresses of all parties of a simulation.

use std::net::SocketAddr;

/// The address plan: each sidecar has its own /24 network, in which it reaches every party.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Port of the sidecars, of discovery and of the first 240 servers; further servers use the next ports.
    pub port: u16,
}

impl Addresses {
    fn address(&self, sidecar: usize, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, 16 + (sidecar >> 8) as u8, sidecar as u8, host], port))
    }

    /// The address of a server for one sidecar; `address_index` is [`crate::fleet::Member::address_index`].
    pub fn server(&self, sidecar: usize, address_index: usize) -> SocketAddr {
        self.address(sidecar, 10 + (address_index % 240) as u8, self.port + (address_index / 240) as u16)
    }

    /// The address of discovery for one sidecar, after discovery has moved `moves` times.
    pub fn discovery(&self, sidecar: usize, moves: usize) -> SocketAddr {
        self.address(sidecar, 1 + (moves % 8) as u8, self.port)
    }

    /// The address at which a sidecar listens.
    pub fn listen(&self, sidecar: usize) -> SocketAddr {
        self.address(sidecar, 9, self.port)
    }
}
