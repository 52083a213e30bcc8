//! Who of the gateways of other shards is told next.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// Goes round the remote gateways, a few with each regular report, so that each is told
/// once in a interval and nobody's link gets all at a time.
#[derive(Debug)]
pub struct RemotePeerCycle {
    /// The last that was told.
    last: Option<SocketAddr>,
    sent_at: Instant,
}

impl RemotePeerCycle {
    /// A turn that begins at `now`.
    pub fn new(now: Instant) -> Self {
        RemotePeerCycle { last: None, sent_at: now }
    }

    /// Those of `remote`, which is sorted, to be told now: all in `interval`.
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
