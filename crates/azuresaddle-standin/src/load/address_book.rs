//! Cache of node addresses, which a caller keeps for their time to live.

use std::net::SocketAddr;
use std::time::Duration;

use azuresaddle_core::http::HttpClient;
use azuresaddle_core::prelude::*;
use azuresaddle_node::traffic::{AddressReply, HEADER_ACCOUNT};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use tokio::time::Instant;

/// Timeout of an address lookup, for the head and for the body.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// The node addresses that a caller knows.
#[derive(Clone, Debug)]
pub(super) struct AddressBook {
    seeds: Vec<SocketAddr>,
    addrs: Vec<SocketAddr>,
    valid_until: Option<Instant>,
}

impl AddressBook {
    pub(super) fn new(seeds: Vec<SocketAddr>) -> Self {
        Self {
            addrs: seeds.clone(),
            seeds,
            valid_until: None,
        }
    }

    /// The address for an attempt, counted from 0; expired addresses are looked up again first.
    pub(super) async fn pick<N: Network>(
        &mut self,
        http: &HttpClient<N>,
        account: &ClientAccount,
        attempt: usize,
    ) -> Option<SocketAddr> {
        if self.valid_until.is_none_or(|until| Instant::now() >= until) {
            self.refresh(http, account).await;
        }
        let count = self.addrs.len();
        (count > 0).then(|| self.addrs[attempt % count])
    }

    /// Looks up the addresses at each known node in turn, then at the seeds, until one answers.
    async fn refresh<N: Network>(&mut self, http: &HttpClient<N>, account: &ClientAccount) {
        let known = self.addrs.iter().chain(&self.seeds).copied();
        let known: Vec<_> = known.collect();
        for addr in known {
            let Some(answer) = fetch_addresses(http, addr, account).await else {
                continue;
            };
            if answer.addresses.is_empty() {
                continue;
            }
            self.addrs = answer.addresses.iter().map(|a| a.addr).collect();
            let ttl = Duration::from_millis(answer.time_to_live_ms);
            self.valid_until = Some(Instant::now() + ttl);
            return;
        }
    }
}

async fn fetch_addresses<N: Network>(
    http: &HttpClient<N>,
    addr: SocketAddr,
    account: &ClientAccount,
) -> Option<AddressReply> {
    let req = Request::get("/v1/addresses")
        .header(HEADER_ACCOUNT, account.as_str())
        .body(Full::<Bytes>::default())
        .ok()?;
    let resp = http.send(addr, req, LOOKUP_TIMEOUT).await.ok()?;
    let body = tokio::time::timeout(LOOKUP_TIMEOUT, resp.into_body().collect()).await;
    let bytes = body.ok()?.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}
