//! A fleet of hosts of two sizes in three failure domains, and its callers.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use azuresaddle_sched::addresses::{
    AddressCandidate, Caller, LoadLevel, MAX_ADDRESSES, NodeRole, select_addresses,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub(super) const DOMAINS: usize = 3;

/// CPU shares of the two sizes of hosts, in thousandths of a core.
const LARGE: u32 = 500;
const SMALL: u32 = 120;

/// Large hosts among all: 6 of 81.
const LARGE_SHARE: f64 = 6.0 / 81.0;

/// Nodes that watch the store in a fleet without a full mesh of heartbeats.
const WATCHERS: usize = 4;

/// Fleet size up to which all nodes watch the store.
const MAX_MESH: usize = 12;

/// Creates a fleet in which the first large host is the owner.
pub(super) fn fleet(nodes: usize) -> Vec<AddressCandidate> {
    let large = ((nodes as f64 * LARGE_SHARE).round() as usize).max(1);
    (0..nodes).map(|n| node(n, n < large, nodes)).collect()
}

/// Creates node `n`, which is in failure domain `n % 3`.
pub(super) fn node(n: usize, is_large: bool, nodes: usize) -> AddressCandidate {
    let role = match n {
        0 => NodeRole::Owner,
        _ if n < WATCHERS || nodes <= MAX_MESH => NodeRole::Watcher,
        _ => NodeRole::Plain,
    };
    AddressCandidate {
        incarnation: 1_000_003 * (n as u64 + 1),
        addr: addr(n),
        domain: (n % DOMAINS) as u16,
        cpu_milli: if is_large { LARGE } else { SMALL },
        role,
        load: LoadLevel::Normal,
    }
}

fn addr(n: usize) -> SocketAddr {
    let [.., high, low] = (n as u32).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 8227))
}

/// Creates callers with random IP addresses; failure domain 0 has `skew` times as many as each other one.
pub(super) fn callers(count: usize, skew: f64, seed: u64) -> Vec<Caller> {
    let mut rng = StdRng::seed_from_u64(seed);
    let first = skew / (skew + (DOMAINS - 1) as f64);
    let mut caller = |n: usize| {
        let is_first = (n as f64) < count as f64 * first;
        let domain = if is_first { 0 } else { 1 + n % (DOMAINS - 1) };
        let ip = IpAddr::V4(Ipv4Addr::from(rng.random::<u32>()));
        Caller::from_ip(ip, domain as u16)
    };
    (0..count).map(&mut caller).collect()
}

/// What each node of a fleet gets, relative to its weighted share of all requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shares {
    pub(super) least: f64,
    pub(super) most: f64,
}

impl Shares {
    /// Shares if each caller spreads its requests evenly over the addresses that `answer` returns.
    pub(super) fn of(
        fleet: &[AddressCandidate],
        callers: &[Caller],
        answer: impl Fn(Caller) -> Vec<SocketAddr>,
    ) -> Self {
        let mut requests: HashMap<SocketAddr, f64> = HashMap::new();
        for caller in callers {
            let addrs = answer(*caller);
            for addr in &addrs {
                *requests.entry(*addr).or_default() += 1.0 / addrs.len() as f64;
            }
        }
        let weight: f64 = fleet.iter().map(AddressCandidate::weight).sum();
        let relative = |n: &AddressCandidate| {
            let got = requests.get(&n.addr).copied().unwrap_or(0.0) / callers.len() as f64;
            got * weight / n.weight()
        };
        let all: Vec<f64> = fleet.iter().map(relative).collect();
        Self {
            least: all.iter().copied().fold(f64::INFINITY, f64::min),
            most: all.iter().copied().fold(0.0, f64::max),
        }
    }

    pub(super) fn selected(fleet: &[AddressCandidate], callers: &[Caller]) -> Self {
        Self::of(fleet, callers, |c| select_addresses(fleet, c))
    }

    /// Shares if all callers get the first nodes of one ranking.
    pub(super) fn ranked(fleet: &[AddressCandidate], callers: &[Caller]) -> Self {
        Self::of(fleet, callers, |_| ranked(fleet))
    }
}

/// The answer of one ranking for all callers.
pub(super) fn ranked(fleet: &[AddressCandidate]) -> Vec<SocketAddr> {
    let mut nodes: Vec<&AddressCandidate> = fleet.iter().collect();
    nodes.sort_by_key(|n| (std::cmp::Reverse(n.cpu_milli), n.incarnation));
    let first = nodes.iter().take(MAX_ADDRESSES);
    first.map(|n| n.addr).collect()
}
