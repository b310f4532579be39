//! One part of a prompt, behind several sound ones, crashes each server that begins to write an answer on it.

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::Verdict;
use crate::client::{attempt_id, next_number, random, resolve, send};
use crate::fleet::{Addresses, Node};
use crate::record::Record;
use crate::server::{Options, Server, Work};
use crate::store::Store;

/// `contact_ms` of the settings.
const CONTACT_S: f64 = 3.0;

/// Crashes after which requests with the part must not reach servers any more, and how many may nevertheless.
const CRASHES: usize = 5;
const MAX_LATE: usize = 3;

/// Least number of sound requests inside and outside of the trouble for the second rule.
const LEAST_SOUND: usize = 20;

/// The part that crashes servers.
const CRASHING: &str = "c4a5e001";

/// Sound parts that all requests share.
const SHARED: usize = 9;

const NODES: u8 = 3;
const ENGINES: u8 = 4;

/// Time between two sound requests, and between two with the part that crashes servers.
const SOUND_PAUSE: Duration = Duration::from_millis(80);
const CRASHING_PAUSE: Duration = Duration::from_millis(500);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-ask","host":"desk.example","prefix":"/ask/",
"route_type":"streaming","timeout_ms":10000,"target_latency_ms":600,"priority":1,"service":"llm","max_attempts":2,
"public":false,"sticky":true,"resumable":true,"target_gap_ms":200}],"services":[{"name":"llm","health_path":"/healthz",
"max_connections":204,"protocol":"h1","tls":false,"engine":{"slots":16,"kv_capacity":450000,"kv_bytes":327680,
"link_mbps":400000.0,"stride":46,"models":[{"name":"m"}],"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,
"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":8,
"delays":[],"usual":{"prompt":13227,"answer":368},"hop_ms":0.1}}],"limits":{"max_header_bytes":16384,
"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1",
"api_keys":["k1"],"priority":1}]}"#;

/// First attempt of a sound request.
struct Sound {
    sent_at: f64,
    /// Whether its answer began.
    has_begun: bool,
}

struct Clients {
    addresses: Addresses,
    record: Record,
    /// Position of the crashing part, from 1.
    position: usize,
    ends: AtomicBool,
    sound: Mutex<Vec<Sound>>,
}

impl Clients {
    /// The parts of a prompt; `crashing` is put in at its position.
    fn parts(&self, crashing: bool) -> String {
        let shared = (0..SHARED).map(|n| format!("5a{n:06x}:400"));
        let mut parts: Vec<String> = shared.collect();
        if crashing {
            parts.insert(self.position - 1, format!("{CRASHING}:400"));
        }
        parts.push(format!("ee{:06x}:400", next_number()));
        parts.join(",")
    }

    fn attempt(&self, is_crashing: bool) {
        let nodes: Vec<u8> = (1..=NODES).collect();
        let mut nearest = nodes.clone();
        nearest.rotate_left(random(nodes.len()));
        let known = resolve(self.addresses, &nearest);
        if known.is_empty() {
            return;
        }
        let node = known[random(known.len())];
        let attempt = attempt_id(if is_crashing { 'c' } else { 's' });
        let parts = self.parts(is_crashing);
        let headers = [
            ("Authorization", "Token k1"),
            ("Azuresaddle-Model", "m"),
            ("Azuresaddle-Token-Usage", "4400,368"),
            ("Azuresaddle-Prefix-Hash", parts.as_str()),
        ];
        let sent_at = self.record.now();
        self.record.line(&format!(
            "client sends {attempt} to {node} with the parts {parts}"
        ));
        let path = format!("/ask/{attempt}");
        let answer = send(node, &path, &attempt, &headers, Duration::from_secs(10));
        let (status, end) = match &answer {
            Ok(answer) => (answer.status(), "whole".to_owned()),
            Err(e) => (0, e.to_string()),
        };
        self.record
            .line(&format!("{attempt} is answered {status}, {end}"));
        if !is_crashing {
            // An answer that broke off has begun, but what was read of it is not kept; it counts as not begun only if the
            // node refused or failed it.
            let has_begun = status == 200 || (status == 0 && end.contains("end of file"));
            let mut sound = self.sound.lock().unwrap_or_else(PoisonError::into_inner);
            sound.push(Sound { sent_at, has_begun });
        }
    }

    /// Sends attempts, one each `pause`, each in a thread of its own.
    fn run(self: Arc<Self>, is_crashing: bool, pause: Duration) {
        let mut threads = Vec::new();
        while !self.ends.load(Ordering::SeqCst) {
            let clients = Arc::clone(&self);
            threads.push(std::thread::spawn(move || clients.attempt(is_crashing)));
            std::thread::sleep(pause);
        }
        for thread in threads {
            let _ = thread.join();
        }
    }
}

pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let position = std::env::var("POSITION").ok().and_then(|p| p.parse().ok());
    let position = position.unwrap_or(SHARED + 1).clamp(1, SHARED + 1);
    let is_armed = Arc::new(AtomicBool::new(false));
    let addresses = Addresses::find()?;
    let store = Store::serve(addresses.store())?;
    store.put("op/config", CONFIG);
    let mut servers = Vec::new();
    for number in 1..=ENGINES {
        let options = Options {
            id: format!("i-{number:08x}"),
            service: "llm".to_owned(),
            addr: addresses.server(number),
            slots: 16,
            work: Work::Stream {
                events: 8,
                gap: Duration::from_millis(45),
            },
            crashing_part: Some(CRASHING.to_owned()),
            is_armed: Arc::clone(&is_armed),
            back_after: Duration::from_secs(3),
        };
        servers.push(Server::start(options, &store, record)?);
    }
    let seeds: Vec<u8> = (1..=NODES).collect();
    let mut nodes = Vec::new();
    for number in 1..=NODES {
        nodes.push(Node::start(addresses, folder, number, &seeds)?);
    }
    for node in &nodes {
        node.wait_until_ready()?;
    }
    std::thread::sleep(Duration::from_secs(4));
    record.say(&format!(
        "nodes 1 to {NODES} are ready; {ENGINES} model servers"
    ));
    let clients = Arc::new(Clients {
        addresses,
        record: record.clone(),
        position,
        ends: AtomicBool::new(false),
        sound: Mutex::default(),
    });
    let started = Arc::clone(&clients);
    let sound = std::thread::spawn(move || started.run(false, SOUND_PAUSE));
    std::thread::sleep(Duration::from_secs(8));
    let trouble_at = record.now();
    is_armed.store(has_trouble, Ordering::SeqCst);
    record.say(&format!(
        "requests with the part {CRASHING} at position {position} of {} come; crashes servers: {has_trouble}",
        SHARED + 2
    ));
    let started = Arc::clone(&clients);
    let crashing = std::thread::spawn(move || started.run(true, CRASHING_PAUSE));
    std::thread::sleep(Duration::from_secs(40));
    clients.ends.store(true, Ordering::SeqCst);
    let ends_at = record.now();
    let _ = sound.join();
    let _ = crashing.join();
    for node in &mut nodes {
        if !node.is_running() {
            record.say(&format!("node {} has ended by itself", node.number));
        }
    }
    Ok(judge(&clients, &servers, (trouble_at, ends_at), record))
}

/// Checks both rules on a part that crashes servers.
fn judge(
    clients: &Clients,
    servers: &[Server],
    (trouble_at, ends_at): (f64, f64),
    record: &Record,
) -> Verdict {
    let mut crashes: Vec<f64> = servers.iter().flat_map(Server::crashes).collect();
    crashes.sort_by(f64::total_cmp);
    record.say(&format!("{} crashes", crashes.len()));
    let has_part = |parts: &str| {
        parts
            .split(',')
            .any(|p| p.split(':').next() == Some(CRASHING))
    };
    let arrivals = servers.iter().flat_map(Server::arrivals);
    let arrivals: Vec<f64> = arrivals
        .filter(|a| has_part(&a.parts))
        .map(|a| a.at)
        .collect();
    record.say(&format!(
        "{} requests with the part reached servers",
        arrivals.len()
    ));
    let Some(fifth) = crashes.get(CRASHES - 1).copied() else {
        record.say("fewer than five crashes; both rules held");
        return Verdict::Held;
    };
    let late = arrivals
        .iter()
        .filter(|at| **at > fifth + CONTACT_S)
        .count();
    record.say(&format!(
        "fifth crash at {fifth:.1} s; {late} requests with the part reached servers over {CONTACT_S} s later; allowed: {MAX_LATE}"
    ));
    let sound = clients.sound.lock().unwrap_or_else(PoisonError::into_inner);
    let share = |from: f64, to: f64| {
        let all: Vec<&Sound> = sound
            .iter()
            .filter(|s| s.sent_at >= from && s.sent_at < to)
            .collect();
        let begun = all.iter().filter(|s| s.has_begun).count();
        (begun, all.len())
    };
    let (begun_before, before) = share(0.0, trouble_at);
    let (begun, during) = share(fifth + 2.0 * CONTACT_S, ends_at);
    record.say(&format!(
        "sound requests that began at their first attempt: {begun_before} of {before} before, {begun} of {during} from {:.1} s",
        fifth + 2.0 * CONTACT_S
    ));
    let is_lost = before >= LEAST_SOUND
        && during >= LEAST_SOUND
        && (begun as f64 / during as f64) < 0.5 * begun_before as f64 / before as f64;
    if late > MAX_LATE {
        record.say("BUDGET is broken");
    }
    if is_lost {
        record.say("LOST is broken");
    }
    if late > MAX_LATE || is_lost {
        Verdict::Broken
    } else {
        record.say("BUDGET and LOST held");
        Verdict::Held
    }
}
