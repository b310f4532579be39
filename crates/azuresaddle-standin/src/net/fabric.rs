//! State shared by all hosts of an in-memory network: listeners, connections and partitions.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use tokio::sync::mpsc;

use super::memory::MemoryNetwork;
use super::stream::{Link, MemoryStream};

/// First port assigned to a listener that binds port 0.
const FIRST_FREE_PORT: u16 = 40_000;

/// An in-memory network whose hosts can be partitioned or whose connections can be silenced; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Fabric {
    state: Arc<Mutex<State>>,
    bytes: Arc<AtomicU64>,
}

#[derive(Debug, Default)]
struct State {
    listeners: HashMap<SocketAddr, mpsc::UnboundedSender<MemoryStream>>,
    cuts: HashSet<(IpAddr, IpAddr)>,
    links: Vec<Weak<Link>>,
    next_port: u16,
}

impl Fabric {
    /// Returns the network of the host with this address.
    pub fn host(&self, ip: IpAddr) -> MemoryNetwork {
        MemoryNetwork::new(self.clone(), ip)
    }

    /// Partitions two hosts: open connections become silent, new ones never open.
    pub fn cut(&self, a: IpAddr, b: IpAddr) {
        self.lock().cuts.insert(pair(a, b));
        self.silence(a, b);
    }

    /// Ends the partition of two hosts: new connections open again, silent ones stay silent.
    pub fn heal(&self, a: IpAddr, b: IpAddr) {
        self.lock().cuts.remove(&pair(a, b));
    }

    /// Silences the open connections between two hosts for good; new ones work.
    pub fn silence(&self, a: IpAddr, b: IpAddr) {
        let mut state = self.lock();
        state.links.retain(|link| link.strong_count() > 0);
        let links: Vec<_> = state.links.iter().filter_map(Weak::upgrade).collect();
        drop(state);
        for link in links.iter().filter(|link| link.hosts == pair(a, b)) {
            link.silence();
        }
    }

    /// Returns the number of bytes written to all connections so far.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    pub(super) fn is_cut(&self, a: IpAddr, b: IpAddr) -> bool {
        self.lock().cuts.contains(&pair(a, b))
    }

    pub(super) fn listen(
        &self,
        mut addr: SocketAddr,
    ) -> Option<(SocketAddr, mpsc::UnboundedReceiver<MemoryStream>)> {
        let mut state = self.lock();
        if addr.port() == 0 {
            addr.set_port(FIRST_FREE_PORT + state.next_port);
            state.next_port += 1;
        }
        let taken = state.listeners.get(&addr).is_some_and(|tx| !tx.is_closed());
        if taken {
            return None;
        }
        let (tx, rx) = mpsc::unbounded_channel();
        state.listeners.insert(addr, tx);
        Some((addr, rx))
    }

    /// Opens a connection; returns `None` if nothing listens at the address.
    pub(super) fn open(&self, from: IpAddr, to: SocketAddr) -> Option<MemoryStream> {
        let mut state = self.lock();
        let listener = state.listeners.get(&to)?.clone();
        let link = Arc::new(Link::new(pair(from, to.ip()), Arc::clone(&self.bytes)));
        state.links.push(Arc::downgrade(&link));
        let (near, far) = MemoryStream::pair(&link);
        listener.send(far).ok()?;
        Some(near)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the two addresses in ascending order, so that both directions have the same pair.
fn pair(a: IpAddr, b: IpAddr) -> (IpAddr, IpAddr) {
    if a <= b { (a, b) } else { (b, a) }
}
