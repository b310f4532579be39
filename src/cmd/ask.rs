//! `ask`: sends one request from the terminal.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use azuresaddle_core::http::HttpClient;
use azuresaddle_core::net::TcpNetwork;
use azuresaddle_core::prelude::*;
use azuresaddle_node::traffic::{
    CallerEvent, EventReader, GenerateBody, HEADER_ACCOUNT, HEADER_DEADLINE_MS, HEADER_KIND,
};
use clap::{Arg, ArgMatches, Command, value_parser};
use http_body_util::{BodyExt, Full};
use hyper::Request;

use super::output;
use super::runtime::client_runtime;

/// Maximum time between two events of an answer.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

pub(crate) fn make_subcommand() -> Command {
    Command::new("ask")
        .about("Sends one prompt and prints the answer as it arrives")
        .arg(Arg::new("PROMPT").required(true).help("The prompt"))
        .arg(
            Arg::new("node")
                .long("node")
                .env("AZURESADDLE_NODE")
                .value_name("ADDR")
                .value_parser(value_parser!(SocketAddr))
                .default_value("127.0.0.1:7000")
                .help("A node's address for callers"),
        )
        .arg(text_arg("account", "operator", "Client account"))
        .arg(text_arg("model", "m", "Model"))
        .arg(text_arg(
            "kind",
            "",
            "Kind of the request, matched by rules",
        ))
        .arg(number_arg(
            "max-tokens",
            "512",
            "Maximum length of the answer, in tokens",
        ))
        .arg(number_arg(
            "deadline-ms",
            "60000",
            "Time until the deadline, in milliseconds",
        ))
}

fn text_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("TEXT")
        .default_value(default)
        .help(help)
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64).range(1..))
        .default_value(default)
        .help(help)
}

pub(crate) fn execute(args: &ArgMatches) -> Result<()> {
    client_runtime()?.block_on(ask(args))
}

async fn ask(args: &ArgMatches) -> Result<()> {
    let value = |name: &str| args.get_one::<String>(name).cloned().unwrap_or_default();
    let addr: SocketAddr = *args.get_one("node").expect("has a default");
    let deadline_ms: u64 = *args.get_one("deadline-ms").expect("has a default");
    let body = GenerateBody {
        model: Model::new(value("model")),
        prompt: value("PROMPT"),
        max_tokens: *args.get_one("max-tokens").expect("has a default"),
    };
    let req = Request::post("/v1/generate")
        .header(HEADER_ACCOUNT, value("account"))
        .header(HEADER_KIND, value("kind"))
        .header(HEADER_DEADLINE_MS, deadline_ms)
        .body(Full::from(serde_json::to_vec(&body)?))?;
    let http = HttpClient::new(TcpNetwork, Spawner::current());
    let timeout = Duration::from_millis(deadline_ms) + EVENT_TIMEOUT;
    let resp = http
        .send(addr, req, timeout)
        .await
        .with_context(|| format!("--node {addr}"))?;
    if !resp.status().is_success() {
        let bytes = resp.into_body().collect().await?.to_bytes();
        let problem: Problem = serde_json::from_slice(&bytes)?;
        bail!(format_problem(&problem));
    }
    let mut events = EventReader::new(resp.into_body(), EVENT_TIMEOUT);
    while let Some(event) = events.next().await {
        match event {
            CallerEvent::Start(_) => {}
            CallerEvent::Token(token) => output::print_text(&token.token),
            CallerEvent::End(_) => {
                output::print_line("");
                return Ok(());
            }
            CallerEvent::Error(problem) => bail!(format_problem(&problem)),
        }
    }
    bail!("the connection broke before the answer was complete (may-have-run)")
}

fn format_problem(problem: &Problem) -> String {
    let mut text = format!(
        "{}: {} ({})",
        problem.title, problem.detail, problem.verdict
    );
    if let Some(ms) = problem.retry_after_ms {
        text.push_str(&format!(", retry in {ms} ms"));
    }
    text
}
