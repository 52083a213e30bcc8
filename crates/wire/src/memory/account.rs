//! What the connections of a budget hold, in sum.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use super::budget_limits::BudgetLimits;
use super::draw::BudgetBound;
use super::draw::Draw;
use super::eviction::first_to_yield;
use super::holder::Holder;

/// Part of the connections that evicted ones may still be.
pub(super) const YIELDING_CONNECTIONS_FRACTION: usize = 8;
/// Interval of log lines about a full budget.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// The log event of a budget that is full.
pub const MEMORY_FULL: u32 = 9003;

/// Invariant: the sums are those of the holders' own counts.
#[derive(Debug, Default)]
pub(super) struct Account {
    pub bytes: usize,
    pub large: usize,
    /// Of `bytes`, what evicted connections have not given back yet.
    pub yielding: usize,
    /// Of `large`, the same.
    pub yielding_large: usize,
    pub holders: Vec<Arc<Holder>>,
    tally: Tally,
}

/// What has happened since the last log line.
#[derive(Debug, Default)]
struct Tally {
    logged_at: Option<Instant>,
    evicted: u64,
    refused: u64,
}

impl Account {
    /// Counts and logs that a draw or a connection is refused.
    pub fn record_refusal(&mut self, bound: BudgetBound, limits: BudgetLimits) {
        let reason: &'static str = bound.into();
        metrics::counter!("umberglade_caller_memory_refusals_total", "bound" => reason)
            .increment(1);
        self.tally.refused += 1;
        self.log(bound, limits);
    }

    /// Makes place for one more of `max` connections; returns false if none can be evicted.
    pub fn make_place(&mut self, max: usize) -> bool {
        let evicted = self.evicted();
        let is_settling = evicted > max / YIELDING_CONNECTIONS_FRACTION;
        let has_place = self.holders.len() - evicted < max;
        !is_settling && (has_place || self.evict(|_| true, None).is_some())
    }

    /// Returns the number of connections that have been asked to make room.
    pub fn evicted(&self) -> usize {
        self.holders.iter().filter(|holder| holder.is_evicted()).count()
    }

    pub fn add(&mut self, holder: &Holder, draw: Draw) {
        self.bytes += draw.bytes;
        holder.bytes.fetch_add(draw.bytes, Ordering::Relaxed);
        if draw.is_large {
            self.large += draw.bytes;
            holder.large.fetch_add(draw.bytes, Ordering::Relaxed);
        }
    }

    pub fn subtract(&mut self, holder: &Holder, draw: Draw) {
        self.bytes = self.bytes.saturating_sub(draw.bytes);
        holder.bytes.fetch_sub(draw.bytes, Ordering::Relaxed);
        let large = if draw.is_large { draw.bytes } else { 0 };
        self.large = self.large.saturating_sub(large);
        holder.large.fetch_sub(large, Ordering::Relaxed);
        if holder.is_evicted() {
            self.yielding = self.yielding.saturating_sub(draw.bytes);
            self.yielding_large = self.yielding_large.saturating_sub(large);
        }
    }

    /// Asks one connection to make room, of those that `helps` names; the one that asks for more
    /// bytes is weighed with these. Returns it, or `None` if none may be evicted.
    pub fn evict(
        &mut self,
        helps: impl Fn(&Holder) -> bool,
        requester: Option<(&Arc<Holder>, usize)>,
    ) -> Option<Arc<Holder>> {
        let is_requester = |holder: &Arc<Holder>| {
            requester.is_some_and(|(requester, _)| Arc::ptr_eq(requester, holder))
        };
        let candidates: Vec<&Arc<Holder>> = self
            .holders
            .iter()
            .filter(|holder| !holder.is_evicted() && (helps(holder) || is_requester(holder)))
            .collect();
        let mut owner_bytes: HashMap<u64, usize> = HashMap::new();
        for holder in &self.holders {
            *owner_bytes.entry(holder.owner()).or_default() += holder.bytes.load(Ordering::Relaxed);
        }
        let uses = candidates.iter().map(|holder| {
            let more_bytes = requester.filter(|_| is_requester(holder));
            holder.current_use(more_bytes.map_or(0, |(_, bytes)| bytes))
        });
        let position = first_to_yield(uses, |owner| owner_bytes.get(&owner).copied().unwrap_or(0))?;
        let evicted = Arc::clone(candidates[position]);
        if !is_requester(&evicted) {
            self.begin_eviction(&evicted);
        }
        Some(evicted)
    }

    fn begin_eviction(&mut self, holder: &Holder) {
        self.yielding += holder.bytes.load(Ordering::Relaxed);
        self.yielding_large += holder.large.load(Ordering::Relaxed);
        self.tally.evicted += 1;
        let phase: &'static str = holder.phase().into();
        metrics::counter!("umberglade_caller_evictions_total", "phase" => phase).increment(1);
        holder.evict();
    }

    /// Logs what has happened since the last line, unless that was a moment ago.
    fn log(&mut self, bound: BudgetBound, limits: BudgetLimits) {
        let now = Instant::now();
        if self.tally.logged_at.is_some_and(|logged_at| now - logged_at < LOG_INTERVAL) {
            return;
        }
        tracing::warn!(
            event = MEMORY_FULL,
            bound = %bound,
            bytes = self.bytes,
            max_bytes = limits.bytes,
            connections = self.holders.len(),
            max_connections = limits.connections,
            evicted = self.tally.evicted,
            refused = self.tally.refused,
            "callers hold all that they may"
        );
        self.tally = Tally { logged_at: Some(now), ..Tally::default() };
    }
}
