//! Sends and hears load reports.

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
use super::SendBudget;
use crate::cluster::FAR_PACE;
use crate::cluster::PeerReach;
use crate::cluster::PeerUpdate;
use crate::cluster::READER_PACE;
use crate::cluster::report_interval;
use crate::cluster::server_digest;
use crate::events;
use crate::model::StoreTable;
use crate::state::GatewayState;
use crate::timing::by_deadline;

/// The largest datagram sent: some 300 servers with work.
pub(super) const MAX_DATAGRAM: usize = 8 * 1024;
/// How often what was learned of engines is told: some 80 bytes a service, and
/// slow to change.
const TELL_LEARNED_EVERY: Duration = Duration::from_secs(2);
/// A gateway's first reports, by which others also see that it has just begun and tell
/// it at once what they tell rarely; the first may be lost.
const FIRST_REPORTS: u64 = 2;
/// Between two log lines on datagrams that are no reports: anything on the
/// network may send any number of them.
const UNREADABLE_PAUSE: Duration = Duration::from_secs(10);

/// Reports our work to the gateways in `book`, for good: regularly, and at
/// once when a stream begins, ends or waits.
///
/// Guards against gateways that choose the same engine's last place: with a
/// view 200 ms old, 79 of them had a third of their streams refused.
pub async fn send_reports(state: Arc<GatewayState>, book: Arc<PeerRegistry>, socket: UdpSocket) {
    let incarnation = fastrand::u64(..);
    let mut budget = SendBudget::new(Instant::now());
    let mut remote_peer_cycle = RemotePeerCycle::new(Instant::now());
    let mut learning_due = Instant::now();
    for sequence in 1.. {
        let changed = state.work_changed.listen();
        let shards = state.fleet().peer_shards();
        let PeerGroups { near, .. } = book.groups(&state.settings.instance, shards);
        let due = Instant::now() + report_interval(near.len());
        if by_deadline(due, changed).await.is_some() {
            smol::Timer::at(budget.send_at(near.len(), due, Instant::now())).await;
        }
        let newcomers = std::mem::take(&mut *state.newcomers.lock().expect("newcomers lock"));
        // Chosen again, since a gateway may have been added to the book during the wait.
        let PeerGroups { near, far } = book.groups(&state.settings.instance, shards);
        let tells_learned = !newcomers.is_empty() || Instant::now() >= learning_due;
        if tells_learned {
            learning_due = Instant::now() + TELL_LEARNED_EVERY;
        }
        let report = report(&state, incarnation, sequence, tells_learned, &newcomers);
        let pace = if report.tables.is_empty() { FAR_PACE } else { READER_PACE };
        let told = remote_peer_cycle.next(&far, pace, Instant::now());
        let far_report = (!told.is_empty()).then(|| only_for_all(&report, &state));
        send(&socket, report, &near).await;
        if let Some(report) = far_report {
            send(&socket, report, &told).await;
        }
    }
}

async fn send(socket: &UdpSocket, report: LoadReport, peers: &[SocketAddr]) {
    let reach: &'static str = report.reach.into();
    let datagram = postcard::to_allocvec(&PeerMessage::Load(Box::new(report)))
        .expect("encoding plain numbers and text");
    if datagram.len() > MAX_DATAGRAM {
        metrics::counter!("umberglade_reports_oversize_total").increment(1);
        return;
    }
    metrics::counter!("umberglade_report_bytes_total", "reach" => reach)
        .increment((datagram.len() * peers.len()) as u64);
    for address in peers {
        // A lost report is made good by the next one.
        let _ = socket.send_to(&datagram, address).await;
    }
}

