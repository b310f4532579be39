//! Tests of bodies that are read into counted memory.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{Full, StreamBody};
use hyper::body::{Body, Frame};
use tokio::time::Instant;

use crate::byte_budget::{
    AccountBudget, ByteBudget, HeldFor, ReadError, ReadLimits, WhenFull, read_held,
};
use crate::names::ClientAccount;

const PAUSE: Duration = Duration::from_millis(100);

fn limits(when_full: WhenFull) -> ReadLimits {
    ReadLimits {
        held_for: HeldFor::Target,
        max_bytes: 100_000,
        max_pause: Duration::from_secs(3),
        end: Instant::now() + Duration::from_secs(20),
        when_full,
    }
}

fn account(budget: &ByteBudget) -> AccountBudget {
    budget.account(&ClientAccount::new("a"))
}

/// A body of unknown length in chunks of 1,000 bytes, with a pause before each.
fn chunks(count: usize, pause: Duration) -> impl Body<Data = Bytes, Error = Infallible> {
    let chunks = futures::stream::iter(0..count).then(move |_| async move {
        tokio::time::sleep(pause).await;
        Ok(Frame::data(Bytes::from(vec![b'x'; 1000])))
    });
    StreamBody::new(chunks)
}

/// Guards against memory that is freed without being returned to the budget, or returned while it is in use.
#[tokio::test(start_paused = true)]
async fn a_body_is_counted_until_its_last_clone_is_dropped() {
    let budget = ByteBudget::new(1_000_000);
    let body = Full::new(Bytes::from(vec![b'x'; 5000]));
    let limits = limits(WhenFull::Fail);
    let read = read_held(body, &account(&budget), &limits).await.unwrap();
    assert_eq!(budget.held(HeldFor::Target), 5000);
    let clone = read.clone();
    drop(read);
    assert_eq!(budget.held(HeldFor::Target), 5000);
    drop(clone);
    assert_eq!(budget.held(HeldFor::Target), 0);
}

/// Guards against a body of unknown length that takes more memory than is counted for it.
#[tokio::test(start_paused = true)]
async fn a_body_of_unknown_length_is_counted_as_it_grows() {
    let budget = ByteBudget::new(1_000_000);
    let limits = limits(WhenFull::Fail);
    let read = read_held(chunks(30, PAUSE), &account(&budget), &limits).await;
    let read = read.unwrap();
    assert_eq!(read.len(), 30_000);
    assert!(budget.held(HeldFor::Target) >= 30_000);
    let small = ByteBudget::new(20_000);
    let read = read_held(chunks(30, PAUSE), &account(&small), &limits).await;
    assert_eq!(read.unwrap_err(), ReadError::NoRoom);
    assert_eq!(small.held(HeldFor::Target), 0);
}

/// Guards against a large body whose first part is read although the rest does not fit.
#[tokio::test(start_paused = true)]
async fn a_body_of_known_length_that_does_not_fit_is_not_read() {
    let budget = ByteBudget::new(5000);
    let body = Full::new(Bytes::from(vec![b'x'; 5000]));
    let limits = limits(WhenFull::Fail);
    let read = read_held(body, &account(&budget), &limits).await;
    assert_eq!(read.unwrap_err(), ReadError::NoRoom);
}

/// Guards against callers that begin a body and then send nothing, and against those that send too much.
#[tokio::test(start_paused = true)]
async fn a_body_that_pauses_or_is_too_long_is_given_up() {
    let budget = ByteBudget::new(1_000_000);
    let limits = limits(WhenFull::Fail);
    let slow = chunks(2, Duration::from_secs(4));
    let began = Instant::now();
    let read = read_held(slow, &account(&budget), &limits).await;
    assert_eq!(read.unwrap_err(), ReadError::TooSlow);
    assert_eq!(began.elapsed(), Duration::from_secs(3));
    let long = chunks(101, Duration::ZERO);
    let read = read_held(long, &account(&budget), &limits).await;
    assert_eq!(read.unwrap_err(), ReadError::TooLarge(100_000));
    assert_eq!(budget.held(HeldFor::Target), 0);
}

/// Guards against an answer that has run and is lost because memory is short for a moment.
#[tokio::test(start_paused = true)]
async fn an_answer_waits_for_memory() {
    let budget = ByteBudget::new(10_000);
    let a = account(&budget);
    let held = a.try_take(HeldFor::Caller, 5000).unwrap();
    let limits = limits(WhenFull::Wait);
    let release = async {
        tokio::time::sleep(Duration::from_secs(2)).await;
        drop(held);
    };
    let body = Full::new(Bytes::from(vec![b'x'; 5000]));
    let (read, ()) = tokio::join!(read_held(body, &a, &limits), release);
    assert_eq!(read.unwrap().len(), 5000);
}
