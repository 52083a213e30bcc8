//! One organisation's quota over a sliding window, as one gateway sees it.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use super::charge_update::ChargeTotal;
use super::charge_update::ChargeUpdate;
use super::quota_view::QuotaView;
use crate::model::QuotaLimit;

/// Charges are remembered by slots of this length.
const SLOT: Duration = Duration::from_millis(100);
/// Over this the pace at which callers ask is learned.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(300);
/// What callers may ask for until reports tell of it counts this many times: what
/// they ask may be rising, and reports may be lost.
const DEMAND_MARGIN: f64 = 1.3;
/// Requests that a gateway may let run until it hears of the others again, however
/// small its part of the demand: organisations far below their limit have a few
/// requests at each gateway.
const MIN_GRANTED_REQUESTS: f64 = 4.0;
/// The same once no other gateway was heard for longer than reports take.
const MIN_GRANTED_WHEN_ISOLATED: f64 = 1.0;
/// The longest that a refused caller is told to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// The shortest: what is free sooner is taken by those who come meanwhile.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// What was charged in one slot of time.
#[derive(Debug, Clone, Copy)]
struct ChargeSlot {
    started_at: Instant,
    /// By all gateways. Below zero where more was given back than charged.
    units: f64,
    /// By this one.
    local: f64,
    /// Counted as used before this gateway's start, though nobody told of it.
    assumed: f64,
}

/// What all gateways charged within the window, as far as is known here.
#[derive(Debug)]
pub struct QuotaAccount {
    limit: QuotaLimit,
    /// Oldest first. Invariant: none older than the window and a slot.
    slots: VecDeque<ChargeSlot>,
    /// Invariant: the sums over `slots`.
    sum: f64,
    local_sum: f64,
    /// What this gateway has charged since its start.
    local_total: ChargeTotal,
    /// True while that has changed and was not told.
    is_unreported: bool,
    /// What callers of all gateways asked for, granted or not, fading over
    /// [`PACE_TIME`].
    demand: f64,
    decayed_at: Instant,
    /// What callers of this gateway have asked for since its start.
    local_demand: u64,
    /// What counts as used though nobody told of it, by a gateway that knows nothing
    /// of the time before its start.
    assumed: f64,
    /// What refused callers were told to come back for, fading as the window goes on.
    deferred: f64,
}

impl QuotaAccount {
    /// One at a gateway that knows nothing of the window before `now`: it counts as
    /// used evenly, but for what may be given out at a start.
    pub fn new(limit: QuotaLimit, view: &QuotaView, now: Instant) -> Self {
        let mut account = QuotaAccount {
            limit,
            slots: VecDeque::new(),
            sum: 0.0,
            local_sum: 0.0,
            local_total: 0,
            is_unreported: false,
            demand: 0.0,
            decayed_at: now,
            local_demand: 0,
            assumed: 0.0,
            deferred: 0.0,
        };
        let used = (view.window_limit(&limit) - view.initial_units(&limit)).max(0.0);
        let slots = (view.window.as_millis() / SLOT.as_millis()).max(1) as u32;
        for slot in (1..=slots).rev() {
            let Some(started_at) = now.checked_sub(SLOT * slot) else { continue };
            let units = used / f64::from(slots);
            account.slots.push_back(ChargeSlot { started_at, units, local: 0.0, assumed: units });
            account.sum += units;
        }
        account.assumed = account.sum;
        account
    }

    /// Takes in a changed limit; false when it is the same.
    pub fn set_limit(&mut self, limit: QuotaLimit) -> bool {
        let is_changed = limit != self.limit;
        self.limit = limit;
        is_changed
    }

