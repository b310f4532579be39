//! Stand-in for the platform's store, as the page on the protocol describes it.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_message, write_answer};

#[derive(Clone)]
struct Change {
    revision: u64,
    key: String,
    /// `None`: removed.
    value: Option<Vec<u8>>,
}

#[derive(Default)]
struct State {
    revision: u64,
    next_lease: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
    changes: Vec<Change>,
}

/// The store; clones share its content.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Serves on a free port of `ip` and returns its address.
    pub fn serve(&self, ip: &str) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind((ip, 0))?;
        let addr = listener.local_addr()?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve_connection(stream));
            }
        });
        Ok(addr)
    }

    /// Writes a key, as the operator and the servers do. Returns the revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        state.write(key, Some(value.as_bytes().to_vec()));
        changed.notify_all();
        state.revision
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        if state.items.contains_key(key) {
            state.write(key, None);
            changed.notify_all();
        }
    }

    fn serve_connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let (method, target) = request.target();
            let (status, body) = self.answer(method, target, &request.body);
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            if write_answer(&mut out, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &[u8]) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let text = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs
                .find(|(n, _)| *n == name)
                .map(|(_, v)| decode(v))
                .unwrap_or_default()
        };
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let (state, changed) = &*self.0;
        match (method, path) {
            ("GET", "/kv-key") => {
                let state = state.lock().unwrap();
                let key = text("key");
                match state.items.get(&key) {
                    Some((value, revision)) => ("200 OK", item(&key, value, *revision)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("GET", "/kv-range") => {
                let state = state.lock().unwrap();
                let (prefix, after) = (text("prefix"), text("after"));
                let all = state.items.iter();
                let found = all.filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let found: Vec<String> = found.map(|(k, (v, r))| item(k, v, *r)).collect();
                let entries = found.join(",");
                let at = state.revision;
                (
                    "200 OK",
                    format!("{{\"entries\":[{entries}],\"has_more\":false,\"at\":{at}}}"),
                )
            }
            ("GET", "/kv-watch") => {
                let end = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
                let (prefix, after) = (text("prefix"), number("after"));
                let mut state = state.lock().unwrap();
                loop {
                    let all = state.changes.iter();
                    let found = all.filter(|c| c.revision > after && c.key.starts_with(&prefix));
                    let found: Vec<String> = found.map(Change::json).collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        let events = found.join(",");
                        let at = state.revision;
                        return ("200 OK", format!("{{\"events\":[{events}],\"at\":{at}}}"));
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/kv-lease") => {
                let mut state = state.lock().unwrap();
                state.next_lease += 1;
                let ttl: String = String::from_utf8_lossy(body)
                    .chars()
                    .filter(char::is_ascii_digit)
                    .collect();
                let id = state.next_lease;
                ("200 OK", format!("{{\"lease_id\":{id},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", "/kv-txn") => {
                // What the nodes write is of no use to a case; the revision counts.
                let mut state = state.lock().unwrap();
                state.write("azuresaddle/written", Some(b"x".to_vec()));
                changed.notify_all();
                ("200 OK", format!("{{\"revision\":{}}}", state.revision))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                ("200 OK", "{\"ttl_ms\":600000}".to_owned())
            }
            ("DELETE", _) => ("200 OK", "{}".to_owned()),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}

impl State {
    fn write(&mut self, key: &str, value: Option<Vec<u8>>) {
        self.revision += 1;
        let revision = self.revision;
        match &value {
            Some(value) => self.items.insert(key.to_owned(), (value.clone(), revision)),
            None => self.items.remove(key),
        };
        self.changes.push(Change {
            revision,
            key: key.to_owned(),
            value,
        });
    }
}

impl Change {
    fn json(&self) -> String {
        match &self.value {
            Some(value) => item(&self.key, value, self.revision),
            None => format!(
                "{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}",
                self.key, self.revision
            ),
        }
    }
}

fn item(key: &str, value: &[u8], revision: u64) -> String {
    let value = base64(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"lease_id\":0}}"
    )
}

fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text
            .get(at + 1..at + 3)
            .and_then(|h| u8::from_str_radix(h, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..part.len()].copy_from_slice(part);
        let n = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for i in 0..4 {
            if i <= part.len() {
                out.push(SIGNS[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
