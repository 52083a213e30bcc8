//! This gateway's own network paths to servers, apart from the health of the servers.
//!
//! A path is broken when no connection to a server can be opened while another gateway can open
//! one. That tells nothing about the server, which is then used through other gateways.

use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;
use smallvec::SmallVec;
use strum::Display;

use super::PathUpdate;
use crate::model::ServerIncarnation;

/// How long other paths are doubted after one was, unless that one is broken for longer: a gateway
/// that loses one path often loses all.
const DOUBT_WINDOW: Duration = Duration::from_secs(5);
/// Minimum time between two checks of a path that nobody waits for.
const MIN_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// A check of a path takes less than this: two connection attempts one after the other.
const MAX_CHECK_DURATION: Duration = Duration::from_secs(2);
/// Maximum number of paths that are checked at a time while nobody waits for the outcome.
const MAX_CHECKS: usize = 8;
/// A server that was heard this recently needs no check of its path.
const HEARD_WINDOW: Duration = Duration::from_millis(250);
/// How long a path is remembered after it was last used.
const PATH_RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of broken paths that a report lists.
const MAX_LISTED_PATHS: usize = 32;

/// What a check shows about a server that did not respond.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum PathVerdict {
    /// The server accepts connections from this gateway.
    Open,
    /// It accepts none from this gateway, but some from another one.
    Broken,
    /// No gateway that was asked reaches it.
    ServerDown,
}

/// What a caller of [`ServerPaths::begin_check`] is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckStep {
    /// Perform the check and record its end.
    Begin,
    /// Wait for the one in progress.
    Wait,
    /// A check has ended since then.
    Known(PathVerdict),
}

/// A check of one path.
#[derive(Debug, Clone, Copy)]
struct PathCheck {
    began_at: Instant,
    ended: Option<(Instant, PathVerdict)>,
}

/// The path to one server.
#[derive(Debug, Clone, Default)]
struct PathHealth {
    broken_since: Option<Instant>,
    /// When a connection of this gateway to the server was last opened, or the server responded on
    /// one.
    proven_at: Option<Instant>,
    check: Option<PathCheck>,
}

impl PathHealth {
    fn is_recent(&self, now: Instant) -> bool {
        let checked_at = self.check.map(|check| check.began_at);
        let used_at = self.proven_at.max(checked_at);
        used_at.is_some_and(|at| now.saturating_duration_since(at) < PATH_RETENTION)
    }

    fn is_checking(&self, now: Instant) -> bool {
        self.check.is_some_and(|check| {
            let age = now.saturating_duration_since(check.began_at);
            check.ended.is_none() && age < MAX_CHECK_DURATION
        })
    }
}

/// The paths to the servers that this gateway has used lately.
#[derive(Debug, Default)]
pub struct ServerPaths {
    paths: FxHashMap<ServerIncarnation, PathHealth>,
    /// When a path was last found to be broken, or to open no connection as soon as usual.
    doubted_at: Option<Instant>,
    /// Invariant: number of paths in `paths` that are broken.
    broken_count: usize,
}

impl ServerPaths {
    /// Records that `server` responded on a connection of this gateway.
    pub fn record_response(&mut self, server: ServerIncarnation, now: Instant) {
        self.paths.entry(server).or_default().proven_at = Some(now);
    }

    /// Records that a connection to `server` was opened. Returns for how long the path was broken,
    /// if it was.
    pub fn record_open(&mut self, server: ServerIncarnation, now: Instant) -> Option<Duration> {
        let path = self.paths.entry(server).or_default();
        path.proven_at = Some(now);
        let since = path.broken_since.take()?;
        self.broken_count -= 1;
        Some(now.saturating_duration_since(since))
    }

    /// Records that no connection to `server` can be opened though another gateway opens them.
    /// Returns true if the path was not known to be broken.
    pub fn record_broken(&mut self, server: ServerIncarnation, now: Instant) -> bool {
        let path = self.paths.entry(server).or_default();
        if path.broken_since.is_some() {
            return false;
        }
        path.broken_since = Some(now);
        self.broken_count += 1;
        self.record_doubt(now);
        true
    }

    /// Records that a server opens connections of another gateway sooner than those of this one.
    pub fn record_doubt(&mut self, now: Instant) {
        self.doubted_at = Some(now);
    }

