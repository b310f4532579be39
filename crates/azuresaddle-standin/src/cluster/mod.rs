//! A whole system in one process: stand-ins and nodes, on loopback or on an in-memory network.

mod networks;
mod spec;
mod system;

pub use networks::{HostNetworks, Loopback, MemoryHosts};
pub use spec::{ClusterSpec, EngineSpec, HostSpec, ServiceSpec};
pub use system::{ADMIN_TOKEN, Cluster, EngineHost, NodeHost};
