//! Finds the route and the account of a request, or the reason to reject it.

use std::sync::Arc;

use azuresaddle_core::deployment::{Account, Configuration, Route};
use azuresaddle_platform::headers;
use hyper::header::{AUTHORIZATION, HOST, HeaderMap};
use hyper::{Method, StatusCode, Uri};

/// Route and account of an accepted request.
#[derive(Clone, Debug)]
pub(super) struct Admitted {
    pub(super) route: Arc<Route>,
    pub(super) account: Option<Arc<Account>>,
}

/// Why a request is rejected, as the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Rejection {
    pub(super) status: StatusCode,
    pub(super) detail: &'static str,
}

impl Rejection {
    pub(super) fn new(status: StatusCode, detail: &'static str) -> Self {
        Self { status, detail }
    }

    /// Whether another configuration may allow the request.
    pub(super) fn depends_on_configuration(&self) -> bool {
        matches!(
            self.status,
            StatusCode::NOT_FOUND | StatusCode::UNAUTHORIZED
        )
    }
}

/// Finds the route and the account of a request.
///
/// # Errors
/// If the method can't be forwarded, the head is too long, no route matches, or the route requires an account and the key is
/// unknown.
pub(super) fn admit(
    configuration: &Configuration,
    method: &Method,
    uri: &Uri,
    map: &HeaderMap,
) -> Result<Admitted, Rejection> {
    check_method(method)?;
    check_head_size(configuration, uri, map)?;
    let host = map
        .get(HOST)
        .and_then(|v| v.to_str().ok())
        .or_else(|| uri.host())
        .ok_or(Rejection::new(StatusCode::BAD_REQUEST, "no host"))?;
    let found = configuration
        .route(host, uri.path())
        .ok_or(Rejection::new(StatusCode::NOT_FOUND, "no route matches"))?;
    let account = find_account(configuration, &found.route, map)?;
    Ok(Admitted {
        route: found.route,
        account,
    })
}

/// Rejects the method that asks for a tunnel: a success is then the start of the tunnel, and its body is lost.
fn check_method(method: &Method) -> Result<(), Rejection> {
    if method == Method::CONNECT {
        let status = StatusCode::NOT_IMPLEMENTED;
        return Err(Rejection::new(status, "no tunnels are provided"));
    }
    Ok(())
}

fn check_head_size(
    configuration: &Configuration,
    uri: &Uri,
    map: &HeaderMap,
) -> Result<(), Rejection> {
    let path = uri.path_and_query().map_or(0, |p| p.as_str().len());
    let fields = map.iter();
    let size: usize = fields.map(|(n, v)| n.as_str().len() + v.len()).sum();
    if path + size > configuration.limits.max_header_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(Rejection::new(status, "the head is too long"));
    }
    Ok(())
}

fn find_account(
    configuration: &Configuration,
    route: &Route,
    map: &HeaderMap,
) -> Result<Option<Arc<Account>>, Rejection> {
    if !configuration.has_accounts() {
        return Ok(None);
    }
    let key = map.get(AUTHORIZATION).and_then(headers::parse_api_key);
    let account = key.and_then(|k| configuration.account(k)).cloned();
    if account.is_none() && !route.is_public {
        return Err(Rejection::new(StatusCode::UNAUTHORIZED, "unknown key"));
    }
    Ok(account)
}
