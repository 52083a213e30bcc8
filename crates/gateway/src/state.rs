//! State shared by all requests of a gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use event_listener::Event;
use metrics_exporter_prometheus::PrometheusHandle;
use umberglade_wire::memory::MemoryBudget;

use crate::cluster::BrokenRun;
use crate::cluster::ConfigSources;
use crate::cluster::ConfigWatch;
use crate::cluster::EngineEstimates;
use crate::cluster::Fleet;
use crate::cluster::FleetChange;
use crate::cluster::InForce;
use crate::cluster::LimitHistory;
use crate::cluster::PeerQueues;
use crate::cluster::ProcessId;
use crate::cluster::RetryBudget;
use crate::cluster::ServerOutcome;
use crate::cluster::TunnelOffer;
use crate::cluster::name_digest;
use crate::events;
use crate::in_flight_count::InFlightCount;
use crate::link_use::LinkUse;
use crate::model::CrashSuspects;
use crate::model::GatewaySettings;
use crate::model::RequestFingerprint;
use crate::model::ServerStage;
use crate::model::ServiceName;
use crate::model::StoreStamp;
use crate::origins::OriginState;
use crate::paths::LifeChecks;
use crate::peers::UsageSource;
use crate::quarantine::Quarantines;
use crate::quota::QuotaPeers;
use crate::quota::Quotas;
use crate::service_queues::ServiceQueues;
use crate::state_lock::StateLock;
use crate::state_lock::StateRwLock;
use crate::stop::StopSignal;
use crate::store::SharedTables;
use crate::store::StoreEras;
use crate::tunnel::TunnelSlots;
use crate::upstream::ConnectionPool;
use crate::upstream::SendTarget;

/// The state of one gateway process.
///
/// Lock order: no lock is held together with another or across an await; each is held only to copy
/// or change a few words.
#[derive(Debug)]
pub struct GatewayState {
    pub settings: GatewaySettings,
    /// Digest of this gateway's name.
    pub digest: u64,
    /// Identifies this start of the process.
    pub process: ProcessId,
    pub metrics: Option<PrometheusHandle>,
    /// What callers take of this process.
    pub caller_memory: Arc<MemoryBudget>,
    pub pool: ConnectionPool,
    pub stop: StopSignal,
    pub in_flight: InFlightCount,
    pub link_use: LinkUse,
    pub service_queues: ServiceQueues,
    /// Notified when the peers are to receive a report immediately, as when streams start, end or
    /// queue.
    pub report_requested: Event,
    /// Digests of peers that have just started or from which reports have just started to arrive.
    /// Unless empty, the next report includes what most reports omit.
    pub new_peers: StateLock<Vec<u64>>,
    /// Gateways of other groups to which a report is sent with the next one, since they have just
    /// become known, or this gateway to them.
    pub greeted_peers: StateLock<Vec<SocketAddr>>,
    /// A gateway that knows others than this one does.
    pub member_source: StateLock<Option<SocketAddr>>,
    /// Notified when [`member_source`](Self::member_source) is set.
    pub member_source_found: Event,
    /// A peer from which to take over what was used of shared limits.
    pub usage_source: StateLock<Option<UsageSource>>,
    /// Notified when [`usage_source`](Self::usage_source) is set.
    pub usage_source_found: Event,
    /// Notified when the configuration should be read from the store immediately.
    pub config_read_requested: Event,
    /// Notified when a peer reports a newer configuration that it can transfer.
    pub config_offered: Event,
    /// Notified when this gateway's row is written to the table of gateways.
    pub registered: Event,
    /// Notified when requests that wait should check again: a server may have capacity, or the
    /// configuration, the fleet, the quarantined requests or the peers' reports have changed.
    pub capacity_changed: Event,
    /// Notified when a check of a path to a server has ended.
    pub path_checked: Event,
    /// Questions to servers whether their processes live on.
    pub life_checks: StateLock<LifeChecks>,
    /// Notified when one of these questions has ended.
    pub life_checked: Event,
    /// Notified when a path to a server is found to be broken.
    pub path_broken: Event,
    /// Which software versions began streams.
    pub origins: OriginState,
    /// Tunnels that this gateway serves for others.
    pub tunnel_slots: TunnelSlots,
    /// The store's era.
    pub store_eras: Arc<StoreEras>,
    /// Store tables that gateways read for each other.
    pub shared_tables: SharedTables,
    /// Requests that are quarantined because servers crash while executing them.
    pub quarantines: Quarantines,
    /// Remaining quotas of organisations.
    pub quotas: Quotas,
    pub(crate) started_at: Instant,
    /// The number of the last report to peers, who drop reports with lower numbers.
    pub(crate) report_sequence: AtomicU64,
    pub(crate) in_force: StateRwLock<InForce>,
    /// The limits of callers that were in force recently.
    pub(crate) limit_history: StateRwLock<LimitHistory>,
    pub(crate) config_watch: StateLock<ConfigWatch>,
    /// The peers that hold configurations.
    pub(crate) config_sources: StateLock<ConfigSources>,
    fleet: StateLock<Fleet>,
    pub(crate) retries: StateLock<RetryBudget>,
    pub(crate) quota_peers: StateLock<Option<QuotaPeers>>,
    /// Number of gateways registered in the store, including this one; at least 1.
    members: AtomicUsize,
    /// When this process first knew which other gateways there are.
    joined_at: OnceLock<Instant>,
}

