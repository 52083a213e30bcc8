//! One gateway's local view of an organisation's quota over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::charge_update::ChargeTotal;
use super::charge_update::ChargeUpdate;
use super::demand_estimate::DemandEstimate;
use super::quota_view::QuotaView;
use crate::model::QuotaLimit;

/// Length of the time slots in which charges are recorded.
const SLOT: Duration = Duration::from_millis(100);
/// Factor by which the unreported demand is multiplied, since demand may be rising and reports may
/// be lost.
const DEMAND_MARGIN: f64 = 1.3;
/// Requests that a gateway may grant until it receives reports of its peers again, however small
/// its share of the demand. Organisations far below their limit have a few requests at each
/// gateway.
const MIN_GRANTED_REQUESTS: f64 = 4.0;
/// Replaces [`MIN_GRANTED_REQUESTS`] at a gateway that has received no report for longer than
/// reports take.
const MIN_GRANTED_WHEN_ISOLATED: f64 = 1.0;
/// Maximum retry delay that a rejected caller is given.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Minimum retry delay that a rejected caller is given. Units that expire sooner are taken by
/// callers that arrive in the meantime.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Units that all gateways charged to a quota in one time slot, as one gateway tells another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaSlot {
    /// Milliseconds since the slot started.
    pub age_ms: u32,
    /// Negative when more was refunded than charged.
    pub units: i64,
}

/// Units charged in one time slot.
#[derive(Debug, Clone, Copy)]
struct ChargeSlot {
    started_at: Instant,
    /// Charged by all gateways. Negative when more was refunded than charged.
    units: f64,
    /// Charged by this gateway.
    local: f64,
    /// Units counted as used before this gateway's start, though no peer reported them.
    assumed: f64,
}

/// What all gateways charged to one quota within the window, as far as this gateway knows.
#[derive(Debug)]
pub struct QuotaAccount {
    limit: QuotaLimit,
    /// Oldest first. Invariant: none is older than the window plus one slot.
    slots: VecDeque<ChargeSlot>,
    /// Invariant: `sum` and `local_sum` are the sums over `slots`.
    sum: f64,
    local_sum: f64,
    /// What this gateway has charged since its start.
    local_total: ChargeTotal,
    /// True while `local_total` or `local_asked` has a change that was not reported.
    is_unreported: bool,
    /// What callers of this gateway request, granted or not.
    local_demand: DemandEstimate,
    /// What callers of its peers request. Decays only up to the moment up to which it is known, so
    /// that it does not vanish while reports are late.
    peer_demand: DemandEstimate,
    /// Units that callers of this gateway have requested since its start.
    local_asked: u64,
    /// Units counted as used though no peer reported them, since this gateway does not know what
    /// was charged before its start.
    assumed: f64,
    /// Units for which rejected callers were given a time to retry. Decreases as slots leave the
    /// window.
    deferred: f64,
}

