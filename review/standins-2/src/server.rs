//! Stand-in of a server. It runs what is sent to it, signs its answers and keeps its entry in the store.

use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use std::io::Write as _;

use crate::http::{Message, Reader, head_bytes, write_message};
use crate::record::Record;
use crate::store::Store;

/// Interval of heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// How a server answers.
#[derive(Clone, Copy, Debug)]
pub enum Work {
    /// With a body after this time.
    Plain(Duration),
    /// With a stream: events with ids, one each `gap`.
    Stream { events: u64, gap: Duration },
}

/// A request as it reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub attempt: String,
    pub parts: String,
    pub path: String,
}

pub struct Options {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub slots: u32,
    pub work: Work,
    /// A part of prompts, or the path of a plain request, of which the server crashes as it begins to write an answer, once
    /// `is_armed` is set.
    pub crashing_part: Option<String>,
    pub is_armed: Arc<AtomicBool>,
    /// Time after which a crashed server is back.
    pub back_after: Duration,
}

/// A running server; clones share it.
#[derive(Clone)]
pub struct Server(Arc<Shared>);

struct Shared {
    options: Options,
    store: Store,
    record: Record,
    state: Mutex<State>,
    /// Value of `Server-Limit` in all answers.
    limit: Mutex<Option<String>>,
    sequence: AtomicU64,
    is_up: AtomicBool,
}

#[derive(Default)]
struct State {
    born: u64,
    /// Incremented with each start; connections of earlier starts end.
    start: u64,
    connections: HashMap<u64, TcpStream>,
    next_connection: u64,
    active: u32,
    arrivals: Vec<Arrival>,
    crashes: Vec<f64>,
}

