//! The backend servers, as far as the store and our own requests tell.

use std::cmp::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use rustc_hash::FxHashMap;
use rustc_hash::FxHashSet;

use super::FleetChange;
use super::LoadShare;
use super::PeerReports;
use super::ServerBackoffs;
use super::ServerDepartures;
use super::ServerLimits;
use super::ServerListing;
use super::ServerOutcome;
use super::ServerState;
use crate::model::ServerEntry;
use crate::model::ServerIncarnation;
use crate::model::ServerKey;
use crate::model::ServerStage;
use crate::model::ServiceName;
use crate::model::StoreVersion;

/// How long an entry that lapsed in an outage of the store still counts
/// after its return: live servers are back within about two seconds.
const LAPSE_GRACE: Duration = Duration::from_millis(2200);

/// Not read for this long, the table counts as not read: longer than any
/// read waits.
const UNREAD_AFTER: Duration = Duration::from_millis(2500);

/// How long an engine that was told to change its stage gets no work unless
/// its registration shows the change: it lets its work end, is away for some
/// 6 s, and registers within a heartbeat.
const CHANGE_TIME: Duration = Duration::from_secs(12);

/// How long a server is passed over that has said it is another than its row
/// tells of: a row that nobody renews is gone after three heartbeats of 1.2 s,
/// and one that is renewed with nothing new in it is told to nobody.
const OUTDATED_TIME: Duration = Duration::from_secs(5);

/// How long a removed server is remembered: older rows of it may come late
/// for as long as the store keeps its history, some 20 s.
const REMOVED_TIME: Duration = Duration::from_secs(60);

/// What is remembered of a server that was removed.
#[derive(Debug)]
struct RemovedServer {
    version: StoreVersion,
    started_at: Option<SystemTime>,
    removed_at: Instant,
}

/// All known servers and the load on them.
#[derive(Debug, Default)]
pub struct Fleet {
    pub(super) servers: FxHashMap<ServerKey, ServerState>,
    /// Invariant: each id in `servers` stands here once, under its entry's
    /// service.
    pub(super) services: FxHashMap<ServiceName, Vec<ServerKey>>,
    pub peers: PeerReports,
    pub limits: ServerLimits,
    pub departures: ServerDepartures,
    pub backoffs: ServerBackoffs,
    /// This gateway's digest.
    pub(super) own: u64,
    /// Gateways that share the servers, this one included.
    pub(super) gateways: usize,
    /// Engines that this gateway has told to change their stage, and until
    /// when they count as changing at most.
    changing: FxHashMap<ServerKey, (ServerStage, Instant)>,
    /// So that a late row of before brings none back.
    removed: FxHashMap<ServerKey, RemovedServer>,
    grace_until: Option<Instant>,
    /// Since when the table has been read without an outage.
    calm_since: Option<Instant>,
    /// When it was read last.
    read_at: Option<Instant>,
}

impl Fleet {
    /// The servers as the gateway with digest `own` sees them: none yet.
    pub fn new(own: u64) -> Self {
        Fleet { own, ..Fleet::default() }
    }

    /// The store answers again after an outage: entries that are missing
    /// from now on count for a while longer.
    ///
    /// Guards against taking every server for gone when the store's own
    /// outage kept them from renewing: all requests would be refused
    /// though the servers are well. Where another gateway has read the store
    /// for as long as that takes, the store has been back, or was never
    /// away: only our own path was cut, and what is missing is gone.
    pub fn store_regained(&mut self, now: Instant) {
        self.grace_until = Some(now + LAPSE_GRACE);
        self.calm_since = Some(now);
    }

    /// The table was read.
    pub fn store_read(&mut self, now: Instant) {
        self.calm_since.get_or_insert(now);
        self.read_at = Some(now);
    }

