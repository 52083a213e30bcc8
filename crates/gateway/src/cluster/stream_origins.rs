//! Which software version began a stream, for callers that take it up again.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde::Serialize;

use super::OrganisationDigest;
use crate::model::ServerIncarnation;
use crate::model::SoftwareDigest;

/// A digest of the id of the attempt that began a stream, and of its organisation.
pub type StreamDigest = u64;

/// How long a stream's origin is kept after it was last told.
pub const ORIGIN_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of origins that a gateway keeps, of some 100 bytes each.
pub const MAX_ORIGINS: usize = 32_768;
/// Minimum time between two recordings of a stream: well under the interval at which long streams
/// are told again.
const RECORDING_INTERVAL: Duration = Duration::from_secs(10);
/// Time within which the row of a server that starts again under its id is known.
const RESTART_NOTICE_TIME: Duration = Duration::from_millis(2500);

/// Returns the digest of the attempt `request_id` of `organisation`. Callers of one organisation
/// cannot change what is known of another's streams.
pub fn stream_digest(organisation: OrganisationDigest, request_id: &str) -> StreamDigest {
    umberglade_wire::digest_seeded(request_id.as_bytes(), organisation.into())
}

/// A stream and the server that began it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    pub stream: StreamDigest,
    /// The organisation of the caller; 0 if there are none.
    pub organisation: OrganisationDigest,
    pub software: SoftwareDigest,
    /// 0 if not known.
    pub incarnation: ServerIncarnation,
}

/// What is known of the version that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum KnownOrigin {
    Version(SoftwareDigest),
    /// Attempts of the same id have begun streams at several versions, or the server was started
    /// again at another version about the time.
    Contradictory,
}

#[derive(Debug, Clone, Copy)]
struct OriginEntry {
    organisation: OrganisationDigest,
    known: KnownOrigin,
    incarnation: ServerIncarnation,
    /// When it was last told.
    told_at: Instant,
    /// When it was last recorded.
    at: Instant,
    /// True if the stream began at this gateway.
    is_own: bool,
}

/// A stream in the order of recording. Outdated if its entry was recorded again since.
#[derive(Debug, Clone, Copy)]
struct RecordedStream {
    stream: StreamDigest,
    at: Instant,
}

/// The origins of recent streams of this gateway and of those that told it.
///
/// When it is full, the oldest origin of the organisation with the most is dropped. Prevents an
/// organisation that sends many requests from displacing the origins of others.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    entries: FxHashMap<StreamDigest, OriginEntry>,
    /// Invariant: holds each entry's last recording, the oldest first, and no empty queue.
    by_organisation: FxHashMap<OrganisationDigest, VecDeque<RecordedStream>>,
}

impl StreamOrigins {
    /// Records an origin. Returns false if a contradictory one is known, or if an origin was dropped
    /// to make room.
    pub fn record(&mut self, origin: StreamOrigin, is_own: bool, now: Instant) -> bool {
        let known = KnownOrigin::Version(origin.software);
        let before = self.entries.get_mut(&origin.stream);
        let is_contradictory = before.as_ref().is_some_and(|before| before.known != known);
        let known = if is_contradictory { KnownOrigin::Contradictory } else { known };
        let is_own = is_own || before.as_ref().is_some_and(|before| before.is_own);
        if let Some(before) = before
            && before.known == known
            && now.saturating_duration_since(before.at) < RECORDING_INTERVAL
        {
            before.is_own = is_own;
            before.incarnation = origin.incarnation;
            before.told_at = now;
            return !is_contradictory;
        }
        let entry = OriginEntry {
            organisation: origin.organisation,
            known,
            incarnation: origin.incarnation,
            told_at: now,
            at: now,
            is_own,
        };
        self.entries.insert(origin.stream, entry);
        let recorded = RecordedStream { stream: origin.stream, at: now };
        self.by_organisation.entry(origin.organisation).or_default().push_back(recorded);
        let is_full = self.entries.len() > MAX_ORIGINS;
        if is_full {
            self.drop_one();
        }
        !is_contradictory && !is_full
    }

    /// Returns what is known of the version that began `stream`.
    pub fn find(&self, stream: StreamDigest) -> Option<KnownOrigin> {
        self.entries.get(&stream).map(|entry| entry.known)
    }

    /// Returns the origins of this gateway's own streams.
    pub fn own(&self) -> Vec<StreamOrigin> {
        let own = self.entries.iter().filter(|(_, entry)| entry.is_own);
        own.filter_map(|(stream, entry)| match entry.known {
            KnownOrigin::Version(software) => Some(StreamOrigin {
                stream: *stream,
                organisation: entry.organisation,
                software,
                incarnation: entry.incarnation,
            }),
            KnownOrigin::Contradictory => None,
        })
        .collect()
    }

    /// Records that the server of `incarnation` was found to have been started again at another
    /// version: which process wrote the events of its last streams is not known.
    pub fn doubt(&mut self, incarnation: ServerIncarnation, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RESTART_NOTICE_TIME;
        let doubted = self.entries.values_mut();
        for entry in
            doubted.filter(|entry| entry.incarnation == incarnation && is_recent(entry.told_at))
        {
            entry.known = KnownOrigin::Contradictory;
        }
    }

    /// Drops origins that are no longer needed. Must be called about once a second.
    pub fn tick(&mut self, now: Instant) {
        let entries = &mut self.entries;
        self.by_organisation.retain(|_, queue| {
            while let Some(first) = queue.front().copied()
                && now.saturating_duration_since(first.at) >= ORIGIN_RETENTION
            {
                queue.pop_front();
                remove_recorded(entries, first);
            }
            !queue.is_empty()
        });
    }

    /// Returns the number of recordings kept, by which tests bound the memory.
    pub fn recordings(&self) -> usize {
        self.by_organisation.values().map(VecDeque::len).sum()
    }

    /// Returns the number of origins.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if there is no origin.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn drop_one(&mut self) {
        let largest = self.by_organisation.iter().max_by_key(|(_, queue)| queue.len());
        let Some(organisation) = largest.map(|(organisation, _)| *organisation) else { return };
        let Some(queue) = self.by_organisation.get_mut(&organisation) else { return };
        while let Some(first) = queue.pop_front() {
            if remove_recorded(&mut self.entries, first) {
                break;
            }
        }
        if queue.is_empty() {
            self.by_organisation.remove(&organisation);
        }
    }
}

/// Removes the entry of a recording unless it was recorded again since.
fn remove_recorded(
    entries: &mut FxHashMap<StreamDigest, OriginEntry>,
    recorded: RecordedStream,
) -> bool {
    let is_current = entries.get(&recorded.stream).is_some_and(|entry| entry.at == recorded.at);
    if is_current {
        entries.remove(&recorded.stream);
    }
    is_current
}
