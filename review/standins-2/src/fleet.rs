//! Nodes as processes, with the command of the deploy file, and the addresses of a case.

use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::exchange;

/// The program and its arguments in `deploy/system.toml`.
const PROGRAM: &str = "target/release/azuresaddle";
const ARGUMENTS: [&str; 1] = ["serve"];

/// Longest wait for a node to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Addresses of one case: a part of the loopback network and the ports of all machines.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    part: u8,
    port: u16,
}

impl Addresses {
    /// Finds a part of the loopback network where the ports are free.
    pub fn find() -> io::Result<Self> {
        let seed = std::process::id();
        for attempt in 0..200u32 {
            let mix = seed.wrapping_mul(31).wrapping_add(attempt * 97);
            let found = Self {
                part: 64 + (mix % 128) as u8,
                port: 20_000 + (mix % 500) as u16 * 20,
            };
            let groups = [(1, 8), (2, 6), (9, 1)];
            let mut all = groups
                .iter()
                .flat_map(|(group, count)| (1..=*count).map(|number| found.ip(*group, number)));
            let all_free = all.all(|ip| {
                (0..10).all(|offset| TcpListener::bind((ip, found.port + offset)).is_ok())
            });
            if all_free {
                return Ok(found);
            }
        }
        Err(io::Error::other("no free ports"))
    }

    fn ip(self, group: u8, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.part, group, number)
    }

    pub fn store(self) -> SocketAddr {
        (self.ip(9, 1), self.port).into()
    }

    pub fn server(self, number: u8) -> SocketAddr {
        (self.ip(2, number), self.port).into()
    }

    pub fn node(self, number: u8) -> Ipv4Addr {
        self.ip(1, number)
    }

    pub fn frontend(self, number: u8) -> SocketAddr {
        (self.node(number), self.port + 1).into()
    }

    fn readiness(self, number: u8) -> SocketAddr {
        (self.node(number), self.port + 2).into()
    }

    pub fn directory(self, number: u8) -> SocketAddr {
        (self.node(number), self.port + 3).into()
    }

    /// Settings of a node, with the fields and bounds of a small deployment's settings file.
    pub fn settings(self, number: u8, seeds: &[u8]) -> String {
        let (ip, port) = (self.node(number), self.port);
        let control = |n: &u8| format!("\"{}:{port}\"", self.node(*n));
        let seeds: Vec<String> = seeds.iter().map(control).collect();
        format!(
            r#"node_name = "edge-{number}"
role = "entry"
machine_class = "edge"
serves = ["edge","control","registry"]
ip = "{ip}"
zone = "z1"
region = "r1"
internal_port_range = [{inner},{inner_last}]
seed_nodes = [{seeds}]
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "registry"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","spans"]
[zones]
z1 = "r1"
[listen]
frontend = "{frontend}"
readiness = "{readiness}"
control_plane = "{ip}:{port}"
directory_addr = "{directory}"
[limits]
cpu_quota = 0.25
cpu_cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
revoke_strict = false
revoke_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_min_extra = 106
recovery_s = 12
iteration_ms = 120
retry_after_s = 0
stall_ms = 1500
max_hold_ms = 20000
release_ms = 4000
max_idle_ms = 9000
ttl_max_s = 5
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
"#,
            inner = port + 4,
            inner_last = port + 8,
            seeds = seeds.join(","),
            frontend = self.frontend(number),
            readiness = self.readiness(number),
            directory = self.directory(number),
            store = self.store(),
        )
    }
}

/// A node in a process of its own; killed when dropped.
pub struct Node {
    pub number: u8,
    addresses: Addresses,
    settings: PathBuf,
    child: Child,
}

impl Node {
    /// Writes the settings of a node and starts it.
    pub fn start(
        addresses: Addresses,
        folder: &Path,
        number: u8,
        seeds: &[u8],
    ) -> io::Result<Self> {
        let settings = folder.join(format!("node-{number}.toml"));
        std::fs::write(&settings, addresses.settings(number, seeds))?;
        let log = File::create(folder.join(format!("node-{number}.log")))?;
        let mut command = Command::new(PROGRAM);
        command
            .args(ARGUMENTS)
            .env_clear()
            .env("AZURESADDLE_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: the call only sets which signal the child gets if this process ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn()?;
        Ok(Self {
            number,
            addresses,
            settings,
            child,
        })
    }

    /// Replaces the settings file of the running process.
    pub fn write_settings(&self, seeds: &[u8]) -> io::Result<()> {
        std::fs::write(&self.settings, self.addresses.settings(self.number, seeds))
    }

    pub fn is_ready(&self) -> bool {
        let addr = self.addresses.readiness(self.number);
        let answer = exchange(
            addr,
            "GET /readyz HTTP/1.1",
            &[("Host", "r")],
            b"",
            READY_CHECK,
        );
        answer.is_ok_and(|a| a.status() == 200)
    }

    pub fn wait_until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        while !self.is_ready() {
            if Instant::now() >= until {
                return Err(io::Error::other(format!(
                    "node {} is not ready",
                    self.number
                )));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Ends the process by SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child that has not been waited for, so its id is not reused.
        unsafe {
            kill(self.child.id().cast_signed(), signal);
        }
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

const READY_CHECK: Duration = Duration::from_millis(1000);

pub const SIGHUP: i32 = 1;

const SIGKILL: u64 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
