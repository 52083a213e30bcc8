//! Selects the gateways of other shards that get the next report.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// Cycles through the remote gateways, a few with each regular report, so that each gets one report
/// per interval and no link carries all reports at once.
#[derive(Debug)]
pub struct RemotePeerCycle {
    /// The gateway selected last.
    last: Option<SocketAddr>,
    sent_at: Instant,
}

impl RemotePeerCycle {
    /// Creates a cycle that starts at `now`.
    pub fn new(now: Instant) -> Self {
        RemotePeerCycle { last: None, sent_at: now }
    }

    /// Goes on from `now` after a time in which no reports were due.
    pub fn restart(&mut self, now: Instant) {
        self.sent_at = now;
    }

    /// Returns which gateways of `remote`, which is sorted, get a report now. Each gets one per
    /// `interval`.
    pub fn next(
        &mut self,
        remote: &[SocketAddr],
        interval: Duration,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let elapsed = now.saturating_duration_since(self.sent_at);
        let fraction = (elapsed.as_secs_f64() / interval.as_secs_f64()).min(1.0);
        let count = (remote.len() as f64 * fraction) as usize;
        if count == 0 {
            return Vec::new();
        }
        self.sent_at = now;
        let first = self.last.map_or(0, |last| remote.partition_point(|address| *address <= last));
        let chosen: Vec<SocketAddr> =
            remote.iter().cycle().skip(first).take(count).copied().collect();
        self.last = chosen.last().copied();
        chosen
    }
}