    /// For how long the table has been read without an outage; zero while it
    /// is not read.
    pub fn store_calm(&self, now: Instant) -> Duration {
        let is_read =
            self.read_at.is_some_and(|at| now.saturating_duration_since(at) < UNREAD_AFTER);
        let since = self.calm_since.filter(|_| is_read);
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Until when missing entries may only have lapsed.
    fn lapse_until(&self, now: Instant) -> Option<Instant> {
        let until = self.grace_until.filter(|until| now < *until)?;
        (!self.peers.is_store_stable_at_a_peer(LAPSE_GRACE, now)).then_some(until)
    }

    /// Takes in a server's row.
    pub fn upsert(&mut self, entry: ServerEntry, version: StoreVersion) -> Option<FleetChange> {
        let is_late = |removed: &RemovedServer| {
            removed.version >= version || entry.started_at < removed.started_at
        };
        if self.removed.get(&entry.server).is_some_and(is_late) {
            return None;
        }
        let Some(known) = self.servers.get_mut(&entry.server) else {
            return self.insert(entry, version);
        };
        match entry.started_at.cmp(&known.entry.started_at) {
            // News of an earlier start, written late.
            Ordering::Less => None,
            Ordering::Equal if entry.service == known.entry.service => {
                update(known, entry, version)
            }
            _ if version <= known.version => None,
            _ => Some(self.restart(entry, version)),
        }
    }

    fn insert(&mut self, mut entry: ServerEntry, version: StoreVersion) -> Option<FleetChange> {
        let key = entry.server.clone();
        entry.is_leaving |= self.departures.contains(entry.incarnation());
        self.removed.remove(&key);
        self.services.entry(entry.service.clone()).or_default().push(key.clone());
        let is_leaving = entry.is_leaving;
        self.servers.insert(key.clone(), ServerState::new(entry, version));
        (!is_leaving).then_some(FleetChange::Joined(key))
    }

    /// Forgets what was believed of a server's earlier start.
    ///
    /// Guards against judging a process by the one before it: counts of work
    /// that ended with it would keep the server looking full, its leaving would
    /// keep work away, and an order meant for it would change the new one.
    fn restart(&mut self, entry: ServerEntry, version: StoreVersion) -> FleetChange {
        let key = entry.server.clone();
        if let Some(before) = self.servers.remove(&key) {
            self.unlist(&before);
        }
        self.changing.remove(&key);
        self.insert(entry, version);
        FleetChange::Restarted(key)
    }

    /// A server's row holds what is no registration: until it holds one again,
    /// it names no server to use.
    pub fn note_unreadable(&mut self, key: &str, version: StoreVersion) {
        if let Some(known) = self.servers.get_mut(key)
            && version > known.version
        {
            known.version = version;
            known.is_unreadable = true;
            known.gone_at = None;
        }
    }

    /// Takes in that a server's row was removed at `version`.
    pub fn remove(
        &mut self,
        key: &str,
        version: StoreVersion,
        now: Instant,
    ) -> Option<FleetChange> {
        let lapse = self.lapse_until(now);
        let server_state = self.servers.get_mut(key)?;
        if server_state.version > version {
            return None;
        }
        if let Some(until) = lapse
            && !server_state.entry.is_leaving
        {
            server_state.gone_at.get_or_insert(until);
            return Some(FleetChange::Lapsed(server_state.entry.server.clone()));
        }
        self.forget(key, version, now)
    }

    /// Takes in a whole listing as of `version`: what it lacks is removed.
    pub fn replace(
        &mut self,
        listing: ServerListing,
        version: StoreVersion,
        now: Instant,
    ) -> Vec<FleetChange> {
        let ServerListing { entries, unreadable } = listing;
        let readable = entries.iter().map(|(entry, _)| &entry.server);
        let listed: FxHashSet<ServerKey> =
            readable.chain(unreadable.iter().map(|(key, _)| key)).cloned().collect();
        let missing: Vec<ServerKey> =
            self.servers.keys().filter(|key| !listed.contains(*key)).cloned().collect();
        let mut changes: Vec<FleetChange> =
            missing.iter().filter_map(|key| self.remove(key, version, now)).collect();
        changes.extend(entries.into_iter().filter_map(|(entry, at)| self.upsert(entry, at)));
        unreadable.iter().for_each(|(key, at)| self.note_unreadable(key, *at));
        changes
    }

    /// Drops servers whose grace has passed; call about once a second.
    pub fn tick(&mut self, now: Instant) -> Vec<FleetChange> {
        self.peers.remove_expired(now);
        self.changing.retain(|_, (_, until)| now < *until);
        if self.has_flow_control() {
            let listed: FxHashSet<ServerIncarnation> =
                self.servers.values().map(|server_state| server_state.incarnation).collect();
            self.limits.tick(|server| listed.contains(&server), now);
            self.departures.tick(|server| listed.contains(&server), now);
            self.backoffs.tick(|server| listed.contains(&server), now);
            self.update_shares(now);
        }
        let may_have_lapsed = self.lapse_until(now).is_some();
        let gone: Vec<(ServerKey, StoreVersion)> = self
            .servers
            .values()
            .filter(|state| state.gone_at.is_some_and(|at| at <= now || !may_have_lapsed))
            .map(|server_state| (server_state.entry.server.clone(), server_state.version))
            .collect();
        let is_remembered = |removed: &RemovedServer| {
            now.saturating_duration_since(removed.removed_at) < REMOVED_TIME
        };
        self.removed.retain(|_, removed| is_remembered(removed));
        gone.iter().filter_map(|(key, version)| self.forget(key, *version, now)).collect()
    }

    /// True when any limit, departure or backoff stated by a server is known.
    fn has_flow_control(&self) -> bool {
        !(self.limits.is_empty() && self.departures.is_empty() && self.backoffs.is_empty())
    }

    /// An engine was told to change to `stage`: until it has, it refuses work.
    pub fn begin_change(&mut self, key: &str, stage: ServerStage, now: Instant) {
        self.changing.insert(key.into(), (stage, now + CHANGE_TIME));
    }

    /// Engines that we have told to change, for a report to the peers.
    pub fn local_stage_changes(&self, now: Instant) -> Vec<u64> {
        self.servers
            .values()
            .filter(|server_state| self.is_own_change(server_state, now))
            .map(|server_state| server_state.incarnation)
            .collect()
    }

    pub(super) fn is_own_change(&self, server_state: &ServerState, now: Instant) -> bool {
        !self.changing.is_empty()
            && self
                .changing
                .get(&server_state.entry.server)
                .is_some_and(|(stage, until)| server_state.entry.stage != *stage && now < *until)
    }

    /// One server.
    pub fn server(&self, key: &str) -> Option<&ServerState> {
        self.servers.get(key)
    }

    /// The server that runs as `incarnation`.
    pub fn server_by_incarnation(&self, incarnation: ServerIncarnation) -> Option<&ServerState> {
        self.servers.values().find(|server_state| server_state.incarnation == incarnation)
    }

    /// Work at a server, ours and the other gateways'.
    pub fn load(&self, server_state: &ServerState, now: Instant) -> LoadShare {
        server_state.own.plus(self.peers.server(server_state.incarnation, now).load)
    }

    /// Our own work at each server that has any, for a report to the peers.
    pub fn local_loads(&self) -> Vec<(u64, LoadShare)> {
        self.servers
            .values()
            .filter(|server_state| server_state.own.running > 0)
            .map(|server_state| (server_state.incarnation, server_state.own))
            .collect()
    }

    /// Servers that we pass over ourselves, or that are not what their row
    /// tells, for a report to the peers.
    pub fn local_ejections(&self, now: Instant) -> Vec<u64> {
        self.servers
            .values()
            .filter(|state| state.is_outdated(now) || state.health.is_aside(now))
            .map(|server_state| server_state.incarnation)
            .collect()
    }

    /// Counts work that is being sent to a server; the start of the server at
    /// which it counts, if the server is known.
    pub fn begin(&mut self, key: &str, work: LoadShare, now: Instant) -> Option<ServerIncarnation> {
        let server_state = self.servers.get_mut(key)?;
        server_state.health.note_work(now);
        server_state.own = server_state.own.plus(work);
        Some(server_state.incarnation)
    }

    /// Work at a start of a server has changed from `before` to `after`.
    pub fn change(
        &mut self,
        key: &str,
        incarnation: ServerIncarnation,
        before: LoadShare,
        after: LoadShare,
    ) {
        if let Some(server_state) = self.start_of(key, incarnation) {
            server_state.own = server_state.own.minus(before).plus(after);
        }
    }

    /// Work at a start of a server has ended.
    pub fn end(&mut self, key: &str, incarnation: ServerIncarnation, work: LoadShare) {
        if let Some(server_state) = self.start_of(key, incarnation) {
            server_state.own = server_state.own.minus(work);
        }
    }

    /// Notes how a send to a start of a server ended.
    pub fn note(
        &mut self,
        key: &str,
        incarnation: ServerIncarnation,
        outcome: ServerOutcome,
        now: Instant,
    ) {
        let Some(server_state) = self.start_of(key, incarnation) else { return };
        // Guards against prompts and streams that all go to a server which has
        // been replaced at its address: each is rejected and counts as a
        // repeat, 160 in 10 s when a third of 12 engines started anew. Its row
        // is a heartbeat old; the next tells what is there.
        if outcome == ServerOutcome::Misdirected {
            server_state.outdated_until = Some(now + OUTDATED_TIME);
        }
        server_state.health.note(outcome, now);
    }

    /// A server, if it has not started again since `incarnation`.
    fn start_of(&mut self, key: &str, incarnation: ServerIncarnation) -> Option<&mut ServerState> {
        self.servers.get_mut(key).filter(|server_state| server_state.incarnation == incarnation)
    }

    /// Notes stray bytes on a connection to a server.
    pub fn note_garbled(&mut self, key: &str, now: Instant) {
        if let Some(server_state) = self.servers.get_mut(key) {
            server_state.health.note_garbled(now);
        }
    }

    /// Servers known.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// True when no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    fn forget(&mut self, key: &str, version: StoreVersion, now: Instant) -> Option<FleetChange> {
        let server_state = self.servers.remove(key)?;
        self.unlist(&server_state);
        let removed =
            RemovedServer { version, started_at: server_state.entry.started_at, removed_at: now };
        self.removed.insert(server_state.entry.server.clone(), removed);
        Some(FleetChange::Removed(server_state.entry.server))
    }

    fn unlist(&mut self, server_state: &ServerState) {
        if let Some(keys) = self.services.get_mut(&server_state.entry.service) {
            keys.retain(|listed| listed != &server_state.entry.server);
        }
    }
}

/// Takes a newer row into a known belief. A server that has announced its
/// leaving never counts as staying again: it ends in any case, and an older
/// row may come late.
fn update(
    known: &mut ServerState,
    mut entry: ServerEntry,
    version: StoreVersion,
) -> Option<FleetChange> {
    if version <= known.version {
        if version == known.version {
            known.gone_at = None;
        }
        return None;
    }
    let was_leaving = known.entry.is_leaving;
    entry.is_leaving |= was_leaving;
    let begins_leaving = entry.is_leaving && !was_leaving;
    known.entry = entry;
    known.version = version;
    known.gone_at = None;
    known.is_unreadable = false;
    known.outdated_until = None;
    begins_leaving.then(|| FleetChange::Leaving(known.entry.server.clone()))
}
