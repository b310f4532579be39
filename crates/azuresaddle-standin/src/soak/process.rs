//! A node in its own process, which can be restarted and sent signals.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use anyhow::{Context, Result, bail};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::time::Instant;

use crate::http_util::{get_status, get_text};

/// Maximum time until a started node is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between two checks of the process.
const POLL_INTERVAL: Duration = Duration::from_millis(30);

/// A node process; killed when dropped.
pub struct NodeProcess {
    /// Name of the node.
    pub name: String,
    /// Loopback address of the node.
    pub ip: Ipv4Addr,
    /// First of the node's ports.
    pub port: u16,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl NodeProcess {
    /// Writes a settings file to `dir` and starts a node with it.
    ///
    /// # Errors
    /// Returns an error if a file can't be written or the program can't be started.
    pub fn spawn(
        program: &Path,
        dir: &Path,
        name: &str,
        (ip, port): (Ipv4Addr, u16),
        settings: &str,
    ) -> Result<Self> {
        let path = dir.join(format!("{name}.toml"));
        std::fs::write(&path, settings).with_context(|| path.display().to_string())?;
        let mut node = Self {
            name: name.to_owned(),
            ip,
            port,
            program: program.to_owned(),
            settings: path,
            log: dir.join(format!("{name}.log")),
            child: None,
        };
        node.start()?;
        Ok(node)
    }

    /// Starts the process, again after it has ended; appends to its log.
    ///
    /// # Errors
    /// Returns an error if the log can't be opened or the program can't be started.
    pub fn start(&mut self) -> Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("serve")
            .env("AZURESADDLE_BOOT", &self.settings)
            // Concurrent fleets use the same addresses, so the metrics port is unique to each fleet.
            .env("AZURESADDLE_METRICS_PORT", (self.port + 9).to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| self.program.display().to_string())?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the address at which callers connect.
    pub fn callers_addr(&self) -> SocketAddr {
        SocketAddr::from((self.ip, self.port + 1))
    }

    /// Returns the address at which callers resolve node addresses.
    pub fn directory_addr(&self) -> SocketAddr {
        SocketAddr::from((self.ip, self.port + 3))
    }

    /// Fetches the text of the metrics page; `None` if it is not served.
    pub async fn metrics(&self) -> Option<String> {
        get_text(self.metrics_addr(), "/metrics").await
    }

    /// Returns the address of the metrics page.
    pub fn metrics_addr(&self) -> SocketAddr {
        SocketAddr::from((self.ip, self.port + 9))
    }

    /// Returns whether the node reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        let addr = SocketAddr::from((self.ip, self.port + 2));
        get_status(addr, "/readyz").await == Some(200)
    }

    /// Waits until the node reports that it is ready.
    ///
    /// # Errors
    /// Returns an error if it is not ready in time.
    pub async fn wait_until_ready(&self) -> Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        while !self.is_ready().await {
            if Instant::now() >= until {
                bail!("node {} is not ready in time", self.name);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Sends a signal to the process if it is running.
    pub fn signal(&mut self, signal: Signal) {
        if let Some(child) = &mut self.child
            && matches!(child.try_wait(), Ok(None))
        {
            let pid = Pid::from_raw(child.id().cast_signed());
            // The process may have ended just now.
            let _ = kill(pid, signal);
        }
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Returns the resident memory of the process, in bytes; `None` if it is not running.
    pub fn resident_bytes(&self) -> Option<u64> {
        let pid = self.child.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        let kib: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
        Some(kib << 10)
    }

    /// Waits until the process has ended; returns `false` if it is still running after `timeout`.
    pub async fn wait_until_ended(&mut self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while self.is_running() {
            if Instant::now() >= until {
                return false;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        true
    }

    /// Returns the text of the log so far; empty if it can't be read.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the path of the log.
    pub fn log_path(&self) -> &Path {
        &self.log
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // The process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
