//! A request that clients repeat, and that servers have run many times, begins to crash each server that begins to run it.

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::Verdict;
use crate::client::{attempt_id, random, resolve, send};
use crate::fleet::{Addresses, Node};
use crate::record::Record;
use crate::server::{Options, Server, Work};
use crate::store::Store;

/// `contact_ms` of the settings.
const CONTACT_S: f64 = 3.0;

/// Crashes after which the request must not reach servers any more, and how many retries may nevertheless.
const CRASHES: usize = 3;
const MAX_LATE: usize = 3;

/// Path of the request; its caller and body are always the same, too.
const PATH: &str = "/check/plan-17";

const NODES: u8 = 3;
const SERVERS: u8 = 4;

/// Time between two requests with this path, of all clients together.
const REPEAT_PAUSE: Duration = Duration::from_millis(1000);

/// Time between two other requests.
const OTHER_PAUSE: Duration = Duration::from_millis(40);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-check","host":"desk.example","prefix":"/check/",
"route_type":"idempotent","timeout_ms":4000,"target_latency_ms":150,"priority":1,"service":"app","max_attempts":2,
"public":false,"sticky":false,"resumable":false},{"name":"r-post","host":"desk.example","prefix":"/post/",
"route_type":"non_idempotent","timeout_ms":4000,"target_latency_ms":150,"priority":1,"service":"app","max_attempts":1,
"public":false,"sticky":false,"resumable":false}],"services":[{"name":"app","health_path":"/healthz",
"max_connections":200,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["k1"],"priority":1}]}"#;

struct Clients {
    addresses: Addresses,
    record: Record,
    ends: AtomicBool,
    /// When other requests were sent, and the status of their answer; 0 without one.
    others: Mutex<Vec<(f64, u16)>>,
}

impl Clients {
    fn attempt(&self, repeats: bool) {
        let nodes: Vec<u8> = (1..=NODES).collect();
        let mut nearest = nodes.clone();
        nearest.rotate_left(random(nodes.len()));
        let known = resolve(self.addresses, &nearest);
        if known.is_empty() {
            return;
        }
        let node = known[random(known.len())];
        let attempt = attempt_id(if repeats { 'c' } else { 's' });
        let path = if repeats {
            PATH.to_owned()
        } else {
            format!("/post/{attempt}")
        };
        let sent_at = self.record.now();
        self.record
            .line(&format!("client sends {attempt} to {node}, path {path}"));
        let key = [("Authorization", "Token k1")];
        let answer = send(node, &path, &attempt, &key, Duration::from_secs(3));
        let status = answer.as_ref().map_or(0, |a| a.status());
        self.record.line(&format!("{attempt} is answered {status}"));
        if !repeats {
            let mut others = self.others.lock().unwrap_or_else(PoisonError::into_inner);
            others.push((sent_at, status));
        }
    }

    fn run(self: Arc<Self>, repeats: bool, pause: Duration) {
        let mut threads = Vec::new();
        while !self.ends.load(Ordering::SeqCst) {
            let clients = Arc::clone(&self);
            threads.push(std::thread::spawn(move || clients.attempt(repeats)));
            std::thread::sleep(pause);
        }
        for thread in threads {
            let _ = thread.join();
        }
    }
}

pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let is_known = std::env::var("BEFORE").map_or(true, |v| v != "0");
    let is_armed = Arc::new(AtomicBool::new(false));
    let addresses = Addresses::find()?;
    let store = Store::serve(addresses.store())?;
    store.put("op/config", CONFIG);
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        let options = Options {
            id: format!("i-{number:08x}"),
            service: "app".to_owned(),
            addr: addresses.server(number),
            slots: 6,
            work: Work::Plain(Duration::from_millis(60)),
            crashing_part: Some(PATH.to_owned()),
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
    record.say(&format!("nodes 1 to {NODES} are ready; {SERVERS} servers"));
    let clients = Arc::new(Clients {
        addresses,
        record: record.clone(),
        ends: AtomicBool::new(false),
        others: Mutex::default(),
    });
    let start = |repeats, pause| {
        let started = Arc::clone(&clients);
        std::thread::spawn(move || started.run(repeats, pause))
    };
    let others = start(false, OTHER_PAUSE);
    let known = is_known.then(|| start(true, REPEAT_PAUSE));
    std::thread::sleep(Duration::from_secs(10));
    is_armed.store(has_trouble, Ordering::SeqCst);
    record.say(&format!(
        "requests with the path {PATH} come; crash servers: {has_trouble}"
    ));
    let repeated = known.unwrap_or_else(|| start(true, REPEAT_PAUSE));
    std::thread::sleep(Duration::from_secs(60));
    clients.ends.store(true, Ordering::SeqCst);
    let _ = others.join();
    let _ = repeated.join();
    for node in &mut nodes {
        if !node.is_running() {
            record.say(&format!("node {} has ended by itself", node.number));
        }
    }
    Ok(judge(&clients, &servers, record))
}

/// Checks the rule on a request that crashes the servers that run it.
fn judge(clients: &Clients, servers: &[Server], record: &Record) -> Verdict {
    let mut crashes: Vec<f64> = servers.iter().flat_map(Server::crashes).collect();
    crashes.sort_by(f64::total_cmp);
    let times: Vec<String> = crashes.iter().map(|at| format!("{at:.1}")).collect();
    record.say(&format!(
        "{} crashes, at {} s",
        crashes.len(),
        times.join(", ")
    ));
    let others = clients
        .others
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let failed = others
        .iter()
        .filter(|(_, status)| *status == 502 || *status == 0)
        .count();
    record.say(&format!(
        "{} other requests, which may run once; {failed} of them were answered 502 or not at all",
        others.len()
    ));
    let Some(third) = crashes.get(CRASHES - 1).copied() else {
        record.say("fewer than three crashes; BUDGET held");
        return Verdict::Held;
    };
    let arrivals = servers.iter().flat_map(Server::arrivals);
    let late = arrivals
        .filter(|a| a.path == PATH && a.at > third + CONTACT_S)
        .count();
    record.say(&format!(
        "third crash at {third:.1} s; the request reached servers {late} times over {CONTACT_S} s later; allowed: {MAX_LATE}"
    ));
    if late > MAX_LATE {
        record.say("BUDGET is broken");
        Verdict::Broken
    } else {
        record.say("BUDGET held");
        Verdict::Held
    }
}
