//! Client of a node's admin interface.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result};
use azuresaddle_core::http::{HttpClient, read_limited};
use azuresaddle_core::net::TcpNetwork;
use azuresaddle_core::prelude::*;
use bytes::Bytes;
use clap::{Arg, ArgMatches, value_parser};
use http_body_util::Full;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Arguments for the address and the token of a node's admin interface.
pub(crate) fn args() -> [Arg; 2] {
    [
        Arg::new("admin")
            .long("admin")
            .env("AZURESADDLE_ADMIN")
            .value_name("ADDR")
            .value_parser(value_parser!(SocketAddr))
            .default_value("127.0.0.1:7002")
            .help("A node's address for operators"),
        Arg::new("admin-token")
            .long("admin-token")
            .env("AZURESADDLE_ADMIN_TOKEN")
            .hide_env_values(true)
            .value_name("TOKEN")
            .help("Bearer token of operators"),
    ]
}

/// An answer of the admin interface.
pub(crate) struct AdminAnswer {
    pub(crate) status: StatusCode,
    body: Bytes,
}

impl AdminAnswer {
    /// Decodes the body, whatever the status.
    pub(crate) fn read<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).context("the node's answer has an unexpected format")
    }

    /// Decodes the body of a successful answer; any other status becomes an error with the title and detail of the
    /// problem.
    pub(crate) fn success<T: DeserializeOwned>(&self) -> Result<T> {
        if self.status.is_success() {
            return self.read();
        }
        match self.read::<Problem>() {
            Ok(problem) => anyhow::bail!("{}: {}", problem.title, problem.detail),
            Err(_) => anyhow::bail!("the node answered with status {}", self.status),
        }
    }
}

/// Client of a node's admin interface.
pub(crate) struct AdminClient {
    http: HttpClient<TcpNetwork>,
    addr: SocketAddr,
    token: Option<String>,
}

impl AdminClient {
    /// Creates a client for the address and token in `args`; must be called in a Tokio runtime.
    pub(crate) fn new(args: &ArgMatches) -> Self {
        Self {
            http: HttpClient::new(TcpNetwork, Spawner::current()),
            addr: *args.get_one("admin").expect("has a default"),
            token: args.get_one::<String>("admin-token").cloned(),
        }
    }

    /// Creates a client for an address that needs no token; must be called in a Tokio runtime.
    pub(crate) fn without_token(addr: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(TcpNetwork, Spawner::current()),
            addr,
            token: None,
        }
    }

    /// Sends a GET request and decodes the answer.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.call(Method::GET, path, &()).await?.success()
    }

    /// Sends a request with a JSON body.
    pub(crate) async fn call<Q: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: &Q,
    ) -> Result<AdminAnswer> {
        let bytes = serde_json::to_vec(body)?;
        let mut req = Request::builder().method(method).uri(path);
        if let Some(token) = &self.token {
            req = req.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        let req = req.body(Full::from(bytes))?;
        let resp = self
            .http
            .send(self.addr, req, TIMEOUT)
            .await
            .with_context(|| format!("node {}", self.addr))?;
        let status = resp.status();
        let body = read_limited(resp.into_body(), MAX_ANSWER_BYTES, TIMEOUT).await?;
        Ok(AdminAnswer { status, body })
    }
}
