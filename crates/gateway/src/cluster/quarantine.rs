//! Requests of one content that are held back.

use std::time::Duration;
use std::time::Instant;

use crate::model::StoreVersion;

/// How long a content is held back before one request of it may show whether
/// servers still crash under it, by the probes made so far; the last stands for
/// all further ones. The first comes soon: a popular request that is at each
/// server a fatal one crashes is held back with it, and one more crash costs less
/// than many sound requests. The others are rare: a fatal one crashes three more
/// servers in its first hour.
const WAITS: [Duration; 5] = [
    Duration::from_millis(1500),
    Duration::from_secs(6),
    Duration::from_secs(20),
    Duration::from_secs(600),
    Duration::from_secs(7200),
];
/// Probes of a content that tell it apart from others held back for the same
/// server crashes, before it counts as fatal like any other.
pub(super) const APART_PROBES: u32 = 5;
/// Between two probes that tell contents apart. A stream begun shows within this
/// whether its server lives.
const APART_PAUSE: Duration = Duration::from_millis(600);
/// A claim of the probe is settled within this, or has failed.
const CLAIM_TIME: Duration = Duration::from_secs(2);
/// The pause until a probe that told nothing is made again.
const AGAIN_PAUSE: Duration = Duration::from_secs(1);
/// How often a probe that told nothing is made again: its servers were full, or
/// could not be reached.
const MAX_AGAIN: u32 = 3;
/// How long beyond its wait a content that nobody asks for is held back.
const UNASKED_TIME: Duration = Duration::from_secs(600);

/// How long a content is held back that has been probed `probes` times.
fn wait(probes: u32) -> Duration {
    let place = (probes as usize).min(WAITS.len() - 1);
    WAITS[place]
}

/// Whether this gateway may make a probe that it has claimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeRight {
    /// It has claimed none, or made it.
    None,
    /// It may, and has made it so often in vain.
    Unspent(u32),
    /// A request is out.
    Out(u32),
}

/// A content that is held back, until a request of it is answered whole.
#[derive(Debug, Clone, Copy)]
pub(super) struct Quarantine {
    /// Requests that were let through to find out.
    pub probes: u32,
    /// Since when it is held back, or the last probe was claimed.
    pub since: Instant,
    /// The version of its row in the store; 0 while there is none.
    pub version: StoreVersion,
    /// True once others were held back for the same server crashes. It stays so when
    /// these are cleared, until a probe has told of this one too.
    pub was_shared: bool,
    claimed_until: Option<Instant>,
    right: ProbeRight,
}

impl Quarantine {
    /// One that begins at `since`.
    pub fn new(probes: u32, version: StoreVersion, since: Instant) -> Self {
        Quarantine {
            probes,
            since,
            version,
            was_shared: false,
            claimed_until: None,
            right: ProbeRight::None,
        }
    }

    /// The store's row has `version` now, of which this gateway has claimed the
    /// probe if `is_own`.
    ///
    /// Guards against a probe that nobody makes, since the answer to its claim
    /// was lost: it is made once the claim's own request has been refused.
    pub fn renewed(self, probes: u32, version: StoreVersion, is_own: bool, now: Instant) -> Self {
        let right = if is_own { ProbeRight::Unspent(0) } else { ProbeRight::None };
        Quarantine { probes, since: now, version, right, ..self }
    }

    /// True when a request may go out as the probe that this gateway has claimed.
    pub fn may_probe(&self, now: Instant) -> bool {
        let is_claiming = self.claimed_until.is_some_and(|until| now < until);
        matches!(self.right, ProbeRight::Unspent(_)) && !is_claiming
    }

    /// A request goes out as the probe.
    pub fn begin_probe(&mut self) {
        let tries = if let ProbeRight::Unspent(tries) = self.right { tries } else { 0 };
        self.right = ProbeRight::Out(tries);
    }

    /// The probe has crashed a server.
    pub fn spend_probe(&mut self) {
        self.right = ProbeRight::None;
    }

    /// The request that was the probe is over. One that told nothing is made
    /// again a little later.
    pub fn end_probe(&mut self, now: Instant) {
        let ProbeRight::Out(tries) = self.right else { return };
        self.right = ProbeRight::None;
        if tries < MAX_AGAIN {
            self.right = ProbeRight::Unspent(tries + 1);
            self.claimed_until = Some(now + AGAIN_PAUSE);
        }
    }

    /// From `now` until a probe may be claimed; zero from then on. Of several
    /// contents that are held back for the same server crashes the one at `place` 0
    /// is probed soon, on its own.
    pub fn time_left(&self, place: Option<usize>, now: Instant) -> Duration {
        let wait = match place {
            Some(0) if self.probes < APART_PROBES => APART_PAUSE * self.probes.min(1),
            Some(0) => wait(self.probes - APART_PROBES),
            _ => wait(self.probes),
        };
        let due = self.since + wait;
        let due = self.claimed_until.map_or(due, |until| due.max(until));
        due.saturating_duration_since(now)
    }

    /// True while the first probe of a content that shared its crashes with others is
    /// due, or has just gone out.
    pub fn awaits_probe(&self, now: Instant) -> bool {
        let is_out = self.probes == 1 && now.saturating_duration_since(self.since) < APART_PAUSE;
        self.was_shared && (self.probes == 0 || is_out)
    }

    /// A probe is being claimed: other requests wait for how that ends.
    pub fn begin_claim(&mut self, now: Instant) {
        self.claimed_until = Some(now + CLAIM_TIME);
    }

    /// The claim failed: it may be made again after a pause.
    pub fn end_claim(&mut self, now: Instant) {
        self.claimed_until = Some(now + APART_PAUSE);
    }

    /// True when nobody has asked for the content for long: a request after
    /// the wait would have claimed a probe.
    pub fn is_unasked(&self, now: Instant) -> bool {
        let quiet = now.saturating_duration_since(self.since);
        quiet >= wait(self.probes).saturating_mul(2) + UNASKED_TIME
    }
}
