//! `/admin/v1`: the operators' interface.

use std::sync::Arc;

use azuresaddle_core::http::{Body, Handler, json, problem, read_limited};
use azuresaddle_core::prelude::*;
use azuresaddle_core::rules::{PlannedStop, RequestFacts, check};
use azuresaddle_store::{PutRulesError, RulesRecord, put_rules, read_rules, unix_ms};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use subtle::ConstantTimeEq;

use super::admin_messages::{BurnReply, ExplainReply, HostRow, PoolRow, PutRules};
use super::problems;
use super::router::{query_value, unknown_path};
use super::state::Traffic;
use crate::peer::PeerClient;

/// Maximum body of an operator's request in bytes; the store accepts values of up to a megabyte.
const MAX_BODY_BYTES: usize = 900 << 10;

/// HTTP handler of the operators' interface.
pub struct AdminHandler<N> {
    traffic: Arc<Traffic<N>>,
}

impl<N: Network> AdminHandler<N> {
    /// Creates a handler that uses the shared state.
    pub fn new(traffic: Arc<Traffic<N>>) -> Self {
        Self { traffic }
    }

    async fn route(&self, req: Request<Incoming>) -> Result<Response<Body>, Problem> {
        self.authorize(&req)?;
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (method, segments.as_slice()) {
            (Method::GET, ["admin", "v1", "rules"]) => {
                let record = self.stored_rules().await?;
                Ok(json(StatusCode::OK, &record))
            }
            (Method::PUT, ["admin", "v1", "rules"]) => self.put_rules(req).await,
            (Method::POST, ["admin", "v1", "rules", "explain"]) => self.explain(req).await,
            (Method::GET, ["admin", "v1", "hosts"]) => Ok(json(StatusCode::OK, &self.hosts())),
            (Method::PUT, ["admin", "v1", "hosts", host, "stop"]) => {
                let at = query_value(req.uri(), "at-unix-ms").unwrap_or_default();
                self.plan_stop(host, &at).await
            }
            (Method::DELETE, ["admin", "v1", "hosts", host, "stop"]) => {
                self.cancel_stop(host).await
            }
            (Method::GET, ["admin", "v1", "pools"]) => Ok(json(StatusCode::OK, &self.pools())),
            (Method::GET, ["admin", "v1", "burn"]) => Ok(json(StatusCode::OK, &self.burn().await)),
            _ => Err(unknown_path(&path)),
        }
    }

    fn authorize(&self, req: &Request<Incoming>) -> Result<(), Problem> {
        let Some(expected) = &self.traffic.settings.admin_token else {
            return Ok(());
        };
        let given = req
            .headers()
            .get(AUTHORIZATION)
            .and_then(|v| v.to_str().ok());
        let given = given.and_then(|v| v.strip_prefix("Bearer ")).unwrap_or("");
        if bool::from(given.as_bytes().ct_eq(expected.as_bytes())) {
            return Ok(());
        }
        let detail = "a valid bearer token is needed";
        Err(Problem::not_run(
            StatusCode::UNAUTHORIZED,
            "unauthorized",
            detail,
        ))
    }

    async fn stored_rules(&self) -> Result<RulesRecord, Problem> {
        read_rules(&self.traffic.store).await.map_err(|e| {
            Problem::unavailable(
                "store-unavailable",
                e.to_string(),
                problems::TRANSIENT_RETRY_AFTER,
            )
        })
    }

    async fn put_rules(&self, req: Request<Incoming>) -> Result<Response<Body>, Problem> {
        let put: PutRules = self.read_json(req).await?;
        self.store_rules(put).await
    }

    async fn store_rules(&self, put: PutRules) -> Result<Response<Body>, Problem> {
        let report = check(&put.document);
        if !report.is_acceptable() {
            return Ok(json(StatusCode::UNPROCESSABLE_ENTITY, &report));
        }
        let store = &self.traffic.store;
        match put_rules(store, put.base, put.document, &put.comment).await {
            Ok(record) => {
                tracing::info!("rules: version {} accepted", record.version);
                Ok(json(StatusCode::OK, &record))
            }
            Err(PutRulesError::Conflict { current, .. }) => {
                Ok(json(StatusCode::CONFLICT, &*current))
            }
            Err(PutRulesError::Store(e)) => {
                let detail = format!("it is not known whether the change was accepted: {e}");
                Err(Problem::unavailable(
                    "store-unavailable",
                    detail,
                    problems::TRANSIENT_RETRY_AFTER,
                )
                .verdict(Verdict::MayHaveRun))
            }
        }
    }

    async fn explain(&self, req: Request<Incoming>) -> Result<Response<Body>, Problem> {
        let facts: RequestFacts = self.read_json(req).await?;
        let rules = Arc::clone(&self.traffic.snapshot.load().rules);
        let reply = ExplainReply {
            version: rules.version,
            rules: rules.document.explain(&facts),
        };
        Ok(json(StatusCode::OK, &reply))
    }

