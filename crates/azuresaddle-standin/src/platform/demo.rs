//! Demo of a request's path through the platform in one process: the store, targets, three nodes and
//! callers that verify their answers.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use anyhow::{Context, Result};
use azuresaddle_core::net::TcpNetwork;
use azuresaddle_core::prelude::*;
use azuresaddle_edge::{Node, NodeOptions};
use azuresaddle_platform::decode_settings;
use futures::future::join_all;
use tokio::runtime::Handle;
use tokio::time::Instant;

use super::caller::{Caller, CallerRequest};
use super::stand_in::{PlatformOptions, StandInPlatform};
use crate::soak::next_port;

/// Number of nodes.
const NODES: u8 = 3;

/// Time that the nodes need to learn the configuration, the targets and each other.
const SETTLE: Duration = Duration::from_millis(1500);

/// Number of short prompts in each part of the demo.
const SHORT_PROMPTS: u64 = 60;

/// Interval between two short prompts.
const INTERVAL: Duration = Duration::from_millis(40);

/// Lengths of the long prompts of the second part, in tokens; the last one needs the memory of several
/// engines.
const LONG_PROMPTS: [u64; 4] = [90_000, 200_000, 300_000, 600_000];

/// Measurements of the demo.
#[derive(Clone, Debug, Default)]
pub struct PlatformDemoReport {
    /// Number of complete answers.
    pub whole: u64,
    /// Number of requests without a complete answer.
    pub failed: u64,
    /// How the failed requests ended, in the order in which they were sent.
    pub failures: Vec<String>,
    /// 95th percentile of the time to the complete answer when only short prompts are sent, in
    /// milliseconds.
    pub alone_p95_ms: u64,
    /// The same percentile while long prompts are running, in milliseconds.
    pub mixed_p95_ms: u64,
}

/// Runs the demo.
///
/// # Errors
/// Returns an error if the platform or a node can't be started.
pub async fn run_platform_demo() -> Result<PlatformDemoReport> {
    let platform = StandInPlatform::open(PlatformOptions {
        engines: 6,
        plain: 2,
    })
    .await?;
    let nodes = open_nodes(&platform).await?;
    tokio::time::sleep(SETTLE).await;
    let mut demo = PlatformDemoReport::default();
    demo.alone_p95_ms = short_prompts(&nodes, 1, &mut demo).await;
    let long = LONG_PROMPTS.iter().enumerate().map(|(n, tokens)| {
        let request = caller_request(9000 + n as u64, Some((*tokens, 46 * 4)));
        ask(nodes[n % nodes.len()], request)
    });
    let mut mixed = demo.clone();
    let (long, p95) = tokio::join!(join_all(long), short_prompts(&nodes, 2, &mut mixed));
    mixed.mixed_p95_ms = p95;
    for answer in long {
        mixed.count(&answer);
    }
    Ok(mixed)
}

impl PlatformDemoReport {
    fn count(&mut self, answer: &Result<Duration, String>) {
        match answer {
            Ok(_) => self.whole += 1,
            Err(failure) => {
                self.failed += 1;
                self.failures.push(failure.clone());
            }
        }
    }
}

async fn open_nodes(platform: &StandInPlatform) -> Result<Vec<SocketAddr>> {
    let port = next_port();
    let ips: Vec<Ipv4Addr> = (0..NODES)
        .map(|n| Ipv4Addr::new(127, 0, 1, 10 + n))
        .collect();
    let mut callers = Vec::new();
    for (n, ip) in ips.iter().enumerate() {
        let text = platform.settings(&format!("n{n}"), *ip, port, &ips[..1]);
        let settings = decode_settings(&text)?;
        callers.push(settings.listen.callers);
        let options = NodeOptions::default();
        let spawner = Spawner::current();
        Node::open(settings, options, TcpNetwork, spawner, Handle::current())
            .await
            .with_context(|| format!("node n{n}"))?;
    }
    Ok(callers)
}

/// Sends short prompts and returns the 95th percentile of the time to the complete answer, in
/// milliseconds.
async fn short_prompts(nodes: &[SocketAddr], part: u64, demo: &mut PlatformDemoReport) -> u64 {
    let answers = (0..SHORT_PROMPTS).map(|n| async move {
        tokio::time::sleep(INTERVAL * n as u32).await;
        let tokens = Some((1000 + n * 50, 46 * 5));
        let request = caller_request(part * 1000 + n, tokens);
        ask(nodes[n as usize % nodes.len()], request).await
    });
    let mut times: Vec<u64> = Vec::new();
    for answer in join_all(answers).await {
        demo.count(&answer);
        times.extend(answer.map(|t| t.as_millis() as u64));
    }
    times.sort_unstable();
    let last = times.len().saturating_sub(1);
    times.get(last * 95 / 100).copied().unwrap_or(0)
}

/// Returns the time to the complete answer.
///
/// # Errors
/// Returns how the request ended if it failed.
async fn ask(node: SocketAddr, request: CallerRequest) -> Result<Duration, String> {
    let began = Instant::now();
    let answer = Caller::default().ask(node, &request).await;
    let took = began.elapsed();
    let failure = match answer {
        Ok(answer) if answer.status.is_success() => return Ok(took),
        Ok(answer) => format!("{}: {}", answer.status, answer.body),
        Err(e) => e.to_string(),
    };
    let tokens = request.tokens.map_or(0, |(prompt, _)| prompt);
    let ms = took.as_millis();
    Err(format!(
        "{} ({tokens} tokens) after {ms} ms: {failure}",
        request.attempt
    ))
}

fn caller_request(number: u64, tokens: Option<(u64, u64)>) -> CallerRequest {
    CallerRequest {
        attempt: format!("{number:016x}"),
        path: "/ask/1".to_owned(),
        host: "desk.example".to_owned(),
        key: "key-1".to_owned(),
        tokens,
        prompt_parts: String::new(),
        body: "{}".into(),
        timeout: Duration::from_secs(8),
    }
}
