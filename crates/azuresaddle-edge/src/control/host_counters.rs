//! Counters of this process and its host, as the operating system states them.

use std::io;
use std::time::Duration;

/// Unit of processor times in `/proc`, 1/100 s on all common platforms.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// Position of the processor time in user mode among the fields after the process name; that in system mode follows.
const USER_TIME_FIELD: usize = 11;

/// Position of the sent bytes among the fields of a network interface; the received ones are the first.
const SENT_BYTES_FIELD: usize = 8;

/// Interface of connections within the host, which take nothing of its link.
const LOOPBACK: &str = "lo";

/// Counters at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct HostCounters {
    /// Processor time that the process has used.
    pub(super) cpu_time: Duration,
    /// Bytes received over the host's links.
    pub(super) received_bytes: u64,
    /// Bytes sent over the host's links.
    pub(super) sent_bytes: u64,
    /// Resident memory of the process, in bytes.
    pub(super) resident_bytes: u64,
    /// Open descriptors of the process.
    pub(super) descriptors: u64,
    /// Maximum number of open descriptors.
    pub(super) max_descriptors: u64,
}

impl HostCounters {
    /// Reads the counters of this process.
    ///
    /// # Errors
    /// If the operating system does not state them.
    pub(super) fn read() -> io::Result<Self> {
        let text = |name| std::fs::read_to_string(format!("/proc/self/{name}"));
        let (received_bytes, sent_bytes) = link_bytes(&text("net/dev")?);
        Ok(Self {
            cpu_time: cpu_time(&text("stat")?).ok_or_else(malformed)?,
            received_bytes,
            sent_bytes,
            resident_bytes: resident_bytes(&text("status")?).ok_or_else(malformed)?,
            descriptors: std::fs::read_dir("/proc/self/fd")?.count() as u64,
            max_descriptors: max_descriptors(&text("limits")?).ok_or_else(malformed)?,
        })
    }
}

fn malformed() -> io::Error {
    io::Error::from(io::ErrorKind::InvalidData)
}

/// Reads the processor time from the text of `/proc/self/stat`.
pub(super) fn cpu_time(stat: &str) -> Option<Duration> {
    // The name of the process may contain spaces and parentheses.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut times = fields.split_whitespace().skip(USER_TIME_FIELD);
    let user: u32 = times.next()?.parse().ok()?;
    let system: u32 = times.next()?.parse().ok()?;
    Some(CLOCK_TICK * user.checked_add(system)?)
}

/// Reads the received and sent bytes of all links from the text of `/proc/self/net/dev`.
pub(super) fn link_bytes(dev: &str) -> (u64, u64) {
    let interfaces = dev.lines().filter_map(|line| line.split_once(':'));
    let links = interfaces.filter(|(name, _)| name.trim() != LOOPBACK);
    let bytes = links.map(|(_, fields)| {
        let mut fields = fields.split_whitespace().map(|f| f.parse().unwrap_or(0));
        let received: u64 = fields.next().unwrap_or(0);
        (received, fields.nth(SENT_BYTES_FIELD - 1).unwrap_or(0))
    });
    bytes.fold((0, 0), |(r, s), (received, sent)| (r + received, s + sent))
}

/// Reads the resident memory from the text of `/proc/self/status`.
pub(super) fn resident_bytes(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * 1024)
}

/// Reads the limit of descriptors from the text of `/proc/self/limits`.
pub(super) fn max_descriptors(limits: &str) -> Option<u64> {
    let mut lines = limits.lines();
    let line = lines.find_map(|l| l.strip_prefix("Max open files"))?;
    let soft = line.split_whitespace().next()?;
    if soft == "unlimited" {
        return Some(u64::MAX);
    }
    soft.parse().ok()
}