    async fn plan_stop(&self, host: &str, at: &str) -> Result<Response<Body>, Problem> {
        let host = HostName::new(host);
        if !self.hosts().iter().any(|row| row.host == host) {
            let detail = format!("there is no host {:?} in the host list", host.as_str());
            return Err(Problem::not_run(
                StatusCode::NOT_FOUND,
                "unknown-host",
                detail,
            ));
        }
        let at_unix_ms = match at {
            "" => 0,
            text => text
                .parse()
                .map_err(|_| Problem::bad_request("at-unix-ms must be a number"))?,
        };
        let comment = format!("stop of {host}");
        self.change_stops(&comment, |stops| {
            stops.retain(|stop| stop.host != host);
            stops.push(PlannedStop {
                host: host.clone(),
                at_unix_ms,
            });
        })
        .await
    }

    async fn cancel_stop(&self, host: &str) -> Result<Response<Body>, Problem> {
        let host = HostName::new(host);
        let comment = format!("stop of {host} cancelled");
        self.change_stops(&comment, |stops| stops.retain(|stop| stop.host != host))
            .await
    }

    async fn change_stops(
        &self,
        comment: &str,
        change: impl FnOnce(&mut Vec<PlannedStop>),
    ) -> Result<Response<Body>, Problem> {
        let record = self.stored_rules().await?;
        let mut document = record.document;
        change(&mut document.stops);
        self.store_rules(PutRules {
            base: record.version,
            comment: comment.to_owned(),
            document,
        })
        .await
    }

    fn hosts(&self) -> Vec<HostRow> {
        let snapshot = self.traffic.snapshot.load();
        let now_unix_ms = unix_ms();
        let row = |host: &HostName, domain: &FailureDomain, kind: &str, leaving| HostRow {
            host: host.clone(),
            domain: domain.clone(),
            kind: kind.to_owned(),
            leaving,
            stopping: snapshot.rules.document.is_stopping(host, now_unix_ms),
        };
        let hosts = &snapshot.hosts;
        let entries = hosts.entries.iter();
        let entries = entries.map(|h| row(&h.name, &h.domain, "entry", h.leaving));
        let engines = hosts.engines.iter();
        let engines = engines.map(|(name, h)| row(name, &h.pool.domain, "engine", h.leaving));
        let services = hosts.services.values().flatten();
        let services = services.map(|h| row(&h.name, &h.domain, "service", h.leaving));
        entries.chain(engines).chain(services).collect()
    }

    fn pools(&self) -> Vec<PoolRow> {
        let snapshot = self.traffic.snapshot.load();
        let row = |(pool, targets): (&PoolId, &Vec<HostName>)| {
            let record = snapshot.owners.get(pool);
            let seen = snapshot
                .digests
                .iter()
                .find(|seen| seen.digest.pool == *pool);
            PoolRow {
                pool: pool.to_string(),
                owner: record.map(|r| r.owner.clone()),
                epoch: record.map(|r| r.epoch).unwrap_or_default(),
                targets: targets.len(),
                digest: seen.map(|seen| seen.digest.clone()),
            }
        };
        snapshot.hosts.pools.iter().map(row).collect()
    }

    /// Merges the service-level counts of all nodes that answer in time.
    async fn burn(&self) -> BurnReply {
        let traffic = &self.traffic;
        let hosts = Arc::clone(&traffic.snapshot.load().hosts);
        let others = hosts
            .entries
            .iter()
            .filter(|e| e.name != traffic.settings.name);
        let calls = others.map(|entry| async move {
            let call = async |client: PeerClient, cx| client.burn(cx).await;
            let timeout = traffic.settings.target_timeout;
            let result = traffic.peers.call(entry.peer_addr, timeout, call).await;
            (entry.name.clone(), result)
        });
        let mut counts = traffic.control.burn_counts();
        let mut missing = Vec::new();
        for (name, result) in futures::future::join_all(calls).await {
            match result {
                Ok(theirs) => counts.merge(theirs),
                Err(_) => missing.push(name),
            }
        }
        BurnReply { counts, missing }
    }

    async fn read_json<T: DeserializeOwned>(&self, req: Request<Incoming>) -> Result<T, Problem> {
        let timeout = self.traffic.settings.body_timeout;
        let bytes = read_limited(req.into_body(), MAX_BODY_BYTES, timeout)
            .await
            .map_err(problems::bad_body)?;
        serde_json::from_slice(&bytes)
            .map_err(|e| Problem::bad_request(format!("the body is not as expected: {e}")))
    }
}

impl<N: Network> Handler for AdminHandler<N> {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        match self.route(req).await {
            Ok(response) => response,
            Err(p) => problem(&p),
        }
    }
}
