//! A client reads a long answer slowly, for longer than the idle timeout and within its deadline. Others call the same
//! node meanwhile.
//!
//! With `TROUBLE=0` the client reads at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use review_standins::desk::{
    Desk, Service, answer_whole, download, has_trouble, request, route, run,
};
use review_standins::http::{exchange, get_status};
use review_standins::record::Record;

/// Length of the long answer.
const LONG_ANSWER: usize = 1_000_000;

/// What the slow client reads at a time, and the pause after it: 40 KB a second, so it has all after 25 s.
const SLOW: (usize, Duration) = (4_000, Duration::from_millis(100));
const FAST: (usize, Duration) = (64_000, Duration::ZERO);

/// How long the client waits for the long answer, and the timeout of its route.
const DEADLINE: Duration = Duration::from_secs(30);

/// The timeout of the route of short requests, and what the rule adds.
const TIMEOUT: Duration = Duration::from_millis(1000);
const SLACK: Duration = Duration::from_millis(500);

/// How long their clients wait, longer than the rule's bound.
const SHORT_DEADLINE: Duration = Duration::from_millis(2000);

/// How long the short requests are sent, and how often to each node.
const LOAD_TIME: Duration = Duration::from_secs(36);
const INTERVAL: Duration = Duration::from_millis(200);

/// Short requests, as the client sees them.
#[derive(Default)]
struct Counts {
    sent: AtomicU32,
    answered: AtomicU32,
    unanswered_at_timeout: AtomicU32,
    unanswered_after_slack: AtomicU32,
}

fn main() {
    run(case);
}

fn case(record: Record) -> bool {
    let routes = [
        route(
            Service::Plain,
            ("digest", "/digest/", "idempotent"),
            DEADLINE.as_millis(),
            (3_000, 0),
        ),
        route(
            Service::Plain,
            ("note", "/note/", "idempotent"),
            TIMEOUT.as_millis(),
            (150, 0),
        ),
    ];
    let desk = Desk::start(
        record.clone(),
        Service::Plain,
        &routes,
        Arc::new(|request, out| {
            let is_long = request.target().1.starts_with("/digest/");
            answer_whole(request, out, if is_long { LONG_ANSWER } else { 800 })
        }),
    );
    let pace = if has_trouble() { SLOW } else { FAST };
    let slow = {
        let (record, addr) = (record.clone(), desk.nodes[0].frontend());
        thread::spawn(move || download(&record, addr, "/digest/1", "digest-1", DEADLINE, pace))
    };
    let counts: Vec<Arc<Counts>> = desk.nodes.iter().map(|_| Arc::default()).collect();
    let stop = Arc::new(AtomicBool::new(false));
    for (node, counts) in desk.nodes.iter().zip(&counts) {
        let (addr, counts, stop) = (node.frontend(), Arc::clone(counts), Arc::clone(&stop));
        let record = record.clone();
        thread::spawn(move || send_notes(&record, addr, &counts, &stop));
    }
    {
        // As the platform does, once a second.
        let (record, addr, stop) = (record.clone(), desk.nodes[0].readiness(), Arc::clone(&stop));
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let status = get_status(addr, "/readyz");
                record.line(&format!("platform gets {status:?} to /readyz of node 0"));
                sleep(Duration::from_secs(1));
            }
        });
    }
    sleep(LOAD_TIME);
    stop.store(true, Ordering::Relaxed);
    sleep(SHORT_DEADLINE + SLACK);
    let mut is_broken = false;
    for (node, counts) in desk.nodes.iter().zip(&counts) {
        let unanswered = counts.unanswered_at_timeout.load(Ordering::Relaxed);
        let late = counts.unanswered_after_slack.load(Ordering::Relaxed);
        let text = format!(
            "node {}: {} short requests, {} answered; {unanswered} unanswered at the route's timeout, {late} of them also 0.5 s later",
            node.ip,
            counts.sent.load(Ordering::Relaxed),
            counts.answered.load(Ordering::Relaxed),
        );
        println!("{text}");
        record.line(&text);
        // Few may be chance on a busy machine.
        is_broken |= unanswered >= 8 && late * 2 > unanswered;
    }
    let read = slow.join().expect("the slow client ends");
    println!("the long answer: {read:?}");
    is_broken
}

/// Sends short requests, each on a connection of its own, and counts the answers.
fn send_notes(record: &Record, addr: SocketAddr, counts: &Arc<Counts>, stop: &AtomicBool) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let (record, counts) = (record.clone(), Arc::clone(counts));
        thread::spawn(move || {
            let id = format!("note-{}-{number}", addr.ip());
            counts.sent.fetch_add(1, Ordering::Relaxed);
            record.line(&format!("client sends {id}"));
            let began = Instant::now();
            let text = request("/note/1", &id, SHORT_DEADLINE);
            let answer = exchange(addr, text.as_bytes(), SHORT_DEADLINE);
            let took = began.elapsed();
            if took >= TIMEOUT {
                counts.unanswered_at_timeout.fetch_add(1, Ordering::Relaxed);
            }
            if took >= TIMEOUT + SLACK {
                counts
                    .unanswered_after_slack
                    .fetch_add(1, Ordering::Relaxed);
            }
            let text = match answer {
                Ok(answer) => {
                    counts.answered.fetch_add(1, Ordering::Relaxed);
                    format!("client gets {} to {id}", answer.status())
                }
                Err(e) => {
                    format!("client gets no answer to {id}: {e}")
                }
            };
            record.line(&format!("{text}, after {} ms", took.as_millis()));
        });
        sleep(INTERVAL);
    }
}
