//! The quarantine of one fingerprint.

use std::time::Duration;
use std::time::Instant;

use crate::model::StoreStamp;

/// How long a fingerprint is quarantined before a probe may show whether servers still
/// crash under it, by the number of probes made so far; the last value applies to all
/// further ones. The first delay is short: a popular request that is in flight at each
/// server that a poison request crashes is quarantined with it, and one more crash costs
/// less than rejecting many harmless requests. The others are long: a poison request
/// crashes three more servers in its first hour.
const PROBE_DELAYS: [Duration; 5] = [
    Duration::from_millis(1500),
    Duration::from_secs(6),
    Duration::from_secs(20),
    Duration::from_secs(600),
    Duration::from_secs(7200),
];
/// The same for a part of prompts. The first delay is shorter, as it may be part of most prompts, and
/// the others are longer, as no caller that sends the same again waits for them.
const PART_PROBE_DELAYS: [Duration; 5] = [
    Duration::from_millis(600),
    Duration::from_secs(10),
    Duration::from_secs(60),
    Duration::from_secs(600),
    Duration::from_secs(7200),
];
/// Number of probes that distinguish a fingerprint from others quarantined for the same
/// server crashes, before it counts as poison like any other.
pub(super) const ISOLATION_PROBES: u32 = 5;
/// Time between two probes that distinguish fingerprints. A started stream shows
/// within this time whether its server survives.
const ISOLATION_INTERVAL: Duration = Duration::from_millis(600);
/// A claim of the probe is settled within this time, or has failed.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay until an inconclusive probe is retried, at another server where there is one.
const REPROBE_DELAY: Duration = Duration::from_millis(250);
/// How often a probe is retried that found its servers full or unreachable.
const MAX_REPROBES: u32 = 3;
/// How long beyond its probe delay a fingerprint without requests stays quarantined.
const IDLE_RETENTION: Duration = Duration::from_secs(600);

/// Returns how long a fingerprint that has been probed `probes` times is quarantined until
/// the next probe.
fn probe_delay(is_part: bool, probes: u32) -> Duration {
    let delays = if is_part { PART_PROBE_DELAYS } else { PROBE_DELAYS };
    delays[(probes as usize).min(delays.len() - 1)]
}

/// Whether this gateway may send a probe that it has claimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbePermit {
    /// No probe is claimed, or it has been made.
    None,
    /// A probe may be sent, after this many inconclusive ones.
    Unused(u32),
    /// The probe is in flight, after this many inconclusive ones.
    InFlight(u32),
}

/// The quarantine of a fingerprint, which lasts until a request of it completes.
#[derive(Debug, Clone, Copy)]
pub(super) struct Quarantine {
    /// Number of requests admitted as probes.
    pub probes: u32,
    /// When the quarantine began.
    pub began_at: Instant,
    /// When the quarantine began, or the last probe was claimed.
    pub since: Instant,
    /// The version of the row in the store; 0 while there is none.
    pub stamp: StoreStamp,
    /// True once other fingerprints were quarantined for the same server crashes. It stays true
    /// when those are cleared, until a probe has shown the outcome for this one too.
    pub was_shared: bool,
    claimed_until: Option<Instant>,
    /// Until when the outcome of a probe is awaited, this gateway's or another's.
    outcome_until: Option<Instant>,
    permit: ProbePermit,
}

impl Quarantine {
    /// Returns a quarantine that begins at `since`.
    pub fn new(probes: u32, stamp: StoreStamp, since: Instant) -> Self {
        Quarantine {
            probes,
            began_at: since,
            since,
            stamp,
            was_shared: false,
            claimed_until: None,
            outcome_until: None,
            permit: ProbePermit::None,
        }
    }

    /// Returns this quarantine with the row's new `version`; with `is_local_claim`, this
    /// gateway has claimed the probe in that row.
    ///
    /// Prevents a claimed probe from never being sent when the response to the claim was lost: it
    /// is sent once the claim has timed out.
    pub fn renewed(
        self,
        probes: u32,
        stamp: StoreStamp,
        is_local_claim: bool,
        now: Instant,
    ) -> Self {
        let permit = if is_local_claim { ProbePermit::Unused(0) } else { ProbePermit::None };
        // A claim by another gateway settles this gateway's.
        let claimed_until = self.claimed_until.filter(|_| is_local_claim);
        let mut renewed = Quarantine { probes, since: now, stamp, permit, claimed_until, ..self };
        if probes > self.probes {
            renewed.await_outcome(now);
        }
        renewed
    }

