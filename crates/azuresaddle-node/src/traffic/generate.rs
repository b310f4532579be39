//! `POST /v1/generate`: generates an answer and streams it as server-sent events.

use std::sync::Arc;
use std::time::Duration;

use azuresaddle_core::bounded_time::MAX_DURATION;
use azuresaddle_core::http::{Body, read_limited};
use azuresaddle_core::prelude::*;
use azuresaddle_core::prompt::{prefix_hashes, prompt_tokens};
use azuresaddle_core::rules::{RequestFacts, Then};
use azuresaddle_store::{ClaimKey, ClaimOutcome};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

use super::headers::CallerHeaders;
use super::job::Job;
use super::problems;
use super::respond::respond;
use super::sink::caller_channel;
use super::state::{BODY_PERMIT_BYTES, Traffic};

/// Maximum number of tokens in an answer.
const MAX_ANSWER_TOKENS: u64 = 100_000;

/// Body of a request to `POST /v1/generate`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct GenerateBody {
    /// The model.
    pub model: Model,
    /// The prompt.
    pub prompt: String,
    /// Maximum number of tokens in the answer, from 1 to 100000.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
}

fn default_max_tokens() -> u64 {
    512
}

/// What the rules decide for a request.
pub(super) struct RequestPolicy {
    /// Name of the matching rule; empty if none matched.
    pub(super) rule: String,
    pub(super) then: Then,
    pub(super) idempotent: bool,
    /// Counted from the arrival of the request.
    pub(super) deadline: Duration,
}

impl<N: Network> Traffic<N> {
    pub(super) async fn generate(
        self: Arc<Self>,
        req: Request<Incoming>,
    ) -> Result<Response<Body>, Problem> {
        let arrived = Instant::now();
        self.check_admission()?;
        let headers = CallerHeaders::parse(req.headers())?;
        let body_permit = self.acquire_body_permit(req.headers())?;
        let body = self.read_body(req.into_body()).await?;
        let body = parse_body(&body)?;
        self.check_model(&body.model)?;
        let policy = self.apply_rules(&headers, &body.model, prompt_tokens(&body.prompt))?;
        let request = RequestId::random();
        self.claim_idempotency_key(&headers, request, policy.deadline)
            .await?;
        let job = Job {
            request,
            account: headers.account,
            model: body.model,
            prefix: prefix_hashes(&body.prompt),
            prompt: body.prompt,
            max_tokens: body.max_tokens,
            idempotent: policy.idempotent,
            rule: policy.rule,
            then: policy.then,
            arrived,
            deadline: arrived + policy.deadline,
            _body_permit: body_permit,
        };
        let (sink, source) = caller_channel();
        let traffic = Arc::clone(&self);
        self.spawner
            .spawn(async move { traffic.run_job(job, sink).await });
        respond(source).await
    }

    /// Fails while the node takes no new requests.
    pub(super) fn check_admission(&self) -> Result<(), Problem> {
        match problems::not_admitting(self.snapshot.load().admission) {
            None => Ok(()),
            Some(problem) => Err(problem),
        }
    }

    /// Reserves memory for a body before it is read: the declared length, or the maximum if none is
    /// declared.
    pub(super) fn acquire_body_permit(
        &self,
        headers: &HeaderMap,
    ) -> Result<OwnedSemaphorePermit, Problem> {
        let max = self.settings.max_body_bytes;
        let declared = headers
            .get(CONTENT_LENGTH)
            .and_then(|v| v.to_str().ok()?.parse().ok());
        let bytes: usize = declared.unwrap_or(max);
        if bytes > max {
            return Err(problems::bad_body(
                azuresaddle_core::http::BodyError::TooLarge(max),
            ));
        }
        let units = bytes.div_ceil(BODY_PERMIT_BYTES).max(1);
        let permits = u32::try_from(units).unwrap_or(u32::MAX);
        Arc::clone(&self.body_permits)
            .try_acquire_many_owned(permits)
            .map_err(|_| {
                let detail = "this node holds as many request bodies as it may";
                Problem::unavailable("buffers-full", detail, problems::TRANSIENT_RETRY_AFTER)
            })
    }