/// Maximum time after its start that a process waits for the quarantined requests; reading them
/// takes about 20 ms.
const QUARANTINE_READ_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of servers that change at once and are logged individually; each line holds the
/// total.
const MAX_CHANGES_LOGGED: usize = 16;
/// Upper bound of the number of failure domains, each of which is sent changed rows once.
const MAX_ROW_RECIPIENTS: usize = 8;
/// Gateways that know this one have named all others within this time.
const JOINING_TIME: Duration = Duration::from_millis(600);
/// Number of gateways assumed until the members table is read. The more gateways, the smaller each
/// one's share of the retry budget: this number is cautious for most sites.
const INITIAL_MEMBERS: usize = 8;

impl GatewayState {
    /// Returns the state of a process that has no configuration and no servers yet.
    pub fn new(settings: GatewaySettings, metrics: Option<PrometheusHandle>) -> Arc<Self> {
        let started_at = Instant::now();
        let retries = RetryBudget::new(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window,
            started_at,
        );
        let digest = name_digest(&settings.instance);
        let limit_history = LimitHistory::new(settings.config_bound);
        Arc::new(GatewayState {
            digest,
            process: fastrand::u64(..),
            store_eras: Arc::default(),
            shared_tables: SharedTables::new(digest, &settings),
            caller_memory: MemoryBudget::new(settings.limits),
            tunnel_slots: TunnelSlots::new(settings.limits),
            stop: StopSignal::new(settings.stop_grace),
            settings,
            metrics,
            pool: ConnectionPool::default(),
            in_flight: InFlightCount::default(),
            link_use: LinkUse::default(),
            service_queues: ServiceQueues::default(),
            report_requested: Event::new(),
            new_peers: StateLock::default(),
            greeted_peers: StateLock::default(),
            member_source: StateLock::default(),
            member_source_found: Event::new(),
            usage_source: StateLock::default(),
            usage_source_found: Event::new(),
            config_read_requested: Event::new(),
            config_offered: Event::new(),
            registered: Event::new(),
            capacity_changed: Event::new(),
            path_checked: Event::new(),
            life_checks: StateLock::default(),
            life_checked: Event::new(),
            path_broken: Event::new(),
            origins: OriginState::default(),
            quarantines: Quarantines::new(started_at),
            quotas: Quotas::new(started_at),
            started_at,
            report_sequence: AtomicU64::new(0),
            in_force: StateRwLock::default(),
            limit_history: StateRwLock::new(limit_history),
            config_watch: StateLock::default(),
            config_sources: StateLock::default(),
            fleet: StateLock::new(Fleet::new(digest)),
            retries: StateLock::new(retries),
            quota_peers: StateLock::default(),
            members: AtomicUsize::new(INITIAL_MEMBERS),
            joined_at: OnceLock::new(),
        })
    }

    /// Runs `change` on the configuration in force.
    pub fn with_config<T>(&self, change: impl FnOnce(&mut InForce) -> T) -> T {
        change(&mut self.in_force.write())
    }

