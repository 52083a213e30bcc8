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
const PACE_TIME: Duration = Duration::from_millis(300);
/// What callers may ask for until reports tell of it counts this many times: what
/// they ask may be rising, and reports may be lost.
const ASKED_MARGIN: f64 = 1.3;
/// Requests that a gateway may let run until it hears of the others again, however
/// small its part of the demand: organisations far below their limit have a few
/// requests at each gateway.
const FREE_REQUESTS: f64 = 4.0;
/// The same once no other gateway was heard for longer than reports take.
const FREE_ALONE: f64 = 1.0;
/// The longest that a refused caller is told to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// The shortest: what is free sooner is taken by those who come meanwhile.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// What was charged in one slot of time.
#[derive(Debug, Clone, Copy)]
struct ChargeSlot {
    begun: Instant,
    /// By all gateways. Below zero where more was given back than charged.
    units: f64,
    /// By this one.
    own: f64,
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
    own_sum: f64,
    /// What this gateway has charged since its start.
    own_total: ChargeTotal,
    /// True while that has changed and was not told.
    is_untold: bool,
    /// What callers of all gateways asked for, granted or not, fading over
    /// [`PACE_TIME`].
    asked: f64,
    faded_at: Instant,
    /// What callers of this gateway have asked for since its start.
    own_asked: u64,
    /// What counts as used though nobody told of it, by a gateway that knows nothing
    /// of the time before its start.
    assumed: f64,
    /// What refused callers were told to come back for, fading as the window goes on.
    promised: f64,
}

