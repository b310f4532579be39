//! Node processes, started with the command of the deploy file.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::get_status;

/// Ports of a node, the same on all machines: callers, readiness, control, directory, metrics and six between nodes.
const PORTS: u16 = 12;

/// Finds a range of ports that is free at `ips`.
pub fn free_ports(ips: &[&str]) -> u16 {
    let seed = std::process::id() as u16;
    for step in 0..400_u16 {
        let base = 20_000 + (seed.wrapping_mul(7).wrapping_add(step * 31) % 1000) * PORTS;
        let is_free = |ip: &&str| (base..base + PORTS).all(|p| TcpListener::bind((*ip, p)).is_ok());
        if ips.iter().all(is_free) {
            return base;
        }
    }
    panic!("no free ports");
}

/// A node process; killed when dropped.
pub struct Node {
    pub ip: String,
    pub base: u16,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A temporary folder; removed when dropped.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn new() -> io::Result<Self> {
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        Ok(Self(dir))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

impl Node {
    /// Writes the settings of a node at `ip` and starts it. `seeds` are the addresses of the first nodes.
    pub fn start(
        dir: &Path,
        ip: &str,
        zone: &str,
        base: u16,
        seeds: &[&str],
        store: SocketAddr,
    ) -> io::Result<Self> {
        let settings = dir.join(format!("{ip}.toml"));
        fs::write(&settings, settings_text(ip, zone, base, seeds, store))?;
        let mut node = Self {
            ip: ip.to_owned(),
            base,
            settings,
            log: dir.join(format!("{ip}.log")),
            child: None,
        };
        node.spawn()?;
        Ok(node)
    }

    /// Starts the process, also again after its end.
    pub fn spawn(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/azuresaddle")
            .arg("serve")
            .env("AZURESADDLE_BOOT", &self.settings)
            // Several nodes of one case run on this machine.
            .env("AZURESADDLE_METRICS_PORT", (self.base + 4).to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    fn addr(&self, port: u16) -> SocketAddr {
        format!("{}:{}", self.ip, self.base + port).parse().unwrap()
    }

    /// Where callers connect.
    pub fn frontend(&self) -> SocketAddr {
        self.addr(0)
    }

    /// Where the platform asks whether the node is ready.
    pub fn readiness(&self) -> SocketAddr {
        self.addr(1)
    }

    /// Where callers ask for addresses.
    pub fn directory(&self) -> SocketAddr {
        self.addr(3)
    }

    /// Whether the node says that it is ready.
    pub fn is_ready(&self) -> bool {
        get_status(self.readiness(), "/readyz") == Some(200)
    }

    /// Waits until the node is ready; false after 10 s.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        false
    }

    /// Id of the process.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal, such as `STOP`, to the process.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh")
            .args(["-c", &format!("kill -{name} {}", self.pid())])
            .status();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// The log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn settings_text(ip: &str, zone: &str, base: u16, seeds: &[&str], store: SocketAddr) -> String {
    let (readiness, control, directory) = (base + 1, base + 2, base + 3);
    let (first, last) = (base + 5, base + 11);
    let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}:{control}\"")).collect();
    let seeds = seeds.join(",");
    format!(
        r#"node_name = "edge-{zone}-{ip}"
role = "entry"
machine_class = "edge"
serves = ["edge","control","registry"]
ip = "{ip}"
zone = "{zone}"
region = "gujarat"
internal_port_range = [{first},{last}]
seed_nodes = [{seeds}]
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "registry"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","spans"]
[zones]
ahm-hall = "gujarat"
gnr-hall = "gujarat"
vad-hall = "gujarat"
[listen]
frontend = "{ip}:{base}"
readiness = "{ip}:{readiness}"
control_plane = "{ip}:{control}"
directory_addr = "{ip}:{directory}"
[limits]
cpu_quota = 0.25
cpu_cores = 1
memory_mb = 260
max_fds = 4200
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
retry_min_extra = 102
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
"#
    )
}
