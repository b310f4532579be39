//! Reservation requests of nodes and events of the reserved attempts.

use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_core::rules::AccountLimits;
use azuresaddle_sched::{Action, FallbackTarget, Outcome, ReservationRequest};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::actor::Control;
use super::owned_pool::{OwnedPool, Waiter};
use crate::peer::{Report, ReportKind, ReserveReply, ReserveRequest, TakeOver};

/// Maximum time that a call waits for a decision; the node then repeats the call.
const MAX_CALL_WAIT: Duration = Duration::from_secs(2);

/// Time after which an attempt is cancelled if no node reports it as in use. Within this time, a
/// caller can resume the answer through another node.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(8);

/// Time for which a refusal is kept that no call was waiting for.
const REFUSAL_RETENTION: Duration = Duration::from_secs(5);

impl<N: Network> Control<N> {
    pub(super) fn on_reserve(
        &mut self,
        now: Instant,
        req: ReserveRequest,
        reply: oneshot::Sender<ReserveReply>,
    ) {
        if !self.owns(&req.pool) || !self.may_decide(now) {
            let _ = reply.send(ReserveReply::NotOwner);
            return;
        }
        let Some(owned) = self.owned.get_mut(&req.pool) else {
            return;
        };
        if !owned.is_ready(now) {
            let _ = reply.send(ReserveReply::NotOwner);
            return;
        }
        owned.reserve(now, req, reply);
        self.dispatch_all();
    }

    /// Places a request of this node for a pool without a reachable owner.
    pub(super) fn on_fallback(
        &mut self,
        req: ReserveRequest,
        reply: oneshot::Sender<ReserveReply>,
    ) {
        let hosts = &self.hosts;
        let names = hosts.pools.get(&req.pool).into_iter().flatten();
        let targets: Vec<_> = names
            .filter(|name| !self.is_leaving(name) && !req.exclude.contains(name))
            .filter_map(|name| {
                hosts.engines.get(name).map(|engine| FallbackTarget {
                    name: name.clone(),
                    memory_tokens: engine.memory_tokens,
                })
            })
            .collect();
        let nodes = self.node_count();
        let memory = req.prompt_tokens + req.max_tokens;
        let placed = self
            .fallback
            .place(&mut self.rng, &targets, nodes, req.stream, memory);
        self.parts.metrics.count("fallback.placed");
        let _ = reply.send(match placed {
            Ok(grant) => ReserveReply::Reserved {
                grant,
                epoch: self.owners.get(&req.pool).map_or(Epoch(0), |o| o.epoch),
            },
            Err(refusal) => ReserveReply::Refused(refusal),
        });
    }

    pub(super) fn on_reports(&mut self, now: Instant, reports: Vec<Report>) {
        for report in reports {
            self.on_report(now, report);
        }
        self.dispatch_all();
    }

    fn on_report(&mut self, now: Instant, report: Report) {
        let Report { pool, stream, kind } = report;
        if !matches!(kind, ReportKind::FirstToken) {
            self.fallback.release(stream);
        }
        let Some(owned) = self.owned.get_mut(&pool) else {
            return;
        };
        match kind {
            ReportKind::FirstToken => owned.pool.on_first_token(now, stream),
            // Targets that lent memory to the first one are not informed of the end.
            ReportKind::Ended(outcome) if owned.pool.targets_of(stream).len() > 1 => {
                self.begin_cancel(now, &pool, stream, outcome);
            }
            ReportKind::Ended(outcome) => {
                owned.pool.on_end(now, stream, outcome);
                owned.remove_attempt(stream);
            }
            ReportKind::Abandoned { target_failed } => {
                let outcome = if target_failed {
                    owned.pool.on_unconfirmed_failure(now, stream);
                    Outcome::TargetFailed
                } else {
                    Outcome::Cancelled
                };
                self.begin_cancel(now, &pool, stream, outcome);
            }
        }
    }

    pub(super) fn on_take_over(&mut self, now: Instant, take_over: TakeOver) {
        if let Some(owned) = self.owned.get_mut(&take_over.pool) {
            owned.last_in_use.insert(take_over.stream, now);
            owned.pool.on_taken_over(take_over.stream, take_over.node);
        }
    }

