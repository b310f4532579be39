//! Client of the key-value store over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use azuresaddle_core::http::{HttpClient, HttpError};
use azuresaddle_core::prelude::*;
use hyper::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::StoreError;
use crate::kv::{Changes, Entry, KeyValueStore, KeyVersion, LeaseId, Revision};
use crate::wire::{
    GetResponse, GrantLeaseRequest, GrantLeaseResponse, LeaseState, PutRequest, PutResponse,
};

/// Time allowed for the response to a watch beyond the wait that it requests.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// Client of the platform's key-value store.
#[derive(Clone)]
pub struct HttpStore<N> {
    http: HttpClient<N>,
    addr: SocketAddr,
    timeout: Duration,
}

impl<N: Network> HttpStore<N> {
    /// Creates a client of the store at `addr` with a timeout for each call.
    pub fn new(http: HttpClient<N>, addr: SocketAddr, timeout: Duration) -> Self {
        Self {
            http,
            addr,
            timeout,
        }
    }

    async fn call<Q: Serialize + Sync, R: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Q>,
    ) -> Result<R, HttpError> {
        self.http
            .json(method, self.addr, path, body, self.timeout)
            .await
    }
}

impl<N: Network> KeyValueStore for HttpStore<N> {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let path = format!("/v1/keys?key={key}");
        let found: GetResponse = self
            .call(Method::GET, &path, None::<&()>)
            .await
            .map_err(to_store_error)?;
        Ok(found.entry)
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        value: String,
        expected: KeyVersion,
    ) -> Result<KeyVersion, StoreError> {
        let path = format!("/v1/keys?key={key}");
        let put = PutRequest { value, expected };
        let done: Result<PutResponse, _> = self.call(Method::PUT, &path, Some(&put)).await;
        match done {
            Ok(done) => Ok(done.version),
            Err(HttpError::Status { status, .. }) if status == StatusCode::CONFLICT => {
                // The body of a failure response is truncated, so the current value is read
                // separately.
                Err(StoreError::Conflict(self.get(key).await?))
            }
            Err(e) => Err(to_store_error(e)),
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let grant = GrantLeaseRequest {
            ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
        };
        let granted: GrantLeaseResponse = self
            .call(Method::POST, "/v1/leases", Some(&grant))
            .await
            .map_err(to_store_error)?;
        Ok(granted.lease)
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let path = format!("/v1/leases/{}", lease.0);
        let state: LeaseState = self
            .call(Method::PUT, &path, None::<&()>)
            .await
            .map_err(to_store_error)?;
        if state.alive {
            Ok(())
        } else {
            Err(StoreError::LeaseExpired)
        }
    }

    async fn is_lease_alive(&self, lease: LeaseId) -> Result<bool, StoreError> {
        let path = format!("/v1/leases/{}", lease.0);
        let state: LeaseState = self
            .call(Method::GET, &path, None::<&()>)
            .await
            .map_err(to_store_error)?;
        Ok(state.alive)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let path = format!(
            "/v1/watch?prefix={prefix}&after={}&wait-ms={}",
            after.0,
            wait.as_millis()
        );
        self.http
            .get(self.addr, &path, wait + WATCH_TIMEOUT_MARGIN)
            .await
            .map_err(to_store_error)
    }
}

fn to_store_error(e: HttpError) -> StoreError {
    match e.verdict() {
        Verdict::NotRun => StoreError::Unreachable(e.to_string()),
        _ => StoreError::OutcomeUnknown(e.to_string()),
    }
}
