//! Sends and receives load reports.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use smol::net::UdpSocket;

use super::LoadReport;
use super::PeerGroups;
use super::PeerMessage;
use super::PeerRegistry;
use super::RemotePeerCycle;
use super::ReportTail;
use super::SendBudget;
use crate::cluster::PeerReach;
use crate::cluster::PeerUpdate;
use crate::cluster::READER_REPORT_INTERVAL;
use crate::cluster::REMOTE_REPORT_INTERVAL;
use crate::cluster::name_digest;
use crate::cluster::report_interval;
use crate::events;
use crate::model::StoreTable;
use crate::state::GatewayState;
use crate::timing::with_deadline;

/// Maximum size of a datagram that is sent: about 300 servers with load.
pub(super) const MAX_DATAGRAM: usize = 8 * 1024;
/// Interval between full reports, which add engine estimates: about 80 bytes per service, and slow
/// to change.
const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Number of first reports that show a gateway has just started, so that its peers send it at once
/// what they report rarely. More than one, because the first may be lost.
const STARTUP_REPORTS: u64 = 2;
/// Minimum time between two log lines on malformed datagrams: anything on the network may send any
/// number of them.
const MALFORMED_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Sends reports to the gateways in `registry` until the process stops: at regular intervals, and
/// at once when a stream starts, ends or is queued.
///
/// Prevents gateways from choosing the same engine's last free slot: with a view that is 200 ms
/// old, a third of the streams of 79 gateways are rejected.
pub async fn send_reports(
    state: Arc<GatewayState>,
    registry: Arc<PeerRegistry>,
    socket: UdpSocket,
) {
    let incarnation = fastrand::u64(..);
    let mut budget = SendBudget::new(Instant::now());
    let mut remote_peer_cycle = RemotePeerCycle::new(Instant::now());
    let mut full_report_due = Instant::now();
    for sequence in 1.. {
        let changed = state.report_requested.listen();
        let shards = state.fleet().peer_shards();
        let PeerGroups { local_shard, .. } = registry.groups(&state.settings.instance, shards);
        let due = Instant::now() + report_interval(local_shard.len());
        if with_deadline(due, changed).await.is_some() {
            smol::Timer::at(budget.send_at(local_shard.len(), due, Instant::now())).await;
        }
        let new_peers = std::mem::take(&mut *state.new_peers.lock().expect("new peers lock"));
        // Grouped again, since a gateway may have been added to the registry during the wait.
        let PeerGroups { local_shard, remote } = registry.groups(&state.settings.instance, shards);
        let is_full = !new_peers.is_empty() || Instant::now() >= full_report_due;
        if is_full {
            full_report_due = Instant::now() + FULL_REPORT_INTERVAL;
        }
        let report = report(&state, incarnation, sequence, is_full, &new_peers);
        let interval =
            if report.tables.is_empty() { REMOTE_REPORT_INTERVAL } else { READER_REPORT_INTERVAL };
        let recipients = remote_peer_cycle.next(&remote, interval, Instant::now());
        let report_for_remote = (!recipients.is_empty()).then(|| remote_report(&report, &state));
        let tail = report_tail(&state);
        send(&socket, report, &tail, &local_shard).await;
        if let Some(report) = report_for_remote {
            send(&socket, report, &tail, &recipients).await;
        }
    }
}

pub(super) fn report_tail(state: &GatewayState) -> ReportTail {
    ReportTail {
        config: state.config().map(|config| config.id),
        reads: state.shared_tables.notice_details(Instant::now()),
        era: state.store_eras.current(),
        era_age_ms: state.store_eras.age().map(|age| age.as_millis() as u64),
        written_eras: Vec::new(),
    }
}

async fn send(socket: &UdpSocket, report: LoadReport, tail: &ReportTail, peers: &[SocketAddr]) {
    let reach: &'static str = report.reach.into();
    let datagram = PeerMessage::Load(Box::new(report)).encode(tail);
    if datagram.len() > MAX_DATAGRAM {
        metrics::counter!("umberglade_reports_oversize_total").increment(1);
        return;
    }
    metrics::counter!("umberglade_report_bytes_total", "reach" => reach)
        .increment((datagram.len() * peers.len()) as u64);
    for address in peers {
        // The next report makes up for a lost one.
        let _ = socket.send_to(&datagram, address).await;
    }
}

/// Returns `report` for gateways of other shards, without what concerns only the local shard.
pub fn remote_report(report: &LoadReport, state: &GatewayState) -> LoadReport {
    let now = Instant::now();
    // Each call to `fleet()` needs its own statement: its temporary lock guard is held until the
    // statement ends, so a second call in the same statement would deadlock.
    let loads = state.fleet().local_loads_for_peers();
    let limits = state.fleet().limits.updates(true, now);
    let departures = state.fleet().departures.updates(true, now);
    let charges = state.quotas.recent_updates();
    let outcomes = state.quarantines.updates(true);
    LoadReport {
        reach: PeerReach::Far,
        peer: report.peer.clone(),
        loads,
        retries: report.retries.clone(),
        aside: Vec::new(),
        lines: Vec::new(),
        changing: Vec::new(),
        learned: report.learned.clone(),
        tables: report.tables.clone(),
        charges,
        outcomes,
        limits,
        departures,
        backoffs: report.backoffs.clone(),
        ..*report
    }
}

