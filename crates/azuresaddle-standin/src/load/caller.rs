//! A caller that sends a request and follows its answer, over several connections if needed.

use std::net::SocketAddr;
use std::time::Duration;

use azuresaddle_core::http::HttpClient;
use azuresaddle_core::prelude::*;
use azuresaddle_node::traffic::{
    CallerEvent, EventReader, GenerateBody, HEADER_ACCOUNT, HEADER_DEADLINE_MS,
    HEADER_IDEMPOTENCY_KEY, HEADER_IDEMPOTENT, HEADER_KIND, HEADER_RESUME_TOKEN, StartEvent,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::time::Instant;

use super::address_book::AddressBook;
use super::outcome::{Outcome, OutcomeKind};
use super::prompts::make_prompt;
use crate::answer::Answer;

/// Pause before another address is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time without data after which a connection counts as broken. A node sends at least a comment
/// line each second.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(6);

/// A caller of one client account.
#[derive(Clone)]
pub struct Caller<N> {
    http: HttpClient<N>,
    account: ClientAccount,
    addresses: AddressBook,
}

/// A request that a caller makes.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The model.
    pub model: Model,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Seed from which the prompt is made.
    pub seed: u64,
    /// Maximum length of the answer, in tokens.
    pub max_tokens: u64,
    /// Kind of the request, matched by rules.
    pub kind: String,
    /// Time until the deadline.
    pub deadline: Duration,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Idempotency key, if any.
    pub key: Option<String>,
}

/// The part of an answer that the caller has received.
struct AnswerProgress {
    answer: Answer,
    next: u64,
    start: Option<StartEvent>,
    first_token: Option<Duration>,
    requests: Vec<RequestId>,
}

/// How one connection ended.
enum ConnectionEnd {
    Final(OutcomeKind),
    /// Another address may succeed; the verdict says whether the request may have run over this
    /// connection.
    Broken(Verdict),
}

impl<N: Network> Caller<N> {
    /// Creates a caller that finds the nodes through the `seeds` addresses.
    pub fn new(http: HttpClient<N>, account: ClientAccount, seeds: Vec<SocketAddr>) -> Self {
        Self {
            http,
            account,
            addresses: AddressBook::new(seeds),
        }
    }

    /// Sends a request and retries or resumes it until its final outcome.
    ///
    /// A refusal is final even if it names a time to retry. Only broken connections, unavailable
    /// nodes and the loss of an idempotent request's answer lead to another attempt.
    pub async fn run(&mut self, request: &CallerRequest) -> Outcome {
        let started = Instant::now();
        let prompt = make_prompt(request.prompt_tokens, request.seed);
        let mut progress = AnswerProgress {
            answer: Answer::new(&prompt, request.max_tokens),
            next: 0,
            start: None,
            first_token: None,
            requests: Vec::new(),
        };
        let mut resumes = 0;
        let body = GenerateBody {
            model: request.model.clone(),
            prompt,
            max_tokens: request.max_tokens,
        };
        let bytes = Bytes::from(serde_json::to_vec(&body).expect("a body serializes"));
        let work = self.run_until_final(request, &bytes, started, &mut progress, &mut resumes);
        // A node answers at the request's deadline at the latest; this later limit detects nodes
        // that do not.
        let limit = started + request.deadline + SILENCE_TIMEOUT;
        let kind = tokio::time::timeout_at(limit, work)
            .await
            .unwrap_or(OutcomeKind::Lost);
        Outcome {
            prompt_tokens: request.prompt_tokens,
            request: progress.start.as_ref().map(|s| s.request),
            requests: progress.requests,
            first_token: progress.first_token,
            total: started.elapsed(),
            resumes,
            kind,
        }
    }

