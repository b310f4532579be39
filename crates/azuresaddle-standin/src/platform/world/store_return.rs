//! A store that is away for a while and comes back from an older copy.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use super::World;
use crate::platform::store::{PlatformStoreModel, StoreFault};
use crate::platform::world::written::Written;

/// Time within which the operator and all targets have written again what they say.
const WRITTEN_AGAIN: Duration = Duration::from_millis(1900);

/// Time after the return at which entries that nobody writes any more are removed: three of the targets' heartbeats.
const ABANDONED: Duration = Duration::from_millis(2000);

/// How the store goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreReturn {
    /// Time for which it is away.
    pub away: Duration,
    /// Age of the copy.
    pub by: Duration,
    /// Seed of the order in which what was lost is written again.
    pub seed: u64,
}

impl World {
    /// Takes the store away and brings it back from an older copy; what its writers say is written again, in any
    /// order, after this returns.
    pub async fn return_store(&self, how: StoreReturn) {
        self.store.set_fault(StoreFault::Silent);
        tokio::time::sleep(how.away).await;
        self.store.go_back(how.by);
        self.store.set_fault(StoreFault::None);
        let written = self.written.clone();
        tokio::spawn(write_again(self.store.clone(), written, how.seed));
    }
}

async fn write_again(store: PlatformStoreModel, written: Written, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut keys = written.keys();
    keys.shuffle(&mut rng);
    let pause = WRITTEN_AGAIN / (keys.len() as u32 + 1);
    for key in keys {
        tokio::time::sleep(pause.mul_f64(rng.random_range(0.5..1.0))).await;
        written.write_again(&key);
    }
    tokio::time::sleep(ABANDONED).await;
    for key in store.keys("servers/") {
        written.remove_if_abandoned(&key);
    }
}
