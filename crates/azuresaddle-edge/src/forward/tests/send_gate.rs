use std::time::Duration;

use azuresaddle_core::prelude::*;
use tokio::time::timeout;

use crate::forward::SendGate;

const WAIT: Duration = Duration::from_secs(1);

/// Guards against a request that is refused as not run and sent afterwards.
#[tokio::test(start_paused = true)]
async fn a_request_that_was_refused_is_not_sent() {
    let gate = SendGate::default();
    assert!(timeout(WAIT, gate.close_unsent()).await.is_ok());
    assert!(gate.is_closed());
    assert!(!gate.try_send());
}

/// Guards against a refusal as not run while a target may run the request, and against one that is withheld after the target
/// has declined it.
#[tokio::test(start_paused = true)]
async fn a_sent_request_is_refused_only_after_its_target_declined() {
    let gate = SendGate::default();
    assert!(gate.try_send());
    let refusal = gate.close_unsent();
    tokio::pin!(refusal);
    assert!(timeout(WAIT, &mut refusal).await.is_err());
    gate.on_not_run();
    assert!(timeout(WAIT, &mut refusal).await.is_ok());
    assert!(!gate.try_send());
}

/// Guards against a final answer that says that a request did not run although it was sent.
#[test]
fn a_closed_gate_tells_whether_the_request_may_have_run() {
    let unsent = SendGate::default();
    assert_eq!(unsent.close(), Verdict::NotRun);
    let sent = SendGate::default();
    assert!(sent.try_send());
    assert_eq!(sent.close(), Verdict::MayHaveRun);
}