    /// Locks the fleet. The lock is held briefly, never across an await.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock()
    }

    /// Records the outcome of an attempt, and logs if the server is ejected as a result.
    pub fn record_outcome(&self, target: &SendTarget, outcome: ServerOutcome) {
        self.record_outcome_since(target, outcome, Instant::now());
    }

    /// Like [`Self::record_outcome`], for an attempt that has waited since `waited_since`.
    pub fn record_outcome_since(
        &self,
        target: &SendTarget,
        outcome: ServerOutcome,
        waited_since: Instant,
    ) {
        let now = Instant::now();
        let server = &*target.server;
        let mut fleet = self.fleet();
        let was_ejected =
            fleet.server(server).is_some_and(|server_state| server_state.health.is_ejected(now));
        fleet.record_outcome_since(server, target.incarnation, outcome, waited_since, now);
        let Some(server_state) = fleet.server(server) else { return };
        let is_engine = server_state.entry.stage != ServerStage::Plain;
        if is_engine && !fleet.is_version_certain(server_state, now) {
            self.origins.doubt_server(target);
        }
        let failure_share = server_state.health.failure_fraction(now);
        let is_ejected = server_state.health.is_ejected(now);
        if is_ejected && !was_ejected {
            let peers = fleet.peers.server(target.incarnation, now);
            drop(fleet);
            metrics::counter!("umberglade_server_aside_total").increment(1);
            tracing::warn!(
                event = events::SERVER_EJECTED,
                server,
                outcome = %outcome,
                failure_share,
                ejected_elsewhere = peers.ejections,
                running_elsewhere = peers.load.running,
                "server ejected"
            );
        }
    }

    /// Logs changes among the servers, and drops the pooled connections of those that are draining,
    /// removed or restarted.
    pub fn log_changes(&self, changes: &[FleetChange], stamp: StoreStamp) {
        for change in changes {
            if !matches!(change, FleetChange::Joined(_) | FleetChange::Expired(_)) {
                self.pool.remove_server(change.server());
            }
        }
        for change in changes.iter().take(MAX_CHANGES_LOGGED) {
            let (server, outcome) = match change {
                FleetChange::Joined(server) => (server, "joined"),
                FleetChange::Leaving(server) => (server, "leaving"),
                FleetChange::Removed(server) => (server, "removed"),
                FleetChange::Expired(server) => (server, "lapsed"),
                FleetChange::Restarted(server) => (server, "restarted"),
            };
            let (version, era) = (stamp.version(), stamp.written_era());
            let software =
                self.fleet().server(server).map(|known| Arc::clone(&known.entry.software));
            tracing::info!(
                event = events::SERVER_CHANGED,
                %server,
                version,
                era,
                software = software.as_deref(),
                outcome,
                changes = changes.len(),
                "server changed"
            );
        }
        let replaced = self.fleet().take_replaced_versions();
        for incarnation in replaced {
            self.origins.known().doubt(incarnation, Instant::now());
        }
        if !self.fleet().due_announcements().is_empty() {
            self.origins.announcement_due.notify(1);
        }
        if !changes.is_empty() {
            self.capacity_changed.notify(usize::MAX);
        }
    }

    /// Returns the admission queues for `service` at all peers.
    pub fn peer_queues(&self, service: &ServiceName) -> PeerQueues {
        self.fleet().peers.queues(name_digest(service), Instant::now())
    }

    /// Returns the estimates from this gateway's streams, for each service with engines, for a
    /// report to the peers.
    pub fn local_estimates(&self) -> Vec<(u64, EngineEstimates)> {
        let Some(table) = self.route_table() else { return Vec::new() };
        let services = table.services.iter().filter(|(_, spec)| spec.engine.is_some());
        services
            .map(|(service, _)| (name_digest(service), self.service_queues.estimates(service)))
            .collect()
    }

    /// Returns the estimates for the engines of `service`, pooled from all gateways.
    pub fn estimates(&self, service: &ServiceName) -> EngineEstimates {
        let local = self.service_queues.estimates(service);
        let fleet = self.fleet();
        let peers = fleet.peers.estimates(name_digest(service));
        EngineEstimates::pooled(peers.chain([local]))
    }

    /// Returns how long the server table has been read without an outage, and from the same store:
    /// not from before it came back from a copy.
    pub fn store_stable_duration(&self, now: Instant) -> Duration {
        let era_age = self.store_eras.age().unwrap_or(Duration::MAX);
        self.fleet().store_stable_duration(now).min(era_age)
    }

    /// Returns the number of registered gateways, including this one.
    pub fn members(&self) -> usize {
        self.members.load(Ordering::Relaxed).max(1)
    }

    /// Returns an upper bound of the number of gateways to which this one sends changed rows itself.
    pub fn row_recipients(&self) -> usize {
        let is_sharded = self.fleet().peer_shards() > 1;
        if is_sharded { self.members().min(MAX_ROW_RECIPIENTS) } else { self.members() }
    }

    /// Sends a report to the gateway of another group at `address` with the next one.
    pub fn greet(&self, address: SocketAddr) {
        self.greeted_peers.lock().push(address);
        self.report_requested.notify(1);
    }

    /// Sets the number of registered gateways.
    pub fn set_members(&self, count: usize) {
        self.joined_at.get_or_init(Instant::now);
        self.members.store(count.max(1), Ordering::Relaxed);
        self.fleet().set_gateways(count.max(1));
    }

    /// Returns true while this process may not know yet whom of the other gateways to ask.
    pub fn is_joining(&self, now: Instant) -> bool {
        let age = |at: &Instant| now.saturating_duration_since(*at);
        self.joined_at.get().map(age).is_none_or(|age| age < JOINING_TIME)
    }

    /// Returns true if the balancer should send callers to this gateway.
    pub fn is_ready(&self) -> bool {
        !self.stop.is_stopping() && self.is_initialized()
    }

    /// Returns true if other gateways may send requests through this one.
    pub fn accepts_tunnels(&self) -> bool {
        !self.stop.is_stopping()
    }

    /// Returns this gateway's offer of tunnels to others.
    pub fn tunnel_offer(&self) -> TunnelOffer {
        self.fleet().tunnel_offer(self.accepts_tunnels(), self.tunnel_slots.used())
    }

    /// Waits until a configuration, servers and the quarantined requests are known. The wait for
    /// the last ends [`QUARANTINE_READ_TIMEOUT`] after the start, so that an unreadable table does
    /// not delay callers.
    pub async fn wait_until_initialized(&self) {
        loop {
            let changed = self.capacity_changed.listen();
            let has_quarantines = self.quarantines.has_read_rows()
                || self.started_at.elapsed() > QUARANTINE_READ_TIMEOUT;
            if self.is_initialized() && has_quarantines {
                return;
            }
            changed.await;
        }
    }

    /// Records that `target` completed a request with `suspects`.
    pub fn record_completion(&self, suspects: &CrashSuspects, target: &SendTarget) {
        if self.quarantines.record_completion(suspects, target) {
            self.tell_cleared_quarantine();
        }
    }

    /// Records that `target` answers a prompt with `parts`, and went on with the answer.
    pub fn record_answered_parts(&self, parts: &[RequestFingerprint], target: &SendTarget) {
        if self.quarantines.record_answered_parts(parts, target) {
            self.tell_cleared_quarantine();
        }
    }

    /// Records that `target` responds to a request that was sent at `sent_at`.
    pub fn record_response(&self, target: &SendTarget, sent_at: Instant) {
        self.fleet().record_response(&target.server, target.incarnation, Instant::now());
        if self.quarantines.record_response(target, sent_at) {
            self.tell_cleared_quarantine();
        }
    }

    /// Lets requests that wait check again. Peers quarantine them until they receive the report.
    fn tell_cleared_quarantine(&self) {
        self.capacity_changed.notify(usize::MAX);
        self.report_requested.notify(1);
    }

    /// Records that an attempt broke off at `target`, which may have crashed while executing it.
    pub fn record_crash(
        &self,
        request_id: &str,
        suspects: &CrashSuspects,
        target: &SendTarget,
        run: BrokenRun,
    ) {
        if self.quarantines.record_crash(request_id, suspects, target, run) {
            self.capacity_changed.notify(usize::MAX);
        }
        self.report_requested.notify(1);
    }

    fn is_initialized(&self) -> bool {
        self.route_table().is_some() && !self.fleet().is_empty()
    }
}
