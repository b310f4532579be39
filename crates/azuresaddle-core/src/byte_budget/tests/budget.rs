//! Tests of the bytes that a budget grants and gets back.

use std::time::Duration;

use tokio::time::Instant;

use crate::byte_budget::{ByteBudget, HeldFor};
use crate::names::ClientAccount;

fn account(name: &str) -> ClientAccount {
    ClientAccount::new(name)
}

/// Guards against a leak: bytes that are not returned would refuse all requests after some time.
#[test]
fn dropped_permits_return_all_their_bytes() {
    let budget = ByteBudget::new(1000);
    let a = budget.account(&account("a"));
    let mut permit = a.try_take(HeldFor::Caller, 300).unwrap();
    let part = permit.split(100);
    assert!(permit.try_grow(50));
    assert_eq!((permit.bytes(), part.bytes()), (250, 100));
    let other = a.try_take(HeldFor::Target, 20).unwrap();
    assert_eq!(budget.held(HeldFor::Caller), 350);
    assert_eq!(budget.held(HeldFor::Target), 20);
    drop((permit, part, other));
    assert_eq!(budget.held(HeldFor::Caller), 0);
    assert_eq!(budget.held(HeldFor::Target), 0);
    assert!(a.try_take(HeldFor::Caller, 500).is_some());
}

/// Guards against one client account that uses up the memory of all others.
#[test]
fn no_client_account_holds_over_half_of_the_budget() {
    let budget = ByteBudget::new(1000);
    let a = budget.account(&account("a"));
    let b = budget.account(&account("b"));
    let held = a.try_take(HeldFor::Caller, 500);
    assert!(held.is_some());
    assert!(a.try_take(HeldFor::Caller, 1).is_none());
    assert!(a.try_take(HeldFor::Target, 1).is_none());
    let other = b.try_take(HeldFor::Caller, 500);
    assert!(other.is_some());
    assert!(
        budget
            .account(&account("c"))
            .try_take(HeldFor::Caller, 1)
            .is_none()
    );
}

/// Guards against requests that have not begun and hold all memory that answers in progress need.
#[test]
fn bodies_of_requests_leave_a_quarter_for_answers() {
    let budget = ByteBudget::new(1000);
    let a = budget.account(&account("a"));
    let b = budget.account(&account("b"));
    let _a = a.try_take(HeldFor::Target, 500).unwrap();
    assert!(b.try_take(HeldFor::Target, 251).is_none());
    let _b = b.try_take(HeldFor::Target, 250).unwrap();
    assert!(b.try_take(HeldFor::Caller, 250).is_some());
}

/// Guards against an answer that waits for memory and is not continued when memory becomes free.
#[tokio::test(start_paused = true)]
async fn a_waiting_permit_grows_when_bytes_are_returned() {
    let budget = ByteBudget::new(1000);
    let a = budget.account(&account("a"));
    let held = a.try_take(HeldFor::Caller, 400).unwrap();
    let mut permit = a.empty(HeldFor::Caller);
    let began = Instant::now();
    let release = async {
        tokio::time::sleep(Duration::from_millis(700)).await;
        drop(held);
    };
    tokio::join!(permit.grow(300), release);
    assert_eq!(began.elapsed(), Duration::from_millis(700));
    assert_eq!(budget.held(HeldFor::Caller), 300);
}

/// Guards against bytes that stay taken when the request that waited for them ends.
#[tokio::test(start_paused = true)]
async fn a_cancelled_wait_takes_no_bytes() {
    let budget = ByteBudget::new(1000);
    let a = budget.account(&account("a"));
    let held = a.try_take(HeldFor::Caller, 500).unwrap();
    let mut permit = a.empty(HeldFor::Caller);
    let waited = tokio::time::timeout(Duration::from_millis(10), permit.grow(100)).await;
    assert!(waited.is_err());
    drop((held, permit));
    assert_eq!(budget.held(HeldFor::Caller), 0);
}

/// Guards against a limit that refuses requests on a node whose settings state none.
#[test]
fn the_budget_is_a_third_of_the_memory_limit() {
    assert_eq!(ByteBudget::of_memory(160).total(), 53_333_333);
    assert_eq!(ByteBudget::of_memory(0).total(), u64::MAX);
}
