//! Tests that records of a key merge to the same result in any order.

use azuresaddle_platform::{StoreEra, StoreItem, StorePosition};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use super::registry::item_of;
use crate::control::target_record::TargetRecord;

/// A change of one key.
#[derive(Clone, Copy, Debug)]
enum Change {
    Written,
    Draining,
    Removed,
    Restarted,
    RolledBack(usize),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        4 => Just(Change::Written),
        2 => Just(Change::Draining),
        2 => Just(Change::Removed),
        1 => Just(Change::Restarted),
        2 => (0..5_usize).prop_map(Change::RolledBack),
    ]
}

/// Returns all records of the key that nodes can have had: each change as the store reported it,
/// and the content of each older copy.
fn records(changes: &[Change]) -> Vec<TargetRecord> {
    let (mut born, mut number, mut state) = (1000, 0, "ready");
    let (mut era, mut revision) = (1, 0);
    let mut log: Vec<Option<StoreItem>> = Vec::new();
    let mut seen: Vec<TargetRecord> = Vec::new();
    let mut latest: Option<TargetRecord> = None;
    for change in changes {
        let position = StorePosition::new(StoreEra(era), revision + 1);
        match change {
            Change::RolledBack(steps) => {
                era += 1;
                log.truncate(log.len().saturating_sub(*steps));
                revision = log.len() as u64;
                if let Some(Some(item)) = log.last() {
                    let position = StorePosition::new(StoreEra(era), item.position.revision);
                    seen.push(
                        TargetRecord::from_item(StoreItem {
                            position,
                            ..item.clone()
                        })
                        .0,
                    );
                }
                continue;
            }
            Change::Removed => {
                if matches!(log.last(), None | Some(None)) {
                    continue;
                }
                log.push(None);
                if let Some(known) = &latest {
                    seen.push(known.removed(position));
                }
            }
            Change::Written | Change::Draining | Change::Restarted => {
                number += 1;
                match change {
                    Change::Draining => state = "draining",
                    Change::Restarted => (born, number, state) = (born + 1000, 1, "ready"),
                    _ => {}
                }
                let item = StoreItem {
                    position,
                    ..item_of("a", state, 1, born, number)
                };
                let record = TargetRecord::from_item(item.clone()).0;
                log.push(Some(item));
                latest = Some(record.clone());
                seen.push(record);
            }
        }
        revision += 1;
    }
    seen
}

proptest! {
    #[test]
    fn the_order_in_which_records_are_merged_does_not_matter(
        changes in proptest::collection::vec(change(), 1..14),
        seed in any::<u64>(),
    ) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut some = records(&changes);
        some.retain(|_| rng.random_bool(0.7));
        let Some(first) = some.first().cloned() else {
            return Ok(());
        };
        let merged = some.iter().fold(first, |known, r| known.merged(r));
        for _ in 0..5 {
            some.shuffle(&mut rng);
            let other = some.iter().fold(some[0].clone(), |known, r| known.merged(r));
            prop_assert_eq!(merged.is_removed(), other.is_removed());
            prop_assert_eq!(merged.entry(), other.entry());
        }
        prop_assert!(merged.is_same(&merged.merged(&merged)));
    }
}