    /// Returns true while the path to `server` is known to be broken.
    pub fn is_broken(&self, server: ServerIncarnation) -> bool {
        self.broken_count > 0
            && self.paths.get(&server).is_some_and(|path| path.broken_since.is_some())
    }

    /// Returns true while the path to `server` is or may be broken: nothing has proven it since it or
    /// another one was doubted.
    ///
    /// Prevents requests from being written to idle connections that hang: those that may run only
    /// once are then lost.
    pub fn is_doubted(&self, server: ServerIncarnation, now: Instant) -> bool {
        let Some(doubted_at) = self.doubted_at else { return false };
        let is_over = now.saturating_duration_since(doubted_at) >= DOUBT_WINDOW;
        if self.broken_count == 0 && is_over {
            return false;
        }
        let path = self.paths.get(&server);
        let proven_at = path.and_then(|path| path.proven_at);
        self.is_broken(server) || proven_at.is_none_or(|at| at <= doubted_at)
    }

    /// Returns true while it is open whether a failure at `server` is the server's or its path's.
    pub fn is_unclear(&self, server: ServerIncarnation, now: Instant) -> bool {
        self.is_doubted(server, now)
            || self.paths.get(&server).is_some_and(|path| path.is_checking(now))
    }

    /// Returns true if a check of a path that nobody waits for is useful now, because `server` has
    /// not been heard, or checked, lately.
    pub fn is_check_due(&self, server: ServerIncarnation, now: Instant) -> bool {
        if self.paths.values().filter(|path| path.is_checking(now)).count() >= MAX_CHECKS {
            return false;
        }
        let Some(path) = self.paths.get(&server) else { return true };
        let age = |at: Instant| now.saturating_duration_since(at);
        let is_heard = path.proven_at.is_some_and(|at| age(at) < HEARD_WINDOW);
        let is_checked = path.check.is_some_and(|check| age(check.began_at) < MIN_CHECK_INTERVAL);
        path.broken_since.is_none() && !is_heard && !is_checked
    }

    /// Begins a check of the path to `server`, unless one is in progress or has ended since
    /// `failed_at`.
    pub fn begin_check(
        &mut self,
        server: ServerIncarnation,
        failed_at: Instant,
        now: Instant,
    ) -> CheckStep {
        let path = self.paths.entry(server).or_default();
        match path.check {
            Some(PathCheck { ended: Some((at, verdict)), .. }) if at >= failed_at => {
                CheckStep::Known(verdict)
            }
            Some(_) if path.is_checking(now) => CheckStep::Wait,
            _ => {
                path.check = Some(PathCheck { began_at: now, ended: None });
                CheckStep::Begin
            }
        }
    }

    /// Records the end of a check.
    pub fn end_check(&mut self, server: ServerIncarnation, verdict: PathVerdict, now: Instant) {
        if let Some(check) = self.paths.get_mut(&server).and_then(|path| path.check.as_mut()) {
            check.ended = Some((now, verdict));
        }
    }

    /// Returns the servers whose paths are broken.
    pub fn broken(&self) -> impl Iterator<Item = ServerIncarnation> {
        let broken = self.paths.iter().filter(|(_, path)| path.broken_since.is_some());
        broken.map(|(server, _)| *server)
    }

    pub fn is_empty(&self) -> bool {
        self.paths.is_empty()
    }

    /// Returns the number of broken paths.
    pub fn broken_count(&self) -> usize {
        self.broken_count
    }

    /// Returns true if this gateway reaches less than half of the servers that it has used lately.
    pub fn is_cut(&self) -> bool {
        self.broken_count * 2 > self.paths.len()
    }

    /// Returns what a report tells of the paths. A list that would be too long counts as a cut from
    /// all servers.
    pub fn update(&self) -> PathUpdate {
        if self.broken_count == 0 {
            return PathUpdate::default();
        }
        let is_listed = self.broken_count <= MAX_LISTED_PATHS;
        let broken: SmallVec<[ServerIncarnation; 4]> =
            if is_listed { self.broken().collect() } else { SmallVec::new() };
        PathUpdate { is_cut: self.is_cut() || !is_listed, broken }
    }

    /// Forgets servers for which `is_known` returns false, and paths that have not been used for
    /// long.
    pub fn tick(&mut self, is_known: impl Fn(ServerIncarnation) -> bool, now: Instant) {
        self.paths.retain(|server, path| {
            is_known(*server) && (path.broken_since.is_some() || path.is_recent(now))
        });
        self.broken_count = self.broken().count();
    }
}
