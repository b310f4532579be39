//! A small deployment: a store, servers of one service, and nodes in three zones; three of each where not said. Its
//! settings and its configuration have the figures of the pages' examples.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::panic::catch_unwind;
use std::process::exit;
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::http::{Message, read_head, read_message, write_answer};
use crate::node::{Node, TempDir, free_ports};
use crate::record::Record;
use crate::store::Store;

const IPS: [&str; 7] = [
    "127.31.1.1",
    "127.31.2.1",
    "127.31.3.1",
    "127.31.1.2",
    "127.31.2.2",
    "127.31.3.2",
    "127.31.1.3",
];
const ZONES: [&str; 3] = ["ahm-hall", "gnr-hall", "vad-hall"];
pub const SERVER_IP: &str = "127.31.9.1";
pub const HOST: &str = "desk.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Writes a server's answer to a request.
pub type Answer = dyn Fn(&Message, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// The service whose servers answer.
#[derive(Clone, Copy)]
pub enum Service {
    /// `case-desk`: plain servers with 6 slots each.
    Plain,
    /// `advice-llm`: model servers with 16 slots each.
    Engines,
}

impl Service {
    fn name(self) -> &'static str {
        match self {
            Self::Plain => "case-desk",
            Self::Engines => "advice-llm",
        }
    }

    fn slots(self) -> u32 {
        match self {
            Self::Plain => 6,
            Self::Engines => 16,
        }
    }

    fn json(self) -> &'static str {
        match self {
            Self::Plain => {
                r#"{"name":"case-desk","health_path":"/healthz","max_connections":100,"protocol":"h1","tls":false}"#
            }
            Self::Engines => {
                r#"{"name":"advice-llm","health_path":"/healthz","max_connections":424,"protocol":"h1","tls":false,"engine":{"slots":16,"kv_capacity":450000,"kv_bytes":327680,"link_mbps":400000.0,"stride":46,"models":[{"name":"m"}],"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":8,"delays":[],"usual":{"prompt":13239,"answer":1540},"hop_ms":0.1}}"#
            }
        }
    }
}

/// A running deployment. Its fields are dropped in order, so the nodes end first.
pub struct Desk {
    pub nodes: Vec<Node>,
    pub store: Store,
    pub record: Record,
    _dir: TempDir,
}

/// A route of a service, as JSON; `gap_ms` is of use for streams only.
pub fn route(
    service: Service,
    (name, prefix, kind): (&str, &str, &str),
    timeout_ms: u128,
    (target_ms, gap_ms): (u32, u32),
) -> String {
    let service = service.name();
    // Pauses between events and a new run elsewhere, for streams only.
    let stream = match kind {
        "streaming" => format!(r#","sticky":true,"resumable":true,"target_gap_ms":{gap_ms}"#),
        _ => String::new(),
    };
    format!(
        r#"{{"name":"{name}","host":"{HOST}","prefix":"{prefix}","route_type":"{kind}","timeout_ms":{timeout_ms},"target_latency_ms":{target_ms},"priority":1,"service":"{service}","max_attempts":2,"public":false{stream}}}"#
    )
}

/// A configuration with these routes; the limits are those of the pages' example.
pub fn configuration(version: u32, service: Service, routes: &[String]) -> String {
    let routes = routes.join(",");
    let service = service.json();
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{service}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

impl Desk {
    /// Starts three servers and three nodes, as [`Self::start_with`].
    pub fn start(record: Record, service: Service, routes: &[String], answer: Arc<Answer>) -> Self {
        Self::start_with((3, 3), record, service, routes, answer)
    }

    /// Starts so many servers and nodes (7 at most), and waits until the nodes are ready and have been in touch for
    /// `contact_ms`.
    pub fn start_with(
        (servers, nodes): (usize, usize),
        record: Record,
        service: Service,
        routes: &[String],
        answer: Arc<Answer>,
    ) -> Self {
        let (name, slots) = (service.name(), service.slots());
        let dir = TempDir::new().expect("a temporary folder");
        let store = Store::default();
        let store_addr = store.serve(SERVER_IP).expect("the store listens");
        for n in 0..servers {
            let zone = ZONES[n % ZONES.len()];
            let addr = serve(n, record.clone(), Arc::clone(&answer));
            let entry = format!(
                r#"{{"service":"{name}","address":"{addr}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","cold_remaining_ms":0,"sequence":1}}"#
            );
            store.put(&format!("servers/i-7f3a91c{n:02}"), &entry);
        }
        store.put("op/config", &configuration(7, service, routes));
        let ips = &IPS[..nodes];
        let base = free_ports(ips);
        let mut nodes = Vec::new();
        for (n, ip) in ips.iter().enumerate() {
            let zone = ZONES[n % ZONES.len()];
            let node = Node::start(&dir.0, ip, zone, base, &ips[..3], store_addr);
            nodes.push(node.expect("a node starts"));
        }
        assert!(nodes.iter().all(Node::wait_ready), "a node isn't ready");
        sleep(Duration::from_secs(4));
        record.line("nodes are ready");
        Self {
            nodes,
            store,
            record,
            _dir: dir,
        }
    }
}

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Runs a case, which tells whether its rule was broken, and exits with the status that says so. What the case started
/// has ended by then. The record is written to the folder that the first argument names.
pub fn run(case: fn(Record) -> bool) -> ! {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let Ok(record) = Record::create(&format!("{folder}/record.txt")) else {
        eprintln!("no record can be written to {folder}");
        exit(2);
    };
    let result = catch_unwind(|| case(record.clone()));
    let (text, code) = match result {
        Ok(true) => ("rule broken", 1),
        Ok(false) => ("rule held", 0),
        Err(_) => ("the case could not run", 2),
    };
    record.line(text);
    println!("{text}");
    exit(code)
}

/// A server.
fn serve(n: usize, record: Record, answer: Arc<Answer>) -> SocketAddr {
    let listener = TcpListener::bind((SERVER_IP, 0)).expect("a server listens");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, answer) = (record.clone(), Arc::clone(&answer));
            thread::spawn(move || serve_connection(n, stream, &record, &*answer));
        }
    });
    addr
}

