//! Regions, zones and addresses of a fleet.

use super::experiment::Fleet;
use std::net::SocketAddr;

/// Second octet of the addresses of discovery.
const DISCOVERY_OCTET: u8 = 32;
/// Second octet of the addresses of sidecars.
const SIDECAR_OCTET: u8 = 48;
/// Second octet of the server addresses that the first region uses; each further region uses the next octet.
const FIRST_SERVER_OCTET: u8 = 64;

/// Regions, zones and addresses of a fleet.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Port of all addresses.
    pub port: u16,
    regions: usize,
    zones: usize,
}

impl Topology {
    /// The topology of a fleet, with one port for all addresses.
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

    /// Name of a zone in server lists and configurations.
    pub fn zone_name(&self, zone: usize) -> String {
        format!("r{}-z{zone}", zone * self.regions / self.zones)
    }

    fn address(&self, second_octet: u8, number: usize) -> SocketAddr {
        // Host numbers begin at 1: the first address of a network is not a host address.
        let number = number + 1;
        SocketAddr::from(([127, second_octet, (number >> 8) as u8, number as u8], self.port))
    }

    /// Address of a server for the sidecars of a region. Each region has its own, so that each path can be cut alone.
    pub fn server(&self, server: usize, from_region: usize) -> SocketAddr {
        self.address(FIRST_SERVER_OCTET + from_region as u8, server)
    }

    /// Address of discovery for a sidecar. Each sidecar has its own, so that discovery can tell who calls.
    pub fn discovery(&self, sidecar: usize) -> SocketAddr {
        self.address(DISCOVERY_OCTET, sidecar)
    }

    /// Address at which a sidecar listens.
    pub fn sidecar(&self, sidecar: usize) -> SocketAddr {
        self.address(SIDECAR_OCTET, sidecar)
    }
}
