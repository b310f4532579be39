//! A node gets SIGTERM while a client reads a long answer, which it would have whole within the grace period.
//!
//! With `TROUBLE=0` there is no SIGTERM.

use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::Duration;

use review_standins::desk::{Desk, Service, answer_whole, download, has_trouble, route, run};
use review_standins::record::Record;

/// Length of the answers.
const ANSWER: usize = 600_000;

/// What a client reads at a time, and the pause after it: 100 KB a second, so it has all after 6 s.
const PACE: (usize, Duration) = (5_000, Duration::from_millis(50));

/// How long the clients wait, and the timeout of the route.
const DEADLINE: Duration = Duration::from_secs(10);

/// From the request to the SIGTERM.
const BEFORE_STOP: Duration = Duration::from_millis(1000);

/// Clients that ask each node.
const CLIENTS: usize = 2;

fn main() {
    run(case);
}

fn case(record: Record) -> bool {
    let route = route(
        Service::Plain,
        ("digest", "/digest/", "idempotent"),
        DEADLINE.as_millis(),
        3_000,
    );
    let mut desk = Desk::start(
        record.clone(),
        Service::Plain,
        &[route],
        Arc::new(|request, out| answer_whole(request, out, ANSWER)),
    );
    let mut clients = Vec::new();
    for (n, node) in desk.nodes.iter().enumerate() {
        for client in 0..CLIENTS {
            let (record, addr) = (record.clone(), node.frontend());
            clients.push(thread::spawn(move || {
                let id = format!("digest-{n}-{client}");
                (n, download(&record, addr, "/digest/1", &id, DEADLINE, PACE))
            }));
        }
    }
    sleep(BEFORE_STOP);
    if has_trouble() {
        record.line("SIGTERM to node 0");
        desk.nodes[0].signal("TERM");
        while desk.nodes[0].is_running() {
            sleep(Duration::from_millis(20));
        }
        record.line("node 0 has ended");
    }
    let mut lost = 0;
    for client in clients {
        let (n, result) = client.join().expect("a client ends");
        println!("node {n}: {result:?}");
        record.line(&format!("node {n}: {result:?}"));
        let is_whole = result.as_ref().is_ok_and(|d| d.read == ANSWER);
        lost += u32::from(!is_whole);
    }
    lost > 0
}
