//! Client of the platform's host list: `GET /v1/hosts` returns a [`HostList`].

use std::net::SocketAddr;
use std::time::Duration;

use azuresaddle_core::host_list::HostList;
use azuresaddle_core::http::{HttpClient, HttpError};
use azuresaddle_core::prelude::*;

/// Maximum wait for the list.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the host list.
///
/// # Errors
/// Returns an error if the platform does not answer or the response is not a host list.
pub async fn read_host_list<N: Network>(
    http: &HttpClient<N>,
    addr: SocketAddr,
) -> Result<HostList, HttpError> {
    http.get(addr, "/v1/hosts", TIMEOUT).await
}