/// `report` for gateways of other shards: without what only concerns its own.
pub fn only_for_all(report: &LoadReport, state: &GatewayState) -> LoadReport {
    let now = Instant::now();
    // Each call to `fleet()` needs its own statement: its temporary lock guard is held until the
    // statement ends, so a second call in the same statement would deadlock.
    let loads = state.fleet().local_loads_for_peers();
    let limits = state.fleet().limits.news(true, now);
    let departures = state.fleet().departures.updates(true, now);
    let charges = state.quotas.recent_news();
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

/// The report of this moment for gateways of the same shard.
fn report(
    state: &GatewayState,
    incarnation: u64,
    sequence: u64,
    tells_learned: bool,
    newcomers: &[u64],
) -> LoadReport {
    let now = Instant::now();
    // One statement a lock: a guard lives to the end of its statement.
    let loads = state.fleet().local_loads();
    let aside = state.fleet().local_ejections(now);
    let changing = state.fleet().local_stage_changes(now);
    let store_calm = state.fleet().store_stable_duration(now);
    let limits = state.fleet().limits.news(tells_learned, now);
    let departures = state.fleet().departures.updates(tells_learned, now);
    let backoffs = state.fleet().backoff_updates(tells_learned, newcomers, now);
    LoadReport {
        reach: PeerReach::Near,
        peer: state.settings.instance.clone(),
        incarnation,
        sequence,
        loads,
        store_calm_ms: store_calm.as_millis() as u64,
        retries: state.own_retries(),
        aside,
        lines: state.service_queues.local_queues(now),
        changing,
        learned: tells_learned.then(|| state.own_learning()),
        config: state.config_version(),
        tables: state.readings.notices(now),
        charges: state.quotas.news(tells_learned),
        age_ms: state.age().as_millis() as u64,
        outcomes: state.quarantines.updates(tells_learned),
        limits,
        departures,
        backoffs,
    }
}

/// Takes in the other gateways' reports, for good.
pub async fn hear_reports(state: Arc<GatewayState>, book: Arc<PeerRegistry>, socket: UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    let mut unreadable = UnreadableLog::default();
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, peer)) => match postcard::from_bytes(&buffer[..length]) {
                Ok(PeerMessage::Rows(rows)) => state.readings.hear_rows(rows),
                Ok(PeerMessage::Load(report)) => {
                    learn_peer(&state, &book, &report.peer, peer);
                    take_report(&state, *report, peer);
                }
                Err(error) => unreadable.note(peer, length, &error),
            },
            Err(error) => {
                tracing::debug!(%error, "receiving a load report");
                smol::Timer::after(report_interval(0)).await;
            }
        }
    }
}

/// Logs datagrams that are no reports, each [`UNREADABLE_PAUSE`] at most.
#[derive(Debug, Default)]
struct UnreadableLog {
    /// Since the last line.
    ignored: u64,
    logged_at: Option<Instant>,
}

impl UnreadableLog {
    fn note(&mut self, peer: SocketAddr, bytes: usize, error: &postcard::Error) {
        metrics::counter!("umberglade_reports_bad_total").increment(1);
        self.ignored += 1;
        if self.logged_at.is_some_and(|at| at.elapsed() < UNREADABLE_PAUSE) {
            return;
        }
        let ignored = self.ignored;
        tracing::warn!(event = events::REPORT_UNREADABLE, %peer, bytes, ignored, %error, "no report");
        self.ignored = 0;
        self.logged_at = Some(Instant::now());
    }
}

/// A gateway that is not in the book yet gets reports from now on: the table of
/// gateways is read rarely.
fn learn_peer(state: &GatewayState, book: &PeerRegistry, peer: &str, address: SocketAddr) {
    if peer != state.settings.instance && book.insert(peer, address) {
        state.set_members(book.len());
    }
}

fn take_report(state: &GatewayState, report: LoadReport, address: SocketAddr) {
    let is_known = state.fleet().peers.has_report(&report.peer, report.incarnation);
    if report.sequence <= FIRST_REPORTS || !is_known {
        let digest = server_digest(&report.peer);
        state.newcomers.lock().expect("newcomers lock").push(digest);
        state.work_changed.notify(1);
    }
    let news = PeerUpdate {
        reach: report.reach,
        loads: report.loads,
        retries: report.retries,
        aside: report.aside.into(),
        lines: report.lines.into(),
        store_calm: Duration::from_millis(report.store_calm_ms),
        changing: report.changing.into(),
        config: report.config,
    };
    let now = Instant::now();
    if !report.charges.is_empty() {
        let digest = server_digest(&report.peer);
        let view = state.quota_view();
        let age = Duration::from_millis(report.age_ms);
        state.quotas.hear(digest, report.incarnation, age, &report.charges, &view);
    }
    state.fleet().peers.note(&report.peer, report.incarnation, report.sequence, news, now);
    if let Some(learned) = report.learned {
        state.fleet().peers.learn(&report.peer, learned, now);
    }
    state.hear_config(&report.peer, address, report.config);
    for notice in report.tables {
        if notice.table == StoreTable::Configuration && report.config == state.config_version() {
            let age = Duration::from_millis(notice.age_ms);
            state.note_config_fresh(now.checked_sub(age).unwrap_or(now));
        }
        state.readings.hear_notice(&report.peer, notice, now);
    }
    for news in report.limits {
        state.hear_limit(news);
    }
    for news in report.backoffs {
        state.hear_backoff(news);
    }
    for server in report.departures {
        state.hear_departure(server);
    }
    for news in report.outcomes {
        state.quarantines.apply_peer_outcome(news);
    }
    state.room.notify(usize::MAX);
}
