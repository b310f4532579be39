//! A node gets SIGTERM while requests that it has read wait for a server, since all are busy.
//!
//! With `TROUBLE=0` there is no SIGTERM.

use std::collections::HashSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use review_standins::desk::{
    Desk, HOST, KEY, Service, answer_json, answer_stream, has_trouble, route, run,
};
use review_standins::http::{Message, read_message};
use review_standins::record::Record;

/// Streams that take all slots of the three servers, and how long each lasts: a while less than its deadline.
const BUSY_STREAMS: usize = 48;
const BUSY_EVENTS: (u32, Duration) = (85, Duration::from_millis(110));
const BUSY_DEADLINE: Duration = Duration::from_secs(10);

/// Requests that wait for a server.
const WAITING: usize = 3;
const WAITING_EVENTS: (u32, Duration) = (17, Duration::from_millis(45));
const WAITING_DEADLINE: Duration = Duration::from_secs(15);

/// What the rule allows after the last byte of a request, and after a SIGTERM.
const LOSS_SLACK: Duration = Duration::from_millis(200);
const GRACE: Duration = Duration::from_secs(8);
const AFTER_GRACE: Duration = Duration::from_secs(1);

/// Requests that reached a server.
static PASSED_ON: Mutex<Option<HashSet<String>>> = Mutex::new(None);

/// What became of a request.
struct Outcome {
    id: String,
    text: String,
    /// Whether the connection ended without a whole answer.
    is_cut: bool,
    took: Duration,
    ended_at: Instant,
}

fn main() {
    run(case);
}

fn case(record: Record) -> bool {
    let routes = [
        route(
            Service::Engines,
            ("prompt", "/prompt/", "streaming"),
            BUSY_DEADLINE.as_millis(),
            (300, 200),
        ),
        route(
            Service::Engines,
            ("digest", "/digest/", "streaming"),
            WAITING_DEADLINE.as_millis(),
            (3_000, 800),
        ),
    ];
    let mut desk = Desk::start(record.clone(), Service::Engines, &routes, Arc::new(answer));
    // The nodes that stay have the streams that keep the servers busy.
    let mut busy = Vec::new();
    for n in 0..BUSY_STREAMS {
        let (record, addr) = (record.clone(), desk.nodes[1 + n % 2].frontend());
        busy.push(thread::spawn(move || {
            let id = format!("prompt-{n}");
            ask(&record, addr, "/prompt/1", &id, "5000,3910", BUSY_DEADLINE)
        }));
        sleep(Duration::from_millis(10));
    }
    sleep(Duration::from_millis(500));
    let mut waiting = Vec::new();
    for n in 0..WAITING {
        let (record, addr) = (record.clone(), desk.nodes[0].frontend());
        waiting.push(thread::spawn(move || {
            let id = format!("digest-{n}");
            ask(
                &record,
                addr,
                "/digest/1",
                &id,
                "210000,782",
                WAITING_DEADLINE,
            )
        }));
    }
    sleep(Duration::from_millis(500));
    let stopped_at = Instant::now();
    if has_trouble() {
        record.line("SIGTERM to node 0");
        desk.nodes[0].signal("TERM");
        while desk.nodes[0].is_running() {
            sleep(Duration::from_millis(20));
        }
        record.line("node 0 has ended");
    }
    let mut lost = 0;
    for client in waiting {
        let outcome = client.join().expect("a client ends");
        println!("{}", outcome.text);
        let passed_on = PASSED_ON
            .lock()
            .expect("no panic")
            .clone()
            .unwrap_or_default();
        // Those that were passed on may be excused, so only the others are judged.
        let is_lost = outcome.is_cut
            && !passed_on.contains(&outcome.id)
            && outcome.took > LOSS_SLACK
            && outcome.took < WAITING_DEADLINE
            && outcome.ended_at < stopped_at + GRACE + AFTER_GRACE;
        lost += u32::from(is_lost);
    }
    let served = busy.into_iter().filter_map(|b| b.join().ok());
    let served = served.filter(|r| r.text.starts_with("200")).count();
    println!("{served} of the {BUSY_STREAMS} streams that keep the servers busy were served");
    assert!(served * 10 >= BUSY_STREAMS * 9, "the servers weren't busy");
    lost > 0
}

/// What a server answers.
fn answer(request: &Message, out: &mut TcpStream) -> std::io::Result<()> {
    let (method, path) = request.target();
    if method == "POST" && path != "/order" {
        let id = request.header("azuresaddle-attempt-id").unwrap_or("");
        let mut passed_on = PASSED_ON.lock().expect("no panic");
        passed_on.get_or_insert_default().insert(id.to_owned());
    }
    match (method, path) {
        ("POST", path) if path.starts_with("/prompt/") => {
            answer_stream(request, out, Duration::from_millis(60), BUSY_EVENTS)
        }
        ("POST", path) if path.starts_with("/digest/") => {
            answer_stream(request, out, Duration::from_millis(900), WAITING_EVENTS)
        }
        _ => {
            let report = br#"{"phase":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"active":16,"kv_used":198000,"kv_total":450000,"kv_handles":0,"pace":1.0,"tickets":[]}"#;
            answer_json(request, out, report)
        }
    }
}

/// Sends a prompt and tells what became of it.
fn ask(
    record: &Record,
    addr: SocketAddr,
    path: &str,
    id: &str,
    tokens: &str,
    deadline: Duration,
) -> Outcome {
    let began = Instant::now();
    let result = exchange(record, addr, path, id, tokens, deadline);
    let took = began.elapsed();
    let is_cut = !matches!(result, Ok(Some(_)));
    let text = match result {
        Ok(Some(answer)) => format!("{} with {} bytes", answer.status(), answer.body.len()),
        Ok(None) => "no answer: the connection ended".to_owned(),
        Err(e) => format!("no answer: {e}"),
    };
    let text = format!("{text} to {id} after {} ms", took.as_millis());
    record.line(&format!("client gets {text}"));
    Outcome {
        id: id.to_owned(),
        text,
        is_cut,
        took,
        ended_at: began + took,
    }
}

fn exchange(
    record: &Record,
    addr: SocketAddr,
    path: &str,
    id: &str,
    tokens: &str,
    deadline: Duration,
) -> std::io::Result<Option<Message>> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(deadline))?;
    let deadline = deadline.as_millis();
    let parts = format!(
        "5c1e07a2:40,{:x}:{}",
        0x91bd_0000_u32,
        tokens.split(',').next().unwrap_or("0")
    );
    let body = "x".repeat(1200);
    let length = body.len();
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAzuresaddle-Attempt-Id: {id}\r\nAzuresaddle-Model: m\r\nAzuresaddle-Token-Usage: {tokens}\r\nAzuresaddle-Prefix-Hash: {parts}\r\nAzuresaddle-Deadline-Ms: {deadline}\r\nAuthorization: Token {KEY}\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes())?;
    record.line(&format!("client sends {id} to {addr}"));
    read_message(&mut BufReader::new(stream))
}
