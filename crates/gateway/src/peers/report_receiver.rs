//! Receives the datagrams of other gateways and applies what they tell.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use smol::net::UdpSocket;

use super::Datagram;
use super::LoadReport;
use super::PeerMessage;
use super::PeerRegistry;
use super::RelayPart;
use super::ReportTail;
use super::UsagePart;
use super::UsageSource;
use super::report_sender::MAX_DATAGRAM;
use super::row_sender::pass_rows_on;
use crate::cluster::PeerReach;
use crate::cluster::PeerUpdate;
use crate::cluster::RelayedNotice;
use crate::cluster::RetryUsage;
use crate::cluster::TunnelOffer;
use crate::cluster::name_digest;
use crate::cluster::report_interval;
use crate::events;
use crate::model::StoreTable;
use crate::state::GatewayState;

/// Number of first reports that show a gateway has just started, so that its peers send it at once
/// what they report rarely. More than one, because the first may be lost.
const STARTUP_REPORTS: u64 = 2;
/// Minimum time between two log lines on malformed datagrams: anything on the network may send any
/// number of them.
const MALFORMED_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Time for which the known gateways must not have changed before their list is compared with a
/// peer's: one that joins is known everywhere by then.
const MEMBERS_SETTLING_TIME: Duration = Duration::from_secs(2);

