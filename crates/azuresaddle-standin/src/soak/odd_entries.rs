//! Another writer, which leaves odd entries among those of the targets and takes them away again.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use super::callers::SoakState;
use crate::platform::{PlatformStoreModel, draining_entry};

/// Longest pause between two entries.
const MAX_PAUSE: Duration = Duration::from_millis(1500);

/// Longest time for which an entry stays.
const MAX_STAY: Duration = Duration::from_millis(3000);

/// Depths of nested arrays and objects.
const DEEP_ARRAYS: usize = 200_000;
const DEEP_OBJECTS: usize = 100_000;

/// Length of a long key, in bytes.
const LONG_KEY_BYTES: usize = 20_000;

/// Leaves odd entries until the soak is stopped.
pub(super) async fn run_odd_writer(shared: Arc<SoakState>, store: PlatformStoreModel, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut number = 0;
    while !shared.stopped.is_cancelled() {
        tokio::time::sleep(MAX_PAUSE.mul_f64(rng.random_range(0.0..1.0))).await;
        number += 1;
        let (what, key, value) = odd_entry(rng.random_range(0..KINDS), number);
        shared.record_fault(format!("odd entry {number}: {what}"));
        shared.count("odd entries");
        store.put(&key, value);
        let stay = MAX_STAY.mul_f64(rng.random_range(0.0..1.0));
        let store = store.clone();
        tokio::spawn(async move {
            tokio::time::sleep(stay).await;
            store.remove(&key);
        });
    }
}

/// Number of kinds of odd entries.
const KINDS: usize = FIELDS.len() + OTHER_KINDS;

const OTHER_KINDS: usize = 7;

/// Fields with odd values, as JSON text.
const FIELDS: [(&str, &str); 25] = [
    ("cold_remaining_ms", "1e22"),
    ("cold_remaining_ms", "1e17"),
    ("cold_remaining_ms", "1e400"),
    ("cold_remaining_ms", "-1e30"),
    ("cold_remaining_ms", "\"soon\""),
    ("sequence", "18446744073709551615"),
    ("sequence", "184467440737095516150"),
    ("sequence", "-1"),
    ("born", "18446744073709551615"),
    ("born", "184467440737095516150"),
    ("born", "1.5"),
    ("slots", "0"),
    ("slots", "4294967295"),
    ("slots", "4294967296"),
    ("address", "\"127.0.0.1:99999\""),
    ("address", "\"127.0.0.1:0\""),
    ("address", "\"\""),
    ("address", "7"),
    ("state", "\"asleep\""),
    ("state", "null"),
    ("service", "\"unknown\""),
    ("service", "\"\""),
    ("service", "[]"),
    ("zone", "\"\""),
    ("version", "{}"),
];

/// A kind of odd entry: a description, its key and its value.
fn odd_entry(kind: usize, number: u64) -> (String, String, Vec<u8>) {
    let key = format!("servers/odd-{number}");
    if let Some((field, value)) = FIELDS.get(kind) {
        let value_of_field = format!("{field} {value}");
        return (value_of_field, key, entry_with(field, value).into_bytes());
    }
    let (what, key, value) = match kind - FIELDS.len() {
        0 => ("deep arrays", key, "[".repeat(DEEP_ARRAYS).into_bytes()),
        1 => ("deep objects", key, deep_objects().into_bytes()),
        2 => ("bytes that are no text", key, vec![0xff, 0xfe, 0x00, 0x80]),
        3 => ("nothing", key, Vec::new()),
        4 => ("no fields", key, b"{}".to_vec()),
        5 => {
            let long = format!("{key}-{}", "x".repeat(LONG_KEY_BYTES));
            (
                "a long key",
                long,
                draining_entry().to_string().into_bytes(),
            )
        }
        _ => {
            let entry = draining_entry().to_string().into_bytes();
            ("an empty key", "servers/".to_owned(), entry)
        }
    };
    (what.to_owned(), key, value)
}

/// The entry with one field replaced by a value that [`Value`] may not be able to hold.
fn entry_with(field: &str, value: &str) -> String {
    let mut entry = draining_entry();
    entry[field] = json!("?");
    entry.to_string().replace("\"?\"", value)
}

fn deep_objects() -> String {
    let depth = DEEP_OBJECTS;
    format!("{}1{}", "{\"a\":".repeat(depth), "}".repeat(depth))
}
