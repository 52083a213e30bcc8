//! Rate limits that servers state in their answers.

use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;

use crate::model::RequestRate;
use crate::model::ServerIncarnation;
use crate::model::StatedLimit;

/// How long the limit of a server that is no longer listed is kept, in case its row has
/// only lapsed.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// The last known limit of one server incarnation.
#[derive(Debug)]
struct ServerLimit {
    /// `None` after the limit was lifted.
    rate: Option<RequestRate>,
    /// When the last answer that set `rate` arrived.
    updated_at: Instant,
    /// When the server was last seen in the fleet, or `rate` was first set.
    listed_at: Instant,
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
    limits: FxHashMap<ServerIncarnation, ServerLimit>,
}

impl ServerLimits {
    /// Applies the limit stated by an answer to a request sent at `sent_at`, and returns
    /// the change, if any.
    ///
    /// An answer without a limit lifts a known one only if its request was sent after
    /// the last update. This keeps an answer that was generated before the limit was
    /// stated, but arrives later, from lifting it.
    pub fn note_answer(
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
                let known = self.limits.get(&server)?;
                if sent_at <= known.updated_at {
                    return None;
                }
                None
            }
        };
        self.set(server, after, now, now)
    }

    /// The last known limit of `server`; `None` if it never stated one or lifted it.
    pub fn limit(&self, server: ServerIncarnation) -> Option<RequestRate> {
        self.limits.get(&server)?.rate
    }

    /// Removes servers for which `is_listed` has been false for [`UNLISTED_RETENTION`].
    pub fn tick(&mut self, is_listed: impl Fn(ServerIncarnation) -> bool, now: Instant) {
        self.limits.retain(|server, limit| {
            if is_listed(*server) {
                limit.listed_at = now;
            }
            now.saturating_duration_since(limit.listed_at) < UNLISTED_RETENTION
        });
    }

    /// The number of servers in the table, including those whose limit was lifted.
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// True when the table is empty.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    fn set(
        &mut self,
        server: ServerIncarnation,
        after: Option<RequestRate>,
        updated_at: Instant,
        now: Instant,
    ) -> Option<ServerLimitChange> {
        let limit = self.limits.entry(server).or_insert(ServerLimit {
            rate: None,
            updated_at,
            listed_at: now,
        });
        let before = std::mem::replace(&mut limit.rate, after);
        limit.updated_at = updated_at;
        (before != after).then_some(ServerLimitChange { before, after })
    }
}
