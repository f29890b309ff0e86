//! Who is where: regions, zones and addresses.

use super::experiment::Fleet;
use std::net::SocketAddr;

/// Second octets of the addresses of discovery, of sidecars, and of servers as the first region reaches them.
const DISCOVERY: u8 = 32;
const SIDECARS: u8 = 48;
const SERVERS: u8 = 64;

/// Who is where.
#[derive(Clone, Debug)]
pub struct Topology {
    /// The port of all addresses.
    pub port: u16,
    regions: usize,
    zones: usize,
}

impl Topology {
    /// A fleet's places, all of them at this port.
    pub fn new(fleet: &Fleet, port: u16) -> Topology {
        Topology { port, regions: fleet.regions, zones: fleet.zones }
    }

    /// The zone of a sidecar or a server.
    pub fn zone(&self, number: usize) -> usize {
        number % self.zones
    }

    /// The region of a sidecar or a server.
    pub fn region(&self, number: usize) -> usize {
        self.zone(number) * self.regions / self.zones
    }

    /// The name of a zone, as lists and configurations say it.
    pub fn zone_name(&self, zone: usize) -> String {
        format!("r{}-z{zone}", zone * self.regions / self.zones)
    }

    fn address(&self, kind: u8, number: usize) -> SocketAddr {
        // From 1 on: the first address of the network is not a host's.
        let number = number + 1;
        SocketAddr::from(([127, kind, (number >> 8) as u8, number as u8], self.port))
    }

    /// A server, as sidecars of a region reach it: each region has a way of its own, so that one can be cut.
    pub fn server(&self, server: usize, from_region: usize) -> SocketAddr {
        self.address(SERVERS + from_region as u8, server)
    }

    /// Discovery, as a sidecar reaches it: an address of its own tells who calls.
    pub fn discovery(&self, sidecar: usize) -> SocketAddr {
        self.address(DISCOVERY, sidecar)
    }

    /// Where a sidecar listens.
    pub fn sidecar(&self, sidecar: usize) -> SocketAddr {
        self.address(SIDECARS, sidecar)
    }
}
