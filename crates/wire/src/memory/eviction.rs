//! Who makes room when a budget is full: those that hold most and progress least.
//!
//! A request that servers may be running is evicted only if its caller does not read the answer, or
//! presses more bytes behind the request than any next one takes: a sound caller would not learn
//! what became of it.

use std::time::Duration;

use strum::Display;
use strum::FromRepr;
use strum::IntoStaticStr;

/// Rate at which the bytes of a sound caller arrive at least, in bytes per second: a megabit.
const SOUND_RATE: f64 = 125_000.0;
/// How long a connection between two requests is kept in any case.
const MIN_IDLE_TIME: Duration = Duration::from_secs(1);
/// How long a caller may take none of its answer in any case.
const MIN_BLOCKED_TIME: Duration = Duration::from_millis(250);
/// Bytes behind a request that no next one takes.
const MIN_BYTES_BEHIND: usize = 4 * 1024;
/// The time that every holder counts as standing still at least: among those that progress, the
/// largest makes room.
const MIN_STALL: Duration = Duration::from_millis(1);

/// What a connection does for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromRepr, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum HolderPhase {
    /// No request has arrived yet.
    Connected,
    /// A request arrives, its head or its body.
    Receiving,
    /// A whole request has been read, and its answer is not complete.
    Serving,
    /// Between two requests.
    Idle,
    /// What its caller still sends is discarded.
    Closing,
}

/// What one connection holds, and how it gets on.
#[derive(Debug, Clone, Copy)]
pub struct HolderUse {
    pub phase: HolderPhase,
    /// Identifies the organisation or the address of the caller.
    pub owner: u64,
    /// Bytes that it holds of the budget.
    pub bytes: usize,
    /// Time since the phase began.
    pub age: Duration,
    /// Bytes of the request that have arrived in this phase.
    pub received: u64,
    /// Bytes that lie unread behind the request that is served.
    pub bytes_behind: usize,
    /// How long the caller has taken none of the bytes that are ready for it.
    pub blocked: Option<Duration>,
}

impl HolderUse {
    /// Returns how long it has stood still, beside a sound caller; `None` if it may not be evicted.
    fn stall(&self) -> Option<Duration> {
        if let Some(blocked) = self.blocked.filter(|blocked| *blocked >= MIN_BLOCKED_TIME) {
            return Some(blocked);
        }
        let stall = match self.phase {
            HolderPhase::Serving if self.bytes_behind < MIN_BYTES_BEHIND => return None,
            HolderPhase::Serving => self.age,
            HolderPhase::Idle if self.age < MIN_IDLE_TIME => return None,
            HolderPhase::Connected | HolderPhase::Idle | HolderPhase::Closing => self.age,
            HolderPhase::Receiving => {
                let expected = Duration::from_secs_f64(self.received as f64 / SOUND_RATE);
                self.age.saturating_sub(expected)
            }
        };
        Some(stall.max(MIN_STALL))
    }
}

/// Returns which of `holders` makes room first, by its position; `None` if none may. `owner_bytes`
/// returns what all connections of an owner hold.
pub fn first_to_yield(
    holders: impl Iterator<Item = HolderUse>,
    owner_bytes: impl Fn(u64) -> usize,
) -> Option<usize> {
    let weighed = holders.enumerate().filter_map(|(position, holder)| {
        let stall = holder.stall()?.as_secs_f64();
        let weight = holder.bytes as f64 * stall * owner_bytes(holder.owner).max(1) as f64;
        Some((position, weight))
    });
    let heaviest = weighed.max_by(|(_, left), (_, right)| left.total_cmp(right));
    heaviest.map(|(position, _)| position)
}
