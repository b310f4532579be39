//! Node processes on a stand-in platform.

use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, Ordering};

use anyhow::Result;

use super::process::NodeProcess;
use super::proxy::Proxy;
use crate::platform::{PlatformOptions, StandInPlatform};

/// First port of the range from which fleets take their ports.
const FIRST_PORT: u16 = 20_000;

/// Number of ports of a fleet.
const PORTS_PER_FLEET: u16 = 10;

/// Size of the port range; each process starts at another place in it, so that concurrent test processes don't
/// collide.
const PORT_RANGE: u16 = 30_000;

/// Address of the first node of a fleet of processes.
const FIRST_NODE: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 10);

static FLEET_COUNT: AtomicU16 = AtomicU16::new(0);

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetOptions {
    /// Number of nodes.
    pub nodes: u8,
    /// Number of targets.
    pub platform: PlatformOptions,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            nodes: 3,
            platform: PlatformOptions::default(),
        }
    }
}

/// Node processes and the stand-in platform that they run on.
pub struct Fleet {
    /// The platform.
    pub platform: StandInPlatform,
    /// Nodes.
    pub nodes: Vec<NodeProcess>,
    /// Proxies in front of the store, one per node.
    pub store_proxies: Vec<Proxy>,
    /// Proxies in front of the targets: engines first, then plain targets.
    pub target_proxies: Vec<Proxy>,
}

impl Fleet {
    /// Starts a platform and its nodes, and waits until all nodes are ready.
    ///
    /// # Errors
    /// Returns an error if the platform, a proxy or a node can't be started, or a node is not ready in time.
    pub async fn open(program: &Path, dir: &Path, options: FleetOptions) -> Result<Self> {
        let platform = StandInPlatform::open(options.platform).await?;
        Self::open_on(platform, program, dir, options.nodes).await
    }

    /// Starts nodes on a platform, and waits until all of them are ready.
    ///
    /// # Errors
    /// Returns an error if a proxy or a node can't be started, or a node is not ready in time.
    pub async fn open_on(
        mut platform: StandInPlatform,
        program: &Path,
        dir: &Path,
        nodes: u8,
    ) -> Result<Self> {
        let target_proxies = spawn_target_proxies(&mut platform).await?;
        let port = next_port();
        let ips: Vec<Ipv4Addr> = (0..nodes)
            .map(|n| Ipv4Addr::new(127, 0, 0, 10 + n))
            .collect();
        let mut nodes = Vec::new();
        let mut store_proxies = Vec::new();
        for (n, ip) in ips.iter().enumerate() {
            let proxy = Proxy::spawn(platform.store_addr).await?;
            let name = format!("n{n}");
            let seeds = &ips[..ips.len().min(2)];
            let settings = platform.settings_with_store(&name, *ip, port, seeds, proxy.addr);
            let dir = PathBuf::from(dir);
            nodes.push(NodeProcess::spawn(
                program,
                &dir,
                &name,
                (*ip, port),
                &settings,
            )?);
            store_proxies.push(proxy);
        }
        for node in &nodes {
            node.wait_until_ready().await?;
        }
        Ok(Self {
            platform,
            nodes,
            store_proxies,
            target_proxies,
        })
    }

    /// Returns the number of the node that owns the placement of streams, if one does.
    pub async fn owner(&self) -> Option<usize> {
        for (n, node) in self.nodes.iter().enumerate() {
            let metrics = node.metrics().await;
            if metrics.is_some_and(|text| text.contains("azuresaddle_owner 1")) {
                return Some(n);
            }
        }
        None
    }

    /// Kills and restarts a target under the same name; `number` counts engines first, then plain targets.
    ///
    /// # Errors
    /// Returns an error if its port can't be bound again.
    pub(super) async fn restart_target(&mut self, number: usize) -> std::io::Result<()> {
        let engines = self.platform.engines.len();
        if number < engines {
            self.platform.restart_engine(number).await
        } else {
            self.platform.restart_plain(number - engines).await
        }
    }
}

/// Returns the first of ten ports that no other fleet of this process uses, nor one of another process at this moment.
pub fn next_port() -> u16 {
    let own = (std::process::id() as u16).wrapping_mul(7) % (PORT_RANGE / PORTS_PER_FLEET);
    loop {
        let fleet = FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
        let place = own.wrapping_add(fleet) % (PORT_RANGE / PORTS_PER_FLEET);
        let port = FIRST_PORT + place * PORTS_PER_FLEET;
        // The first node of a fleet listens for heartbeats on one of its ports.
        let is_free = |port| std::net::UdpSocket::bind((FIRST_NODE, port)).is_ok();
        if (port..port + PORTS_PER_FLEET).all(is_free) {
            return port;
        }
    }
}

/// Starts a proxy before each target, and registers the targets with the addresses of their proxies.
async fn spawn_target_proxies(platform: &mut StandInPlatform) -> Result<Vec<Proxy>> {
    let mut target_proxies = Vec::new();
    let targets: Vec<_> = platform
        .engines
        .iter()
        .chain(&platform.plain)
        .cloned()
        .collect();
    for target in targets {
        let proxy = Proxy::spawn(target.addr()).await?;
        platform.register_behind_proxy(&target, proxy.addr);
        target_proxies.push(proxy);
    }
    Ok(target_proxies)
}
