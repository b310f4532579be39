//! A store that is away for a while and comes back from an older copy.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use super::StandInPlatform;
use crate::platform::stand_in::desired_state::DesiredState;
use crate::platform::store::{PlatformStoreModel, StoreFault};

/// Time within which the operator and all targets have written again what they say.
const REWRITE_TIME: Duration = Duration::from_millis(1900);

/// Time after the return at which entries that nobody writes any more are removed: three of the targets' heartbeats.
const ABANDONED_ENTRY_LIFETIME: Duration = Duration::from_millis(2000);

/// How the store goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreRollback {
    /// Time for which it is away.
    pub outage: Duration,
    /// Age of the copy.
    pub copy_age: Duration,
    /// Seed of the order in which what was lost is written again.
    pub seed: u64,
}

impl StandInPlatform {
    /// Takes the store away and brings it back from an older copy; what its writers say is written again, in any
    /// order, after this returns.
    pub async fn roll_back_store(&self, how: StoreRollback) {
        self.store.set_fault(StoreFault::Silent);
        tokio::time::sleep(how.outage).await;
        self.store.roll_back(how.copy_age);
        self.store.set_fault(StoreFault::None);
        let desired_state = self.desired_state.clone();
        tokio::spawn(write_again(self.store.clone(), desired_state, how.seed));
    }
}

async fn write_again(store: PlatformStoreModel, desired_state: DesiredState, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut keys = desired_state.keys();
    keys.shuffle(&mut rng);
    let pause = REWRITE_TIME / (keys.len() as u32 + 1);
    for key in keys {
        tokio::time::sleep(pause.mul_f64(rng.random_range(0.5..1.0))).await;
        desired_state.write_again(&key);
    }
    tokio::time::sleep(ABANDONED_ENTRY_LIFETIME).await;
    for key in store.keys("servers/") {
        desired_state.remove_if_abandoned(&key);
    }
}
