//! Targets whose answers break off, never end or have odd heads: callers get no answer that looks complete but isn't,
//! and nodes give up in time, with bounded memory.

mod calls;
mod cases;
mod direct;
mod store;
mod tunnels;

use std::net::SocketAddr;
use std::time::Duration;

use azuresaddle_standin::platform::{
    Answer, Caller, CallerError, CallerRequest, RawConnections, RawEnd, RouteSpec, ServiceSpec,
    StandInPlatform,
};
use bytes::Bytes;
use futures::future::join_all;
use tokio::time::Instant;

use super::support::{plain, stream};
use cases::{Case, Expected};

/// Timeout of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Timeout of the routes to services whose requests may be sent again, have long prompts or are uploads.
const LONG_ROUTE_TIMEOUT: Duration = Duration::from_secs(4);

/// Requests of each kind to services with a target without a fault, so that the other one gets some.
const REDUNDANT_REQUESTS: usize = 2;

/// Longest time from the timeout of a route to the end of the answer.
const MAX_LATENESS: Duration = Duration::from_millis(500);

/// Time after the end of an answer in which its connection is closed.
const CLOSE_TIME: Duration = Duration::from_secs(1);

/// Longest time for which a node renews and then releases a reservation after the answer to its request.
const RELEASE_TIME: Duration = Duration::from_millis(800);

/// Time for the nodes to learn of routes and targets.
const APPLY_TIME: Duration = Duration::from_millis(1000);

/// Prompt that fits into one engine.
const PROMPT_TOKENS: u64 = 900;

/// Engines of a service for long prompts.
const GROUP_ENGINES: usize = 4;

/// Prompt that takes the memory of two engines.
const LONG_PROMPT_TOKENS: u64 = 500_000;

/// Most memory that a node takes beyond that at its start, in bytes.
const MAX_GROWTH_BYTES: u64 = 64 << 20;

/// Cases that are played at the same time.
const CASES_AT_ONCE: usize = 12;

/// Cases with as many bytes as the node takes that are played at the same time.
const FLOODS_AT_ONCE: usize = 3;

/// Longest body of a request that nodes accept, in bytes.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// Pause between two looks at something that is to change.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The kinds of services that answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Services {
    /// Plain targets and engines.
    All,
    /// Engines only.
    Engines,
    /// Engines that a long prompt needs several of.
    EngineGroup,
    /// Plain targets and engines, each beside one without a fault.
    Redundant,
}

impl Services {
    /// Services of the targets of one case.
    fn names(self) -> &'static [&'static str] {
        match self {
            Self::All | Self::Redundant => &["desk", "llm"],
            Self::Engines => &["llm"],
            Self::EngineGroup => &["llm"; GROUP_ENGINES],
        }
    }

    /// Time after the end of an answer in which all connections are closed.
    fn close_time(self) -> Duration {
        match self {
            Self::EngineGroup => RELEASE_TIME + CLOSE_TIME,
            Self::All | Self::Engines | Self::Redundant => CLOSE_TIME,
        }
    }

    /// Timeout of the routes.
    fn route_timeout(self) -> Duration {
        match self {
            Self::Redundant | Self::EngineGroup => LONG_ROUTE_TIMEOUT,
            Self::All | Self::Engines => ROUTE_TIMEOUT,
        }
    }
}

impl Case {
    /// Timeout of the routes. That of an upload runs while its body is still read from the caller.
    fn route_timeout(&self, services: Services) -> Duration {
        match self.upload_bytes {
            Some(_) => LONG_ROUTE_TIMEOUT,
            None => services.route_timeout(),
        }
    }
}

/// A case, with its targets.
struct Play {
    case: Case,
    number: usize,
    targets: Vec<RawConnections>,
    services: Services,
}

/// Adds the targets and routes of cases. `next` counts the cases of a platform.
async fn add_cases(
    platform: &mut StandInPlatform,
    cases: Vec<Case>,
    services: Services,
    next: &mut usize,
) -> Vec<Play> {
    let mut plays = Vec::new();
    platform.configuration.max_body_bytes = MAX_BODY_BYTES;
    for case in cases {
        let number = *next;
        *next += 1;
        let timeout = case.route_timeout(services);
        add_routes(platform, number, timeout);
        let mut targets = Vec::new();
        for service in services.names() {
            let service = format!("{service}-{number}");
            let target = platform.add_raw_answer(&service, case.answer.clone());
            targets.push(target.await.unwrap());
        }
        if services == Services::Redundant {
            let (plain, engine) = (format!("desk-{number}"), format!("llm-{number}"));
            platform.add_plain_of(&plain).await.unwrap();
            platform.add_engine_of(&engine).await.unwrap();
        }
        plays.push(Play {
            case,
            number,
            targets,
            services,
        });
    }
    plays
}

/// Adds the services and routes of a case to the configuration, without writing it.
fn add_routes(platform: &mut StandInPlatform, number: usize, timeout: Duration) {
    let configuration = &mut platform.configuration;
    for (service, is_engine) in [("desk", false), ("llm", true)] {
        configuration.services.push(ServiceSpec {
            name: format!("{service}-{number}"),
            is_engine,
            cold_rate: 0.0,
        });
    }
    let first = configuration.routes[..4].to_vec();
    for route in first {
        configuration.routes.push(RouteSpec {
            prefix: format!("{}-{number}/", route.prefix.trim_end_matches('/')),
            service: format!("{}-{number}", route.service),
            timeout_ms: timeout.as_millis() as u64,
            ..route
        });
    }
}

