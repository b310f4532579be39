//! Network and address of each host of a cluster.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::{Mutex, PoisonError};

use azuresaddle_core::net::TcpNetwork;
use azuresaddle_core::prelude::*;

use crate::net::{Fabric, MemoryNetwork};

/// Assigns a network and an address to each host.
pub trait HostNetworks {
    /// Type of the network.
    type Net: Network;

    /// The network as seen by a host, and the host's address; the same name always gets the same
    /// address.
    fn host_network(&self, host: &str) -> (Self::Net, IpAddr);
}

/// All hosts on the loopback address.
#[derive(Clone, Copy, Debug, Default)]
pub struct Loopback;

impl HostNetworks for Loopback {
    type Net = TcpNetwork;

    fn host_network(&self, _: &str) -> (TcpNetwork, IpAddr) {
        (TcpNetwork, IpAddr::V4(Ipv4Addr::LOCALHOST))
    }
}

/// Each host with an address of its own on an in-memory network.
#[derive(Debug, Default)]
pub struct MemoryHosts {
    /// The simulated connections between the hosts.
    pub fabric: Fabric,
    numbers: Mutex<HashMap<String, u8>>,
}

impl MemoryHosts {
    /// Address of a host.
    pub fn ip(&self, host: &str) -> IpAddr {
        let mut numbers = self.numbers.lock().unwrap_or_else(PoisonError::into_inner);
        let next = numbers.len() as u8 + 1;
        let number = *numbers.entry(host.to_owned()).or_insert(next);
        IpAddr::V4(Ipv4Addr::new(10, 0, 0, number))
    }
}

impl HostNetworks for MemoryHosts {
    type Net = MemoryNetwork;

    fn host_network(&self, host: &str) -> (MemoryNetwork, IpAddr) {
        let ip = self.ip(host);
        (self.fabric.host(ip), ip)
    }
}