impl QuotaAccount {
    /// One at a gateway that knows nothing of the window before `now`: it counts as
    /// used evenly, but for what may be given out at a start.
    pub fn new(limit: QuotaLimit, view: &QuotaView, now: Instant) -> Self {
        let mut account = QuotaAccount {
            limit,
            slots: VecDeque::new(),
            sum: 0.0,
            own_sum: 0.0,
            own_total: 0,
            is_untold: false,
            asked: 0.0,
            faded_at: now,
            own_asked: 0,
            assumed: 0.0,
            promised: 0.0,
        };
        let used = (view.allowance(&limit) - view.start_level(&limit)).max(0.0);
        let slots = (view.window.as_millis() / SLOT.as_millis()).max(1) as u32;
        for slot in (1..=slots).rev() {
            let Some(begun) = now.checked_sub(SLOT * slot) else { continue };
            let units = used / f64::from(slots);
            account.slots.push_back(ChargeSlot { begun, units, own: 0.0, assumed: units });
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
        self.asked += cost;
        self.own_asked += cost as u64;
        self.is_untold = true;
        let need = cost.min(view.allowance(&self.limit));
        let left = self.left(view);
        let asked_unheard = self.asked_unheard(view);
        let is_drawn = draw * asked_unheard * ASKED_MARGIN <= left;
        let recent = self.own_within(view.unheard_for, now);
        let own_part = self.own_share(view) * (left + recent);
        let is_alone = view.unheard_for > view.report_age * 2;
        let free = need * if is_alone { FREE_ALONE } else { FREE_REQUESTS };
        if left >= need && is_drawn && recent + need <= own_part.max(free) {
            self.add(cost, cost, now);
            self.own_total += cost as ChargeTotal;
            return Ok(());
        }
        let after = self.free_after(need - left + self.promised, now, view);
        self.promised += need;
        Err(after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }

    /// Gives back what was charged for a request that has not run.
    pub fn give_back(&mut self, cost: f64, now: Instant) {
        self.add(-cost, -cost, now);
        self.own_total -= cost as ChargeTotal;
        self.is_untold = true;
    }

    /// Takes in what callers of another gateway have asked for.
    pub fn note_asked(&mut self, units: f64, now: Instant) {
        self.fade(now);
        self.asked += units;
    }

    /// Takes in what another gateway has charged.
    pub fn take_heard(&mut self, units: f64, now: Instant) {
        self.add(units, 0.0, now);
    }

    /// The same for one that was not heard for long: what it charged meanwhile counts
    /// up to what the bound allows in excess.
    pub fn take_late(&mut self, units: f64, view: &QuotaView, now: Instant) {
        let room = view.allowance(&self.limit) + view.excess(&self.limit) - self.sum;
        self.take_heard(units.min(room.max(0.0)), now);
    }

    /// Takes in what a gateway that was there before this one charged in the window,
    /// when it is first heard: what this one assumed to be used covers it.
    pub fn take_earlier(&mut self, units: f64, now: Instant) {
        let covered = units.clamp(0.0, self.assumed);
        self.assumed -= covered;
        self.take_heard(units - covered, now);
    }

    /// Drops what has left the window.
    pub fn expire(&mut self, view: &QuotaView, now: Instant) {
        self.fade(now);
        while let Some(slot) = self.slots.front()
            && now.saturating_duration_since(slot.begun) >= view.window + SLOT
        {
            self.sum -= slot.units;
            self.own_sum -= slot.own;
            self.assumed = (self.assumed - slot.assumed).max(0.0);
            self.promised = (self.promised - slot.units).max(0.0);
            self.slots.pop_front();
        }
        if self.slots.is_empty() {
            (self.sum, self.own_sum, self.assumed, self.promised) = (0.0, 0.0, 0.0, 0.0);
        }
    }

    /// What this gateway has charged, where it is to be told.
    pub fn tell(&mut self, tells_all: bool) -> Option<ChargeUpdate> {
        let is_untold = std::mem::take(&mut self.is_untold);
        (is_untold || (tells_all && self.own_total != 0)).then(|| self.news())
    }

    /// What this gateway has charged.
    pub fn news(&self) -> ChargeUpdate {
        ChargeUpdate {
            total: self.own_total,
            recent: self.own_sum.max(0.0) as u64,
            asked: self.own_asked,
        }
    }

    /// The limit in force.
    pub fn limit(&self) -> QuotaLimit {
        self.limit
    }

    /// Units that this gateway and those it hears may still give out.
    pub fn left(&self, view: &QuotaView) -> f64 {
        view.given_out(&self.limit, self.asked_unheard(view)) - self.sum
    }

    /// What callers of all gateways ask for until reports tell of it.
    fn asked_unheard(&self, view: &QuotaView) -> f64 {
        self.asked / PACE_TIME.as_secs_f64() * view.report_age.as_secs_f64()
    }

    fn add(&mut self, units: f64, own: f64, now: Instant) {
        self.sum += units;
        self.own_sum += own;
        match self.slots.back_mut() {
            Some(slot) if now.saturating_duration_since(slot.begun) < SLOT => {
                slot.units += units;
                slot.own += own;
            }
            _ => self.slots.push_back(ChargeSlot { begun: now, units, own, assumed: 0.0 }),
        }
    }

    /// This gateway's part of the demand: what it charged of what all charged in
    /// the window.
    fn own_share(&self, view: &QuotaView) -> f64 {
        let least = 1.0 / (view.heard + 1) as f64;
        if self.sum <= 0.0 { 1.0 } else { (self.own_sum / self.sum).clamp(least, 1.0) }
    }

    /// What this gateway charged within `span`, which the others may not have heard.
    fn own_within(&self, span: Duration, now: Instant) -> f64 {
        let slots = self.slots.iter().rev();
        let recent = slots.take_while(|slot| now.saturating_duration_since(slot.begun) <= span);
        recent.map(|slot| slot.own).sum::<f64>().max(0.0)
    }

    /// After how long `units` more have left the window.
    fn free_after(&self, units: f64, now: Instant, view: &QuotaView) -> Duration {
        let mut freed = 0.0;
        for slot in &self.slots {
            freed += slot.units;
            if freed >= units {
                let leaves_at = slot.begun + view.window + SLOT;
                return leaves_at.saturating_duration_since(now);
            }
        }
        MAX_RETRY_AFTER
    }

    fn fade(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.faded_at).as_secs_f64();
        self.faded_at = now;
        self.asked *= (-elapsed / PACE_TIME.as_secs_f64()).exp();
    }
}
