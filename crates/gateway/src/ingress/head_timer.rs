//! The time limits of a caller's connection while no request is read on it.
//!
//! The HTTP server fixes its limit when a connection opens, and asks its timer for one wait for
//! each head. [`HeadTimer`] lets each wait end by the limits in force instead.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use hyper::rt::Sleep;
use hyper::rt::Timer;

use super::head_stream::HeadProgress;
use super::head_stream::HeadStage;
use crate::model::CallerLimits;
use crate::state::GatewayState;

/// The timer of one connection.
#[derive(Debug)]
pub struct HeadTimer {
    state: Arc<GatewayState>,
    progress: HeadProgress,
}

impl HeadTimer {
    /// Creates the timer of a connection whose reads are noted in `progress`.
    pub fn new(state: Arc<GatewayState>, progress: HeadProgress) -> Self {
        HeadTimer { state, progress }
    }
}

impl Timer for HeadTimer {
    /// Starts to wait for a head, however long `_` is.
    fn sleep(&self, _: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now())
    }

    /// Starts to wait for a head, however late `_` is.
    fn sleep_until(&self, _: Instant) -> Pin<Box<dyn Sleep>> {
        self.progress.set(HeadStage::Idle);
        Box::pin(HeadWait::new(Arc::clone(&self.state), self.progress.clone()))
    }
}

/// Ends when the head that a connection waits for is late by the limits in force.
#[derive(Debug)]
struct HeadWait {
    state: Arc<GatewayState>,
    progress: HeadProgress,
    idle_since: Instant,
    /// When its first byte arrived.
    begun_at: Option<Instant>,
    timer: smol::Timer,
}

impl Sleep for HeadWait {}

impl HeadWait {
    fn new(state: Arc<GatewayState>, progress: HeadProgress) -> Self {
        let idle_since = Instant::now();
        let timer = smol::Timer::never();
        let mut wait = HeadWait { state, progress, idle_since, begun_at: None, timer };
        wait.set_timer();
        wait
    }

    /// Returns how long the head may still take; `None` if it is late.
    fn time_left(&self) -> Option<Duration> {
        let idle_left = self.left(self.idle_since, |limits| limits.idle_timeout);
        let head_left =
            self.begun_at.and_then(|begun_at| self.left(begun_at, |limits| limits.header_timeout));
        idle_left.max(head_left)
    }

    fn left(&self, since: Instant, limit: impl Fn(CallerLimits) -> Duration) -> Option<Duration> {
        let limit = limit(self.state.caller_limits_since(since));
        limit.checked_sub(since.elapsed()).filter(|left| !left.is_zero())
    }

    /// Sets the timer to the time left, and returns false if there is none.
    fn set_timer(&mut self) -> bool {
        let time_left = self.time_left();
        self.timer = smol::Timer::after(time_left.unwrap_or_default());
        time_left.is_some()
    }

    fn expire(&self) {
        let is_begun = self.begun_at.is_some();
        self.progress.set(if is_begun { HeadStage::HeadExpired } else { HeadStage::IdleExpired });
    }
}

impl Future for HeadWait {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let this = &mut *self;
        if this.begun_at.is_none() && this.progress.is(HeadStage::Begun) {
            this.begun_at = Some(Instant::now());
            this.set_timer();
        }
        loop {
            ready!(Pin::new(&mut this.timer).poll(cx));
            if !this.set_timer() {
                this.expire();
                return Poll::Ready(());
            }
        }
    }
}
