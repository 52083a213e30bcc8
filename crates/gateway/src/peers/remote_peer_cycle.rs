//! Who of the gateways of other shards is told next.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// Goes round the far gateways, a few with each regular report, so that each is told
/// once in a pace and nobody's link gets all at a time.
#[derive(Debug)]
pub struct RemotePeerCycle {
    /// The last that was told.
    last: Option<SocketAddr>,
    told_at: Instant,
}

impl RemotePeerCycle {
    /// A turn that begins at `now`.
    pub fn new(now: Instant) -> Self {
        RemotePeerCycle { last: None, told_at: now }
    }

    /// Those of `far`, which is sorted, to be told now: all in `pace`.
    pub fn next(&mut self, far: &[SocketAddr], pace: Duration, now: Instant) -> Vec<SocketAddr> {
        let elapsed = now.saturating_duration_since(self.told_at);
        let part = (elapsed.as_secs_f64() / pace.as_secs_f64()).min(1.0);
        let count = (far.len() as f64 * part) as usize;
        if count == 0 {
            return Vec::new();
        }
        self.told_at = now;
        let first = self.last.map_or(0, |last| far.partition_point(|address| *address <= last));
        let chosen: Vec<SocketAddr> = far.iter().cycle().skip(first).take(count).copied().collect();
        self.last = chosen.last().copied();
        chosen
    }
}
