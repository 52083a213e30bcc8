//! The software versions of one service's servers: which there are and were, and which may begin
//! streams.

use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

use crate::model::SoftwareDigest;

/// How long a version counts as recent after its last server is gone. Longer than any caller keeps
/// taking up a stream.
pub const VERSION_RETENTION: Duration = Duration::from_secs(60);

/// One version of a service's servers.
#[derive(Debug, Clone, Copy)]
struct KnownVersion {
    software: SoftwareDigest,
    /// Number of registered servers.
    servers: usize,
    /// Number of these that are leaving.
    leaving: usize,
    /// When the last server was found to be gone.
    ended_at: Option<Instant>,
    /// True once this was the only recent version.
    was_sole: bool,
}

/// The software versions of one service.
///
/// The store holds an announcement of all versions at which streams began lately, from the first one
/// on, and before a gateway begins streams at a second one. So a gateway that takes up a stream of
/// which nobody knows the version, and finds just the one version announced that it knows, knows that
/// the service had no other, also if all gateways have ended since.
#[derive(Debug, Clone, Default)]
pub struct ServiceVersions {
    known: SmallVec<[KnownVersion; 2]>,
    /// Versions in the store's announcement, as last read or written.
    announced: SmallVec<[SoftwareDigest; 2]>,
    /// Since when there has been one recent version; `None` while there are several.
    sole_since: Option<Instant>,
}

impl ServiceVersions {
    /// Records that a server has registered.
    pub fn record_joined(&mut self, software: SoftwareDigest, is_leaving: bool) {
        let version = self.version_mut(software);
        version.servers += 1;
        version.leaving += usize::from(is_leaving);
        version.ended_at = None;
    }

    /// Records that a registered server is leaving.
    pub fn record_leaving(&mut self, software: SoftwareDigest) {
        self.version_mut(software).leaving += 1;
    }

    /// Records that a server's registration is gone.
    pub fn record_removed(&mut self, software: SoftwareDigest, was_leaving: bool) {
        let version = self.version_mut(software);
        version.servers = version.servers.saturating_sub(1);
        version.leaving = version.leaving.saturating_sub(usize::from(was_leaving));
    }

    /// Sets the versions that the store's announcement names.
    pub fn set_announced(&mut self, announced: &[SoftwareDigest]) {
        self.announced = announced.into();
    }

    /// Forgets versions that ended long ago. Must be called about once a second.
    pub fn tick(&mut self, now: Instant) {
        for version in self.known.iter_mut().filter(|version| version.servers == 0) {
            version.ended_at.get_or_insert(now);
        }
        self.known.retain(|version| {
            let since_end = version.ended_at.map(|at| now.saturating_duration_since(at));
            since_end.is_none_or(|since_end| since_end < VERSION_RETENTION)
        });
        if let [sole] = &mut self.known[..] {
            sole.was_sole = true;
            self.sole_since.get_or_insert(now);
        }
    }

    /// Returns the versions of registered servers and those that ended lately.
    pub fn recent(&self) -> SmallVec<[SoftwareDigest; 2]> {
        self.known.iter().map(|version| version.software).collect()
    }

    /// Returns the only recent version; `None` if there are several, or none.
    pub fn sole(&self) -> Option<SoftwareDigest> {
        match &self.known[..] {
            [sole] => Some(sole.software),
            _ => None,
        }
    }

    /// Returns true if the versions are to be announced in the store.
    pub fn is_announcement_due(&self) -> bool {
        self.known.iter().any(|one| !self.announced.contains(&one.software))
    }

    /// Returns true if other versions are announced than the only one, though there has been only
    /// that for twice as long as any counts as recent, so that every gateway knows this.
    pub fn is_announcement_over(&self, now: Instant) -> bool {
        let is_long = |since: Instant| now.saturating_duration_since(since) >= VERSION_RETENTION;
        let names_others = self.announced.iter().any(|one| Some(*one) != self.sole());
        names_others && self.sole_since.is_some_and(is_long)
    }

    /// Returns the versions that the store's announcement names.
    pub fn announced(&self) -> &[SoftwareDigest] {
        &self.announced
    }

    /// Returns true if streams may begin at `software`: it is announced, or was the only version
    /// before another appeared.
    pub fn may_begin(&self, software: SoftwareDigest) -> bool {
        if self.known.len() <= 1 || self.announced.contains(&software) {
            return true;
        }
        self.known.iter().any(|one| one.software == software && one.was_sole)
    }

    /// Returns which share of the servers of `software` is leaving, from 0 to 1.
    pub fn leaving_share(&self, software: SoftwareDigest) -> f64 {
        let version = self.known.iter().find(|one| one.software == software);
        version.map_or(0.0, |one| one.leaving as f64 / one.servers.max(1) as f64)
    }

    fn version_mut(&mut self, software: SoftwareDigest) -> &mut KnownVersion {
        let at = self.known.iter().position(|one| one.software == software);
        let at = at.unwrap_or_else(|| {
            // Another gateway may have shortened the announcement while there was one version.
            self.announced.clear();
            self.sole_since = None;
            self.known.push(KnownVersion {
                software,
                servers: 0,
                leaving: 0,
                ended_at: None,
                was_sole: false,
            });
            self.known.len() - 1
        });
        &mut self.known[at]
    }
}