    /// Returns true if a request may be sent as the probe that this gateway has claimed.
    pub fn may_probe(&self, now: Instant) -> bool {
        let is_claiming = self.claimed_until.is_some_and(|until| now < until);
        matches!(self.permit, ProbePermit::Unused(_)) && !is_claiming
    }

    /// Records that a request is sent as the probe.
    pub fn begin_probe(&mut self) {
        let retries = if let ProbePermit::Unused(retries) = self.permit { retries } else { 0 };
        self.permit = ProbePermit::InFlight(retries);
        self.claimed_until = None;
    }

    /// Records that the probe has crashed a server.
    pub fn consume_probe(&mut self) {
        self.permit = ProbePermit::None;
    }

    /// Records that the probe request has ended. An inconclusive probe is retried a little
    /// later.
    pub fn end_probe(&mut self, now: Instant) {
        let ProbePermit::InFlight(retries) = self.permit else { return };
        self.permit = ProbePermit::None;
        if retries < MAX_REPROBES {
            self.permit = ProbePermit::Unused(retries + 1);
            self.claimed_until = Some(now + REPROBE_DELAY);
        }
    }

    /// Returns the time from `now` until a probe may be claimed, or zero if it may be. Of
    /// several fingerprints that are quarantined for the same server crashes, the one at `rank`
    /// 0 is probed soon, on its own; each further one a little later, as nobody may be sending
    /// those before it, and one that was probed waits its turn in the same way.
    pub fn time_until_probe(&self, is_part: bool, rank: Option<usize>, now: Instant) -> Duration {
        let delay = match rank {
            Some(0) if self.probes < ISOLATION_PROBES => ISOLATION_INTERVAL * self.probes.min(1),
            Some(0) => probe_delay(is_part, self.probes - ISOLATION_PROBES),
            Some(rank) if self.probes < ISOLATION_PROBES => {
                (ISOLATION_INTERVAL * rank as u32).min(probe_delay(is_part, self.probes))
            }
            _ => probe_delay(is_part, self.probes),
        };
        let due = self.since + delay;
        let due = self.claimed_until.map_or(due, |until| due.max(until));
        due.saturating_duration_since(now)
    }

    /// Returns true while the first probe of a fingerprint that shared its crashes with others
    /// is due or has just been sent.
    pub fn awaits_first_probe(&self, now: Instant) -> bool {
        let is_in_flight =
            self.probes == 1 && now.saturating_duration_since(self.since) < ISOLATION_INTERVAL;
        self.was_shared && (self.probes == 0 || is_in_flight)
    }

    /// Returns the time from `now` until the outcome of the probe that is being claimed or was sent
    /// is known at the latest; zero if none is awaited.
    pub fn time_until_outcome(&self, now: Instant) -> Duration {
        let until = self.outcome_until.unwrap_or(now);
        until.saturating_duration_since(now)
    }

    /// Records that the probe that was sent may last for [`ISOLATION_INTERVAL`] until it shows its
    /// outcome.
    pub fn await_outcome(&mut self, now: Instant) {
        self.outcome_until = Some(now + ISOLATION_INTERVAL);
    }

    /// Records that a server has crashed: the outcome of a probe is awaited no longer.
    pub fn end_outcome_wait(&mut self) {
        self.outcome_until = None;
    }

    /// Records that a probe is being claimed; other requests wait for the result.
    pub fn begin_claim(&mut self, now: Instant) {
        self.claimed_until = Some(now + CLAIM_TIMEOUT);
        self.outcome_until = self.claimed_until;
    }

    /// Records that the claim failed; it may be retried after a delay.
    pub fn fail_claim(&mut self, now: Instant) {
        self.claimed_until = Some(now + ISOLATION_INTERVAL);
        self.outcome_until = None;
    }

    /// Returns true if no request of the fingerprint has arrived for long: a request after the
    /// probe delay would have claimed a probe.
    pub fn is_idle(&self, now: Instant) -> bool {
        let idle = now.saturating_duration_since(self.since);
        idle >= probe_delay(false, self.probes).saturating_mul(2) + IDLE_RETENTION
    }
}
