//! What a process uses of its machine, as Linux reports it.

use std::fs;
use std::net::SocketAddr;

/// Bytes of a kilobyte in `/proc/PID/status`.
const STATUS_KILOBYTE: u64 = 1024;
/// Bytes of a megabyte in settings.
const MEGABYTE: u64 = 1_000_000;

/// Limits of a process, as its settings state them.
#[derive(Debug, Clone, Copy)]
pub struct ProcessLimits {
    pub memory_mb: u64,
    pub max_fds: usize,
}

/// Descriptors of the limit that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;

/// What a process has used.
#[derive(Debug, Clone, Copy)]
pub struct ProcessUse {
    /// Largest resident memory since its start, in bytes.
    pub peak_memory: u64,
    /// Bytes that its callers have sent and that it has not read.
    pub unread_bytes: u64,
    /// Open sockets and pipes.
    pub sockets: usize,
    /// All open descriptors.
    pub descriptors: usize,
}

impl ProcessUse {
    /// Reads what the process `pid`, whose callers connect to one of `listeners`, uses. Panics if
    /// the process has ended.
    pub fn read(pid: u32, listeners: &[SocketAddr]) -> ProcessUse {
        let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("a live process");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
        let entries = fs::read_dir(format!("/proc/{pid}/fd")).expect("a live process");
        let links = entries.flatten().map(|entry| fs::read_link(entry.path()).unwrap_or_default());
        let links: Vec<_> = links.collect();
        let is_socket = |link: &&std::path::PathBuf| {
            let text = link.to_string_lossy();
            text.starts_with("socket:") || text.starts_with("pipe:")
        };
        ProcessUse {
            peak_memory: kilobytes.expect("VmHWM of a live process") * STATUS_KILOBYTE,
            unread_bytes: listeners.iter().map(|listener| unread_bytes(*listener)).sum(),
            sockets: links.iter().filter(is_socket).count(),
            descriptors: links.len(),
        }
    }

    /// Panics unless this is within `limits`: unread bytes count as memory.
    pub fn assert_within(&self, limits: ProcessLimits, when: &str) {
        println!("{when}: {self:?}");
        let memory = self.peak_memory + self.unread_bytes;
        assert!(memory <= limits.memory_mb * MEGABYTE, "{when}: memory: {self:?}, {limits:?}");
        let sockets = limits.max_fds - FILE_DESCRIPTORS;
        assert!(self.sockets <= sockets, "{when}: sockets: {self:?}, {limits:?}");
        assert!(self.descriptors <= limits.max_fds, "{when}: descriptors: {self:?}, {limits:?}");
    }
}

/// Returns the unread bytes of all connections that were accepted at `listener`.
fn unread_bytes(listener: SocketAddr) -> u64 {
    const ESTABLISHED: &str = "01";
    let port = format!(":{:04X}", listener.port());
    let table = fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    let unread = table.lines().filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (local, state, queues) = (fields.get(1)?, fields.get(3)?, fields.get(4)?);
        let is_counted = local.ends_with(&port) && *state == ESTABLISHED;
        let unread = queues.split(':').nth(1).filter(|_| is_counted)?;
        u64::from_str_radix(unread, 16).ok()
    });
    unread.sum()
}
