//! Stand-in for a plain service that counts executions by request id and by request body.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azuresaddle_core::http::{Body, Handler, ServerLimits, json, problem, read_limited, serve};
use azuresaddle_core::prelude::*;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http_util::{bad_request, read_json};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Active faults; all off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Number of calls, from the next one on, that are executed but never answered.
    pub silent_after: u32,
    /// Number of calls, from the next one on, that are neither executed nor answered.
    pub silent_before: u32,
    /// Duration of each execution, in milliseconds.
    pub delay_ms: u64,
}

/// Answer of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CallDone {
    /// Id of the request.
    pub id: String,
    /// How often requests with this body have been executed, including this execution.
    pub executions: u64,
}

/// A running stand-in service.
#[derive(Clone)]
pub struct ServiceServer {
    state: Arc<Mutex<State>>,
    addr: SocketAddr,
}

#[derive(Default)]
struct State {
    /// Executions by request body, which is the same when a caller retries under a new request id.
    executions: HashMap<String, u64>,
    /// Executions by request id.
    by_id: HashMap<String, u64>,
    faults: ServiceFaults,
}

impl ServiceServer {
    /// Binds the address and starts to serve.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    pub async fn bind<N: Network>(
        net: &N,
        addr: SocketAddr,
        spawner: &Spawner,
    ) -> std::io::Result<Self> {
        let listener = net.bind(addr).await?;
        let addr = listener.local_addr();
        let service = Self {
            state: Arc::default(),
            addr,
        };
        let handler = Arc::new(ServiceHandler {
            service: service.clone(),
        });
        serve(listener, spawner.clone(), ServerLimits::default(), handler);
        Ok(service)
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.lock().faults = faults;
    }

    /// Returns the number of executions by request body.
    pub fn executions(&self) -> HashMap<String, u64> {
        self.lock().executions.clone()
    }

    /// Returns the number of executions by request id.
    pub fn executions_by_id(&self) -> HashMap<String, u64> {
        self.lock().by_id.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_fault(&self, count: impl FnOnce(&mut ServiceFaults) -> &mut u32) -> bool {
        let mut state = self.lock();
        let count = count(&mut state.faults);
        let some_left = *count > 0;
        *count = count.saturating_sub(1);
        some_left
    }

    async fn execute(&self, id: String, body: String) -> CallDone {
        if self.take_fault(|f| &mut f.silent_before) {
            std::future::pending::<()>().await;
        }
        let delay = Duration::from_millis(self.lock().faults.delay_ms);
        tokio::time::sleep(delay).await;
        let executions = {
            let mut state = self.lock();
            *state.by_id.entry(id.clone()).or_default() += 1;
            let count = state.executions.entry(body).or_default();
            *count += 1;
            *count
        };
        if self.take_fault(|f| &mut f.silent_after) {
            std::future::pending::<()>().await;
        }
        CallDone { id, executions }
    }
}

struct ServiceHandler {
    service: ServiceServer,
}

impl ServiceHandler {
    async fn route(&self, req: Request<Incoming>) -> Result<Response<Body>, Problem> {
        let method = req.method().clone();
        match (method, req.uri().path()) {
            (Method::PUT, "/faults") => {
                let faults = read_json(req, MAX_BODY_BYTES, BODY_TIMEOUT).await?;
                self.service.set_faults(faults);
                Ok(json(StatusCode::OK, &faults))
            }
            (Method::GET, "/counts/ids") => {
                Ok(json(StatusCode::OK, &self.service.executions_by_id()))
            }
            (Method::GET, "/counts") => Ok(json(StatusCode::OK, &self.service.executions())),
            _ => {
                let id = req
                    .headers()
                    .get("x-request-id")
                    .and_then(|v| v.to_str().ok());
                let id = id
                    .ok_or_else(|| bad_request("x-request-id is missing"))?
                    .to_owned();
                let body = read_limited(req.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await;
                let body = body.map_err(|e| bad_request(e.to_string()))?;
                let body = String::from_utf8_lossy(&body).into_owned();
                Ok(json(StatusCode::OK, &self.service.execute(id, body).await))
            }
        }
    }
}

impl Handler for ServiceHandler {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        match self.route(req).await {
            Ok(response) => response,
            Err(p) => problem(&p),
        }
    }
}