impl QuotaAccount {
    /// Creates the account of a gateway that does not know what was charged before `now`. The
    /// window counts as evenly used, except for the units that may be granted at a start.
    pub fn new(limit: QuotaLimit, view: &QuotaView, now: Instant) -> Self {
        let mut account = QuotaAccount {
            limit,
            slots: VecDeque::new(),
            sum: 0.0,
            local_sum: 0.0,
            local_total: 0,
            is_unreported: false,
            local_demand: DemandEstimate::new(now),
            peer_demand: DemandEstimate::new(now),
            local_asked: 0,
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

    /// Sets the limit. Returns false if it is unchanged.
    pub fn set_limit(&mut self, limit: QuotaLimit) -> bool {
        let is_changed = limit != self.limit;
        self.limit = limit;
        is_changed
    }

    /// Charges `cost`, or returns after how long the caller may retry. A request larger than the
    /// whole window limit needs an empty window. `draw`, a random number from 0 to 1, decides when
    /// callers request more than is left.
    ///
    /// Prevents gateways from all granting the same units before they receive each other's
    /// reports: each grants the fraction of the demand that is left.
    pub fn charge(
        &mut self,
        cost: f64,
        view: &QuotaView,
        draw: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        self.expire(view, now);
        self.local_demand.add(cost);
        self.local_asked += cost as u64;
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

    /// Refunds the charge of a request that has not run.
    pub fn refund(&mut self, cost: f64, now: Instant) {
        self.add(-cost, -cost, now);
        self.local_total -= cost as ChargeTotal;
        self.is_unreported = true;
    }

    /// Applies units that callers of a peer have requested.
    pub fn apply_demand(&mut self, units: f64, view: &QuotaView, now: Instant) {
        self.decay_demand(view, now);
        self.peer_demand.add(units);
    }

    /// Applies units that a peer has charged.
    pub fn apply_charge(&mut self, units: f64, now: Instant) {
        self.add(units, 0.0, now);
    }

    /// Applies units that a peer has charged during a long time without reports. They count only
    /// up to the maximum overage that the bound allows.
    pub fn apply_late_charge(&mut self, units: f64, view: &QuotaView, now: Instant) {
        let capacity = view.window_limit(&self.limit) + view.max_overage(&self.limit) - self.sum;
        self.apply_charge(units.min(capacity.max(0.0)), now);
    }

    /// Applies the units that a peer which started before this gateway charged in the window, when
    /// its first report arrives. The units that this gateway assumed to be used cover them.
    pub fn apply_prior_charge(&mut self, units: f64, now: Instant) {
        let covered = units.clamp(0.0, self.assumed);
        self.assumed -= covered;
        self.apply_charge(units - covered, now);
    }

    /// Returns what all gateways charged within the window.
    pub fn window(&self, now: Instant) -> Vec<QuotaSlot> {
        let slots = self.slots.iter().map(|slot| QuotaSlot {
            age_ms: now.saturating_duration_since(slot.started_at).as_millis() as u32,
            units: slot.units as i64,
        });
        slots.filter(|slot| slot.units != 0).collect()
    }

    /// Takes over the `window` of a peer that knows all of it, in place of what this gateway knows
    /// or assumes. `missing` units, this gateway's own among them, are not known to the peer.
    pub fn take_over(&mut self, window: &[QuotaSlot], missing: f64, now: Instant) {
        let local_slots = self.slots.drain(..).filter(|slot| slot.local != 0.0);
        let mut slots: Vec<ChargeSlot> =
            local_slots.map(|slot| ChargeSlot { units: 0.0, assumed: 0.0, ..slot }).collect();
        for slot in window {
            let age = Duration::from_millis(u64::from(slot.age_ms));
            let Some(started_at) = now.checked_sub(age) else { continue };
            let units = slot.units as f64;
            slots.push(ChargeSlot { started_at, units, local: 0.0, assumed: 0.0 });
        }
        slots.sort_by_key(|slot| slot.started_at);
        self.sum = slots.iter().map(|slot| slot.units).sum();
        self.slots = slots.into();
        self.assumed = 0.0;
        self.add(missing, 0.0, now);
    }

    /// Removes the slots that have left the window.
    pub fn expire(&mut self, view: &QuotaView, now: Instant) {
        self.decay_demand(view, now);
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

    /// Returns what this gateway has charged, if a report has to include it: when it has changed
    /// since the last report or, with `reports_all`, when it is not zero.
    pub fn take_update(&mut self, reports_all: bool) -> Option<ChargeUpdate> {
        let is_unreported = std::mem::take(&mut self.is_unreported);
        (is_unreported || (reports_all && self.local_total != 0)).then(|| self.charge_update())
    }

    /// Returns what this gateway has charged.
    pub fn charge_update(&self) -> ChargeUpdate {
        ChargeUpdate {
            total: self.local_total,
            recent: self.local_sum.max(0.0) as u64,
            asked: self.local_asked,
        }
    }

    /// Returns the limit in force.
    pub fn limit(&self) -> QuotaLimit {
        self.limit
    }

    /// Returns the units that this gateway and the peers that it receives reports from may still
    /// grant.
    pub fn left(&self, view: &QuotaView) -> f64 {
        view.grantable(&self.limit, self.unreported_demand(view)) - self.sum
    }

    /// Returns the units that callers of all gateways request before reports include them. What
    /// this gateway's own callers request is known to it, however late reports of peers are.
    fn unreported_demand(&self, view: &QuotaView) -> f64 {
        self.local_demand.units_in(view.report_age) + self.peer_demand.units_in(view.known_age)
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

    /// Returns this gateway's share of the demand: what it charged in the window, as a fraction of
    /// what all gateways charged.
    fn local_share(&self, view: &QuotaView) -> f64 {
        let min_share = 1.0 / (view.live_peers + 1) as f64;
        if self.sum <= 0.0 { 1.0 } else { (self.local_sum / self.sum).clamp(min_share, 1.0) }
    }

    /// Returns what this gateway charged within the last `span`. Its peers may not have received
    /// reports of it.
    fn local_within(&self, span: Duration, now: Instant) -> f64 {
        let slots = self.slots.iter().rev();
        let recent =
            slots.take_while(|slot| now.saturating_duration_since(slot.started_at) <= span);
        recent.map(|slot| slot.local).sum::<f64>().max(0.0)
    }

    /// Returns how long it takes until `units` more have left the window.
    fn time_to_expiry(&self, units: f64, now: Instant, view: &QuotaView) -> Duration {
        let mut expiring = 0.0;
        for slot in &self.slots {
            expiring += slot.units;
            if expiring >= units {
                let expires_at = slot.started_at + view.window + SLOT;
                return expires_at.saturating_duration_since(now);
            }
        }
        MAX_RETRY_AFTER
    }

    fn decay_demand(&mut self, view: &QuotaView, now: Instant) {
        self.local_demand.decay(now);
        if let Some(known_until) = now.checked_sub(view.known_age) {
            self.peer_demand.decay(known_until);
        }
    }
}