impl Play {
    /// Requests of all kinds for the case.
    fn requests(&self) -> Vec<CallerRequest> {
        let number = self.number;
        let tokens = match self.services {
            Services::EngineGroup => LONG_PROMPT_TOKENS,
            Services::All | Services::Engines | Services::Redundant => PROMPT_TOKENS,
        };
        let count = match self.services {
            Services::Redundant => REDUNDANT_REQUESTS,
            Services::All | Services::Engines | Services::EngineGroup => 1,
        };
        let mut requests = Vec::new();
        for _ in 0..count {
            requests.push(stream(&format!("/ask-{number}/1"), tokens, 3));
            requests.push(stream(&format!("/ask-once-{number}/1"), tokens, 3));
            if self.services.names().contains(&"desk") {
                requests.push(plain(&format!("/note-{number}/1")));
                requests.push(plain(&format!("/post-{number}/1")));
            }
        }
        if let Some(bytes) = self.case.upload_bytes {
            let body = Bytes::from(vec![b'x'; bytes]);
            for req in &mut requests {
                req.body = body.clone();
            }
        }
        requests
    }

    /// Sends requests of all kinds to a node, and returns what is wrong with their outcomes.
    async fn faults(&self, node: SocketAddr, platform: &StandInPlatform) -> Vec<String> {
        let requests = self.requests();
        let mut outcomes = Vec::new();
        // Bytes after an answer may be taken for the answer to a request that follows at once on the same connection.
        let count = if self.has_excess() { 1 } else { requests.len() };
        for some in requests.chunks(count) {
            let some = some.iter().map(|req| self.fault_of(node, platform, req));
            outcomes.extend(join_all(some).await);
            if self.has_excess() {
                self.are_closed().await;
            }
        }
        let mut faults: Vec<String> = outcomes.into_iter().flatten().collect();
        if self.case.answer.end != RawEnd::Next && !self.are_closed().await {
            faults.push(format!("{}: connection kept open", self.case.name));
        }
        if self.targets.iter().all(|t| t.requests() == 0) {
            faults.push(format!("{}: no request arrived", self.case.name));
        }
        faults
    }

    /// Whether the targets write more after a whole answer.
    fn has_excess(&self) -> bool {
        self.case.expected == Expected::Whole && self.case.answer.end != RawEnd::Next
    }

    async fn fault_of(
        &self,
        node: SocketAddr,
        platform: &StandInPlatform,
        req: &CallerRequest,
    ) -> Option<String> {
        let began = Instant::now();
        let outcome = Caller::default().ask(node, req).await;
        let took = began.elapsed();
        let runs = platform.runs.of(&req.attempt).count;
        let is_whole = outcome.as_ref().is_ok_and(|a| a.status == 200);
        let is_wrong = match (self.services, self.case.expected) {
            (_, Expected::Whole) => !is_whole,
            (Services::Redundant, Expected::Failure) if req.path.starts_with("/note") => !is_whole,
            (Services::Redundant, Expected::Failure) => !is_whole && !is_failure(req, &outcome),
            (_, Expected::Failure) => !is_failure(req, &outcome),
        };
        let is_late = took > self.case.route_timeout(self.services) + MAX_LATENESS;
        let has_run = self.services != Services::EngineGroup;
        let is_repeated = req.path.starts_with("/post") && runs > 1;
        (is_wrong || is_late || is_repeated || has_run != (runs > 0)).then(|| {
            format!(
                "{}: {} took {took:?}, ran {runs} times: {outcome:?}",
                self.case.name, req.path
            )
        })
    }

    /// Waits until all connections with a request are closed; `false` if one stays open.
    async fn are_closed(&self) -> bool {
        let until = Instant::now() + self.services.close_time();
        while self.targets.iter().any(|t| t.used() > 0) {
            if Instant::now() > until {
                return false;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        true
    }
}

/// Whether a caller sees that it has no complete answer. Only a stream may break off, since nodes read other answers
/// completely before they forward them.
fn is_failure(req: &CallerRequest, outcome: &Result<Answer, CallerError>) -> bool {
    match outcome {
        Ok(answer) => answer.status.is_server_error(),
        Err(CallerError::BrokenOff) => req.tokens.is_some(),
        Err(_) => false,
    }
}

/// Plays cases at a node, some at a time, and expects that no outcome is wrong.
async fn assert_outcomes(node: SocketAddr, platform: &StandInPlatform, plays: &[Play]) {
    let is_flood = |play: &&Play| matches!(play.case.answer.end, RawEnd::Endless(_));
    let (uploads, plays): (Vec<&Play>, Vec<&Play>) = plays
        .iter()
        .partition(|play| play.case.upload_bytes.is_some());
    let (floods, others): (Vec<&Play>, Vec<&Play>) = plays.into_iter().partition(is_flood);
    // A node holds the bodies of one account only up to a limit.
    let rounds = uploads.chunks(1);
    let rounds = rounds.chain(floods.chunks(FLOODS_AT_ONCE));
    let rounds = rounds.chain(others.chunks(CASES_AT_ONCE));
    let mut faults = Vec::new();
    for some in rounds {
        let played = join_all(some.iter().map(|play| play.faults(node, platform)));
        faults.extend(played.await.into_iter().flatten());
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
