//! Keeps the control snapshot up to date with the platform's two feeds.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use umberglade_wire::WireError;
use umberglade_wire::platform::CONTROL_TABLE;
use umberglade_wire::pool;

use super::ControlState;
use crate::events;
use crate::platform::InstanceFeed;
use crate::platform::TableFeed;

/// Delay after the first failed read, before jitter. It doubles with each further failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The longest delay, before jitter. At this delay 340 daemons with two feeds each send about 450
/// requests a second to a platform that is down, a quarter of what it handles when healthy, and a
/// change still takes effect within seconds of its return.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1600);

/// Keeps a [`ControlState`] up to date with the platform.
#[derive(Debug, Clone)]
pub struct ControlFollower {
    /// `host:port` of the platform.
    pub platform: String,
    pub state: Arc<ControlState>,
    /// How long a feed request is held open at most while nothing changes.
    pub feed_wait: Duration,
}

impl ControlFollower {
    /// Reads both feeds once, then follows them on the pool until the process stops.
    pub async fn start(self) {
        let mut table = TableFeed::new(self.platform.clone(), CONTROL_TABLE);
        let mut instances = InstanceFeed::new(self.platform.clone());
        self.follow_table(&mut table, Duration::ZERO).await;
        self.follow_instances(&mut instances, Duration::ZERO).await;
        let follower = self.clone();
        pool::spawn(async move {
            let mut backoff = FeedBackoff::default();
            loop {
                let succeeded = follower.follow_table(&mut table, follower.feed_wait).await;
                backoff.wait_after(succeeded).await;
            }
        });
        pool::spawn(async move {
            let mut backoff = FeedBackoff::default();
            loop {
                let succeeded = self.follow_instances(&mut instances, self.feed_wait).await;
                backoff.wait_after(succeeded).await;
            }
        });
    }

    /// Reads the control table's feed once. Returns false if the read failed.
    async fn follow_table(&self, feed: &mut TableFeed, wait: Duration) -> bool {
        let page = match feed.next(wait).await {
            Ok(page) => page,
            Err(error) => return log_failure("control table", &error),
        };
        self.state.update(|snapshot| {
            for row in &page.rows {
                snapshot.apply_row(row);
            }
            snapshot.table_read_at = Some(Instant::now());
        });
        true
    }

    /// Reads the instance list's feed once. Returns false if the read failed.
    async fn follow_instances(&self, feed: &mut InstanceFeed, wait: Duration) -> bool {
        let list = match feed.next(wait).await {
            Ok(list) => list,
            Err(error) => return log_failure("instance list", &error),
        };
        self.state.update(|snapshot| {
            snapshot.apply_instances(list);
            snapshot.instances_read_at = Some(Instant::now());
        });
        true
    }
}

/// Logs a failed read and returns false.
fn log_failure(what: &str, error: &WireError) -> bool {
    tracing::warn!(event = events::PLATFORM_UNREACHABLE, what, %error, "platform feed not read; serving with the current configuration");
    false
}

/// Counts consecutive failed reads and applies the resulting delay.
#[derive(Debug, Default)]
struct FeedBackoff {
    failures: u32,
}

impl FeedBackoff {
    /// Waits after a failed read. The delay grows with each consecutive failure and is jittered,
    /// so that daemons do not return to the platform all at once.
    async fn wait_after(&mut self, succeeded: bool) {
        if succeeded {
            self.failures = 0;
            return;
        }
        let delay = (MIN_RETRY_DELAY * 2u32.saturating_pow(self.failures)).min(MAX_RETRY_DELAY);
        self.failures = (self.failures + 1).min(8);
        smol::Timer::after(delay.mul_f64(0.5 + fastrand::f64())).await;
    }
}