impl Server {
    pub fn start(options: Options, store: &Store, record: &Record) -> io::Result<Self> {
        let server = Self(Arc::new(Shared {
            options,
            store: store.clone(),
            record: record.clone(),
            state: Mutex::default(),
            limit: Mutex::default(),
            sequence: AtomicU64::new(0),
            is_up: AtomicBool::new(false),
        }));
        server.open()?;
        let beating = server.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                if beating.0.is_up.load(Ordering::SeqCst) {
                    beating.beat();
                }
            }
        });
        Ok(server)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts to listen and registers.
    fn open(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.0.options.addr)?;
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let start = {
            let mut state = self.lock();
            state.born = since.unwrap_or_default().as_millis() as u64;
            state.start += 1;
            state.start
        };
        self.0.sequence.store(0, Ordering::SeqCst);
        self.0.is_up.store(true, Ordering::SeqCst);
        self.beat();
        let server = self.clone();
        std::thread::spawn(move || {
            // The listener is polled, so that it is closed as soon as the server crashes.
            let _ = listener.set_nonblocking(true);
            while server.lock().start == start && server.0.is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let server = server.clone();
                        std::thread::spawn(move || server.serve_connection(stream, start));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(())
    }

    fn beat(&self) {
        let options = &self.0.options;
        let born = self.lock().born;
        let sequence = self.0.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"phase\":\"unified\",\"models\":[{{\"name\":\"m\",\
             \"version\":1,\"adapters\":[]}}],\"born\":{born},\"sequence\":{sequence}}}",
            options.service, options.addr, options.slots
        );
        self.0.store.put(&format!("servers/{}", options.id), &entry);
    }

    /// Names a limit in all answers from now on; `None` ends it.
    pub fn set_limit(&self, limit: Option<&str>) {
        let mut known = self.0.limit.lock().unwrap_or_else(PoisonError::into_inner);
        *known = limit.map(str::to_owned);
    }

    fn limit(&self) -> Option<String> {
        let limit = self.0.limit.lock().unwrap_or_else(PoisonError::into_inner);
        limit.clone()
    }

    /// The part of prompts, or the path, of which the server crashes now.
    fn crashing(&self) -> Option<&str> {
        let crashing = self.0.options.crashing_part.as_deref();
        crashing.filter(|_| self.0.options.is_armed.load(Ordering::SeqCst))
    }

    pub fn id(&self) -> &str {
        &self.0.options.id
    }

    /// All requests of clients that reached the server and that were not for another one.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// When the server has crashed.
    pub fn crashes(&self) -> Vec<f64> {
        self.lock().crashes.clone()
    }

    /// Ends as a crash does: the port is closed and all connections end. The server is back under its id after a while.
    fn crash(&self, attempt: &str, start: u64) {
        {
            let mut state = self.lock();
            if state.start != start || !self.0.is_up.swap(false, Ordering::SeqCst) {
                return;
            }
            let now = self.0.record.now();
            state.crashes.push(now);
            for stream in state.connections.drain().map(|(_, s)| s) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            state.active = 0;
        }
        self.0
            .record
            .line(&format!("server {} crashes of {attempt}", self.id()));
        let server = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(server.0.options.back_after);
            for _ in 0..100 {
                if server.open().is_ok() {
                    server
                        .0
                        .record
                        .line(&format!("server {} is back", server.id()));
                    return;
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        });
    }

    fn serve_connection(&self, stream: TcpStream, start: u64) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_nonblocking(false);
        let (Ok(mut out), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        let number = {
            let mut state = self.lock();
            if state.start != start || !self.0.is_up.load(Ordering::SeqCst) {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            state.next_connection += 1;
            let number = state.next_connection;
            state.connections.insert(number, kept);
            number
        };
        let mut reader = Reader::new(stream);
        while let Ok(Some(mut head)) = reader.head() {
            let Ok(body) = reader.body(&head, false) else {
                break;
            };
            head.body = body;
            if self.answer(&head, &mut out, start).is_err() {
                break;
            }
        }
        let _ = out.shutdown(Shutdown::Both);
        self.lock().connections.remove(&number);
    }

    fn answer(&self, req: &Message, out: &mut TcpStream, start: u64) -> io::Result<()> {
        let id = self.id().to_owned();
        let expected = req.header("azuresaddle-expected-instance");
        if expected.is_some_and(|e| e != id) {
            let headers = [("Azuresaddle-Instance-Id", id.as_str())];
            return write_message(out, "HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        let limit = self.limit();
        let mut headers = vec![("Azuresaddle-Instance-Id", id.as_str())];
        if let Some(limit) = &limit {
            headers.push(("Server-Limit", limit));
        }
        let path = req.word(1);
        if req.word(0) == "GET" && path == "/healthz" {
            return write_message(out, "HTTP/1.1 200 OK", &headers, b"");
        }
        if req.word(0) == "GET" && path == "/report" {
            let state = self.lock();
            let body = format!(
                "{{\"phase\":\"unified\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
                 \"sequence\":0,\"queued\":0,\"active\":{},\"kv_used\":0,\"kv_total\":450000,\"kv_handles\":0,\
                 \"pace\":1.0,\"tickets\":[],\"born\":{}}}",
                state.active, state.born
            );
            drop(state);
            return write_message(out, "HTTP/1.1 200 OK", &headers, body.as_bytes());
        }
        if path == "/order" {
            return write_message(out, "HTTP/1.1 400 Bad Request", &headers, b"");
        }
        let Some(attempt) = req.header("azuresaddle-attempt-id").map(str::to_owned) else {
            headers.push(("Azuresaddle-Not-Executed", "1"));
            return write_message(out, "HTTP/1.1 400 Bad Request", &headers, b"");
        };
        let parts = req
            .header("azuresaddle-prefix-hash")
            .unwrap_or("")
            .to_owned();
        let is_full = {
            let mut state = self.lock();
            state.arrivals.push(Arrival {
                at: self.0.record.now(),
                attempt: attempt.clone(),
                parts: parts.clone(),
                path: path.to_owned(),
            });
            let is_full = state.active >= self.0.options.slots;
            state.active += u32::from(!is_full);
            is_full
        };
        let echo = ("Azuresaddle-Attempt-Id", attempt.as_str());
        headers.push(echo);
        if is_full {
            headers.push(("Azuresaddle-Not-Executed", "1"));
            return write_message(out, "HTTP/1.1 503 Service Unavailable", &headers, b"");
        }
        self.0.record.line(&format!("server {id} runs {attempt}"));
        let seal = format!("{id}.{attempt}");
        headers.push(("Azuresaddle-Server-Seal", seal.as_str()));
        let result = match self.0.options.work {
            Work::Plain(time) => {
                if self.crashing() == Some(path) {
                    self.crash(&attempt, start);
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
                std::thread::sleep(time);
                write_message(out, "HTTP/1.1 200 OK", &headers, attempt.as_bytes())
            }
            Work::Stream { events, gap } => {
                let crashes = self.crashing().is_some_and(|crashing| {
                    let mut ids: Vec<&str> = parts.split(',').collect();
                    ids.pop();
                    ids.iter().any(|p| p.split(':').next() == Some(crashing))
                });
                self.stream(req, out, &headers, (events, gap), crashes.then_some(start))
            }
        };
        let mut state = self.lock();
        if state.start == start {
            state.active = state.active.saturating_sub(1);
        }
        result
    }

    fn stream(
        &self,
        req: &Message,
        out: &mut TcpStream,
        headers: &[(&str, &str)],
        (events, gap): (u64, Duration),
        crash: Option<u64>,
    ) -> io::Result<()> {
        let last = req
            .header("last-event-id")
            .and_then(|v| v.parse::<u64>().ok());
        // The prompt is read.
        std::thread::sleep(gap);
        if let Some(start) = crash {
            let attempt = req.header("azuresaddle-attempt-id").unwrap_or("");
            self.crash(attempt, start);
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let mut all = headers.to_vec();
        all.push(("Content-Type", "text/event-stream"));
        all.push(("Transfer-Encoding", "chunked"));
        out.write_all(&head_bytes("HTTP/1.1 200 OK", &all))?;
        for number in last.map_or(1, |l| l + 1)..=events {
            let event = format!("id: {number}\ndata: token {number}\n\n");
            out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            std::thread::sleep(gap);
        }
        out.write_all(b"0\r\n\r\n")
    }
}
