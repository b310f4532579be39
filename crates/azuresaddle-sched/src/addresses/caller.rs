//! A caller that looks up addresses.

use std::net::IpAddr;

use xxhash_rust::xxh3::xxh3_64;

/// What the selection knows of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Key that is the same in all lookups of the caller, so that it keeps its addresses and connections.
    pub key: u64,
    /// Hash of the name of its failure domain.
    pub domain: u16,
}

impl Caller {
    /// Creates a caller that is recognized by its IP address.
    pub fn from_ip(ip: IpAddr, domain: u16) -> Self {
        let key = match ip.to_canonical() {
            IpAddr::V4(ip) => xxh3_64(&ip.octets()),
            IpAddr::V6(ip) => xxh3_64(&ip.octets()),
        };
        Self { key, domain }
    }
}
