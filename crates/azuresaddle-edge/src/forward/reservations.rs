//! Memory on several engines for a prompt that no single one can hold.

use std::sync::Arc;
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

/// Time for which memory is held without renewal: a node that dies leaves it for no longer.
const RESERVATION_TTL: Duration = Duration::from_millis(3000);

/// Time between renewals; two may fail before the hold ends.
const RENEW_INTERVAL: Duration = Duration::from_millis(1000);

/// Memory reserved on helpers; renewed until dropped, then released.
pub(super) struct Reservations {
    pub(super) helpers: Vec<HelperRef>,
    _renewal: DropGuard,
}

/// Reserves `tokens` on each helper.
///
/// # Errors
/// The helper that did not reserve; what others reserved is released.
pub(super) async fn reserve<N: Network>(
    cx: &Arc<Forwarder<N>>,
    helpers: &[Arc<TargetEntry>],
    name: &str,
    tokens: u64,
) -> Result<Reservations, HostName> {
    let orders = helpers
        .iter()
        .map(|helper| order(cx, helper, encode_reserve(name, tokens, ttl_ms(), false)));
    let answers = join_all(orders).await;
    let stopped = CancellationToken::new();
    // From here on the task releases whatever was reserved, also where an answer was lost.
    cx.spawner.spawn(renew(
        Arc::clone(cx),
        helpers.to_vec(),
        name.to_owned(),
        tokens,
        stopped.clone(),
    ));
    let renewal = stopped.drop_guard();
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

fn ttl_ms() -> u64 {
    u64::try_from(RESERVATION_TTL.as_millis()).unwrap_or(u64::MAX)
}

/// Renews until it is stopped, then releases.
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
        // A helper that has started again holds nothing; renewing would reserve memory for nobody.
        let snapshot = cx.snapshots.load();
        helpers.retain(|h| !snapshot.targets.has_restarted(h));
        let body = encode_reserve(&name, tokens, ttl_ms(), false);
        order_all(&cx, &helpers, &name, &body).await;
    }
    order_all(&cx, &helpers, &name, &encode_release(&name)).await;
}

/// Sends one order to all helpers.
async fn order_all<N: Network>(
    cx: &Arc<Forwarder<N>>,
    helpers: &[Arc<TargetEntry>],
    name: &str,
    body: &[u8],
) {
    let orders = helpers.iter().map(|h| order(cx, h, body.to_vec()));
    log_failures(helpers, name, &join_all(orders).await);
}

/// The hold ends by itself, so a lost order needs no more than a line.
fn log_failures(helpers: &[Arc<TargetEntry>], name: &str, answers: &[Result<(), SendFailure>]) {
    for (helper, answer) in helpers.iter().zip(answers) {
        if let Err(e) = answer {
            tracing::info!(
                part = "forward",
                target = %helper.id,
                reservation = name,
                failure = %e,
                "order failed"
            );
        }
    }
}

/// Sends one order.
async fn order<N: Network>(
    cx: &Arc<Forwarder<N>>,
    target: &TargetEntry,
    body: Vec<u8>,
) -> Result<(), SendFailure> {
    let answer = call_target(cx, target, TargetCall::post(RESERVATION_PATH, body)).await?;
    decode_reservation_answer(&answer)
        .map(|_| ())
        .map_err(|e| SendFailure::Broken(e.to_string()))
}
