//! Requests that arrive while their nodes stop.

use std::net::SocketAddr;
use std::time::Duration;

use azuresaddle_platform::headers;
use azuresaddle_standin::platform::{
    Caller, CallerError, CallerRequest, RawAnswer, RawEnd, RouteSpec, ServiceSpec, StandInPlatform,
};
use futures::future::join_all;
use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::support::{fleet, plain, stream};

/// Times that the targets of plain services take. The grace period of the nodes is 4 s.
const SERVICE_TIMES: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(900),
    Duration::from_millis(2400),
];

/// Time for the nodes to learn of routes and targets.
const APPLY_TIME: Duration = Duration::from_millis(800);

/// Callers of each kind of request at each node.
const CALLERS: usize = 4;

/// Time from the start of the callers to the first stop, and between two stops.
const STOP_PAUSE: Duration = Duration::from_millis(700);

/// Time after which the end of a connection loses a request that was not sent to a target.
const MAX_UNSENT_TIME: Duration = Duration::from_millis(200);

/// Parts in which an upload is written.
const UPLOAD_PARTS: usize = 8;

/// Pause before each part of an upload.
const UPLOAD_PAUSE: Duration = Duration::from_millis(120);

/// Bytes of each part of an upload.
const PART_BYTES: usize = 4096;

/// Adds a service and routes whose targets take `time`. Returns the paths.
async fn add_service(platform: &mut StandInPlatform, time: Duration) -> Vec<String> {
    let (id, signature) = (headers::ATTEMPT_ID, headers::SIGNATURE);
    let answer = RawAnswer {
        start: format!(
            "HTTP/1.1 200 OK\r\n{id}: {{attempt}}\r\n{signature}: {{signature}}\r\n\
             content-length: {{length}}\r\n\r\n{{body}}"
        ),
        end: RawEnd::Delayed(time),
    };
    let service = format!("desk-{}", time.as_millis());
    platform.configuration.services.push(ServiceSpec {
        name: service.clone(),
        is_engine: false,
        cold_rate: 0.0,
    });
    let mut paths = Vec::new();
    for prefix in ["/note/", "/post/"] {
        let routes = &mut platform.configuration.routes;
        let route = routes.iter().find(|r| r.prefix == prefix).cloned();
        let prefix = format!("{}-{}/", prefix.trim_end_matches('/'), time.as_millis());
        paths.push(format!("{prefix}1"));
        routes.push(RouteSpec {
            prefix,
            service: service.clone(),
            timeout_ms: 4000,
            target_ms: 3000,
            ..route.expect("the first configuration has it")
        });
    }
    platform.add_raw_answer(&service, answer).await.unwrap();
    paths
}

/// Sends requests on an open connection until the node is gone, and returns those that were lost.
async fn ask_until_gone(
    node: SocketAddr,
    platform: &StandInPlatform,
    next: impl Fn() -> CallerRequest,
) -> Vec<String> {
    let (mut caller, mut lost) = (Caller::default(), Vec::new());
    loop {
        let asked = next();
        let began = Instant::now();
        let outcome = caller.ask(node, &asked).await;
        let took = began.elapsed();
        let runs = platform.runs.of(&asked.attempt).count;
        let is_lost = match outcome {
            Ok(_) => false,
            Err(CallerError::NoConnection) => return lost,
            // A request may cross the close of its connection.
            Err(CallerError::BrokenOff) => runs > 0 || took > MAX_UNSENT_TIME,
            Err(_) => true,
        };
        if is_lost {
            lost.push(format!("{} ran {runs} times: {outcome:?}", asked.path));
        }
    }
}

/// Uploads slowly until the node is gone, and returns the uploads that were lost.
async fn upload_until_gone(node: SocketAddr, platform: &StandInPlatform) -> Vec<String> {
    let mut lost = Vec::new();
    while let Ok(connection) = TcpStream::connect(node).await {
        let asked = plain("/post/1");
        let began = Instant::now();
        let answer = upload(connection, &asked).await;
        let runs = platform.runs.of(&asked.attempt).count;
        let is_whole = answer.contains("\r\n\r\n") && answer.starts_with("HTTP/1.1 ");
        // The node may not have read any of it.
        let is_unread = answer.is_empty() && runs == 0 && began.elapsed() < UPLOAD_PAUSE * 2;
        if !is_whole && !is_unread {
            lost.push(format!("upload ran {runs} times: {answer:?}"));
        }
    }
    lost
}

/// Writes a request slowly and reads until the end of the connection.
async fn upload(connection: TcpStream, asked: &CallerRequest) -> String {
    let (mut rx, mut tx) = connection.into_split();
    let (id, length) = (headers::ATTEMPT_ID, UPLOAD_PARTS * PART_BYTES);
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: {}\r\nauthorization: Token {}\r\n{id}: {}\r\nconnection: close\r\n\
         content-length: {length}\r\n\r\n",
        asked.path, asked.host, asked.key, asked.attempt
    );
    let write = async {
        tx.write_all(head.as_bytes()).await?;
        for _ in 0..UPLOAD_PARTS {
            tokio::time::sleep(UPLOAD_PAUSE).await;
            tx.write_all(&[b'x'; PART_BYTES]).await?;
        }
        std::future::pending::<std::io::Result<()>>().await
    };
    let mut answer = Vec::new();
    let read = async {
        // What came before the end of the connection is the answer.
        let _ = rx.read_to_end(&mut answer).await;
    };
    tokio::pin!(read);
    tokio::select! {
        () = &mut read => {}
        // The node may answer and close before everything is written.
        _ = write => read.await,
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against requests that a stopping node takes late in its grace period and cuts at the end of it.
#[tokio::test(flavor = "multi_thread")]
async fn requests_to_stopping_nodes_are_answered() {
    let mut fleet = fleet("stop-late", 3).await;
    let mut paths = Vec::new();
    for time in SERVICE_TIMES {
        paths.extend(add_service(&mut fleet.platform, time).await);
    }
    fleet.platform.change_configuration(|_| {});
    tokio::time::sleep(APPLY_TIME).await;
    let stopping = &mut fleet.nodes[..2];
    let platform = &fleet.platform;
    let (mut plain_callers, mut stream_callers, mut uploads) = (vec![], vec![], vec![]);
    for node in stopping.iter().map(|n| n.callers_addr()) {
        for _ in 0..CALLERS {
            for path in &paths {
                plain_callers.push(ask_until_gone(node, platform, || plain(path)));
            }
            let next = || stream("/ask-once/1", 2000, 6);
            stream_callers.push(ask_until_gone(node, platform, next));
            uploads.push(upload_until_gone(node, platform));
        }
    }
    let stop = async {
        for node in stopping {
            tokio::time::sleep(STOP_PAUSE).await;
            node.signal(Signal::SIGTERM);
        }
    };
    let (plain_lost, streams_lost, uploads_lost, ()) = tokio::join!(
        join_all(plain_callers),
        join_all(stream_callers),
        join_all(uploads),
        stop
    );
    let lost = [plain_lost, streams_lost, uploads_lost].concat().concat();
    assert!(lost.is_empty(), "{lost:#?}");
}
