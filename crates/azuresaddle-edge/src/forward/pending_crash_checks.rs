//! Crash checks that run while other sends of the same request are in flight.

use std::sync::Arc;

use azuresaddle_core::prelude::*;
use tokio::sync::oneshot;

use super::crash_check::check_for_crash;
use super::forwarder::Forwarder;
use super::head::ForwardRequest;
use super::sends_in_flight::PlainSend;

/// Crash checks of one request. They continue after the request ends, so that no crash is missed.
#[derive(Default)]
pub(super) struct PendingCrashChecks(Vec<oneshot::Receiver<()>>);

impl PendingCrashChecks {
    /// Begins to check the target of a send that got no answer.
    pub(super) fn begin<N: Network>(
        &mut self,
        cx: &Arc<Forwarder<N>>,
        req: &Arc<ForwardRequest>,
        send: PlainSend,
    ) {
        let (done, pending) = oneshot::channel();
        let (tasks, cx, req) = (cx.spawner.clone(), Arc::clone(cx), Arc::clone(req));
        tasks.spawn(async move {
            check_for_crash(&cx, &req, &req.prompt_parts, &send.target, send.sent_at).await;
            // Fails if the request has ended.
            let _ = done.send(());
        });
        self.0.push(pending);
    }

    /// Waits until all checks are done.
    pub(super) async fn finish(&mut self) {
        while let Some(pending) = self.0.last_mut() {
            // Fails if the process ends.
            let _ = pending.await;
            self.0.pop();
        }
    }
}
