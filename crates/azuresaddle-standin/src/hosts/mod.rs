//! Stand-in for the host list, whose changes become visible after a delay.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azuresaddle_core::host_list::{Host, HostList};
use azuresaddle_core::http::{Body, Handler, ServerLimits, json, problem, serve};
use azuresaddle_core::prelude::*;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use tokio::time::Instant;

use crate::http_util::{bad_request, query_param, read_json};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// A running stand-in host list.
#[derive(Clone)]
pub struct HostListServer {
    shared: Arc<Mutex<State>>,
    addr: SocketAddr,
}

struct State {
    lag: Duration,
    /// Lists with the time of the change that made them, newest last.
    history: VecDeque<(Instant, HostList)>,
}

impl HostListServer {
    /// Binds the address and starts to serve; changes become visible after `lag`.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    pub async fn bind<N: Network>(
        net: &N,
        addr: SocketAddr,
        spawner: &Spawner,
        hosts: Vec<Host>,
        lag: Duration,
    ) -> std::io::Result<Self> {
        let listener = net.bind(addr).await?;
        let addr = listener.local_addr();
        let first = (Instant::now(), HostList { hosts });
        let shared = Arc::new(Mutex::new(State {
            lag,
            history: VecDeque::from([first]),
        }));
        let list = Self { shared, addr };
        let handler = Arc::new(HostListHandler { list: list.clone() });
        serve(listener, spawner.clone(), ServerLimits::default(), handler);
        Ok(list)
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Adds a host, or replaces the one with the same name.
    pub fn put(&self, host: Host) {
        lock(&self.shared).change(|hosts| {
            hosts.retain(|h| h.name != host.name);
            hosts.push(host);
        });
    }

    /// Removes a host.
    pub fn remove(&self, name: &HostName) {
        lock(&self.shared).change(|hosts| hosts.retain(|h| h.name != *name));
    }

    /// Sets whether a host is leaving.
    pub fn set_leaving(&self, name: &HostName, leaving: bool) {
        lock(&self.shared).change(|hosts| {
            for host in hosts.iter_mut().filter(|h| h.name == *name) {
                host.leaving = leaving;
            }
        });
    }
}

impl State {
    fn change(&mut self, change: impl FnOnce(&mut Vec<Host>)) {
        let mut list = self
            .history
            .back()
            .map_or_else(HostList::default, |(_, l)| l.clone());
        change(&mut list.hosts);
        list.hosts.sort_by(|a, b| a.name.cmp(&b.name));
        self.history.push_back((Instant::now(), list));
    }

    /// Returns the list that is visible at `now`: the newest one that is at least `lag` old.
    fn visible_list(&mut self, now: Instant) -> HostList {
        while self.history.len() > 1 && self.history[1].0 + self.lag <= now {
            self.history.pop_front();
        }
        self.history
            .front()
            .map_or_else(HostList::default, |(_, l)| l.clone())
    }
}

struct HostListHandler {
    list: HostListServer,
}

impl HostListHandler {
    async fn route(&self, req: Request<Incoming>) -> Result<Response<Body>, Problem> {
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (method, segments.as_slice()) {
            (Method::GET, ["v1", "hosts"]) => {}
            (Method::PUT, ["v1", "hosts"]) => {
                let host: Host = read_json(req, MAX_BODY_BYTES, BODY_TIMEOUT).await?;
                self.list.put(host);
            }
            (Method::DELETE, ["v1", "hosts", name]) => {
                self.list.remove(&HostName::new(name));
            }
            (Method::PUT, ["v1", "hosts", name, "leaving"]) => {
                let leaving = query_param(&req, "value").as_deref() != Some("false");
                self.list.set_leaving(&HostName::new(name), leaving);
            }
            _ => return Err(bad_request("unknown path")),
        }
        let list = lock(&self.list.shared).visible_list(Instant::now());
        Ok(json(StatusCode::OK, &list))
    }
}

impl Handler for HostListHandler {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        match self.route(req).await {
            Ok(response) => response,
            Err(p) => problem(&p),
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
