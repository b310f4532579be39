//! Gets a reservation from the owner of a pool, or a fallback placement if no owner answers.

use std::net::SocketAddr;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use azuresaddle_sched::choose_pool;
use tokio::time::Instant;

use super::job::Job;
use super::problems;
use super::state::Traffic;
use crate::peer::{PeerClient, ReserveReply, ReserveRequest};

/// Maximum wait for an owner's reply; an owner replies to a waiting request every two seconds.
const OWNER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without an owner's reply after which a request is placed without an owner.
const FALLBACK_AFTER: Duration = Duration::from_secs(2);

/// Maximum time until a pool has a new owner, while the store can be reached. A request that can't
/// be placed without an owner waits this long for one.
const NEW_OWNER_TIMEOUT: Duration = Duration::from_secs(15);

/// Delay before the request to the owner is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A reservation with the addresses of its targets.
#[derive(Clone, Debug)]
pub(super) struct Placement {
    pub(super) pool: PoolId,
    pub(super) stream: StreamId,
    /// The lead target first.
    pub(super) targets: Vec<(HostName, SocketAddr)>,
    pub(super) memory_tokens: u64,
    pub(super) epoch: Epoch,
}

impl<N: Network> Traffic<N> {
    /// Chooses the pool for a job; fails if no pool is large enough.
    pub(super) fn choose_pool(&self, job: &Job) -> Result<PoolId, Problem> {
        let snapshot = self.snapshot.load();
        let memory = job.prompt_tokens() + job.max_tokens;
        let pools: Vec<_> = snapshot.hosts.pools_of(&job.model).collect();
        let largest = pools
            .iter()
            .map(|pool| snapshot.hosts.pool_memory(pool))
            .max();
        if largest.is_none_or(|largest| largest < memory) {
            let detail =
                format!("the request needs {memory} tokens of memory, more than any pool has");
            let status = hyper::StatusCode::PAYLOAD_TOO_LARGE;
            return Err(Problem::not_run(status, "too-large", detail));
        }
        let now = Instant::now();
        let digests = snapshot
            .digests
            .iter()
            .filter(|seen| seen.digest.pool.model == job.model)
            .map(|received| (&received.digest, now - received.received_at));
        let chosen = choose_pool(digests, &self.settings.domain, job.then.pool, memory);
        if let Some(pool) = chosen {
            return Ok(pool.clone());
        }
        // No digest helps: takes a pool that is large enough, if possible in this failure domain.
        let is_large_enough = |pool: &&&PoolId| snapshot.hosts.pool_memory(pool) >= memory;
        let is_own_domain = |pool: &&&PoolId| pool.domain == self.settings.domain;
        let fitting = || pools.iter().filter(is_large_enough);
        let pool = fitting().find(is_own_domain).or_else(|| fitting().next());
        pool.map(|pool| (*pool).clone()).ok_or_else(|| {
            Problem::unavailable(
                "no-pool",
                "no pool serves the model now",
                problems::TRANSIENT_RETRY_AFTER,
            )
        })
    }

    /// Waits for a reservation, or a placement without an owner, until the deadline.
    pub(super) async fn reserve(
        &self,
        req: ReserveRequest,
        deadline: Instant,
    ) -> Result<Placement, Problem> {
        let mut unanswered_since = Instant::now();
        loop {
            let mut request = req.clone();
            request.time_left = deadline.saturating_duration_since(Instant::now());
            let mut reply = self.reserve_from_owner(request.clone()).await;
            let now = Instant::now();
            if matches!(reply, ReserveReply::NotOwner) {
                let without_owner = now - unanswered_since;
                if without_owner >= FALLBACK_AFTER {
                    reply = self.control.fallback(request).await;
                }
                let is_new_owner_due =
                    self.snapshot.load().store_reachable && without_owner < NEW_OWNER_TIMEOUT;
                if is_new_owner_due && matches!(reply, ReserveReply::Refused(_)) {
                    reply = ReserveReply::NotOwner;
                }
            } else {
                unanswered_since = now;
            }
            match reply {
                ReserveReply::Reserved { grant, epoch } => {
                    return self.resolve_targets(&req.pool, grant, epoch);
                }
                ReserveReply::Refused(refusal) => {
                    return Err(problems::reservation_refused(&refusal));
                }
                ReserveReply::Pending => {}
                ReserveReply::NotOwner => tokio::time::sleep(RETRY_DELAY).await,
            }
            if Instant::now() >= deadline {
                return Err(problems::deadline_passed(Verdict::NotRun));
            }
        }
    }

    /// Requests a reservation from the pool's owner; an owner that can't be reached is treated as
    /// [`ReserveReply::NotOwner`].
    async fn reserve_from_owner(&self, req: ReserveRequest) -> ReserveReply {
        let Some(owner) = self.snapshot.load().owners.get(&req.pool).cloned() else {
            return ReserveReply::NotOwner;
        };
        if owner.owner == self.settings.name {
            return self.control.reserve(req).await;
        }
        let call = async |client: PeerClient, cx| client.reserve(cx, req).await;
        self.peers
            .call(owner.peer_addr, OWNER_TIMEOUT, call)
            .await
            .unwrap_or(ReserveReply::NotOwner)
    }

    /// Looks up the addresses of a grant's targets; fails if one has left the host list.
    fn resolve_targets(
        &self,
        pool: &PoolId,
        grant: azuresaddle_sched::Grant,
        epoch: Epoch,
    ) -> Result<Placement, Problem> {
        let hosts = &self.snapshot.load().hosts;
        let with_addr = |name: HostName| hosts.engines.get(&name).map(|e| (name, e.addr));
        let targets: Option<Vec<_>> = grant.targets.into_iter().map(with_addr).collect();
        let targets = targets.ok_or_else(|| {
            let detail = "a reserved target is not in the host list any more";
            Problem::unavailable("no-target", detail, problems::TRANSIENT_RETRY_AFTER)
        })?;
        Ok(Placement {
            pool: pool.clone(),
            stream: grant.stream,
            targets,
            memory_tokens: grant.memory_tokens,
            epoch,
        })
    }
}