    async fn run_until_final(
        &mut self,
        request: &CallerRequest,
        body: &Bytes,
        started: Instant,
        progress: &mut AnswerProgress,
        resumes: &mut u32,
    ) -> OutcomeKind {
        let mut attempt = 0;
        let mut verdict = Verdict::NotRun;
        loop {
            let addr = self
                .addresses
                .pick(&self.http, &self.account, attempt)
                .await;
            attempt += 1;
            if let Some(addr) = addr {
                let end = self.connect(addr, request, body, started, progress).await;
                match end {
                    ConnectionEnd::Final(OutcomeKind::Failed(mut problem)) => {
                        // An earlier connection may have started the request that this one reports
                        // as not run.
                        problem.verdict = problem.verdict.max(verdict);
                        return OutcomeKind::Failed(problem);
                    }
                    ConnectionEnd::Final(kind) => return kind,
                    ConnectionEnd::Broken(broken) => verdict = verdict.max(broken),
                }
                let may_retry = request.key.is_some() || verdict.may_retry(request.idempotent);
                if !may_retry {
                    return OutcomeKind::Failed(unknown_outcome());
                }
                *resumes += 1;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn connect(
        &self,
        addr: SocketAddr,
        request: &CallerRequest,
        body: &Bytes,
        started: Instant,
        progress: &mut AnswerProgress,
    ) -> ConnectionEnd {
        let left = request.deadline.saturating_sub(started.elapsed());
        let resuming = progress.start.clone();
        let req = match &resuming {
            Some(start) => self.resume_request(start, progress.next),
            None => self.first_request(request, body, left),
        };
        let resp = match self.http.send(addr, req, SILENCE_TIMEOUT).await {
            Ok(resp) => resp,
            Err(e) => return ConnectionEnd::Broken(e.verdict()),
        };
        if !resp.status().is_success() {
            return classify_failure(resp, progress, resuming.is_some(), request.idempotent).await;
        }
        progress
            .read(EventReader::new(resp.into_body(), SILENCE_TIMEOUT), started)
            .await
    }

    fn first_request(
        &self,
        request: &CallerRequest,
        body: &Bytes,
        left: Duration,
    ) -> Request<Full<Bytes>> {
        let mut req = Request::post("/v1/generate")
            .header(HEADER_ACCOUNT, self.account.as_str())
            .header(HEADER_KIND, &request.kind)
            .header(HEADER_IDEMPOTENT, request.idempotent.to_string())
            .header(HEADER_DEADLINE_MS, left.as_millis().max(1).to_string());
        if let Some(key) = &request.key {
            req = req.header(HEADER_IDEMPOTENCY_KEY, key);
        }
        req.body(Full::new(body.clone()))
            .expect("headers are valid")
    }

    fn resume_request(&self, start: &StartEvent, next: u64) -> Request<Full<Bytes>> {
        Request::get(format!("/v1/answers/{}?after={next}", start.request))
            .header(HEADER_ACCOUNT, self.account.as_str())
            .header(HEADER_RESUME_TOKEN, &start.resume_token)
            .body(Full::default())
            .expect("headers are valid")
    }
}

impl AnswerProgress {
    /// Reads one connection to its end and checks every event.
    async fn read(&mut self, mut events: EventReader, started: Instant) -> ConnectionEnd {
        while let Some(event) = events.next().await {
            match event {
                CallerEvent::Start(start) => {
                    if !self.requests.contains(&start.request) {
                        self.requests.push(start.request);
                    }
                    self.start = Some(start);
                }
                CallerEvent::Token(token) => {
                    let own = self
                        .start
                        .as_ref()
                        .is_some_and(|s| s.request == token.request);
                    if !own || token.token != self.answer.token(token.index) {
                        return ConnectionEnd::Final(OutcomeKind::Crossed);
                    }
                    if token.index != self.next {
                        return ConnectionEnd::Final(OutcomeKind::Doubled);
                    }
                    self.next += 1;
                    self.first_token.get_or_insert_with(|| started.elapsed());
                }
                CallerEvent::End(end) => {
                    let whole = end.tokens == self.next && self.next == self.answer.tokens();
                    return ConnectionEnd::Final(if whole {
                        OutcomeKind::Whole
                    } else {
                        OutcomeKind::Lost
                    });
                }
                CallerEvent::Error(problem) => {
                    return ConnectionEnd::Final(OutcomeKind::Failed(problem));
                }
            }
        }
        ConnectionEnd::Broken(Verdict::MayHaveRun)
    }

    /// Discards an answer that can't be resumed, so that the request is sent again.
    fn restart(&mut self) {
        self.start = None;
        self.next = 0;
    }
}

/// Reads a failure response and decides whether it is final or leads to another attempt.
async fn classify_failure(
    resp: Response<Incoming>,
    progress: &mut AnswerProgress,
    resuming: bool,
    idempotent: bool,
) -> ConnectionEnd {
    let Ok(body) = resp.into_body().collect().await else {
        return ConnectionEnd::Broken(Verdict::MayHaveRun);
    };
    let Ok(problem) = serde_json::from_slice::<Problem>(&body.to_bytes()) else {
        return ConnectionEnd::Broken(Verdict::MayHaveRun);
    };
    if resuming && problem.title == "answer-lost" && idempotent {
        progress.restart();
        return ConnectionEnd::Broken(Verdict::MayHaveRun);
    }
    if problem.title == "node-unavailable" {
        return ConnectionEnd::Broken(problem.verdict);
    }
    ConnectionEnd::Final(OutcomeKind::Failed(problem))
}

/// Failure to report when the connection broke and the request must not be sent again.
fn unknown_outcome() -> Problem {
    Problem::unavailable("connection-broke", "the connection broke", RETRY_PAUSE)
        .verdict(Verdict::MayHaveRun)
}
