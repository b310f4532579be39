//! Helpers shared by the platform tests.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use azuresaddle_standin::platform::{
    Answer, Caller, CallerError, CallerRequest, RouteSpec, StandInPlatform, TargetHandle,
};
use azuresaddle_standin::soak::{Fleet, FleetOptions, NodeProcess};
use tokio::time::Instant;

static ATTEMPTS: AtomicU64 = AtomicU64::new(1);

/// The executable that nodes run.
pub(super) fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_azuresaddle"))
}

/// A directory for the settings and logs of one test.
pub(super) fn dir(test: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("azuresaddle-{}-{test}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

/// Starts nodes and the stand-in platform with its targets.
pub(super) async fn fleet(test: &str, nodes: u8) -> Fleet {
    let options = FleetOptions {
        nodes,
        ..FleetOptions::default()
    };
    fleet_of(test, options).await
}

/// Starts a fleet of the given size.
pub(super) async fn fleet_of(test: &str, options: FleetOptions) -> Fleet {
    let opened = Fleet::open(program(), &dir(test), options).await;
    let fleet = opened.unwrap();
    // Targets write their store entries shortly after the configuration.
    tokio::time::sleep(Duration::from_millis(400)).await;
    fleet
}

/// When requests arrived at a target from a time on, relative to that time.
pub(super) fn arrivals_since(target: &TargetHandle, from: Instant) -> Vec<Duration> {
    let arrivals = target.arrivals().into_iter().map(|a| a.at);
    arrivals
        .filter(|at| *at >= from)
        .map(|at| at - from)
        .collect()
}

/// A request that gets a single response, not a stream of events.
pub(super) fn plain(path: &str) -> CallerRequest {
    CallerRequest {
        attempt: format!("{:016x}", ATTEMPTS.fetch_add(1, Ordering::Relaxed)),
        path: path.to_owned(),
        host: "desk.example".to_owned(),
        key: "key-1".to_owned(),
        tokens: None,
        prompt_parts: String::new(),
        body: "{}".into(),
        timeout: Duration::from_secs(5),
    }
}

/// Adds a route to the plain service, and returns a request for it.
pub(super) fn add_route(platform: &mut StandInPlatform, prefix: &str) -> CallerRequest {
    platform.change_configuration(|c| {
        let route = c.routes.iter().find(|r| r.prefix == "/note/").cloned();
        c.routes.push(RouteSpec {
            prefix: prefix.to_owned(),
            ..route.expect("the first configuration has it")
        });
    });
    plain(&format!("{prefix}1"))
}

/// A request that is answered by a stream of events.
pub(super) fn stream(path: &str, prompt: u64, events: u64) -> CallerRequest {
    CallerRequest {
        tokens: Some((prompt, events * 46)),
        ..plain(path)
    }
}

/// Sends a request to a node on a new connection.
pub(super) async fn ask(node: &NodeProcess, asked: &CallerRequest) -> Result<Answer, CallerError> {
    Caller::default().ask(node.callers_addr(), asked).await
}

/// Sends a request to a node and returns the status of its answer.
pub(super) async fn status(node: &NodeProcess, asked: &CallerRequest) -> u16 {
    ask(node, asked).await.unwrap().status.as_u16()
}

/// Output of the `trace` command for a request, given by the id of an attempt or by its fingerprint.
pub(super) fn trace(fleet: &Fleet, request: &str) -> String {
    let logs: Vec<PathBuf> = fleet
        .nodes
        .iter()
        .map(|n| n.log_path().to_owned())
        .collect();
    let output = std::process::Command::new(program())
        .args(["trace", request])
        .args(logs)
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}
