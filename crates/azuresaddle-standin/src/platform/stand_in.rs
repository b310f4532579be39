//! A stand-in platform with a store, targets and a configuration, on loopback addresses.

mod configuration_writer;
mod desired_state;
mod entries;
mod restart;
mod store_rollback;

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};

use azuresaddle_core::http::{ServerLimits, serve};
use azuresaddle_core::net::TcpNetwork;
use azuresaddle_core::prelude::*;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::configuration::{AccountSpec, ConfigurationSpec, RouteSpec, ServiceSpec};
use super::crashing_requests::CrashingRequests;
use super::engine::{Engine, EngineHandler, EngineRegistry};
use super::plain::PlainHandler;
use super::raw::{Arrivals, ProtocolFault, serve_raw};
use super::raw_answer::{RawAnswer, RawConnections, serve_raw_answer};
use super::runs::Runs;
use super::store::PlatformStoreModel;
use super::store_server::StoreServer;
use super::target::{Target, TargetFault, TargetHandle, serve_target};
pub use configuration_writer::ConfigurationWriter;
use desired_state::DesiredState;
pub use entries::draining_entry;
pub(crate) use store_rollback::REWRITE_TIME;
pub use store_rollback::StoreRollback;

/// Interval of the targets' heartbeats that the settings of the nodes state, in milliseconds.
const TARGET_HEARTBEAT_MS: u64 = 500;

/// Default for [`StandInPlatform::retry_extra`].
const DEFAULT_RETRY_EXTRA: u32 = 100;

/// Time that targets report for their first start, in Unix milliseconds; only the order of starts matters.
const FIRST_START_MS: u64 = 1_790_000_000_000;

/// Failure domain of the nodes, and of the targets unless they are moved.
const FIRST_DOMAIN: &str = "d1";

/// Number of targets of a stand-in platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformOptions {
    /// Number of engines.
    pub engines: usize,
    /// Number of targets of the plain service.
    pub plain: usize,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            engines: 4,
            plain: 2,
        }
    }
}

/// A running stand-in platform.
pub struct StandInPlatform {
    /// The store.
    pub store: PlatformStoreModel,
    /// Address of the store.
    pub store_addr: SocketAddr,
    /// Engines.
    pub engines: Vec<TargetHandle>,
    /// Targets of the plain service.
    pub plain: Vec<TargetHandle>,
    /// Attempts that the targets ran.
    pub runs: Runs,
    /// Requests that crash their targets.
    pub crashing_requests: CrashingRequests,
    /// Current configuration; changes take effect once it is written.
    pub configuration: ConfigurationSpec,
    /// Fixed number of extra retries that the settings allow to all nodes together.
    pub retry_extra: u32,
    registry: EngineRegistry,
    engine_models: Vec<Arc<Engine>>,
    target_count: usize,
    /// Entries that the operator and the targets currently want in the store.
    desired_state: DesiredState,
    /// Address of the proxy under which a target is registered, by target id.
    proxy_addrs: HashMap<String, SocketAddr>,
    /// Failure domains of targets that are not in [`FIRST_DOMAIN`], by target id.
    domains: HashMap<String, String>,
}

