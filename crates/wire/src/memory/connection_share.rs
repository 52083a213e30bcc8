//! One connection's share of a budget.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use snafu::Snafu;

use super::draw::BudgetBound;
use super::draw::Draw;
use super::eviction::HolderPhase;
use super::holder::Holder;
use super::memory_budget::CONNECTION_BYTES;
use super::memory_budget::MemoryBudget;
use super::request_end::RequestEnd;
use super::unwritten_bytes::UnwrittenBytes;

/// What a request takes while it is served: its state, a connection to a server, and the answer as
/// far as it is held.
const REQUEST_BYTES: usize = 128 * 1024;
/// Grants up to this size are small.
const SMALL_GRANT_BYTES: usize = 16 * 1024;
/// How long an evicted connection may take to refuse the request that was arriving.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// The budget has no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the memory for callers is full: {bound}"))]
pub struct MemoryFull {
    pub bound: BudgetBound,
}

/// The part of a connection and of what is held for its requests. Clones share it; it is given back
/// once all of them have been dropped.
#[derive(Debug, Clone)]
pub struct ConnectionShare {
    inner: Arc<ShareInner>,
}

#[derive(Debug)]
struct ShareInner {
    budget: Arc<MemoryBudget>,
    holder: Arc<Holder>,
    /// Bytes that the request which is served has drawn.
    serving: AtomicUsize,
    unwritten: UnwrittenBytes,
    /// True from the head of a request until the end of its answer.
    is_handling: AtomicBool,
}

impl Drop for ShareInner {
    fn drop(&mut self) {
        self.release_serving();
        self.budget.give_back(&self.holder, Draw::small(CONNECTION_BYTES));
        self.budget.remove(&self.holder);
    }
}

impl ShareInner {
    fn release_serving(&self) {
        let bytes = self.serving.swap(0, Ordering::AcqRel);
        self.budget.give_back(&self.holder, Draw::small(bytes));
    }
}

impl ConnectionShare {
    pub(super) fn new(budget: Arc<MemoryBudget>, holder: Arc<Holder>) -> Self {
        let inner = ShareInner {
            budget,
            holder,
            serving: AtomicUsize::new(0),
            unwritten: UnwrittenBytes::default(),
            is_handling: AtomicBool::new(false),
        };
        ConnectionShare { inner: Arc::new(inner) }
    }

    fn holder(&self) -> &Holder {
        &self.inner.holder
    }

    /// Records that the head of a request has arrived.
    pub fn begin_request(&self) -> RequestEnd {
        self.holder().record_parsed();
        self.inner.is_handling.store(true, Ordering::Release);
        if self.holder().phase() != HolderPhase::Receiving {
            self.holder().enter(HolderPhase::Receiving);
        }
        RequestEnd::new(self.clone())
    }

    /// Records that a request has ended, or that its answer is complete. Until the answer has been
    /// written, what it takes is still held.
    pub(super) fn end_request(&self) {
        self.inner.is_handling.store(false, Ordering::Release);
        if self.holder().phase() == HolderPhase::Receiving {
            self.holder().enter(HolderPhase::Idle);
        }
    }

    /// Draws what it takes to serve a request that has arrived completely. Its connection is not
    /// asked to make room while the caller takes the answer. Waits a moment for others to make room.
    pub async fn begin_serving(&self) -> Result<(), MemoryFull> {
        let held = self.inner.serving.load(Ordering::Acquire);
        let missing = Draw::small(REQUEST_BYTES.saturating_sub(held));
        let ShareInner { budget, holder, .. } = &*self.inner;
        budget.wait_for_room(|| budget.draw(holder, missing)).await?;
        self.inner.serving.fetch_add(missing.bytes, Ordering::AcqRel);
        holder.enter(HolderPhase::Serving);
        Ok(())
    }

    /// Records that all bytes which are ready for the caller have been written: if its answer was
    /// complete, the connection is between two requests.
    pub(super) fn record_flushed(&self) {
        self.inner.unwritten.clear();
        let is_answered = !self.inner.is_handling.load(Ordering::Acquire);
        if is_answered && self.holder().phase() == HolderPhase::Serving {
            self.inner.release_serving();
            self.holder().enter(HolderPhase::Idle);
        }
    }

    /// Records that the connection discards what its caller still sends.
    pub fn begin_closing(&self) {
        self.holder().enter(HolderPhase::Closing);
    }

    /// Returns true while a request is served.
    pub(super) fn is_serving(&self) -> bool {
        self.holder().phase() == HolderPhase::Serving
    }

    /// Sets the organisation that the connection's requests belong to.
    pub fn set_organisation(&self, organisation: u64) {
        self.holder().set_organisation(organisation);
    }

