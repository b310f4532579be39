//! Stand-in of the platform's store. It keeps its whole history and loses nothing; leases last longer than a case.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::base64;
use crate::http::{Message, Reader, write_message};
use crate::json::Json;

/// Most items on a page.
const PAGE_ITEMS: usize = 500;

/// Time of one answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Change {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    next_lease: u64,
}

/// The store; clones share it.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Serves the store on an address.
    pub fn serve(addr: SocketAddr) -> io::Result<Self> {
        let store = Self::default();
        let listener = TcpListener::bind(addr)?;
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve_connection(stream));
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a key, as the operator and the servers do.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.put(key, value.as_bytes().to_vec(), 0);
        self.0.1.notify_all();
    }

    fn serve_connection(&self, stream: TcpStream) {
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(Some(mut head)) = reader.head() {
            let Ok(body) = reader.body(&head, false) else {
                return;
            };
            head.body = body;
            std::thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&head);
            let headers = [("Content-Type", "application/json"), ("Store-Era", "0")];
            let first_line = format!("HTTP/1.1 {status} x");
            if write_message(&mut out, &first_line, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (u16, String) {
        let (path, query) = req.word(1).split_once('?').unwrap_or((req.word(1), ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .map(|(k, v)| (k.to_owned(), percent_decoded(v)))
            .collect();
        let text = |name: &str| query.get(name).map_or("", String::as_str);
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        match (req.word(0), path) {
            ("GET", "/kv-key") => {
                let state = self.lock();
                match state.items.get(text("key")) {
                    Some(item) => (200, item_json(text("key"), item, Some(state.revision))),
                    None => (404, String::new()),
                }
            }
            ("GET", "/kv-range") => (200, self.range(text("prefix"), text("after"))),
            ("GET", "/kv-watch") => {
                let wait = Duration::from_millis(number("wait_ms").min(30_000));
                (200, self.watch(text("prefix"), number("after"), wait))
            }
            ("POST", "/kv-lease") => {
                let ttl = Json::parse(&req.body).and_then(|b| b.get("ttl_ms")?.number());
                let mut state = self.lock();
                state.next_lease += 1;
                let id = state.next_lease;
                (
                    200,
                    format!("{{\"lease_id\":{id},\"ttl_ms\":{}}}", ttl.unwrap_or(1000.0)),
                )
            }
            ("POST", "/kv-txn") => self.transact(&req.body),
            ("POST", path) if path.starts_with("/kv-keep/") => {
                (200, "{\"ttl_ms\":600000}".to_owned())
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => (200, "{}".to_owned()),
            _ => (404, String::new()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.lock();
        let mut found = state.items.iter();
        let mut page: Vec<String> = Vec::new();
        let mut has_more = false;
        for (key, item) in found.by_ref() {
            if !key.starts_with(prefix) || (!after.is_empty() && key.as_str() <= after) {
                continue;
            }
            if page.len() == PAGE_ITEMS {
                has_more = true;
                break;
            }
            page.push(item_json(key, item, None));
        }
        format!(
            "{{\"entries\":[{}],\"has_more\":{has_more},\"at\":{}}}",
            page.join(","),
            state.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let changes = state.history.iter();
            let changes = changes.filter(|c| c.revision > after && c.key.starts_with(prefix));
            let events: Vec<String> = changes.map(change_json).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"at\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            let waited = self.0.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(body) = Json::parse(body) else {
            return (400, String::new());
        };
        let rows = |name: &str| body.get(name).map_or(&[][..], Json::list).to_vec();
        let mut state = self.lock();
        for row in rows("expected") {
            let key = row.get("key").and_then(Json::text).unwrap_or("");
            let expected = row.get("revision").and_then(Json::number).unwrap_or(0.0) as u64;
            if state.items.get(key).map_or(0, |i| i.revision) != expected {
                return (412, "{\"entries\":[]}".to_owned());
            }
        }
        for row in rows("write") {
            let key = row.get("key").and_then(Json::text).unwrap_or("");
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, String::new());
            }
            let value = row
                .get("value")
                .and_then(Json::text)
                .and_then(base64::decode);
            let lease = row.get("lease_id").and_then(Json::number).unwrap_or(0.0) as u64;
            state.put(key, value.unwrap_or_default(), lease);
        }
        for key in rows("remove") {
            state.remove(key.text().unwrap_or(""));
        }
        self.0.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Change {
            key: key.to_owned(),
            revision: self.revision,
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push(Change {
                key: key.to_owned(),
                revision: self.revision,
                item: None,
            });
        }
    }
}

fn item_json(key: &str, item: &Item, at: Option<u64>) -> String {
    let mut json = format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease_id\":{}",
        base64::encode(&item.value),
        item.revision,
        item.created,
        item.lease
    );
    if let Some(at) = at {
        let _ = write!(json, ",\"at\":{at}");
    }
    json.push('}');
    json
}

fn change_json(change: &Change) -> String {
    match &change.item {
        Some(item) => item_json(&change.key, item, None),
        None => format!(
            "{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}",
            change.key, change.revision
        ),
    }
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        if let Some(byte) = hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            out.push(byte);
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