fn serve_connection(n: usize, stream: TcpStream, record: &Record, answer: &Answer) {
    let _ = stream.set_nodelay(true);
    let Ok(mut out) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut reader) {
        let id = request
            .header("azuresaddle-attempt-id")
            .unwrap_or("-")
            .to_owned();
        let (_, path) = request.target();
        record.line(&format!("server {n} runs {id} {path}"));
        let answered = answer(&request, &mut out);
        record.line(&format!("server {n} is done with {id}: {answered:?}"));
        if answered.is_err() {
            return;
        }
    }
}

/// Headers of a server's answer to a request.
pub fn answer_headers(request: &Message) -> [(&'static str, String); 3] {
    let id = request.header("azuresaddle-attempt-id").unwrap_or("");
    [
        ("Azuresaddle-Attempt-Id", id.to_owned()),
        (
            "Azuresaddle-Server-Seal",
            "3e1b.07.5a2.600.0.c9f2a4d1".to_owned(),
        ),
        ("Keep-Alive", "timeout=5".to_owned()),
    ]
}

/// Writes an answer with a JSON body.
pub fn answer_json(request: &Message, out: &mut TcpStream, json: &[u8]) -> io::Result<()> {
    let headers = answer_headers(request);
    let mut headers: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
    headers.push(("Content-Type", "application/json"));
    write_answer(out, "200 OK", &headers, json)
}

/// Writes an answer with a body of `length` bytes.
pub fn answer_whole(request: &Message, out: &mut TcpStream, length: usize) -> io::Result<()> {
    let headers = answer_headers(request);
    let headers: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
    write_answer(out, "200 OK", &headers, &vec![b'x'; length])
}

/// Writes a stream of events with increasing ids, the first one after a while, the others at intervals.
pub fn answer_stream(
    request: &Message,
    out: &mut TcpStream,
    first: Duration,
    (events, interval): (u32, Duration),
) -> io::Result<()> {
    let mut head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            .to_owned();
    for (name, value) in answer_headers(request) {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    sleep(first);
    out.write_all(head.as_bytes())?;
    let after = request
        .header("last-event-id")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    for id in after + 1..=events {
        let event = format!("id: {id}\ndata: {}\n\n", "x".repeat(184));
        out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        sleep(interval);
    }
    out.write_all(b"0\r\n\r\n")
}

/// The head of a client's request without a body.
pub fn request(path: &str, id: &str, deadline: Duration) -> String {
    let deadline = deadline.as_millis();
    format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nAzuresaddle-Attempt-Id: {id}\r\nAzuresaddle-Deadline-Ms: {deadline}\r\nAuthorization: Token {KEY}\r\n\r\n"
    )
}

/// What a client got of an answer.
#[derive(Debug)]
pub struct Download {
    pub status: u16,
    /// Length of the body, as its head says.
    pub length: usize,
    pub read: usize,
    pub took: Duration,
    /// Why it ended before it was complete.
    pub error: Option<String>,
}

/// Sends a request on a new connection and reads the answer, `part` bytes at a time with a `pause` after each, until the
/// deadline.
pub fn download(
    record: &Record,
    addr: SocketAddr,
    path: &str,
    id: &str,
    deadline: Duration,
    (part, pause): (usize, Duration),
) -> io::Result<Download> {
    let began = Instant::now();
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(deadline))?;
    stream.write_all(request(path, id, deadline).as_bytes())?;
    record.line(&format!("client sends {id} to {addr}"));
    let mut reader = BufReader::with_capacity(part, stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    record.line(&format!(
        "client gets the head of the answer to {id}: {}",
        head.start
    ));
    let length = head
        .header("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    let mut bytes = vec![0; part];
    let mut read = 0;
    let mut told = 0;
    let mut error = None;
    while read < length {
        if began.elapsed() >= deadline {
            error = Some("the client's deadline has passed".to_owned());
            break;
        }
        match reader.read(&mut bytes) {
            Ok(0) => {
                error = Some("the connection ended".to_owned());
                break;
            }
            Ok(count) => read += count,
            Err(e) => {
                error = Some(e.to_string());
                break;
            }
        }
        if read - told >= 100_000 {
            told = read;
            record.line(&format!("client has read {read} of {length} bytes of {id}"));
        }
        sleep(pause);
    }
    let download = Download {
        status: head.status(),
        length,
        read,
        took: began.elapsed(),
        error,
    };
    record.line(&format!("client is done with {id}: {download:?}"));
    Ok(download)
}
