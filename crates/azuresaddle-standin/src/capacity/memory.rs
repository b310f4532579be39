//! Memory use of a pool's state.

use std::time::Duration;

use anyhow::{Context, Result};
use azuresaddle_core::prelude::*;
use azuresaddle_sched::{Pool, PoolOptions, ReservationRequest, TargetSpec};
use tokio::time::Instant;

/// Size of a page of memory, in bytes.
const PAGE_BYTES: u64 = 4096;

/// Memory use of one kind of state.
#[derive(Clone, Copy, Debug)]
pub struct MemoryCost {
    /// Kind of the state.
    pub name: &'static str,
    /// Number of items.
    pub count: usize,
    /// Resident bytes per item.
    pub bytes_each: f64,
}

/// Measures the resident memory of waiting requests and of reservations, at three counts each.
///
/// # Errors
/// Fails if the resident memory of the process cannot be read.
pub fn measure_memory() -> Result<Vec<MemoryCost>> {
    let mut costs = Vec::new();
    for count in [10_000, 20_000, 40_000] {
        costs.push(measure("waiting request", count, || pool_with(1, count))?);
    }
    for count in [256, 512, 1_024] {
        let make = || pool_with(count, count);
        costs.push(measure("target with one reservation", count, make)?);
    }
    Ok(costs)
}

fn measure(name: &'static str, count: usize, make: impl FnOnce() -> Pool) -> Result<MemoryCost> {
    let before = resident_bytes()?;
    let pool = make();
    let after = resident_bytes()?;
    // The pool is leaked so that the next measurement does not reuse its memory.
    std::mem::forget(pool);
    Ok(MemoryCost {
        name,
        count,
        bytes_each: after.saturating_sub(before) as f64 / count as f64,
    })
}

fn pool_with(targets: usize, requests: usize) -> Pool {
    let now = Instant::now();
    let options = PoolOptions {
        max_waiting: requests,
        ..PoolOptions::default()
    };
    let mut pool = Pool::new(now, options);
    for n in 0..targets {
        let name = HostName::new(format!("engine-{n:05}"));
        let memory_tokens = 400_000;
        pool.upsert_target(
            now,
            TargetSpec {
                name,
                memory_tokens,
            },
        );
    }
    for n in 0..requests {
        pool.enqueue(now, reservation_request(now, n as u128));
    }
    if targets > 1 {
        pool.dispatch(now);
    }
    pool
}

fn reservation_request(now: Instant, number: u128) -> ReservationRequest {
    ReservationRequest {
        stream: StreamId::first(RequestId(number)),
        node: HostName::new("entry-host-001"),
        account: ClientAccount::new("account-001"),
        prompt_tokens: 2_000,
        max_tokens: 512,
        prefix: vec![0; 2],
        priority: 0,
        first_token_target: Duration::from_millis(350),
        deadline: now + Duration::from_secs(3_600),
        weight: 1.0,
        limits: Default::default(),
        exclude: Vec::new(),
    }
}

fn resident_bytes() -> Result<u64> {
    let text = std::fs::read_to_string("/proc/self/statm").context("/proc/self/statm")?;
    let pages = text.split(' ').nth(1).context("no resident size")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}
