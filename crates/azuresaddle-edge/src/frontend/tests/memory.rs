//! Test of the memory of a node on which every descriptor is used by a peer that does not read.

use std::time::Duration;

use azuresaddle_core::byte_budget::{ByteBudget, HeldFor};
use azuresaddle_core::prelude::Listener;

use crate::frontend::listener::MAX_CONNECTIONS;

use super::caller::{head_of, send};
use super::target::Events;
use super::test_node::{TestNode, TestOptions};

/// Descriptors for sockets on the smallest hosts.
const DESCRIPTORS: usize = 4100 - 200;

/// Memory limit of the smallest hosts, in megabytes.
const MEMORY_MB: u64 = 160;

/// What a connection of a caller takes beside the budget: a read buffer of 8 KB, a page of the write buffer, and the state
/// of a request.
const CALLER_CONNECTION_BYTES: u64 = 16 << 10;

/// What a connection to a target takes: the same without the state of a request, and one part of an answer that the
/// library has read ahead.
const TARGET_CONNECTION_BYTES: u64 = 22 << 10;

/// What the program takes without connections: the limit for control.
const PROGRAM_BYTES: u64 = 32_000_000;

/// Guards against limits that are each small enough and together exceed the memory of the smallest hosts.
#[test]
fn all_limits_together_stay_under_the_memory_limit() {
    let callers = MAX_CONNECTIONS as u64;
    let targets = DESCRIPTORS as u64 - callers;
    let connections = callers * CALLER_CONNECTION_BYTES + targets * TARGET_CONNECTION_BYTES;
    let budget = ByteBudget::of_memory(MEMORY_MB).total();
    let all = PROGRAM_BYTES + connections + budget;
    assert!(all < MEMORY_MB * 1_000_000, "{all}");
}

/// Guards against a process that is killed since each of its connections buffers little, but all of them too much.
#[tokio::test(start_paused = true)]
async fn streams_on_all_descriptors_stay_within_the_budget() {
    let node = TestNode::open(TestOptions {
        memory_mb: MEMORY_MB,
        ..TestOptions::default()
    });
    let budget = node.budget().clone();
    let TestNode { mut target, .. } = {
        // A stream uses one descriptor for its caller and one for its target.
        for number in 0..DESCRIPTORS / 2 {
            let account = if number % 2 == 0 { "a" } else { "b" };
            let caller = send(node.connect(), &head_of(account, "/events/1", "")).await;
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_secs(10)).await;
                drop(caller);
            });
        }
        node
    };
    let answer = Events {
        count: 300,
        length: 1000,
        interval: Duration::from_millis(1),
    };
    tokio::spawn(async move {
        while let Ok(stream) = target.accept().await {
            tokio::spawn(answer.answer(stream));
        }
    });
    let mut most = 0;
    for _ in 0..40 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        most = most.max(budget.held(HeldFor::Caller) + budget.held(HeldFor::Target));
    }
    assert!(most <= budget.total(), "{most}");
    assert!(most > budget.total() / 10 * 9, "only {most} were used");
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(budget.held(HeldFor::Caller), 0);
}