/// Returns the current report for gateways of the same shard.
fn report(
    state: &GatewayState,
    incarnation: u64,
    sequence: u64,
    is_full: bool,
    new_peers: &[u64],
) -> LoadReport {
    let now = Instant::now();
    // Each lock needs its own statement, because its guard lives until the statement ends.
    let loads = state.fleet().local_loads();
    let aside = state.fleet().local_ejections(now);
    let changing = state.fleet().local_stage_changes(now);
    let store_stable_for = state.store_stable_duration(now);
    let limits = state.fleet().limits.updates(is_full, now);
    let departures = state.fleet().departures.updates(is_full, now);
    let backoffs = state.fleet().backoff_updates(is_full, new_peers, now);
    LoadReport {
        reach: PeerReach::Near,
        peer: state.settings.instance.clone(),
        incarnation,
        sequence,
        loads,
        store_calm_ms: store_stable_for.as_millis() as u64,
        retries: state.local_retries(),
        aside,
        lines: state.service_queues.local_queues(now),
        changing,
        learned: is_full.then(|| state.local_estimates()),
        config: state.config_version(),
        tables: state.shared_tables.notices(now),
        charges: state.quotas.updates(is_full),
        age_ms: state.age().as_millis() as u64,
        outcomes: state.quarantines.updates(is_full),
        limits,
        departures,
        backoffs,
    }
}

/// Applies the reports of other gateways until the process stops.
pub async fn receive_reports(
    state: Arc<GatewayState>,
    registry: Arc<PeerRegistry>,
    socket: UdpSocket,
) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    let mut malformed = MalformedLog::default();
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, peer)) => {
                match PeerMessage::decode(&buffer[..length], state.store_eras.current()) {
                    Ok((PeerMessage::Rows(rows), _)) => state.shared_tables.apply_peer_rows(rows),
                    Ok((PeerMessage::Load(report), tail)) => {
                        add_peer(&state, &registry, &report.peer, peer);
                        apply_report(&state, *report, tail, peer);
                    }
                    Err(error) => malformed.record(peer, length, &error),
                }
            }
            Err(error) => {
                tracing::debug!(%error, "receiving a load report failed");
                smol::Timer::after(report_interval(0)).await;
            }
        }
    }
}

/// Logs malformed datagrams, at most once per [`MALFORMED_LOG_INTERVAL`].
#[derive(Debug, Default)]
struct MalformedLog {
    /// Number of datagrams ignored since the last log line.
    ignored: u64,
    logged_at: Option<Instant>,
}

impl MalformedLog {
    fn record(&mut self, peer: SocketAddr, bytes: usize, error: &postcard::Error) {
        metrics::counter!("umberglade_reports_bad_total").increment(1);
        self.ignored += 1;
        if self.logged_at.is_some_and(|at| at.elapsed() < MALFORMED_LOG_INTERVAL) {
            return;
        }
        let ignored = self.ignored;
        tracing::warn!(
            event = events::REPORT_UNREADABLE,
            %peer,
            bytes,
            ignored,
            %error,
            "malformed peer datagrams ignored"
        );
        self.ignored = 0;
        self.logged_at = Some(Instant::now());
    }
}

/// Adds a gateway that is not in the registry yet, so that it gets reports from now on: the table
/// of gateways is read rarely.
fn add_peer(state: &GatewayState, registry: &PeerRegistry, peer: &str, address: SocketAddr) {
    if peer != state.settings.instance && registry.insert(peer, address) {
        state.set_members(registry.len());
    }
}

fn apply_report(state: &GatewayState, report: LoadReport, tail: ReportTail, address: SocketAddr) {
    let is_known = state.fleet().peers.has_report(&report.peer, report.incarnation);
    if report.sequence <= STARTUP_REPORTS || !is_known {
        let digest = name_digest(&report.peer);
        state.new_peers.lock().expect("new peers lock").push(digest);
        state.report_requested.notify(1);
    }
    let is_same_era = tail.era == state.store_eras.current();
    if let Some(age_ms) = tail.era_age_ms {
        state.store_eras.observe_peer_age(tail.era, Duration::from_millis(age_ms));
    }
    // What a peer read in another era says nothing of the present one.
    let store_calm_ms = if is_same_era { report.store_calm_ms } else { 0 };
    let update = PeerUpdate {
        reach: report.reach,
        loads: report.loads,
        retries: report.retries,
        ejected: report.aside.into(),
        queues: report.lines.into(),
        store_stable_for: Duration::from_millis(store_calm_ms),
        stage_changes: report.changing.into(),
        config: report.config,
    };
    let now = Instant::now();
    if !report.charges.is_empty() {
        let digest = name_digest(&report.peer);
        let view = state.quota_view();
        let age = Duration::from_millis(report.age_ms);
        state.quotas.apply_peer_charges(digest, report.incarnation, age, &report.charges, &view);
    }
    state.fleet().peers.record(&report.peer, report.incarnation, report.sequence, update, now);
    if let Some(estimates) = report.learned {
        state.fleet().peers.record_estimates(&report.peer, estimates, now);
    }
    state.apply_peer_config(&report.peer, address, report.config, tail.config);
    for notice in report.tables {
        if notice.table == StoreTable::Configuration && report.config == state.config_version() {
            let age = Duration::from_millis(notice.age_ms);
            state.record_config_fresh(now.checked_sub(age).unwrap_or(now));
        }
        let detail = tail.reads.iter().find(|detail| detail.table == notice.table).copied();
        state.shared_tables.apply_peer_notice(&report.peer, notice, detail, now);
    }
    for update in report.limits {
        state.apply_peer_limit(update);
    }
    for update in report.backoffs {
        state.apply_peer_backoff(update);
    }
    for server in report.departures {
        state.apply_peer_departure(server);
    }
    for update in report.outcomes {
        state.quarantines.apply_peer_outcome(update);
    }
    state.capacity_changed.notify(usize::MAX);
}