/// Applies the datagrams of other gateways until the process stops.
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
                let bytes = &buffer[..length];
                match Datagram::decode(bytes, state.store_eras.current()) {
                    Ok(datagram) => apply(&state, &registry, &socket, datagram, peer).await,
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

async fn apply(
    state: &GatewayState,
    registry: &PeerRegistry,
    socket: &UdpSocket,
    datagram: Datagram,
    address: SocketAddr,
) {
    let Datagram { message, tail, relay, tunnel, usage } = datagram;
    match message {
        PeerMessage::Rows(rows) => {
            if let Some(first) = relay.and_then(|relay| relay.rows_from) {
                pass_rows_on(state, registry, socket, &rows, &tail, first).await;
            }
            state.shared_tables.apply_peer_rows(rows);
        }
        PeerMessage::Origins(origins) => {
            origins.into_iter().for_each(|origin| state.origins.record_told(origin));
        }
        PeerMessage::Load(report) => {
            let is_new = add_peer(state, registry, &report.peer, address);
            if is_new && report.reach == PeerReach::Far {
                state.greet(address);
            }
            if let Some(relay) = &relay {
                apply_relay(state, registry, &report, relay, address);
            }
            let tunnel = tunnel.map(|offer| (address, offer));
            if report.reach == PeerReach::Near {
                apply_retries(state, &report, usage, address);
            }
            apply_report(state, *report, tail, relay.as_ref(), address, tunnel);
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
/// of gateways is read rarely. Returns true if it was not known.
fn add_peer(
    state: &GatewayState,
    registry: &PeerRegistry,
    peer: &str,
    address: SocketAddr,
) -> bool {
    let is_new = peer != state.settings.instance && registry.insert(peer, address);
    if is_new {
        state.set_members(registry.len());
    }
    is_new
}

/// Applies what the sender of `report` passes on for others.
fn apply_relay(
    state: &GatewayState,
    registry: &PeerRegistry,
    report: &LoadReport,
    relay: &RelayPart,
    address: SocketAddr,
) {
    let now = Instant::now();
    if !relay.joined.is_empty() && registry.merge(relay.joined.clone()) > 0 {
        state.set_members(registry.len());
    }
    let is_same_domain = registry.domain(&report.peer).as_ref() == Some(&state.settings.domain);
    let digest = name_digest(&report.peer);
    state.shared_tables.apply_peer_offer(digest, address, &relay.tables, is_same_domain, now);
    for notice in &relay.notices {
        let held_at = state.shared_tables.apply_relayed_notice(*notice, report.reach, now);
        if held_at.is_none() {
            apply_reader_offer(state, registry, notice, now);
        }
        match (held_at, notice.table) {
            (Some(at), StoreTable::Configuration) => state.record_config_fresh(at),
            (Some(at), StoreTable::Servers) => state.fleet().record_read_elsewhere(at),
            _ => {}
        }
    }
    let (own, theirs) = (registry.summary(), relay.members);
    let knows_many_more = theirs.count > own.count + own.count / 4;
    let is_settled = registry.is_settled(MEMBERS_SETTLING_TIME, now);
    if own != theirs && (knows_many_more || is_settled) {
        *state.member_source.lock() = Some(address);
        state.member_source_found.notify(1);
    }
}

/// Records that a reader, of which others have told, has what it read.
fn apply_reader_offer(
    state: &GatewayState,
    registry: &PeerRegistry,
    notice: &RelayedNotice,
    now: Instant,
) {
    let RelayedNotice { table, reader, through, .. } = *notice;
    if reader == state.digest || !state.shared_tables.lacks(table, through) {
        return;
    }
    if let Some((address, domain)) = registry.find(reader) {
        let is_same_domain = domain.as_ref() == Some(&state.settings.domain);
        state.shared_tables.apply_reader_offer(
            table,
            reader,
            address,
            through,
            is_same_domain,
            now,
        );
    }
}

/// Applies the requests and retries that `report`, of a gateway of the same shard, counts.
fn apply_retries(
    state: &GatewayState,
    report: &LoadReport,
    usage: Option<UsagePart>,
    address: SocketAddr,
) {
    let now = Instant::now();
    let was_isolated = state.fleet().peers.fresh_near_count(now) == 0;
    let age = Duration::from_millis(report.age_ms);
    state.offer_usage_source(UsageSource { address, age }, was_isolated);
    let mut budget = state.retries.lock();
    match usage {
        Some(usage) if usage.retry_totals.len() == report.retries.len() => {
            let counts = report.retries.iter().zip(&usage.retry_totals);
            let used: Vec<(u64, RetryUsage)> = counts
                .map(|((service, recent), total)| {
                    (*service, RetryUsage { total: *total, recent: *recent })
                })
                .collect();
            budget.apply_report(report.incarnation, &used, now);
        }
        _ => budget.apply_window_counts(report.incarnation, &report.retries, now),
    }
}

fn apply_report(
    state: &GatewayState,
    report: LoadReport,
    tail: ReportTail,
    relay: Option<&RelayPart>,
    address: SocketAddr,
    tunnel: Option<(SocketAddr, TunnelOffer)>,
) {
    let is_near = report.reach == PeerReach::Near;
    let is_known = state.fleet().peers.has_report(&report.peer, report.incarnation);
    if report.sequence <= STARTUP_REPORTS || (is_near && !is_known) {
        let digest = name_digest(&report.peer);
        state.new_peers.lock().push(digest);
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
        ejected: report.aside.into(),
        queues: report.lines.into(),
        store_stable_for: Duration::from_millis(store_calm_ms),
        stage_changes: report.changing.into(),
        config: report.config,
        is_quiet: relay.is_some_and(|relay| relay.is_quiet),
        tunnel,
    };
    let now = Instant::now();
    if state.has_organisations() {
        let view = state.quota_view();
        let age = Duration::from_millis(report.age_ms);
        state.quotas.apply_peer_charges(report.incarnation, age, &report.charges, &view);
    }
    // A quiet peer's reports change nothing for requests that wait.
    let is_relevant = !update.is_quiet || report.config > state.config_version();
    state.fleet().peers.record(&report.peer, report.incarnation, report.sequence, update, now);
    if let Some(estimates) = report.learned {
        state.fleet().peers.record_estimates(&report.peer, estimates, now);
    }
    state.apply_peer_config(&report.peer, address, report.config, tail.config);
    // What the peer passes on includes its own notices.
    let own_notices = if relay.is_some() { Vec::new() } else { report.tables };
    for notice in own_notices {
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
    if is_relevant {
        state.capacity_changed.notify(usize::MAX);
    }
}
