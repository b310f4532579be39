//! What all clients share: looking up addresses and sending one attempt.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::fleet::Addresses;
use crate::http::{Message, exchange};
use crate::json::Json;

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A new number, which no other call returns.
pub fn next_number() -> u64 {
    NEXT.fetch_add(1, Ordering::SeqCst)
}

/// A new attempt id, with a letter for its kind.
pub fn attempt_id(kind: char) -> String {
    format!("{kind}{:015x}", next_number())
}

/// A small source of random numbers.
pub fn random(below: usize) -> usize {
    let mut mixed = next_number().wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^= mixed >> 29;
    mixed = mixed.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed >> 33) as usize % below.max(1)
}

/// Looks up the addresses to use: at most three nodes are asked, the nearest first.
pub fn resolve(addresses: Addresses, nearest_first: &[u8]) -> Vec<SocketAddr> {
    for number in nearest_first.iter().take(3) {
        let addr = addresses.directory(*number);
        let line = "GET /resolve?name=desk.example&region=r1&zone=z1 HTTP/1.1";
        let answer = exchange(addr, line, &[("Host", "r")], b"", Duration::from_secs(1));
        let Some(answer) = answer.ok().filter(|a| a.status() == 200) else {
            continue;
        };
        let found = Json::parse(&answer.body);
        let found = found.as_ref().and_then(|b| b.get("addresses"));
        let found: Vec<SocketAddr> = found
            .map_or(&[][..], Json::list)
            .iter()
            .filter_map(|a| a.text()?.parse().ok())
            .collect();
        if !found.is_empty() {
            return found;
        }
    }
    Vec::new()
}

/// Sends one attempt to a node and reads the whole answer.
pub fn send(
    node: SocketAddr,
    path: &str,
    attempt: &str,
    extra: &[(&str, &str)],
    deadline: Duration,
) -> io::Result<Message> {
    let deadline_ms = deadline.as_millis().to_string();
    let mut headers = vec![
        ("Host", "desk.example"),
        ("Azuresaddle-Attempt-Id", attempt),
        ("Azuresaddle-Deadline-Ms", deadline_ms.as_str()),
    ];
    headers.extend_from_slice(extra);
    exchange(
        node,
        &format!("POST {path} HTTP/1.1"),
        &headers,
        b"{}",
        deadline,
    )
}
