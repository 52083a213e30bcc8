//! Deadlines, and a clock that includes suspension.

use std::time::Duration;
use std::time::Instant;

use futures_lite::FutureExt;

/// Returns the time since boot, including the time for which the instance was suspended, which
/// [`Instant`] omits.
pub fn boottime_clock() -> Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}

/// Returns the output of `future`, or `None` if it is still pending at `deadline`.
pub async fn with_deadline<T>(deadline: Instant, future: impl Future<Output = T>) -> Option<T> {
    let timeout = async {
        smol::Timer::at(deadline).await;
        None
    };
    async { Some(future.await) }.or(timeout).await
}
