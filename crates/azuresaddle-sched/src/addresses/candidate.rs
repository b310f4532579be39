//! A node whose address callers may be given.

use std::net::SocketAddr;

use super::load_level::LoadLevel;
use super::role::NodeRole;

/// A live node that accepts callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressCandidate {
    /// Random identifier of the node's process.
    pub incarnation: u64,
    /// Address for callers.
    pub addr: SocketAddr,
    /// Hash of the name of its failure domain.
    pub domain: u16,
    /// CPU share of its host, in thousandths of a core.
    pub cpu_milli: u32,
    /// What it does besides serving callers.
    pub role: NodeRole,
    /// How much of its host it uses.
    pub load: LoadLevel,
}

impl AddressCandidate {
    /// Relative number of requests that the node should get.
    pub fn weight(&self) -> f64 {
        // A host that states no share is still a candidate.
        f64::from(self.cpu_milli.max(1)) * self.role.factor() * self.load.factor()
    }
}
