//! IP address of the other end of a connection.

use std::net::IpAddr;

/// IP address from which a connection was opened, as an extension of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerIp(pub IpAddr);