impl StandInPlatform {
    /// Starts a platform and writes the first configuration.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn open(options: PlatformOptions) -> std::io::Result<Self> {
        let store = PlatformStoreModel::default();
        let listener = TcpNetwork
            .bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
            .await?;
        let store_addr = listener.local_addr();
        let server = Arc::new(StoreServer(store.clone()));
        serve(
            listener,
            Spawner::current(),
            ServerLimits::default(),
            server,
        );
        let mut platform = Self {
            store_addr,
            engines: Vec::new(),
            plain: Vec::new(),
            runs: Runs::default(),
            crashing_requests: CrashingRequests::default(),
            configuration: first_configuration(),
            retry_extra: DEFAULT_RETRY_EXTRA,
            registry: EngineRegistry::default(),
            engine_models: Vec::new(),
            target_count: 0,
            desired_state: DesiredState::new(store.clone()),
            store,
            proxy_addrs: HashMap::new(),
            domains: HashMap::new(),
        };
        for _ in 0..options.engines {
            platform.add_engine().await?;
        }
        for _ in 0..options.plain {
            platform.add_plain().await?;
        }
        platform.write_configuration();
        Ok(platform)
    }

    /// Writes the current configuration to the store.
    pub fn write_configuration(&self) {
        let json = self.configuration.to_json();
        self.desired_state.write("op/config", json);
    }

    /// Changes the configuration and writes it with a higher version.
    pub fn change_configuration(&mut self, change: impl FnOnce(&mut ConfigurationSpec)) {
        change(&mut self.configuration);
        self.configuration.version += 3;
        self.write_configuration();
    }

    /// Starts another engine and registers it.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn add_engine(&mut self) -> std::io::Result<()> {
        self.add_engine_of("llm").await
    }

    /// Starts an engine of a service and registers it.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn add_engine_of(&mut self, service: &str) -> std::io::Result<()> {
        let (listener, target) = self.new_target(service).await?;
        let engine = self.serve_engine(listener, &target);
        self.engine_models.push(engine);
        self.engines.push(TargetHandle { target });
        Ok(())
    }

    fn serve_engine(&self, listener: TcpListener, target: &Arc<Target>) -> Arc<Engine> {
        let json = self.configuration.to_json();
        let parsed = azuresaddle_platform::decode_configuration(json.as_bytes());
        let spec = parsed
            .ok()
            .and_then(|c| c.service("llm").and_then(|s| s.engine.clone()))
            .expect("the configuration of the stand-ins has engines");
        let engine = Engine::spawn(spec, self.registry.clone(), Arc::clone(target));
        self.registry.add(target.addr, Arc::clone(&engine));
        if let Some(proxy_addr) = self.proxy_addrs.get(&target.id) {
            self.registry.add(*proxy_addr, Arc::clone(&engine));
        }
        let handler = Arc::new(EngineHandler(Arc::clone(&engine)));
        serve_target(listener, Arc::clone(target), handler);
        engine
    }

    /// Starts another target of the plain service and registers it.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn add_plain(&mut self) -> std::io::Result<()> {
        self.add_plain_of("desk").await
    }

    /// Starts a target of a plain service and registers it.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn add_plain_of(&mut self, service: &str) -> std::io::Result<()> {
        let (listener, target) = self.new_target(service).await?;
        serve_target(listener, Arc::clone(&target), Arc::new(PlainHandler));
        self.plain.push(TargetHandle { target });
        Ok(())
    }

    /// Starts another target of the plain service, which violates the protocol; returns the requests that
    /// arrive there.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn add_raw(&mut self, fault: ProtocolFault) -> std::io::Result<Arrivals> {
        let (listener, target) = self.new_target("desk").await?;
        let arrivals = Arrivals::default();
        serve_raw(listener, Arc::clone(&target), fault, arrivals.clone());
        self.plain.push(TargetHandle { target });
        Ok(arrivals)
    }

    /// Starts a target of a service that writes given bytes to all requests; returns its connections.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn add_raw_answer(
        &mut self,
        service: &str,
        answer: RawAnswer,
    ) -> std::io::Result<RawConnections> {
        let (listener, target) = self.new_target(service).await?;
        Ok(serve_raw_answer(listener, target, answer))
    }

    async fn new_target(&mut self, service: &str) -> std::io::Result<(TcpListener, Arc<Target>)> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        self.target_count += 1;
        let addr = listener.local_addr()?;
        let id = format!("i-{:04}", self.target_count);
        let target = self.target(id, service.to_owned(), addr, FIRST_START_MS);
        self.register(&target, "ready");
        Ok((listener, target))
    }

    /// A target that has just started, without an entry.
    fn target(
        &self,
        id: String,
        service: String,
        addr: SocketAddr,
        started_ms: u64,
    ) -> Arc<Target> {
        Arc::new(Target {
            id,
            service,
            addr,
            started_ms,
            entries_written: AtomicU64::new(0),
            runs: self.runs.clone(),
            crashing_requests: self.crashing_requests.clone(),
            fault: Mutex::new(TargetFault::None),
            signals: Mutex::default(),
            arrivals: Mutex::default(),
            accept_stopped: CancellationToken::new(),
            stopped: CancellationToken::new(),
        })
    }

    /// Returns the tokens of memory reserved on all engines at present.
    pub fn reserved_tokens(&self) -> u64 {
        self.engine_models.iter().map(|m| m.reserved_tokens()).sum()
    }

    /// Returns the settings file of a node on a loopback address; all nodes use the same ports, from `port` on.
    pub fn settings(&self, name: &str, ip: Ipv4Addr, port: u16, seeds: &[Ipv4Addr]) -> String {
        self.settings_with_store(name, ip, port, seeds, self.store_addr)
    }

    /// Like [`Self::settings`], with the address of a proxy in front of the store.
    pub fn settings_with_store(
        &self,
        name: &str,
        ip: Ipv4Addr,
        port: u16,
        seeds: &[Ipv4Addr],
        store: SocketAddr,
    ) -> String {
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}:{port}\"")).collect();
        format!(
            r#"node_name = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge", "control", "registry"]
ip = "{ip}"
zone = "{FIRST_DOMAIN}"
region = "r1"
internal_port_range = [{inner}, {inner_last}]
seed_nodes = [{seeds}]
heartbeat_ms = {TARGET_HEARTBEAT_MS}
contracts = ["base", "health", "pool"]
something_new = true
[listen]
frontend = "{ip}:{frontend}"
readiness = "{ip}:{readiness}"
control_plane = "{ip}:{port}"
directory_addr = "{ip}:{directory}"
[limits]
cpu_quota = 0.25
cpu_cores = 1
memory_mb = 260
max_fds = 4200
[bounds]
grace_s = 4
retry_budget_ratio = 0.2
retry_min_extra = {retry_extra}
ttl_max_s = 5
[platform]
address = "{store}"
form = "kv"
"#,
            retry_extra = self.retry_extra,
            inner = port + 4,
            inner_last = port + 9,
            seeds = seeds.join(", "),
            frontend = port + 1,
            readiness = port + 2,
            directory = port + 3,
        )
    }
}

fn first_configuration() -> ConfigurationSpec {
    let route = |prefix: &str, service: &str, kind, resumable| RouteSpec {
        prefix: prefix.to_owned(),
        service: service.to_owned(),
        kind,
        resumable,
        timeout_ms: 8000,
        target_ms: 600,
        gap_ms: 300,
        attempts: 2,
    };
    ConfigurationSpec {
        version: 4,
        host: "desk.example".to_owned(),
        routes: vec![
            route("/ask/", "llm", "streaming", true),
            route("/ask-once/", "llm", "streaming", false),
            route("/note/", "desk", "idempotent", false),
            route("/post/", "desk", "non_idempotent", false),
        ],
        services: vec![
            ServiceSpec {
                name: "llm".to_owned(),
                is_engine: true,
                cold_rate: 0.0,
            },
            ServiceSpec {
                name: "desk".to_owned(),
                is_engine: false,
                cold_rate: 0.0,
            },
        ],
        accounts: vec![AccountSpec {
            name: "advisers".to_owned(),
            keys: vec!["key-1".to_owned(), "key-2".to_owned()],
        }],
        max_body_bytes: 64 << 10,
        idle_timeout_ms: 5000,
    }
}