    /// Runs the scheduler of each owned pool and sends its decisions to the waiting calls.
    pub(super) fn dispatch_all(&mut self) {
        let now = Instant::now();
        let may_decide = self.may_decide(now);
        for owned in self.owned.values_mut() {
            if may_decide && !owned.handing_over {
                owned.pool.dispatch(now);
            }
            owned.deliver(now);
        }
    }

    /// Replies to calls that have waited for [`MAX_CALL_WAIT`], and drops old refusals.
    pub(super) fn expire_waiters(&mut self, now: Instant) {
        for owned in self.owned.values_mut() {
            let expired: Vec<_> = owned
                .waiters
                .iter()
                .filter(|(_, waiter)| now - waiter.since > MAX_CALL_WAIT)
                .map(|(stream, _)| *stream)
                .collect();
            for stream in expired {
                if let Some(waiter) = owned.waiters.remove(&stream) {
                    let _ = waiter.reply.send(ReserveReply::Pending);
                }
            }
            owned
                .refusals
                .retain(|_, (_, at)| now - *at < REFUSAL_RETENTION);
        }
    }

    /// Cancels attempts that no live node waits for or relays.
    pub(super) fn cancel_orphans(&mut self, now: Instant) {
        let mut orphans = Vec::new();
        for (id, owned) in &mut self.owned {
            let is_stale = |(_, at): &(&StreamId, &Instant)| now - **at > ORPHAN_TIMEOUT;
            let stale: Vec<_> = owned
                .last_in_use
                .iter()
                .filter(is_stale)
                .map(|(s, _)| *s)
                .collect();
            for stream in stale {
                if is_waiting(owned, stream) {
                    owned.pool.on_end(now, stream, Outcome::Cancelled);
                    owned.remove_attempt(stream);
                    continue;
                }
                orphans.push((id.clone(), stream));
            }
        }
        for (id, stream) in orphans {
            tracing::info!("owner: no node waits for or relays {stream}, cancelling it");
            self.begin_cancel(now, &id, stream, Outcome::Cancelled);
        }
    }
}

fn is_waiting(owned: &OwnedPool, stream: StreamId) -> bool {
    owned.pool.knows(stream) && owned.pool.targets_of(stream).is_empty()
}

impl OwnedPool {
    fn reserve(&mut self, now: Instant, req: ReserveRequest, reply: oneshot::Sender<ReserveReply>) {
        let stream = req.stream;
        if let Some((refusal, _)) = self.refusals.remove(&stream) {
            let _ = reply.send(ReserveReply::Refused(refusal));
            return;
        }
        self.last_in_use.insert(stream, now);
        if let Some(grant) = self.grants.get(&stream).cloned() {
            let epoch = self.epoch;
            let _ = reply.send(ReserveReply::Reserved { grant, epoch });
            return;
        }
        self.pool.enqueue(now, to_reservation_request(now, req));
        self.waiters.insert(stream, Waiter { reply, since: now });
    }

    /// Sends the decisions of the pool to the waiting calls.
    fn deliver(&mut self, now: Instant) {
        for action in self.pool.take_actions() {
            match action {
                Action::Reserved(grant) => {
                    let stream = grant.stream;
                    self.grants.insert(stream, grant.clone());
                    if let Some(waiter) = self.waiters.remove(&stream) {
                        let epoch = self.epoch;
                        // If the call has been dropped, the node repeats it, or the attempt is
                        // cancelled after `ORPHAN_TIMEOUT`.
                        let _ = waiter.reply.send(ReserveReply::Reserved { grant, epoch });
                    }
                }
                Action::Refused { stream, refusal } => {
                    self.last_in_use.remove(&stream);
                    match self.waiters.remove(&stream) {
                        Some(waiter) => {
                            let _ = waiter.reply.send(ReserveReply::Refused(refusal));
                        }
                        None => {
                            self.refusals.insert(stream, (refusal, now));
                        }
                    }
                }
            }
        }
    }
}

fn to_reservation_request(now: Instant, req: ReserveRequest) -> ReservationRequest {
    ReservationRequest {
        stream: req.stream,
        node: req.node,
        account: req.account,
        prompt_tokens: req.prompt_tokens,
        max_tokens: req.max_tokens,
        prefix: req.prefix,
        priority: req.priority,
        first_token_target: req.first_token_target,
        deadline: now + req.time_left,
        weight: req.weight,
        limits: AccountLimits {
            max_in_flight: req.max_in_flight,
            max_tokens_per_second: req.max_tokens_per_second,
        },
        exclude: req.exclude,
    }
}
