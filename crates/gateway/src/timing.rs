//! Bounds on waiting.

use std::time::Duration;
use std::time::Instant;

use futures_lite::FutureExt;

/// A clock that also counts while the instance is suspended, which
/// [`Instant`] does not.
pub fn waking_clock() -> Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}

/// What `future` yields, or `None` once `deadline` has come.
pub async fn by_deadline<T>(deadline: Instant, future: impl Future<Output = T>) -> Option<T> {
    let late = async {
        smol::Timer::at(deadline).await;
        None
    };
    async { Some(future.await) }.or(late).await
}
