//! What all requests of a gateway share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::RwLock;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use event_listener::Event;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::cluster::ConfigWatch;
use crate::cluster::EngineEstimates;
use crate::cluster::Fleet;
use crate::cluster::FleetChange;
use crate::cluster::InForce;
use crate::cluster::PeerQueues;
use crate::cluster::RetryBudget;
use crate::cluster::RetryCount;
use crate::cluster::RetryPriority;
use crate::cluster::ServerOutcome;
use crate::cluster::server_digest;
use crate::events;
use crate::in_flight_count::InFlightCount;
use crate::model::ConfigVersion;
use crate::model::GatewaySettings;
use crate::model::RequestFingerprint;
use crate::model::ServiceName;
use crate::quarantine::Quarantines;
use crate::quota::QuotaPeers;
use crate::quota::Quotas;
use crate::service_queues::ServiceQueues;
use crate::stop::GRACE_MARGIN;
use crate::stop::LAST_CALL;
use crate::stop::StopSwitch;
use crate::store::SharedReadings;
use crate::upstream::ConnectionPool;
use crate::upstream::SendTarget;

/// One process's state.
///
/// Lock order: none is ever held together with another, nor across an
/// await; each is held to copy or change a few words.
#[derive(Debug)]
pub struct GatewayState {
    pub settings: GatewaySettings,
    /// The digest of this gateway's name.
    pub digest: u64,
    pub metrics: Option<PrometheusHandle>,
    pub pool: ConnectionPool,
    pub stop: StopSwitch,
    pub flights: InFlightCount,
    pub service_queues: ServiceQueues,
    /// Notified when streams begin, end or wait, which the other gateways
    /// are told at once.
    pub work_changed: Event,
    /// Digests of gateways that have just started or are newly heard. Unless empty, the next
    /// report includes what most reports omit.
    pub newcomers: Mutex<Vec<u64>>,
    /// Notified when the configuration should be read from the store at once.
    pub config_due: Event,
    /// Notified when a server may have room again, or more has become known.
    pub room: Event,
    /// Tables of the store that gateways read for each other.
    pub readings: SharedReadings,
    /// Requests that are held back since servers crash under them.
    pub quarantines: Quarantines,
    /// What organisations may still have run.
    pub quotas: Quotas,
    pub(crate) begun: Instant,
    pub(crate) in_force: RwLock<InForce>,
    pub(crate) config_watch: Mutex<ConfigWatch>,
    /// The gateway that told last of a newer configuration, and its version.
    pub(crate) config_source: Mutex<Option<(SocketAddr, ConfigVersion)>>,
    fleet: Mutex<Fleet>,
    retries: Mutex<RetryBudget>,
    pub(crate) quota_peers: Mutex<Option<QuotaPeers>>,
    /// Gateways registered in the store, this one included; at least 1.
    members: AtomicUsize,
}

/// How long after its start a process waits for the requests held back: reading
/// them takes some 20 ms.
const FIRST_READ: Duration = Duration::from_millis(400);
/// Assumed until the members table is read: cautious for most sites.
const FIRST_MEMBERS: usize = 8;

impl GatewayState {
    /// The state of a process that knows nothing yet.
    pub fn new(settings: GatewaySettings, metrics: Option<PrometheusHandle>) -> Arc<Self> {
        let begun = Instant::now();
        let retries = RetryBudget::new(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window,
            begun,
        );
        let digest = server_digest(&settings.instance);
        Arc::new(GatewayState {
            digest,
            readings: SharedReadings::new(digest, &settings),
            settings,
            metrics,
            pool: ConnectionPool::default(),
            stop: StopSwitch::default(),
            flights: InFlightCount::default(),
            service_queues: ServiceQueues::default(),
            work_changed: Event::new(),
            newcomers: Mutex::default(),
            config_due: Event::new(),
            room: Event::new(),
            quarantines: Quarantines::new(begun),
            quotas: Quotas::new(begun),
            begun,
            in_force: RwLock::default(),
            config_watch: Mutex::default(),
            config_source: Mutex::default(),
            fleet: Mutex::new(Fleet::new(digest)),
            retries: Mutex::new(retries),
            quota_peers: Mutex::default(),
            members: AtomicUsize::new(FIRST_MEMBERS),
        })
    }

    /// Runs `change` on what is in force.
    pub fn with_in_force<T>(&self, change: impl FnOnce(&mut InForce) -> T) -> T {
        change(&mut self.in_force.write().expect("in-force lock"))
    }

