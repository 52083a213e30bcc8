//! The account of what a process holds for its callers.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use event_listener::Event;
use futures_lite::FutureExt;

use super::account::Account;
use super::account::YIELDING_CONNECTIONS_FRACTION;
use super::budget_limits::BudgetLimits;
use super::connection_share::ConnectionShare;
use super::connection_share::MemoryFull;
use super::draw::BudgetBound;
use super::draw::Draw;
use super::holder::Holder;

/// What an open connection takes: its task, the HTTP server's buffers, and its receive window.
pub(super) const CONNECTION_BYTES: usize = 24 * 1024;
/// Part of the bytes that evicted connections may still hold while others take their place.
const YIELDING_FRACTION: usize = 16;
/// How long a draw waits until others have made room.
const ROOM_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which it is tried again if nobody has made room.
const ROOM_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long a new connection waits for others that make room.
const SETTLING_TIMEOUT: Duration = Duration::from_millis(500);

/// What all callers of a process hold together.
#[derive(Debug)]
pub struct MemoryBudget {
    limits: BudgetLimits,
    account: Mutex<Account>,
    /// Notified when bytes are given back.
    released: Event,
}

impl MemoryBudget {
    pub fn new(limits: impl Into<BudgetLimits>) -> Arc<Self> {
        let (account, released) = (Mutex::default(), Event::new());
        Arc::new(MemoryBudget { limits: limits.into(), account, released })
    }

    /// Returns a budget without bounds.
    pub fn unlimited() -> Arc<Self> {
        MemoryBudget::new(BudgetLimits::UNLIMITED)
    }

    /// Returns the bytes that are held.
    pub fn held_bytes(&self) -> usize {
        self.account().bytes
    }

    /// Returns the number of connections, those included that have been asked to make room.
    pub fn connections(&self) -> usize {
        self.account().holders.len()
    }

    fn account(&self) -> MutexGuard<'_, Account> {
        // A panic leaves at worst one draw half made.
        self.account.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a connection of the caller at the address `owner`; connections that stand still make
    /// room for it. Waits until those that were asked before have made room.
    pub async fn admit(self: &Arc<Self>, owner: u64) -> Result<ConnectionShare, MemoryFull> {
        let settled = async {
            loop {
                let released = self.released.listen();
                if !self.is_settling() {
                    return;
                }
                released.await;
            }
        };
        let expired = async {
            smol::Timer::after(SETTLING_TIMEOUT).await;
        };
        settled.or(expired).await;
        self.try_admit(owner)
    }

    fn try_admit(self: &Arc<Self>, owner: u64) -> Result<ConnectionShare, MemoryFull> {
        let holder = Arc::new(Holder::new(owner));
        let mut account = self.account();
        if !account.make_place(self.limits.connections) {
            return Err(self.refuse(&mut account, BudgetBound::Connections));
        }
        self.draw_from(&mut account, &holder, Draw::small(CONNECTION_BYTES))?;
        account.holders.push(Arc::clone(&holder));
        drop(account);
        Ok(ConnectionShare::new(Arc::clone(self), holder))
    }

    /// Draws for `holder`; others that hold much and stand still make room.
    pub(super) fn draw(&self, holder: &Arc<Holder>, draw: Draw) -> Result<(), MemoryFull> {
        self.draw_from(&mut self.account(), holder, draw)
    }

    /// Returns true while as many connections make room as may.
    fn is_settling(&self) -> bool {
        let account = self.account();
        account.yielding > self.limits.bytes / YIELDING_FRACTION
            || account.evicted() > self.limits.connections / YIELDING_CONNECTIONS_FRACTION
    }

    fn draw_from(
        &self,
        account: &mut Account,
        holder: &Arc<Holder>,
        draw: Draw,
    ) -> Result<(), MemoryFull> {
        if holder.is_evicted() {
            return Err(self.refuse(account, BudgetBound::Evicted));
        }
        if self.exceeds_organisation(account, holder, draw) {
            return Err(self.refuse(account, BudgetBound::Organisation));
        }
        while let Some(shortage) = self.shortage(account, draw) {
            let is_settling = account.yielding > self.limits.bytes / YIELDING_FRACTION;
            let helps = |other: &Holder| match shortage {
                Shortage::Bytes => true,
                Shortage::Large => other.large.load(Ordering::Relaxed) > 0,
            };
            let requester = Some((holder, draw.bytes));
            let evicted = if is_settling { None } else { account.evict(helps, requester) };
            if evicted.is_none_or(|evicted| Arc::ptr_eq(&evicted, holder)) {
                return Err(self.refuse(account, BudgetBound::Memory));
            }
        }
        account.add(holder, draw);
        Ok(())
    }

    fn exceeds_organisation(&self, account: &Account, holder: &Holder, draw: Draw) -> bool {
        let Some(organisation) = holder.organisation().filter(|_| draw.is_large) else {
            return false;
        };
        let others = account.holders.iter().filter(|one| one.organisation() == Some(organisation));
        let held: usize = others.map(|one| one.bytes.load(Ordering::Relaxed)).sum();
        held + draw.bytes > self.limits.organisation_bytes
    }

    /// Returns what is missing for `draw`.
    fn shortage(&self, account: &Account, draw: Draw) -> Option<Shortage> {
        let large = account.large.saturating_sub(account.yielding_large);
        if draw.is_large && large + draw.bytes > self.limits.large_bytes {
            return Some(Shortage::Large);
        }
        let bytes = account.bytes.saturating_sub(account.yielding);
        (bytes + draw.bytes > self.limits.bytes).then_some(Shortage::Bytes)
    }

    /// Takes `draw` back from `holder`.
    pub(super) fn give_back(&self, holder: &Holder, draw: Draw) {
        self.account().subtract(holder, draw);
        self.released.notify(usize::MAX);
    }

    /// Forgets a connection that has given back all that it held.
    pub(super) fn remove(&self, holder: &Arc<Holder>) {
        self.account().holders.retain(|one| !Arc::ptr_eq(one, holder));
        self.released.notify(usize::MAX);
    }

    /// Returns the outcome of `draw`; while there is no room for it, waits a moment for others that
    /// make room.
    pub(super) async fn wait_for_room(
        &self,
        mut draw: impl FnMut() -> Result<(), MemoryFull>,
    ) -> Result<(), MemoryFull> {
        let deadline = Instant::now() + ROOM_TIMEOUT;
        loop {
            let released = self.released.listen();
            let outcome = draw();
            let is_full = outcome.is_err_and(|full| full.bound == BudgetBound::Memory);
            if !is_full || Instant::now() >= deadline {
                return outcome;
            }
            // Others may have come to stand still meanwhile, of which nobody tells.
            let retry = async {
                smol::Timer::after(ROOM_RETRY_INTERVAL).await;
            };
            released.or(retry).await;
        }
    }

    /// Records that a draw or a connection is refused.
    fn refuse(&self, account: &mut Account, bound: BudgetBound) -> MemoryFull {
        account.record_refusal(bound, self.limits);
        MemoryFull { bound }
    }
}

/// What a draw lacks.
#[derive(Debug, Clone, Copy)]
enum Shortage {
    Bytes,
    Large,
}
