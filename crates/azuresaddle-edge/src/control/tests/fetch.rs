//! Fetches from other nodes.

use tokio::sync::mpsc;

use crate::control::fetch::{FetchScope, Fetched, PendingFetch};
use crate::peer::PeerState;

fn pending() -> (PendingFetch, mpsc::Receiver<Fetched>) {
    let (tx, rx) = mpsc::channel(1);
    let scope = FetchScope::All { from_settled: true };
    let fetch = PendingFetch {
        scope,
        unanswered_by: None,
        state: None,
        tx,
    };
    (fetch, rx)
}

/// Guards against a node that fetches nothing more, since the task of one fetch has ended without a result.
#[tokio::test]
async fn a_fetch_whose_task_panics_is_over() {
    let (fetch, mut rx) = pending();
    let task = tokio::spawn(async move {
        let _fetch = fetch;
        panic!("expected by the test");
    });
    assert!(task.await.is_err());
    let fetched = rx.try_recv();
    assert!(fetched.is_ok_and(|f| f.state.is_none()));
}

#[tokio::test]
async fn the_state_of_a_fetch_arrives_once() {
    let (fetch, mut rx) = pending();
    fetch.finish(Some(PeerState::default()));
    assert!(rx.try_recv().is_ok_and(|f| f.state.is_some()));
    assert!(rx.try_recv().is_err());
}
