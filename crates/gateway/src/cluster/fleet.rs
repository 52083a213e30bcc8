//! The known backend servers, from the rows of the store and this gateway's own requests.

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
use super::ServerPaths;
use super::ServerState;
use super::ServiceVersions;
use super::TunnelRests;
use crate::model::ServerEntry;
use crate::model::ServerIncarnation;
use crate::model::ServerKey;
use crate::model::ServerStage;
use crate::model::ServiceName;
use crate::model::StoreStamp;

/// How long a server whose row expired in an outage of the store is kept after the store is
/// available again. Live servers are registered again within about 2 s.
const EXPIRY_GRACE_PERIOD: Duration = Duration::from_millis(2200);

/// Age of the last read from which on the table counts as not read. Longer than any read waits.
const STALE_READ_TIMEOUT: Duration = Duration::from_millis(2500);

/// How long an engine that was ordered to change its stage receives no work unless its registration
/// shows the change. It completes its work, is unavailable for about 6 s, and registers within a
/// heartbeat.
const STAGE_CHANGE_TIMEOUT: Duration = Duration::from_secs(12);

/// How long a server is skipped after stating that it is another one than its row describes. A row
/// that is not renewed is gone after three heartbeats of 1.2 s, and a row that is renewed without
/// changes is not reported to any gateway.
const OUTDATED_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a removed server is remembered. Older rows of it may arrive late for as long as the
/// store keeps its history, about 20 s.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// What is kept of a removed server.
#[derive(Debug)]
struct RemovedServer {
    stamp: StoreStamp,
    started_at: Option<SystemTime>,
    removed_at: Instant,
}

/// All known servers and the load on them.
#[derive(Debug, Default)]
pub struct Fleet {
    pub(super) servers: FxHashMap<ServerKey, ServerState>,
    /// Invariant: each id in `servers` is listed here once, under the service of its entry.
    pub(super) services: FxHashMap<ServiceName, Vec<ServerKey>>,
    /// Invariant: counts each server in `servers` once, under the service of its entry.
    pub(super) versions: FxHashMap<ServiceName, ServiceVersions>,
    /// Servers that this gateway has used lately: of all others there is nothing to report.
    ///
    /// Invariant: includes each server with load, and each one that is ejected or outdated.
    used: FxHashSet<ServerKey>,
    pub peers: PeerReports,
    pub limits: ServerLimits,
    pub departures: ServerDepartures,
    pub backoffs: ServerBackoffs,
    /// This gateway's own paths to the servers that it has used lately.
    pub paths: ServerPaths,
    pub tunnel_rests: TunnelRests,
    /// This gateway's digest.
    pub(super) digest: u64,
    /// Number of gateways that share the servers, including this one.
    pub(super) gateways: usize,
    /// Engines that this gateway has ordered to change their stage: the new stage, and the time
    /// until which they count as changing at most.
    stage_changes: FxHashMap<ServerKey, (ServerStage, Instant)>,
    /// Incarnations that were found to have been started again at another version, since last taken.
    pub(super) replaced_versions: Vec<ServerIncarnation>,
    /// Recently removed servers, so that a late row from before the removal does not add one again.
    removed: FxHashMap<ServerKey, RemovedServer>,
    grace_until: Option<Instant>,
    /// Since when the table has been read without an outage.
    stable_since: Option<Instant>,
    /// When the table was last read.
    pub(super) read_at: Option<Instant>,
    /// When another gateway last read the table, with the content that is known here.
    pub(super) read_elsewhere_at: Option<Instant>,
}

impl Fleet {
    /// Creates the fleet of the gateway with this digest, without any servers.
    pub fn new(digest: u64) -> Self {
        Fleet { digest, ..Fleet::default() }
    }

    /// Records that the store is available again after an outage. Servers whose rows are missing
    /// from now on are kept for a grace period.
    ///
    /// Prevents all servers from being removed because the store's own outage kept them from
    /// renewing their rows: every request would be rejected although the servers are up. If a peer
    /// has read the store for at least the grace period, the store was available again before, or
    /// was never unavailable: only this gateway's path was cut, and servers with missing rows are
    /// gone.
    pub fn record_store_available(&mut self, now: Instant) {
        self.grace_until = Some(now + EXPIRY_GRACE_PERIOD);
        self.stable_since = Some(now);
    }

