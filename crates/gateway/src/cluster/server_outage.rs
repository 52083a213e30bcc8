//! Possible outages of server incarnations, at which attempts break.

use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;

use super::crash_record::SAME_CRASH_WINDOW;
use crate::model::ServerIncarnation;

/// An attempt that breaks this soon after another at the same server incarnation shows that
/// the server has not recovered in between.
const OUTAGE_WINDOW: Duration = Duration::from_secs(3);

/// A server incarnation that has not responded since an attempt broke at it.
#[derive(Debug, Clone, Copy)]
struct ServerOutage {
    /// When the first attempt broke.
    first_broken_at: Instant,
    /// When the last attempt broke.
    last_broken_at: Instant,
}

impl ServerOutage {
    /// Records another broken attempt. Returns true if the server has not worked since the
    /// first one, and thus has not crashed again.
    ///
    /// Prevents the quarantine of frequent requests in an outage of a whole service or of the
    /// network path to it, where every attempt breaks and no server crashes; the quarantine
    /// would last until long after the outage. An attempt that breaks much later may have found
    /// the server processing other requests.
    fn extends(&mut self, now: Instant) -> bool {
        let is_same_outage = now.saturating_duration_since(self.last_broken_at) < OUTAGE_WINDOW;
        self.last_broken_at = now;
        if !is_same_outage {
            self.first_broken_at = now;
        }
        now.saturating_duration_since(self.first_broken_at) >= SAME_CRASH_WINDOW
    }

    /// Returns true while this affects how further broken attempts are judged.
    fn is_live(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_broken_at) < OUTAGE_WINDOW
    }
}

/// Server incarnations that do not respond, as far as this gateway and its peers know.
#[derive(Debug, Default)]
pub(super) struct ServerOutages {
    /// Those at which attempts of this gateway failed and that have not responded since.
    own: FxHashMap<ServerIncarnation, ServerOutage>,
    /// When peers saw servers crash that have not responded to this gateway since.
    of_peers: FxHashMap<ServerIncarnation, Instant>,
}

impl ServerOutages {
    /// Records that a server does not respond. Returns true if it has not responded for so long
    /// that it cannot have crashed again.
    pub fn extend(&mut self, incarnation: ServerIncarnation, now: Instant) -> bool {
        let began = ServerOutage { first_broken_at: now, last_broken_at: now };
        self.own.entry(incarnation).or_insert(began).extends(now)
    }

    /// Records that a peer saw a server crash at `at`.
    pub fn record_peer_crash(&mut self, incarnation: ServerIncarnation, at: Instant) {
        self.of_peers.insert(incarnation, at);
    }

    /// Returns true if the server did not respond before `sent_at` and has not since: then no
    /// request that was sent later has crashed it.
    pub fn began_before(
        &self,
        incarnation: ServerIncarnation,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        let own = self.own.get(&incarnation).filter(|outage| outage.is_live(now));
        own.is_some_and(|outage| outage.first_broken_at < sent_at)
            || self.of_peers.get(&incarnation).is_some_and(|at| *at < sent_at)
    }

    /// Records that the server responds to a request that was sent at `sent_at`.
    pub fn record_response(&mut self, incarnation: ServerIncarnation, sent_at: Instant) {
        if self.own.get(&incarnation).is_some_and(|outage| outage.last_broken_at < sent_at) {
            self.own.remove(&incarnation);
        }
        if self.of_peers.get(&incarnation).is_some_and(|at| *at < sent_at) {
            self.of_peers.remove(&incarnation);
        }
    }

    /// Records that the server has gone on working.
    pub fn remove(&mut self, incarnation: ServerIncarnation) {
        self.own.remove(&incarnation);
        self.of_peers.remove(&incarnation);
    }

    /// Returns true while the server is known to be down.
    pub fn is_down(&self, incarnation: ServerIncarnation, now: Instant) -> bool {
        self.own.get(&incarnation).is_some_and(|outage| outage.is_live(now))
            || self.of_peers.get(&incarnation).is_some_and(|at| is_recent(*at, now))
    }

    /// Removes outages that are long over.
    pub fn tick(&mut self, now: Instant) {
        self.own.retain(|_, outage| outage.is_live(now));
        self.of_peers.retain(|_, at| is_recent(*at, now));
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < OUTAGE_WINDOW
}
