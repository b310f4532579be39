//! Reserves memory on helper engines for a prompt that is too large for one engine.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use azuresaddle_core::deployment::TargetEntry;
use azuresaddle_core::prelude::*;
use azuresaddle_platform::{
    HelperRef, RESERVATION_PATH, decode_reservation_answer, encode_release, encode_reserve,
};
use futures::future::join_all;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::attempt::SendFailure;
use super::forwarder::Forwarder;
use super::target_call::{TargetCall, call_target};

/// Time to live of a reservation without renewal, which bounds how long memory stays reserved after the node dies.
const RESERVATION_TTL: Duration = Duration::from_millis(3000);

/// Longest wait for a new reservation. All helpers may be silent for more than a second although they are sound.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for the remaining helpers once half of them have answered a new reservation, which shows that not all are
/// silent.
const MAX_LAG: Duration = Duration::from_millis(400);

/// Interval of renewals. Two in a row may fail before the reservation expires.
const RENEW_INTERVAL: Duration = Duration::from_millis(1000);

/// Memory reserved on helpers. It is renewed until this is dropped, then released.
pub(super) struct Reservations {
    pub(super) helpers: Vec<HelperRef>,
    _renewal: DropGuard,
}

/// Reserves memory for `tokens` tokens on each helper, under `name`.
///
/// # Errors
/// A helper that did not make the reservation. The reservations on the others are released.
pub(super) async fn reserve<N: Network>(
    cx: &Arc<Forwarder<N>>,
    helpers: &[Arc<TargetEntry>],
    name: &str,
    tokens: u64,
) -> Result<Reservations, HostName> {
    let stopped = CancellationToken::new();
    // The task renews and releases all reservations, including those whose answer is lost or no longer awaited.
    cx.spawner.spawn(renew(
        Arc::clone(cx),
        helpers.to_vec(),
        name.to_owned(),
        tokens,
        stopped.clone(),
    ));
    let renewal = stopped.drop_guard();
    let answers = request_new(cx, helpers, name, tokens).await;
    for (helper, answer) in helpers.iter().zip(answers) {
        if let Err(e) = answer {
            tracing::info!(
                part = "forward",
                target = %helper.id,
                reservation = name,
                failure = %e,
                "memory not reserved"
            );
            return Err(helper.id.clone());
        }
    }
    let helpers = helpers.iter().map(|helper| HelperRef {
        addr: helper.addr,
        reservation: Some(name.to_owned()),
    });
    Ok(Reservations {
        helpers: helpers.collect(),
        _renewal: renewal,
    })
}

/// Requests a new reservation on each helper. Helpers that lag too far behind the others count as timed out.
async fn request_new<N: Network>(
    cx: &Arc<Forwarder<N>>,
    helpers: &[Arc<TargetEntry>],
    name: &str,
    tokens: u64,
) -> Vec<Result<(), SendFailure>> {
    let answered = AtomicUsize::new(0);
    let half_answered = CancellationToken::new();
    let requests = helpers.iter().map(async |helper| {
        let body = encode_reserve(name, tokens, ttl_ms(), false);
        let call = TargetCall::post(RESERVATION_PATH, body).with_timeout(RESERVE_TIMEOUT);
        tokio::select! {
            biased;
            answer = send_request(cx, helper, call) => {
                if 2 * (answered.fetch_add(1, Ordering::Relaxed) + 1) >= helpers.len() {
                    half_answered.cancel();
                }
                answer
            }
            () = until_lagging(&half_answered) => Err(SendFailure::TimedOut),
        }
    });
    join_all(requests).await
}

/// Waits until a helper lags too far behind those that have answered.
async fn until_lagging(half_answered: &CancellationToken) {
    half_answered.cancelled().await;
    tokio::time::sleep(MAX_LAG).await;
}

fn ttl_ms() -> u64 {
    u64::try_from(RESERVATION_TTL.as_millis()).unwrap_or(u64::MAX)
}

/// Renews the reservations until `stopped` is cancelled, then releases them.
async fn renew<N: Network>(
    cx: Arc<Forwarder<N>>,
    mut helpers: Vec<Arc<TargetEntry>>,
    name: String,
    tokens: u64,
    stopped: CancellationToken,
) {
    loop {
        tokio::select! {
            () = stopped.cancelled() => break,
            () = tokio::time::sleep(RENEW_INTERVAL) => {}
        }
        // A restarted helper has lost the reservation. Renewal would reserve memory that nothing uses.
        let snapshot = cx.snapshots.load();
        helpers.retain(|h| !snapshot.targets.has_restarted(h));
        let body = encode_reserve(&name, tokens, ttl_ms(), false);
        send_to_all(&cx, &helpers, &name, &body).await;
    }
    send_to_all(&cx, &helpers, &name, &encode_release(&name)).await;
}

/// Sends one request to all helpers.
async fn send_to_all<N: Network>(
    cx: &Arc<Forwarder<N>>,
    helpers: &[Arc<TargetEntry>],
    name: &str,
    body: &[u8],
) {
    let requests = helpers.iter().map(|helper| {
        let call = TargetCall::post(RESERVATION_PATH, body.to_vec());
        send_request(cx, helper, call)
    });
    log_failures(helpers, name, &join_all(requests).await);
}

/// Logs failed requests. No retry is needed, since reservations expire.
fn log_failures(helpers: &[Arc<TargetEntry>], name: &str, answers: &[Result<(), SendFailure>]) {
    for (helper, answer) in helpers.iter().zip(answers) {
        if let Err(e) = answer {
            tracing::info!(
                part = "forward",
                target = %helper.id,
                reservation = name,
                failure = %e,
                "reservation request failed"
            );
        }
    }
}

/// Sends a request that reserves or releases memory, and checks the answer.
async fn send_request<N: Network>(
    cx: &Arc<Forwarder<N>>,
    target: &TargetEntry,
    call: TargetCall,
) -> Result<(), SendFailure> {
    let answer = call_target(cx, target, call).await?;
    decode_reservation_answer(&answer)
        .map(|_| ())
        .map_err(|e| SendFailure::Broken(e.to_string()))
}
