//! The active configuration.

use std::collections::HashMap;
use std::sync::Arc;

use super::{Account, RequestLimits, Route, Service};
use crate::version::RulesVersion;

/// One accepted version of the configuration, indexed for lookups.
///
/// The routes of a host are ordered by prefix length, longest first; the first match applies.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Version; a node only switches to higher ones.
    pub version: RulesVersion,
    /// Limits on what a caller may send.
    pub limits: RequestLimits,
    routes: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, Arc<Service>>,
    accounts_by_key: HashMap<String, Arc<Account>>,
    has_accounts: bool,
}

/// Result of a route lookup.
#[derive(Clone, Debug)]
pub struct RouteMatch {
    /// The route that matched.
    pub route: Arc<Route>,
    /// Index among the routes of its host, in the order of matching.
    pub position: usize,
}

impl Configuration {
    /// Indexes a configuration for lookups.
    pub fn new(
        version: RulesVersion,
        limits: RequestLimits,
        routes: Vec<Route>,
        services: Vec<Service>,
        accounts: Vec<Account>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let has_accounts = !accounts.is_empty();
        let mut accounts_by_key = HashMap::new();
        for account in accounts {
            let account = Arc::new(account);
            for key in &account.api_keys {
                accounts_by_key.insert(key.clone(), Arc::clone(&account));
            }
        }
        Self {
            version,
            limits,
            routes: by_host,
            services: services
                .into_iter()
                .map(|s| (Arc::clone(&s.name), Arc::new(s)))
                .collect(),
            accounts_by_key,
            has_accounts,
        }
    }

    /// The first route that matches a host and path; a port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<RouteMatch> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        let position = routes.iter().position(|r| path.starts_with(&*r.prefix))?;
        let route = Arc::clone(&routes[position]);
        Some(RouteMatch { route, position })
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// The client account that an API key belongs to.
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        self.accounts_by_key.get(key)
    }

    /// Whether client accounts are configured; without them no caller needs an API key.
    pub fn has_accounts(&self) -> bool {
        self.has_accounts
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