    /// The servers; held briefly, never across an await.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().expect("fleet lock")
    }

    /// Counts a caller's request towards the retry allowance.
    pub fn note_request(&self, service: &ServiceName) {
        self.retries.lock().expect("retries lock").record_request(service, Instant::now());
    }

    /// Counts a send that a server of `service` rejected and that no allowance
    /// was asked for.
    pub fn note_repeat(&self, service: &ServiceName) {
        self.retries.lock().expect("retries lock").record_retry(service, Instant::now());
    }

    /// True when one repeated send to `service` may be made.
    pub fn spend_retry(&self, service: &ServiceName, use_for: RetryPriority) -> bool {
        let now = Instant::now();
        let heard = self.fleet().peers.retries(server_digest(service), now);
        let members = self.members();
        let mut retries = self.retries.lock().expect("retries lock");
        retries.consume(service, members, heard, use_for, now)
    }

    /// This gateway's counts of requests and repeats, by service.
    pub fn own_retries(&self) -> Vec<(u64, RetryCount)> {
        self.retries.lock().expect("retries lock").local_counts(Instant::now())
    }

    /// Notes how a send ended, and says so when the server is passed over.
    pub fn note_outcome(&self, target: &SendTarget, outcome: ServerOutcome) {
        let now = Instant::now();
        let server = &*target.server;
        let mut fleet = self.fleet();
        let was_aside =
            fleet.server(server).is_some_and(|server_state| server_state.health.is_ejected(now));
        fleet.record_outcome(server, target.incarnation, outcome, now);
        let Some(server_state) = fleet.server(server) else { return };
        let failure_share = server_state.health.failure_fraction(now);
        let is_ejected = server_state.health.is_ejected(now);
        drop(fleet);
        if is_ejected && !was_aside {
            metrics::counter!("umberglade_server_aside_total").increment(1);
            tracing::warn!(
                event = events::SERVER_ASIDE,
                server,
                outcome = %outcome,
                failure_share,
                "server passed over"
            );
        }
    }

    /// Logs what changed among the servers.
    pub fn log_changes(&self, changes: &[FleetChange], version: u64) {
        for change in changes {
            let (server, outcome) = match change {
                FleetChange::Joined(server) => (server, "joined"),
                FleetChange::Leaving(server) => (server, "leaving"),
                FleetChange::Removed(server) => (server, "removed"),
                FleetChange::Expired(server) => (server, "lapsed"),
                FleetChange::Restarted(server) => (server, "restarted"),
            };
            if !matches!(change, FleetChange::Joined(_) | FleetChange::Expired(_)) {
                self.pool.remove_server(server);
            }
            tracing::info!(event = events::SERVER_CHANGED, %server, version, outcome, "server changed");
        }
        if !changes.is_empty() {
            self.room.notify(usize::MAX);
        }
    }

    /// The lines for `service` at all other gateways.
    pub fn other_lines(&self, service: &ServiceName) -> PeerQueues {
        self.fleet().peers.queues(server_digest(service), Instant::now())
    }

    /// What this gateway's own streams were like, for each service with engines;
    /// for a report to the peers.
    pub fn own_learning(&self) -> Vec<(u64, EngineEstimates)> {
        let Some(table) = self.table() else { return Vec::new() };
        let services = table.services.iter().filter(|(_, spec)| spec.engine.is_some());
        services
            .map(|(service, _)| (server_digest(service), self.service_queues.estimates(service)))
            .collect()
    }

    /// What all gateways have learned of the engines of `service`.
    pub fn learned(&self, service: &ServiceName) -> EngineEstimates {
        let own = self.service_queues.estimates(service);
        let fleet = self.fleet();
        let others = fleet.peers.estimates(server_digest(service));
        EngineEstimates::pooled(others.chain([own]))
    }

    /// Gateways registered, this one included.
    pub fn members(&self) -> usize {
        self.members.load(Ordering::Relaxed).max(1)
    }

    /// Takes in how many gateways are registered.
    pub fn set_members(&self, count: usize) {
        self.members.store(count.max(1), Ordering::Relaxed);
        self.fleet().set_gateways(count.max(1));
    }

    /// True when callers should be sent here.
    pub fn is_ready(&self) -> bool {
        !self.stop.has_begun() && self.is_known()
    }

    /// True when a stop has gone on for so long that a request sent on now
    /// might be cut by the process's end.
    pub fn is_past_last_call(&self) -> bool {
        let latest = self.settings.stop_grace.saturating_sub(GRACE_MARGIN);
        self.stop.has_lasted(latest.saturating_sub(LAST_CALL))
    }

    /// Returns once a configuration, servers and the requests held back are
    /// known; the last are waited for only in the first [`FIRST_READ`], so that
    /// a table that can't be read keeps nobody waiting.
    pub async fn known(&self) {
        loop {
            let changed = self.room.listen();
            let knows_held = self.quarantines.is_read() || self.begun.elapsed() > FIRST_READ;
            if self.is_known() && knows_held {
                return;
            }
            changed.await;
        }
    }

    /// A request of `content` was answered whole by `target`.
    pub fn note_whole(&self, content: RequestFingerprint, target: &SendTarget) {
        if self.quarantines.record_completion(content, target) {
            self.room.notify(usize::MAX);
            // The others hold it back until they are told.
            self.work_changed.notify(1);
        }
    }

    /// A send of a request broke at `target`, which may have crashed under it
    /// after it had given events for `lived`.
    pub fn note_crash(
        &self,
        request_id: &str,
        content: RequestFingerprint,
        target: &SendTarget,
        lived: Duration,
    ) {
        if self.quarantines.record_crash(request_id, content, target, lived) {
            self.room.notify(usize::MAX);
        }
        self.work_changed.notify(1);
    }

    fn is_known(&self) -> bool {
        self.table().is_some() && !self.fleet().is_empty()
    }
}
