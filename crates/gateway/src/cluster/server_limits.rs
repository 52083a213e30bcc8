//! Rate limits that servers state in their responses.

use std::time::Duration;
use std::time::Instant;

use super::IncarnationTable;
use super::LimitUpdate;
use super::TokenBucket;
use super::update_sample::sample;
use crate::model::RequestRate;
use crate::model::ServerIncarnation;
use crate::model::StatedLimit;

/// How long every report includes a changed limit, unless there are more than [`MAX_REPORTED`].
const REPORT_WINDOW: Duration = Duration::from_secs(3);

/// Maximum number of limits in a report; they occupy at most a quarter of a datagram.
const MAX_REPORTED: usize = 96;

/// The last known limit of one server incarnation.
#[derive(Debug)]
struct ServerLimit {
    /// `None` after the limit was lifted.
    rate: Option<RequestRate>,
    /// When the last response that set `rate` arrived, here or at a peer.
    updated_at: Instant,
    /// When the value of `rate` last changed at this gateway.
    changed_at: Instant,
    /// Limits the requests of this gateway to its share of `rate`.
    bucket: TokenBucket,
}

/// A change of a server's limit; `None` means no limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimitChange {
    pub before: Option<RequestRate>,
    pub after: Option<RequestRate>,
}

/// The limits of all server incarnations that have stated one.
#[derive(Debug, Default)]
pub struct ServerLimits {
    limits: IncarnationTable<ServerLimit>,
}

impl ServerLimits {
    /// Applies the limit stated by a response to a request sent at `sent_at`, and returns the
    /// change, if any.
    ///
    /// A response without a limit lifts a known one only if its request was sent after the last
    /// update. This prevents a response that was generated before the limit was stated, but
    /// arrives later, from lifting it.
    pub fn record_response(
        &mut self,
        server: ServerIncarnation,
        stated: StatedLimit,
        sent_at: Instant,
        now: Instant,
    ) -> Option<ServerLimitChange> {
        let after = match stated {
            StatedLimit::Unreadable => return None,
            StatedLimit::Rate(rate) => Some(rate),
            StatedLimit::None => {
                let known = self.limits.get(server)?;
                if sent_at <= known.updated_at {
                    return None;
                }
                None
            }
        };
        self.set(server, after, now, now)
    }

    /// Applies a limit reported by a peer unless a newer one is known, and returns the change, if
    /// any.
    pub fn apply_peer_limit(
        &mut self,
        update: LimitUpdate,
        now: Instant,
    ) -> Option<ServerLimitChange> {
        let age = Duration::from_millis(u64::from(update.age_ms));
        let updated_at = now.checked_sub(age)?;
        let is_newer =
            self.limits.get(update.server).is_none_or(|known| known.updated_at < updated_at);
        if !is_newer {
            return None;
        }
        self.set(update.server, update.rate, updated_at, now)
    }

    /// Returns the limits that a report includes: recent changes, or with `reports_all` every
    /// entry, lifted limits included. If there are more than [`MAX_REPORTED`], returns a random
    /// sample.
    pub fn updates(&self, reports_all: bool, now: Instant) -> Vec<LimitUpdate> {
        let is_recent =
            |limit: &ServerLimit| now.saturating_duration_since(limit.changed_at) < REPORT_WINDOW;
        let reported = self.limits.iter().filter(|(_, limit)| reports_all || is_recent(limit));
        let updates = reported.map(|(server, limit)| {
            let age = now.saturating_duration_since(limit.updated_at);
            let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
            LimitUpdate { server, rate: limit.rate, age_ms }
        });
        sample(updates.collect(), MAX_REPORTED)
    }

    /// Returns the last known limit of `server`; `None` if it never stated one or lifted it.
    pub fn limit(&self, server: ServerIncarnation) -> Option<RequestRate> {
        self.limits.get(server)?.rate
    }

    /// Sets this gateway's share of the limit of `server`, in requests per second.
    pub fn set_share(&mut self, server: ServerIncarnation, share: f64, now: Instant) {
        if let Some(limit) = self.limits.get_mut(server) {
            limit.bucket.set_rate(share, now);
        }
    }

    /// Returns true if the limit of `server` allows this gateway a request now.
    pub fn may_send(&self, server: ServerIncarnation, now: Instant) -> bool {
        self.active_limit(server).is_none_or(|limit| limit.bucket.has_token(now))
    }

    /// Takes a token for a request that is about to be sent to `server`. Returns false if its
    /// limit allows none now.
    pub fn take_send_token(&mut self, server: ServerIncarnation, now: Instant) -> bool {
        match self.limits.get_mut(server) {
            Some(limit) if limit.rate.is_some() => limit.bucket.take(now),
            _ => true,
        }
    }

    /// Returns when this gateway may send the next request to `server`; `None` when it has no
    /// share of the limit.
    pub fn next_send_at(&self, server: ServerIncarnation, now: Instant) -> Option<Instant> {
        self.active_limit(server).map_or(Some(now), |limit| limit.bucket.next_token_at(now))
    }

    /// Removes servers that have been unlisted for the retention period of the table.
    pub fn tick(&mut self, is_listed: impl Fn(ServerIncarnation) -> bool, now: Instant) {
        self.limits.tick(is_listed, now);
    }

    /// Returns the number of servers whose limit is in force.
    pub fn active_count(&self) -> usize {
        self.limits.iter().filter(|(_, limit)| limit.rate.is_some()).count()
    }

    /// Returns the number of servers in the table, including those whose limit was lifted.
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Returns true if no server has stated a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    fn active_limit(&self, server: ServerIncarnation) -> Option<&ServerLimit> {
        self.limits.get(server).filter(|limit| limit.rate.is_some())
    }

    fn set(
        &mut self,
        server: ServerIncarnation,
        after: Option<RequestRate>,
        updated_at: Instant,
        now: Instant,
    ) -> Option<ServerLimitChange> {
        let limit = self.limits.get_or_insert_with(server, now, || ServerLimit {
            rate: None,
            updated_at,
            changed_at: now,
            bucket: TokenBucket::new(0.0, now),
        })?;
        let before = std::mem::replace(&mut limit.rate, after);
        limit.updated_at = updated_at;
        if before == after {
            return None;
        }
        limit.changed_at = now;
        if before.is_none() {
            limit.bucket = TokenBucket::new(0.0, now);
        }
        Some(ServerLimitChange { before, after })
    }
}