    /// Charges `cost`, or says after how long it may be tried again. A request
    /// larger than the whole allowance needs an empty window. `draw`, from 0 to 1,
    /// decides where callers ask for more than is left.
    ///
    /// Guards against gateways that all give out the same units before they hear of
    /// each other: each lets through the part of what is asked that is left.
    pub fn charge(
        &mut self,
        cost: f64,
        view: &QuotaView,
        draw: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        self.expire(view, now);
        self.demand += cost;
        self.local_demand += cost as u64;
        self.is_unreported = true;
        let need = cost.min(view.window_limit(&self.limit));
        let left = self.left(view);
        let unreported_demand = self.unreported_demand(view);
        let is_admitted_by_draw = draw * unreported_demand * DEMAND_MARGIN <= left;
        let recent = self.local_within(view.since_last_report, now);
        let local_grant = self.local_share(view) * (left + recent);
        let is_isolated = view.since_last_report > view.report_age * 2;
        let min_granted =
            need * if is_isolated { MIN_GRANTED_WHEN_ISOLATED } else { MIN_GRANTED_REQUESTS };
        if left >= need && is_admitted_by_draw && recent + need <= local_grant.max(min_granted) {
            self.add(cost, cost, now);
            self.local_total += cost as ChargeTotal;
            return Ok(());
        }
        let retry_after = self.time_to_expiry(need - left + self.deferred, now, view);
        self.deferred += need;
        Err(retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }

    /// Gives back what was charged for a request that has not run.
    pub fn refund(&mut self, cost: f64, now: Instant) {
        self.add(-cost, -cost, now);
        self.local_total -= cost as ChargeTotal;
        self.is_unreported = true;
    }

    /// Takes in what callers of another gateway have asked for.
    pub fn apply_demand(&mut self, units: f64, now: Instant) {
        self.decay_demand(now);
        self.demand += units;
    }

    /// Takes in what another gateway has charged.
    pub fn apply_charge(&mut self, units: f64, now: Instant) {
        self.add(units, 0.0, now);
    }

    /// The same for one that was not heard for long: what it charged meanwhile counts
    /// up to what the bound allows in excess.
    pub fn apply_late_charge(&mut self, units: f64, view: &QuotaView, now: Instant) {
        let capacity = view.window_limit(&self.limit) + view.max_overage(&self.limit) - self.sum;
        self.apply_charge(units.min(capacity.max(0.0)), now);
    }

    /// Takes in what a gateway that was there before this one charged in the window,
    /// when it is first heard: what this one assumed to be used covers it.
    pub fn apply_prior_charge(&mut self, units: f64, now: Instant) {
        let covered = units.clamp(0.0, self.assumed);
        self.assumed -= covered;
        self.apply_charge(units - covered, now);
    }

    /// Drops what has left the window.
    pub fn expire(&mut self, view: &QuotaView, now: Instant) {
        self.decay_demand(now);
        while let Some(slot) = self.slots.front()
            && now.saturating_duration_since(slot.started_at) >= view.window + SLOT
        {
            self.sum -= slot.units;
            self.local_sum -= slot.local;
            self.assumed = (self.assumed - slot.assumed).max(0.0);
            self.deferred = (self.deferred - slot.units).max(0.0);
            self.slots.pop_front();
        }
        if self.slots.is_empty() {
            (self.sum, self.local_sum, self.assumed, self.deferred) = (0.0, 0.0, 0.0, 0.0);
        }
    }

    /// What this gateway has charged, where it is to be told.
    pub fn take_update(&mut self, reports_all: bool) -> Option<ChargeUpdate> {
        let is_unreported = std::mem::take(&mut self.is_unreported);
        (is_unreported || (reports_all && self.local_total != 0)).then(|| self.charge_update())
    }

    /// What this gateway has charged.
    pub fn charge_update(&self) -> ChargeUpdate {
        ChargeUpdate {
            total: self.local_total,
            recent: self.local_sum.max(0.0) as u64,
            asked: self.local_demand,
        }
    }

    /// The limit in force.
    pub fn limit(&self) -> QuotaLimit {
        self.limit
    }

    /// Units that this gateway and those it hears may still give out.
    pub fn left(&self, view: &QuotaView) -> f64 {
        view.grantable(&self.limit, self.unreported_demand(view)) - self.sum
    }

    /// What callers of all gateways ask for until reports tell of it.
    fn unreported_demand(&self, view: &QuotaView) -> f64 {
        self.demand / DEMAND_TIME_CONSTANT.as_secs_f64() * view.report_age.as_secs_f64()
    }

    fn add(&mut self, units: f64, local: f64, now: Instant) {
        self.sum += units;
        self.local_sum += local;
        match self.slots.back_mut() {
            Some(slot) if now.saturating_duration_since(slot.started_at) < SLOT => {
                slot.units += units;
                slot.local += local;
            }
            _ => self.slots.push_back(ChargeSlot { started_at: now, units, local, assumed: 0.0 }),
        }
    }

    /// This gateway's part of the demand: what it charged of what all charged in
    /// the window.
    fn local_share(&self, view: &QuotaView) -> f64 {
        let min_share = 1.0 / (view.live_peers + 1) as f64;
        if self.sum <= 0.0 { 1.0 } else { (self.local_sum / self.sum).clamp(min_share, 1.0) }
    }

    /// What this gateway charged within `span`, which the others may not have heard.
    fn local_within(&self, span: Duration, now: Instant) -> f64 {
        let slots = self.slots.iter().rev();
        let recent =
            slots.take_while(|slot| now.saturating_duration_since(slot.started_at) <= span);
        recent.map(|slot| slot.local).sum::<f64>().max(0.0)
    }

    /// After how long `units` more have left the window.
    fn time_to_expiry(&self, units: f64, now: Instant, view: &QuotaView) -> Duration {
        let mut freed = 0.0;
        for slot in &self.slots {
            freed += slot.units;
            if freed >= units {
                let expires_at = slot.started_at + view.window + SLOT;
                return expires_at.saturating_duration_since(now);
            }
        }
        MAX_RETRY_AFTER
    }

    fn decay_demand(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.decayed_at).as_secs_f64();
        self.decayed_at = now;
        self.demand *= (-elapsed / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
    }
}
