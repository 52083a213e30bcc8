//! The follower: keeps the snapshot in step with the platform's two feeds.

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

/// Pause after a failed read, before jitter: long enough not to burden a
/// platform that is struggling, short enough that a change is still in
/// force within seconds of its return.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);

/// Keeps a [`ControlState`] in step with the platform.
#[derive(Debug, Clone)]
pub struct ControlFollower {
    /// `host:port` of the platform.
    pub platform: String,
    pub state: Arc<ControlState>,
    /// Longest a feed is held open while nothing changes.
    pub feed_wait: Duration,
}

impl ControlFollower {
    /// Reads both feeds once, then follows them on the pool until the
    /// process ends.
    pub async fn start(self) {
        let mut table = TableFeed::new(self.platform.clone(), CONTROL_TABLE);
        let mut instances = InstanceFeed::new(self.platform.clone());
        self.follow_table(&mut table, Duration::ZERO).await;
        self.follow_instances(&mut instances, Duration::ZERO).await;
        let follower = self.clone();
        pool::spawn(async move {
            loop {
                follower.follow_table(&mut table, follower.feed_wait).await;
            }
        });
        pool::spawn(async move {
            loop {
                self.follow_instances(&mut instances, self.feed_wait).await;
            }
        });
    }

    /// One read of the control table's feed.
    async fn follow_table(&self, feed: &mut TableFeed, wait: Duration) {
        match feed.next(wait).await {
            Ok(page) => self.state.update(|snapshot| {
                for row in &page.rows {
                    snapshot.apply_row(row);
                }
                snapshot.table_read = Some(Instant::now());
            }),
            Err(error) => pause("control table", &error).await,
        }
    }

    /// One read of the instance list's feed.
    async fn follow_instances(&self, feed: &mut InstanceFeed, wait: Duration) {
        match feed.next(wait).await {
            Ok(list) => self.state.update(|snapshot| {
                snapshot.apply_instances(list);
                snapshot.instances_read = Some(Instant::now());
            }),
            Err(error) => pause("instance list", &error).await,
        }
    }
}

/// Logs a failed read and waits, jittered so that daemons do not come back
/// to the platform all at once.
async fn pause(what: &str, error: &WireError) {
    tracing::warn!(event = events::PLATFORM_UNREACHABLE, what, %error, "serving on what is in force");
    smol::Timer::after(FAILURE_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
}
