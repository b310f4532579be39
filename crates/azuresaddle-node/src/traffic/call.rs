//! `/v1/call/{service}/{path}`, any method: forwards a call to a plain service.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use azuresaddle_core::http::{Body, HttpError, full, read_limited};
use azuresaddle_core::prelude::*;
use azuresaddle_sched::Breaker;
use azuresaddle_store::unix_ms;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request, Response, StatusCode};
use tokio::time::Instant;

use super::generate::RequestPolicy;
use super::headers::CallerHeaders;
use super::problems;
use super::state::Traffic;
use crate::snapshot::ServiceHost;

/// Header that gives a service the id of the request.
const HEADER_REQUEST_ID: &str = "x-request-id";

/// Maximum number of hosts tried for one call.
const MAX_ATTEMPTS: usize = 3;

/// Outstanding calls and circuit breakers of service hosts, for the calls of this node.
#[derive(Debug, Default)]
pub struct ServiceLoad {
    hosts: Mutex<HashMap<HostName, HostLoad>>,
}

#[derive(Debug, Default)]
struct HostLoad {
    outstanding: usize,
    breaker: Breaker,
}

impl ServiceLoad {
    /// Counts a call on the host with the fewest outstanding calls, among those whose breaker
    /// allows another, and returns that host.
    fn acquire_least_loaded(&self, now: Instant, hosts: &[ServiceHost]) -> Option<ServiceHost> {
        let mut loads = self.lock();
        let allowed = hosts.iter().filter(|host| {
            loads
                .get(&host.name)
                .is_none_or(|load| load.breaker.allows(now, load.outstanding))
        });
        let host = allowed.min_by_key(|h| loads.get(&h.name).map_or(0, |l| l.outstanding))?;
        let host = host.clone();
        loads.entry(host.name.clone()).or_default().outstanding += 1;
        Some(host)
    }

    /// Ends a counted call and records its result in the host's breaker.
    fn release(&self, now: Instant, host: &HostName, succeeded: bool) {
        let mut loads = self.lock();
        let load = loads.entry(host.clone()).or_default();
        load.outstanding = load.outstanding.saturating_sub(1);
        if succeeded {
            load.breaker.on_success();
        } else {
            load.breaker.on_failure(now);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<HostName, HostLoad>> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A call to forward.
struct Call {
    request: RequestId,
    method: Method,
    path: String,
    content_type: Option<hyper::header::HeaderValue>,
    body: Bytes,
}

impl<N: Network> Traffic<N> {
    pub(super) async fn call(
        self: Arc<Self>,
        req: Request<Incoming>,
        service: &str,
        path: &str,
    ) -> Result<Response<Body>, Problem> {
        let arrived = Instant::now();
        self.check_admission()?;
        let mut headers = CallerHeaders::parse(req.headers())?;
        // Only a GET counts as idempotent unless the caller or a rule says otherwise.
        headers
            .idempotent
            .get_or_insert(req.method() == Method::GET);
        let service = Model::new(service);
        let policy = self.apply_rules(&headers, &service, 0)?;
        let _body_permit = self.acquire_body_permit(req.headers())?;
        let request = RequestId::random();
        let call = Call {
            request,
            method: req.method().clone(),
            path: format!("/{path}"),
            content_type: req.headers().get(CONTENT_TYPE).cloned(),
            body: self.read_body(req.into_body()).await?,
        };
        self.claim_idempotency_key(&headers, request, policy.deadline)
            .await?;
        let deadline = arrived + policy.deadline;
        self.send_call(&service, &call, &policy, deadline).await
    }

    /// Sends a call to one host after another while a retry is safe.
    async fn send_call(
        &self,
        service: &Model,
        call: &Call,
        policy: &RequestPolicy,
        deadline: Instant,
    ) -> Result<Response<Body>, Problem> {
        let mut hosts = self.usable_hosts(service)?;
        let mut last = None;
        for _ in 0..MAX_ATTEMPTS {
            let Some(host) = self
                .service_load
                .acquire_least_loaded(Instant::now(), &hosts)
            else {
                break;
            };
            hosts.retain(|h| h.name != host.name);
            let sent = self.send_to(host.addr, call, deadline).await;
            self.service_load
                .release(Instant::now(), &host.name, sent.is_ok());
            let e = match sent {
                Ok(response) => return Ok(response),
                Err(e) => e,
            };
            let verdict = e.verdict();
            if Instant::now() >= deadline {
                return Err(problems::deadline_passed(verdict));
            }
            if !verdict.may_retry(policy.idempotent) {
                return Err(problems::target_failed(&e.to_string(), verdict));
            }
            last = Some(e);
        }
        Err(match last {
            Some(e) => problems::target_failed(&e.to_string(), e.verdict()),
            None => Problem::unavailable(
                "no-target",
                "no host of the service takes calls now",
                problems::TRANSIENT_RETRY_AFTER,
            ),
        })
    }

    fn usable_hosts(&self, service: &Model) -> Result<Vec<ServiceHost>, Problem> {
        let snapshot = self.snapshot.load();
        let Some(hosts) = snapshot.hosts.services.get(service) else {
            let detail = format!("there is no service {:?}", service.as_str());
            return Err(Problem::not_run(
                StatusCode::NOT_FOUND,
                "unknown-service",
                detail,
            ));
        };
        let now_unix_ms = unix_ms();
        let is_usable = |host: &&ServiceHost| {
            !host.leaving && !snapshot.rules.document.is_stopping(&host.name, now_unix_ms)
        };
        let mut usable: Vec<_> = hosts.iter().filter(is_usable).cloned().collect();
        usable.sort_by_key(|host| host.domain != self.settings.domain);
        Ok(usable)
    }

    async fn send_to(
        &self,
        addr: SocketAddr,
        call: &Call,
        deadline: Instant,
    ) -> Result<Response<Body>, HttpError> {
        let left = deadline.saturating_duration_since(Instant::now());
        let mut req = Request::builder()
            .method(call.method.clone())
            .uri(&call.path)
            .header(HEADER_REQUEST_ID, call.request.to_string())
            .body(Full::new(call.body.clone()))
            .map_err(|e| HttpError::Body(e.to_string()))?;
        if let Some(content_type) = &call.content_type {
            req.headers_mut().insert(CONTENT_TYPE, content_type.clone());
        }
        let resp = self.http.send(addr, req, left).await?;
        let (parts, body) = resp.into_parts();
        let limit = self.settings.max_body_bytes;
        let bytes = read_limited(body, limit, left)
            .await
            .map_err(|e| HttpError::Body(e.to_string()))?;
        let mut response = Response::new(full(bytes));
        *response.status_mut() = parts.status;
        if let Some(content_type) = parts.headers.get(CONTENT_TYPE) {
            response
                .headers_mut()
                .insert(CONTENT_TYPE, content_type.clone());
        }
        Ok(response)
    }
}
