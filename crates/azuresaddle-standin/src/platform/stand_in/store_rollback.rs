//! An outage of the store after which it is restored from an older copy.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use super::StandInPlatform;
use crate::platform::stand_in::desired_state::DesiredState;
use crate::platform::store::{PlatformStoreModel, StoreFault};

/// Time within which the operator and all targets have rewritten their entries after a rollback.
pub(crate) const REWRITE_TIME: Duration = Duration::from_millis(1900);

/// Time after the rewrite at which entries without a writer are removed: at least three heartbeats of the targets.
const ABANDONED_ENTRY_LIFETIME: Duration = Duration::from_millis(2000);

/// Parameters of a rollback of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreRollback {
    /// Duration of the outage before the rollback.
    pub outage: Duration,
    /// Age of the copy that is restored.
    pub copy_age: Duration,
    /// Seed of the order and the times of the rewrites.
    pub seed: u64,
}

impl StandInPlatform {
    /// Makes the store unreachable, then restores it from an older copy. The writers rewrite their entries in
    /// random order after this method has returned.
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
