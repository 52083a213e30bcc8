//! Collects what a report tells.

use std::time::Instant;

use super::LoadReport;
use super::PeerRegistry;
use super::RelayPart;
use super::ReportTail;
use super::UsagePart;
use crate::cluster::PeerReach;
use crate::cluster::RelayedNotice;
use crate::state::GatewayState;

/// A report for gateways of the same shard, and the part of it that follows in the datagram.
#[derive(Debug)]
pub(super) struct NearReport {
    pub report: LoadReport,
    pub usage: UsagePart,
}

/// Returns the report with the number `sequence` for gateways of the same shard. `is_full` adds what most reports omit.
pub(super) fn near_report(
    state: &GatewayState,
    sequence: u64,
    is_full: bool,
    new_peers: &[u64],
) -> NearReport {
    let now = Instant::now();
    // Each lock needs its own statement, because its guard lives until the statement ends.
    let loads = state.fleet().local_loads();
    let aside = state.fleet().local_ejections(now);
    let changing = state.fleet().local_stage_changes(now);
    let store_stable_for = state.store_stable_duration(now);
    let limits = state.fleet().limits.updates(is_full, now);
    let departures = state.fleet().departures.updates(is_full, now);
    let backoffs = state.fleet().backoff_updates(is_full, new_peers, now);
    let retries = state.local_retries();
    let usage = UsagePart { retry_totals: retries.iter().map(|(_, usage)| usage.total).collect() };
    let report = LoadReport {
        reach: PeerReach::Near,
        peer: state.settings.instance.clone(),
        incarnation: state.process,
        sequence,
        loads,
        store_calm_ms: store_stable_for.as_millis() as u64,
        retries: retries.into_iter().map(|(service, usage)| (service, usage.recent)).collect(),
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
    };
    NearReport { report, usage }
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

pub(super) fn report_tail(state: &GatewayState) -> ReportTail {
    ReportTail {
        config: state.config().map(|config| config.id),
        reads: state.shared_tables.notice_details(Instant::now()),
        era: state.store_eras.current(),
        era_age_ms: state.store_eras.age().map(|age| age.as_millis() as u64),
        written_eras: Vec::new(),
    }
}

/// Returns what a report passes on, with `notices` and up to `max_joined` gateways that have joined.
pub(super) fn relay_part(
    state: &GatewayState,
    registry: &PeerRegistry,
    notices: Vec<RelayedNotice>,
    max_joined: usize,
) -> RelayPart {
    RelayPart {
        notices,
        members: registry.summary(),
        joined: registry.joined(max_joined, Instant::now()),
        is_quiet: false,
        tables: state.shared_tables.offered(),
        rows_from: None,
    }
}

/// Returns true if `report` tells of no work and of nothing else that peers act on at once.
pub(super) fn is_quiet(report: &LoadReport) -> bool {
    report.loads.is_empty()
        && report.lines.is_empty()
        && report.aside.is_empty()
        && report.changing.is_empty()
        && report.charges.is_empty()
        && report.outcomes.is_empty()
        && report.limits.is_empty()
        && report.departures.is_empty()
        && report.backoffs.is_empty()
}