    /// Records that the store has come back from a copy: what peers have read of it until now does
    /// not tell whether rows that the copy lacks are gone.
    pub fn record_store_copied(&mut self) {
        self.peers.forget_store_stability();
    }

    /// Records that the table was read.
    pub fn record_store_read(&mut self, now: Instant) {
        self.stable_since.get_or_insert(now);
        self.read_at = Some(now);
    }

    /// Returns how long the table has been read without an outage; zero while it is not read.
    pub fn store_stable_duration(&self, now: Instant) -> Duration {
        let is_read =
            self.read_at.is_some_and(|at| now.saturating_duration_since(at) < STALE_READ_TIMEOUT);
        let since = self.stable_since.filter(|_| is_read);
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns when the grace period ends, until which missing rows may merely have expired; `None`
    /// when there is none.
    fn expiry_grace_end(&self, now: Instant) -> Option<Instant> {
        let until = self.grace_until.filter(|until| now < *until)?;
        (!self.peers.is_store_stable_at_any_peer(EXPIRY_GRACE_PERIOD, now)).then_some(until)
    }

    /// Applies a server's row.
    pub fn upsert(&mut self, entry: ServerEntry, stamp: StoreStamp) -> Option<FleetChange> {
        let is_outdated_row = |removed: &RemovedServer| {
            removed.stamp >= stamp || entry.started_at < removed.started_at
        };
        if self.removed.get(&entry.server).is_some_and(is_outdated_row) {
            return None;
        }
        let Some(known) = self.servers.get_mut(&entry.server) else {
            return self.insert(entry, stamp);
        };
        match entry.started_at.cmp(&known.entry.started_at) {
            // A late row of an earlier incarnation.
            Ordering::Less => None,
            Ordering::Equal if is_same_process(&entry, &known.entry) => {
                let change = update(known, entry, stamp);
                if let Some(FleetChange::Leaving(key)) = &change {
                    self.record_version_leaving(&key.clone());
                }
                change
            }
            _ if stamp <= known.stamp => None,
            _ => Some(self.restart(entry, stamp)),
        }
    }

    fn insert(&mut self, mut entry: ServerEntry, stamp: StoreStamp) -> Option<FleetChange> {
        let key = entry.server.clone();
        entry.is_leaving |= self.departures.contains(entry.incarnation());
        self.removed.remove(&key);
        self.services.entry(entry.service.clone()).or_default().push(key.clone());
        let is_leaving = entry.is_leaving;
        let service = entry.service.clone();
        let server_state = ServerState::new(entry, stamp);
        let versions = self.versions.entry(service).or_default();
        versions.record_joined(server_state.software, is_leaving);
        self.servers.insert(key.clone(), server_state);
        (!is_leaving).then_some(FleetChange::Joined(key))
    }

    /// Discards the state of a server's previous incarnation.
    ///
    /// Prevents a process from being judged by its predecessor: load that ended with it would keep
    /// the server looking full, its departure would keep work away, and a stage change meant for it
    /// would apply to the new process.
    fn restart(&mut self, entry: ServerEntry, stamp: StoreStamp) -> FleetChange {
        let key = entry.server.clone();
        if let Some(before) = self.servers.remove(&key) {
            self.remove_from_service(&before);
            if before.entry.software != entry.software {
                self.replaced_versions.push(before.incarnation);
            }
        }
        self.stage_changes.remove(&key);
        self.insert(entry, stamp);
        FleetChange::Restarted(key)
    }

    /// Records that a server's row holds no valid registration. The server is not used until the
    /// row holds one again.
    pub fn record_unreadable(&mut self, key: &str, stamp: StoreStamp) {
        if let Some(known) = self.servers.get_mut(key)
            && stamp > known.stamp
        {
            known.stamp = stamp;
            known.is_unreadable = true;
            known.expires_at = None;
        }
    }

    /// Applies the removal of a server's row at `version`.
    pub fn remove(&mut self, key: &str, stamp: StoreStamp, now: Instant) -> Option<FleetChange> {
        let grace_end = self.expiry_grace_end(now);
        let server_state = self.servers.get_mut(key)?;
        if server_state.stamp > stamp {
            return None;
        }
        if let Some(until) = grace_end
            && !server_state.entry.is_leaving
        {
            server_state.expires_at.get_or_insert(until);
            return Some(FleetChange::Expired(server_state.entry.server.clone()));
        }
        self.drop_server(key, stamp, now)
    }

    /// Applies a complete listing as of `version`. Servers that it lacks are removed.
    pub fn replace(
        &mut self,
        listing: ServerListing,
        stamp: StoreStamp,
        now: Instant,
    ) -> Vec<FleetChange> {
        let ServerListing { entries, unreadable } = listing;
        let readable = entries.iter().map(|(entry, _)| &entry.server);
        let listed: FxHashSet<ServerKey> =
            readable.chain(unreadable.iter().map(|(key, _)| key)).cloned().collect();
        let missing: Vec<ServerKey> =
            self.servers.keys().filter(|key| !listed.contains(*key)).cloned().collect();
        let mut changes: Vec<FleetChange> =
            missing.iter().filter_map(|key| self.remove(key, stamp, now)).collect();
        changes.extend(entries.into_iter().filter_map(|(entry, at)| self.upsert(entry, at)));
        unreadable.iter().for_each(|(key, at)| self.record_unreadable(key, *at));
        changes
    }

    /// Removes servers whose grace period has ended. Must be called about once a second.
    pub fn tick(&mut self, now: Instant) -> Vec<FleetChange> {
        self.peers.remove_expired(now);
        self.retain_used(now);
        self.versions.values_mut().for_each(|versions| versions.tick(now));
        self.stage_changes.retain(|_, (_, until)| now < *until);
        if self.has_flow_control() || !self.paths.is_empty() {
            self.forget_unlisted(now);
        }
        let may_have_expired = self.expiry_grace_end(now).is_some();
        let expired: Vec<(ServerKey, StoreStamp)> = self
            .servers
            .values()
            .filter(|state| state.expires_at.is_some_and(|at| at <= now || !may_have_expired))
            .map(|server_state| (server_state.entry.server.clone(), server_state.stamp))
            .collect();
        let is_retained = |removed: &RemovedServer| {
            now.saturating_duration_since(removed.removed_at) < REMOVED_RETENTION
        };
        self.removed.retain(|_, removed| is_retained(removed));
        expired.iter().filter_map(|(key, stamp)| self.drop_server(key, *stamp, now)).collect()
    }

    fn retain_used(&mut self, now: Instant) {
        let servers = &self.servers;
        self.used.retain(|key| {
            servers.get(key).is_some_and(|state| {
                let is_set_aside = state.is_outdated(now) || state.health.is_ejected(now);
                state.local_load.running > 0 || is_set_aside
            })
        });
    }

    /// Removes what is known of the paths and the flow control of servers that are gone.
    fn forget_unlisted(&mut self, now: Instant) {
        let listed: FxHashSet<ServerIncarnation> =
            self.servers.values().map(|server_state| server_state.incarnation).collect();
        self.paths.tick(|server| listed.contains(&server), now);
        if self.has_flow_control() {
            self.limits.tick(|server| listed.contains(&server), now);
            self.departures.tick(|server| listed.contains(&server), now);
            self.backoffs.tick(|server| listed.contains(&server), now);
            self.update_shares(now);
        }
    }

    /// Returns the servers that this gateway has used lately.
    pub(super) fn used_servers(&self) -> impl Iterator<Item = &ServerState> {
        self.used.iter().filter_map(|key| self.servers.get(key))
    }

    /// Returns true if any limit, departure or backoff stated by a server is known.
    fn has_flow_control(&self) -> bool {
        !(self.limits.is_empty() && self.departures.is_empty() && self.backoffs.is_empty())
    }

    /// Records that an engine was ordered to change to `stage`. Until it has, it rejects work.
    pub fn begin_stage_change(&mut self, key: &str, stage: ServerStage, now: Instant) {
        self.stage_changes.insert(key.into(), (stage, now + STAGE_CHANGE_TIMEOUT));
    }

    /// Returns the engines that this gateway has ordered to change, for a report to its peers.
    pub fn local_stage_changes(&self, now: Instant) -> Vec<u64> {
        self.stage_changes
            .keys()
            .filter_map(|key| self.servers.get(key))
            .filter(|server_state| self.is_changing_stage(server_state, now))
            .map(|server_state| server_state.incarnation)
            .collect()
    }

    pub(super) fn is_changing_stage(&self, server_state: &ServerState, now: Instant) -> bool {
        !self.stage_changes.is_empty()
            && self
                .stage_changes
                .get(&server_state.entry.server)
                .is_some_and(|(stage, until)| server_state.entry.stage != *stage && now < *until)
    }

    pub fn server(&self, key: &str) -> Option<&ServerState> {
        self.servers.get(key)
    }

    pub fn server_by_incarnation(&self, incarnation: ServerIncarnation) -> Option<&ServerState> {
        self.servers.values().find(|server_state| server_state.incarnation == incarnation)
    }

    /// Returns the load of this gateway and its peers on a server.
    pub fn load(&self, server_state: &ServerState, now: Instant) -> LoadShare {
        server_state.local_load.plus(self.peers.server(server_state.incarnation, now).load)
    }

    /// Returns this gateway's load on each server that has any, for a report to its peers.
    pub fn local_loads(&self) -> Vec<(u64, LoadShare)> {
        self.used_servers()
            .filter(|server_state| server_state.local_load.running > 0)
            .map(|server_state| (server_state.incarnation, server_state.local_load))
            .collect()
    }

    /// Returns the servers that this gateway has ejected, or that are not what their row describes,
    /// for a report to its peers.
    ///
    /// Those that may only be cut off from this gateway are left out. Prevents servers from counting
    /// as down at all gateways because some have lost their paths to them.
    pub fn local_ejections(&self, now: Instant) -> Vec<u64> {
        self.used_servers()
            .filter(|state| {
                let is_unclear = self.paths.is_unclear(state.incarnation, now);
                state.is_outdated(now) || (state.health.is_ejected(now) && !is_unclear)
            })
            .map(|server_state| server_state.incarnation)
            .collect()
    }

    /// Adds the load of a request that is being sent to a server. Returns the incarnation of the
    /// server to which it is added, if the server is known.
    pub fn add_load(
        &mut self,
        key: &str,
        work: LoadShare,
        now: Instant,
    ) -> Option<ServerIncarnation> {
        let server_state = self.servers.get_mut(key)?;
        server_state.health.record_attempt(now);
        self.used.insert(server_state.entry.server.clone());
        server_state.local_load = server_state.local_load.plus(work);
        Some(server_state.incarnation)
    }

    /// Replaces the load `before` on an incarnation of a server by `after`.
    pub fn replace_load(
        &mut self,
        key: &str,
        incarnation: ServerIncarnation,
        before: LoadShare,
        after: LoadShare,
    ) {
        if let Some(server_state) = self.current_server_mut(key, incarnation) {
            server_state.local_load = server_state.local_load.minus(before).plus(after);
        }
    }

    /// Removes the load of work that has ended from an incarnation of a server.
    pub fn remove_load(&mut self, key: &str, incarnation: ServerIncarnation, work: LoadShare) {
        if let Some(server_state) = self.current_server_mut(key, incarnation) {
            server_state.local_load = server_state.local_load.minus(work);
        }
    }

    /// Records how an attempt at an incarnation of a server ended, as if it had begun at once.
    pub fn record_outcome(
        &mut self,
        key: &str,
        incarnation: ServerIncarnation,
        outcome: ServerOutcome,
        now: Instant,
    ) {
        self.record_outcome_since(key, incarnation, outcome, now, now);
    }

    /// Like [`Self::record_outcome`], for an attempt that has waited since `waited_since`.
    pub fn record_outcome_since(
        &mut self,
        key: &str,
        incarnation: ServerIncarnation,
        outcome: ServerOutcome,
        waited_since: Instant,
        now: Instant,
    ) {
        let Some(server_state) = self.current_server_mut(key, incarnation) else { return };
        // Prevents prompts and streams from all going to a server that has been replaced at its
        // address: each is rejected and counts as a retry, 160 in 10 s when a third of 12 engines
        // restart. The row is a heartbeat old; the next one describes the new server.
        if outcome == ServerOutcome::Misdirected {
            server_state.outdated_until = Some(now + OUTDATED_TIMEOUT);
        }
        server_state.health.record_since(outcome, waited_since, now);
        // A silence may hide that the server has been started again.
        let may_be_restarted = matches!(
            outcome,
            ServerOutcome::Failed | ServerOutcome::Silent | ServerOutcome::Unreachable
        );
        if may_be_restarted {
            server_state.broke_at = Some(now);
        }
        let key = server_state.entry.server.clone();
        self.used.insert(key);
    }

    /// Returns a server if `incarnation` is still its current one.
    pub(super) fn current_server_mut(
        &mut self,
        key: &str,
        incarnation: ServerIncarnation,
    ) -> Option<&mut ServerState> {
        self.servers.get_mut(key).filter(|server_state| server_state.incarnation == incarnation)
    }

    /// Records that an incarnation of a server has sent something: what came before was a pause.
    pub fn record_response(&mut self, key: &str, incarnation: ServerIncarnation, now: Instant) {
        if let Some(server_state) = self.current_server_mut(key, incarnation) {
            server_state.health.record_response(now);
        }
    }

    /// Records stray bytes on a connection to a server.
    pub fn record_malformed(&mut self, key: &str, now: Instant) {
        if let Some(server_state) = self.servers.get_mut(key) {
            server_state.health.record_malformed(now);
            self.used.insert(server_state.entry.server.clone());
        }
    }

    pub fn len(&self) -> usize {
        self.servers.len()
    }

    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    fn drop_server(&mut self, key: &str, stamp: StoreStamp, now: Instant) -> Option<FleetChange> {
        let server_state = self.servers.remove(key)?;
        self.remove_from_service(&server_state);
        let removed =
            RemovedServer { stamp, started_at: server_state.entry.started_at, removed_at: now };
        self.removed.insert(server_state.entry.server.clone(), removed);
        Some(FleetChange::Removed(server_state.entry.server))
    }

    fn remove_from_service(&mut self, server_state: &ServerState) {
        let ServerEntry { service, server, is_leaving, .. } = &server_state.entry;
        if let Some(keys) = self.services.get_mut(service) {
            keys.retain(|listed| listed != server);
        }
        if let Some(versions) = self.versions.get_mut(service) {
            versions.record_removed(server_state.software, *is_leaving);
        }
    }

    fn record_version_leaving(&mut self, key: &str) {
        let Some(server_state) = self.servers.get(key) else { return };
        if let Some(versions) = self.versions.get_mut(&server_state.entry.service) {
            versions.record_leaving(server_state.software);
        }
    }
}

/// Returns true if a row with the same start time describes the process that `known` describes.
fn is_same_process(entry: &ServerEntry, known: &ServerEntry) -> bool {
    entry.service == known.service && entry.software == known.software
}

/// Applies a newer row to a known server. A server that has announced its departure never counts as
/// available again: it exits in any case, and an older row may arrive late.
fn update(
    known: &mut ServerState,
    mut entry: ServerEntry,
    stamp: StoreStamp,
) -> Option<FleetChange> {
    if stamp <= known.stamp {
        if stamp == known.stamp {
            known.expires_at = None;
        }
        return None;
    }
    let was_leaving = known.entry.is_leaving;
    entry.is_leaving |= was_leaving;
    let is_newly_leaving = entry.is_leaving && !was_leaving;
    known.entry = entry;
    known.stamp = stamp;
    known.expires_at = None;
    known.is_unreadable = false;
    known.outdated_until = None;
    is_newly_leaving.then(|| FleetChange::Leaving(known.entry.server.clone()))
}