    pub(super) async fn read_body(&self, body: Incoming) -> Result<Bytes, Problem> {
        let limit = self.settings.max_body_bytes;
        read_limited(body, limit, self.settings.body_timeout)
            .await
            .map_err(problems::bad_body)
    }

    fn check_model(&self, model: &Model) -> Result<(), Problem> {
        let hosts = &self.snapshot.load().hosts;
        if hosts.pools_of(model).next().is_some() {
            return Ok(());
        }
        let detail = format!("no target serves the model {:?}", model.as_str());
        Err(Problem::not_run(
            StatusCode::NOT_FOUND,
            "unknown-model",
            detail,
        ))
    }

    /// Applies the first matching rule, or the defaults if none matches; fails if the rule refuses
    /// the request.
    pub(super) fn apply_rules(
        &self,
        headers: &CallerHeaders,
        model: &Model,
        prompt_tokens: u64,
    ) -> Result<RequestPolicy, Problem> {
        let snapshot = self.snapshot.load();
        let facts = RequestFacts {
            client_account: headers.account.clone(),
            model: model.clone(),
            kind: headers.kind.clone(),
            prompt_tokens,
            idempotent: headers.idempotent.unwrap_or(true),
            failure_domain: self.settings.domain.clone(),
        };
        let rule = snapshot.rules.document.first_match(&facts);
        let then = rule.map(|rule| rule.then.clone()).unwrap_or_default();
        if let Some(refuse) = &then.refuse {
            let status = StatusCode::FORBIDDEN;
            let problem = Problem::not_run(status, "refused-by-rule", &refuse.detail);
            return Err(match refuse.retry_after_ms {
                Some(ms) => problem.retry_after(Duration::from_millis(ms)),
                None => problem,
            });
        }
        let max_deadline = Duration::from_millis(then.deadline_ms).min(MAX_DURATION);
        Ok(RequestPolicy {
            rule: rule.map(|rule| rule.name.clone()).unwrap_or_default(),
            idempotent: then.idempotent.unwrap_or(facts.idempotent),
            deadline: headers
                .deadline
                .map_or(max_deadline, |requested| requested.min(max_deadline)),
            then,
        })
    }

    /// Claims the request's idempotency key, if it has one; fails if the key is in use or the claim
    /// can't be made.
    pub(super) async fn claim_idempotency_key(
        &self,
        headers: &CallerHeaders,
        request: RequestId,
        deadline: Duration,
    ) -> Result<(), Problem> {
        let Some(key) = &headers.idempotency_key else {
            return Ok(());
        };
        let claim = ClaimKey {
            account: headers.account.clone(),
            key: key.clone(),
        };
        let claimed = self.claims.claim(claim, request, deadline);
        match tokio::time::timeout(deadline.min(CLAIM_TIMEOUT), claimed).await {
            Ok(Ok(ClaimOutcome::Claimed)) => Ok(()),
            Ok(Ok(ClaimOutcome::Held(_))) => Err(problems::idempotency_key_in_use()),
            Ok(Err(_)) | Err(_) => {
                let detail = "the idempotency key could not be claimed, so the request was not run";
                Err(Problem::unavailable(
                    "claim-failed",
                    detail,
                    CLAIM_RETRY_AFTER,
                ))
            }
        }
    }
}

/// Maximum wait for a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// Retry delay given to callers after a failed claim.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(5);

fn parse_body(bytes: &[u8]) -> Result<GenerateBody, Problem> {
    let body: GenerateBody = serde_json::from_slice(bytes)
        .map_err(|e| Problem::bad_request(format!("the body is not a request: {e}")))?;
    if body.prompt.is_empty() {
        return Err(Problem::bad_request("the prompt is empty"));
    }
    if !(1..=MAX_ANSWER_TOKENS).contains(&body.max_tokens) {
        let detail = format!("max-tokens must be from 1 to {MAX_ANSWER_TOKENS}");
        return Err(Problem::bad_request(detail));
    }
    Ok(body)
}
