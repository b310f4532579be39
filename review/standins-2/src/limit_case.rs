//! The machines that the seeds name are replaced, all at once. Later a server in need names its limit.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::Verdict;
use crate::client::{attempt_id, random, resolve, send};
use crate::fleet::{Addresses, Node, SIGHUP};
use crate::record::Record;
use crate::server::{Options, Server, Work};
use crate::store::Store;

/// `contact_ms` of the settings.
const CONTACT_S: f64 = 3.0;

/// `seed_lag_s` of the settings.
const SEED_LAG_S: u64 = 3;

/// Window of the rule, and what it allows in it.
const WINDOW_S: f64 = 4.0;
const FACTOR: f64 = 1.5;
const EXTRA: f64 = 5.0;

/// Time after which a machine that has passed on the limit is bound by it.
const PASSED_ON_S: f64 = 0.5;

/// The limit, in requests a second, as the server writes it.
const LIMIT: &str = "5";
const LIMIT_PER_S: f64 = 5.0;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-post","host":"desk.example","prefix":"/post/",
"route_type":"non_idempotent","timeout_ms":4000,"target_latency_ms":150,"priority":1,"service":"app","max_attempts":1,
"public":false,"sticky":false,"resumable":false}],"services":[{"name":"app","health_path":"/healthz",
"max_connections":200,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["k1"],"priority":1}]}"#;

/// Clients of each place; every place has one machine, first 1 to 5.
const CLIENTS_PER_PLACE: usize = 4;
const PLACES: usize = 5;
const PAUSE: Duration = Duration::from_millis(160);

/// What the clients know and have seen.
struct Clients {
    addresses: Addresses,
    record: Record,
    /// The machine of each place.
    machines: Mutex<[u8; PLACES]>,
    ends: AtomicBool,
    /// Machine to which each attempt was sent.
    sent_to: Mutex<HashMap<String, u8>>,
    /// When each machine first passed on an answer with a limit.
    passed_on: Mutex<HashMap<u8, f64>>,
    statuses: Mutex<HashMap<u16, usize>>,
}

impl Clients {
    fn run(&self, place: usize) {
        let mut known = Vec::new();
        let mut resolved_at = f64::MIN;
        while !self.ends.load(Ordering::SeqCst) {
            std::thread::sleep(PAUSE);
            if self.record.now() - resolved_at > 2.0 || known.is_empty() {
                let machines = *lock(&self.machines);
                let mut nearest: Vec<u8> = vec![machines[place]];
                nearest.extend(machines.iter().filter(|m| **m != machines[place]));
                let found = resolve(self.addresses, &nearest);
                if !found.is_empty() {
                    known = found;
                }
                resolved_at = self.record.now();
            }
            if known.is_empty() {
                continue;
            }
            let node = known[random(known.len())];
            let number = (1..=8)
                .find(|n| self.addresses.frontend(*n) == node)
                .unwrap_or(0);
            let attempt = attempt_id('a');
            lock(&self.sent_to).insert(attempt.clone(), number);
            self.record.line(&format!(
                "client of place {place} sends {attempt} to node {number}"
            ));
            let key = [("Authorization", "Token k1")];
            let answer = send(node, "/post/x", &attempt, &key, Duration::from_secs(2));
            let (status, limit) = match &answer {
                Ok(answer) => (answer.status(), answer.header("server-limit")),
                Err(_) => (0, None),
            };
            if limit.is_some() {
                let now = self.record.now();
                lock(&self.passed_on).entry(number).or_insert(now);
            }
            self.record
                .line(&format!("{attempt} is answered {status}, limit {limit:?}"));
            *lock(&self.statuses).entry(status).or_default() += 1;
            if answer.is_err() {
                resolved_at = f64::MIN;
            }
        }
    }
}

pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let has_fresh_seeds = std::env::var("SEEDS").is_ok_and(|v| v == "fresh");
    let addresses = Addresses::find()?;
    let store = Store::serve(addresses.store())?;
    store.put("op/config", CONFIG);
    let mut servers = Vec::new();
    for number in 1..=3 {
        let options = Options {
            id: format!("i-{number:08x}"),
            service: "app".to_owned(),
            addr: addresses.server(number),
            slots: 32,
            work: Work::Plain(Duration::from_millis(15)),
            crashing_part: None,
            is_armed: Arc::default(),
            back_after: Duration::from_secs(2),
        };
        servers.push(Server::start(options, &store, record)?);
    }
    let old_seeds = [1, 2, 3];
    let mut nodes = Vec::new();
    for number in 1..=5 {
        nodes.push(Node::start(addresses, folder, number, &old_seeds)?);
    }
    for node in &nodes {
        node.wait_until_ready()?;
    }
    std::thread::sleep(Duration::from_secs(2));
    record.say("nodes 1 to 5 are ready; seeds 1, 2, 3");

    let clients = Arc::new(Clients {
        addresses,
        record: record.clone(),
        machines: Mutex::new([1, 2, 3, 4, 5]),
        ends: AtomicBool::new(false),
        sent_to: Mutex::default(),
        passed_on: Mutex::default(),
        statuses: Mutex::default(),
    });
    let mut threads = Vec::new();
    for index in 0..PLACES * CLIENTS_PER_PLACE {
        let clients = Arc::clone(&clients);
        threads.push(std::thread::spawn(move || clients.run(index % PLACES)));
    }
    std::thread::sleep(Duration::from_secs(3));

    if has_trouble {
        for node in &mut nodes[..3] {
            node.kill();
        }
        record.say("nodes 1, 2 and 3 are removed for good");
        std::thread::sleep(Duration::from_secs(1));
        let fresh = [4, 5, 6];
        let seeds = if has_fresh_seeds { &fresh } else { &old_seeds };
        for number in 6..=8 {
            nodes.push(Node::start(addresses, folder, number, seeds)?);
        }
        *lock(&clients.machines) = [6, 7, 8, 4, 5];
        record.say(&format!(
            "nodes 6, 7 and 8 start at new addresses; their seeds are {seeds:?}"
        ));
        for node in &nodes[5..] {
            node.wait_until_ready()?;
        }
        std::thread::sleep(Duration::from_secs(SEED_LAG_S - 1));
        for node in &nodes[5..] {
            node.write_settings(&fresh)?;
            node.signal(SIGHUP);
        }
        record.say("the seeds in the settings files of nodes 6, 7 and 8 are 4, 5 and 6 from now on; SIGHUP");
    }
    std::thread::sleep(Duration::from_secs(6));
    let in_need = &servers[0];
    in_need.set_limit(Some(LIMIT));
    let named_at = record.now();
    record.say(&format!(
        "server {} names Server-Limit: {LIMIT} in all its answers",
        in_need.id()
    ));
    std::thread::sleep(Duration::from_secs(22));
    clients.ends.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    for node in &mut nodes {
        let is_running = node.is_running();
        if !is_running && (!has_trouble || node.number > 3) {
            record.say(&format!("node {} has ended by itself", node.number));
        }
    }
    Ok(judge(&clients, in_need, named_at, record))
}

/// Checks the rule: from `contact_ms` after the limit was first named, no 4 s hold more than 1.5 times what it allows and 5
/// requests, from machines that had passed on such an answer half a second before or earlier.
fn judge(clients: &Clients, in_need: &Server, named_at: f64, record: &Record) -> Verdict {
    let allowed = FACTOR * LIMIT_PER_S * WINDOW_S + EXTRA;
    let sent_to = lock(&clients.sent_to);
    let passed_on = lock(&clients.passed_on);
    let mut machines: Vec<_> = passed_on
        .iter()
        .map(|(m, at)| format!("{m} at {at:.1} s"))
        .collect();
    machines.sort();
    record.say(&format!(
        "the limit was first passed on by node {}",
        machines.join(", ")
    ));
    let mut window: VecDeque<f64> = VecDeque::new();
    let mut most = 0;
    let mut most_at = 0.0;
    let mut by_machine: HashMap<u8, usize> = HashMap::new();
    for arrival in in_need.arrivals() {
        let Some(machine) = sent_to.get(&arrival.attempt) else {
            record.say(&format!(
                "{} reached the server, though no client sent it",
                arrival.attempt
            ));
            continue;
        };
        let is_bound = passed_on
            .get(machine)
            .is_some_and(|at| arrival.at >= at + PASSED_ON_S);
        if !is_bound || arrival.at < named_at + CONTACT_S {
            continue;
        }
        *by_machine.entry(*machine).or_default() += 1;
        window.push_back(arrival.at);
        while window
            .front()
            .is_some_and(|at| *at <= arrival.at - WINDOW_S)
        {
            window.pop_front();
        }
        if window.len() > most {
            most = window.len();
            most_at = arrival.at;
        }
    }
    let mut by_machine: Vec<_> = by_machine.into_iter().collect();
    by_machine.sort_unstable();
    let by_machine: Vec<String> = by_machine
        .iter()
        .map(|(m, n)| format!("{m}: {n}"))
        .collect();
    let mut statuses: Vec<_> = lock(&clients.statuses)
        .iter()
        .map(|(s, n)| (*s, *n))
        .collect();
    statuses.sort_unstable();
    record.say(&format!("answers by status: {statuses:?}"));
    record.say(&format!(
        "requests that count, by node: {}",
        by_machine.join(", ")
    ));
    record.say(&format!(
        "most requests in {WINDOW_S} s: {most}, up to {most_at:.1} s; allowed: {allowed}"
    ));
    if most as f64 > allowed {
        record.say("LIMIT is broken");
        Verdict::Broken
    } else {
        record.say("LIMIT held");
        Verdict::Held
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
