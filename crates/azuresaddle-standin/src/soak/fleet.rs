//! Node processes before a stand-in platform.

use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, Ordering};

use anyhow::Result;

use super::process::NodeProcess;
use super::proxy::Proxy;
use crate::platform::{PlatformOptions, StandInPlatform};

/// First port of the first fleet of a process; each fleet takes ten more.
const FIRST_PORT: u16 = 20_000;

/// Ports of a fleet.
const PORTS_PER_FLEET: u16 = 10;

/// Ports among which processes spread, so that test processes beside each other don't meet.
const PORT_RANGE: u16 = 30_000;

static FLEET_COUNT: AtomicU16 = AtomicU16::new(0);

/// Sizes of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetOptions {
    /// Nodes.
    pub nodes: u8,
    /// Targets.
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

/// Nodes, and the platform that they run on.
pub struct Fleet {
    /// The platform.
    pub platform: StandInPlatform,
    /// Nodes.
    pub nodes: Vec<NodeProcess>,
    /// Before the store, one for each node.
    pub store_proxies: Vec<Proxy>,
    /// Before the targets: engines, then plain ones.
    pub target_proxies: Vec<Proxy>,
}

impl Fleet {
    /// Starts a platform and its nodes, and waits until they are ready.
    ///
    /// # Errors
    /// Where something can't be started.
    pub async fn open(program: &Path, dir: &Path, options: FleetOptions) -> Result<Self> {
        let mut platform = StandInPlatform::open(options.platform).await?;
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
        let port = next_port();
        let ips: Vec<Ipv4Addr> = (0..options.nodes)
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

    /// Ends a target, by its number among engines and then plain ones, and starts it again under its name.
    ///
    /// # Errors
    /// Where its port can't be bound again.
    pub(super) async fn restart_target(&mut self, number: usize) -> std::io::Result<()> {
        let engines = self.platform.engines.len();
        if number < engines {
            self.platform.restart_engine(number).await
        } else {
            self.platform.restart_plain(number - engines).await
        }
    }
}

/// First of ten ports that no other fleet of this process uses.
pub(crate) fn next_port() -> u16 {
    let own = (std::process::id() as u16).wrapping_mul(7) % (PORT_RANGE / PORTS_PER_FLEET);
    let fleet = FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
    FIRST_PORT + (own.wrapping_add(fleet) % (PORT_RANGE / PORTS_PER_FLEET)) * PORTS_PER_FLEET
}