    /// Records that `bytes` of a request's body have arrived.
    pub(super) fn record_received(&self, bytes: usize) {
        self.holder().record_received(bytes);
    }

    /// Records that `bytes` of a request, or of the next one, have been read. Returns how many have
    /// been read since a head, or a piece of a body, was complete.
    pub(super) fn record_read(&self, bytes: usize) -> usize {
        if matches!(self.holder().phase(), HolderPhase::Connected | HolderPhase::Idle) {
            self.holder().enter(HolderPhase::Receiving);
        }
        self.holder().record_read(bytes)
    }

    /// Records that the caller has taken `bytes`; none if it takes none at present.
    pub(super) fn record_write(&self, bytes: usize) {
        self.holder().record_write(bytes == 0);
        self.inner.unwritten.subtract(bytes);
    }

    /// Records that `bytes` lie unread behind the request that is served.
    pub(super) fn record_behind(&self, bytes: usize) {
        self.holder().record_behind(bytes);
    }

    /// Returns the bytes of answers that the HTTP server has taken and not written.
    pub(super) fn unwritten(&self) -> &UnwrittenBytes {
        &self.inner.unwritten
    }

    /// Waits until the connection is asked to make room.
    pub async fn wait_evicted(&self) {
        self.holder().wait_evicted().await;
    }

    /// Returns true when the connection has been asked to make room: it is closed after its answer.
    pub fn is_evicted(&self) -> bool {
        self.holder().is_evicted()
    }

    /// Waits until the connection is to be closed to make room: at once, unless a request that was
    /// arriving is being refused.
    pub async fn wait_yielded(&self) {
        self.wait_evicted().await;
        let is_receiving = self.holder().phase() == HolderPhase::Receiving;
        if is_receiving && self.inner.is_handling.load(Ordering::Acquire) {
            smol::Timer::after(REFUSAL_TIMEOUT).await;
        }
    }

    /// Draws `bytes`, other than those of a body.
    pub fn grant(&self, bytes: usize) -> Result<MemoryGrant, MemoryFull> {
        let mut grant = MemoryGrant { share: self.clone(), bytes: 0, is_large: false };
        grant.draw(Draw::small(bytes))?;
        Ok(grant)
    }

    /// Returns a grant of nothing, for a body.
    pub(super) fn empty_grant(&self) -> MemoryGrant {
        MemoryGrant { share: self.clone(), bytes: 0, is_large: false }
    }
}

/// Bytes that are drawn from a budget until they are dropped.
#[derive(Debug)]
pub struct MemoryGrant {
    share: ConnectionShare,
    bytes: usize,
    is_large: bool,
}

impl Drop for MemoryGrant {
    fn drop(&mut self) {
        self.give_back(self.bytes);
    }
}

impl MemoryGrant {
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn draw(&mut self, draw: Draw) -> Result<(), MemoryFull> {
        let ShareInner { budget, holder, .. } = &*self.share.inner;
        budget.draw(holder, draw)?;
        self.bytes += draw.bytes;
        Ok(())
    }

    fn give_back(&mut self, bytes: usize) {
        let ShareInner { budget, holder, .. } = &*self.share.inner;
        budget.give_back(holder, Draw { bytes, is_large: self.is_large });
        self.bytes -= bytes;
    }

    /// Draws until `bytes` are held, as a small grant.
    pub(super) fn try_grow_small(&mut self, bytes: usize) -> Result<(), MemoryFull> {
        self.draw(Draw::small(bytes.saturating_sub(self.bytes)))
    }

    /// Draws until `bytes` of a body are held.
    pub(super) fn try_grow(&mut self, bytes: usize) -> Result<(), MemoryFull> {
        let missing = bytes.saturating_sub(self.bytes);
        if self.is_large || bytes <= SMALL_GRANT_BYTES {
            return self.draw(Draw { bytes: missing, is_large: self.is_large });
        }
        // What was drawn as a small grant becomes a part of the large one.
        let held = self.bytes;
        self.draw(Draw { bytes, is_large: true })?;
        self.bytes = bytes;
        let ShareInner { budget, holder, .. } = &*self.share.inner;
        budget.give_back(holder, Draw::small(held));
        self.is_large = true;
        Ok(())
    }

    /// Like [`MemoryGrant::try_grow`], but waits a moment for others to make room.
    pub(super) async fn grow(&mut self, bytes: usize) -> Result<(), MemoryFull> {
        let budget = Arc::clone(&self.share.inner.budget);
        budget.wait_for_room(|| self.try_grow(bytes)).await
    }

    /// Gives back what is more than `bytes`.
    pub(super) fn shrink(&mut self, bytes: usize) {
        self.give_back(self.bytes.saturating_sub(bytes));
    }
}
