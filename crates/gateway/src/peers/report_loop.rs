//! Sends and hears load reports.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use smol::net::UdpSocket;

use super::LoadReport;
use super::PeerBook;
use super::SendBudget;
use crate::belief::PeerNews;
use crate::belief::report_pace;
use crate::state::GatewayState;
use crate::timing::by_deadline;

/// The largest datagram sent: some 300 servers with work.
const MAX_DATAGRAM: usize = 8 * 1024;

/// Reports our work to the gateways in `book`, for good: regularly, and at
/// once when a stream begins, ends or waits.
///
/// Guards against gateways that choose the same engine's last place: with a
/// view 200 ms old, 79 of them had a third of their streams refused.
pub async fn send_reports(state: Arc<GatewayState>, book: Arc<PeerBook>, socket: UdpSocket) {
    let incarnation = fastrand::u64(..);
    let mut budget = SendBudget::new(Instant::now());
    for sequence in 1.. {
        let changed = state.work_changed.listen();
        let peers = book.others(&state.settings.instance);
        let due = Instant::now() + report_pace(peers.len());
        if by_deadline(due, changed).await.is_some() {
            smol::Timer::at(budget.send_at(peers.len(), due, Instant::now())).await;
        }
        let Some(datagram) = encode_report(&state, incarnation, sequence) else { continue };
        for address in peers {
            // A lost report is made good by the next one.
            let _ = socket.send_to(&datagram, address).await;
        }
    }
}

/// The report of this moment; `None` when it does not fit a datagram.
fn encode_report(state: &GatewayState, incarnation: u64, sequence: u64) -> Option<Vec<u8>> {
    let now = Instant::now();
    // One statement a lock: a guard lives to the end of its statement.
    let loads = state.fleet().own_loads();
    let aside = state.fleet().own_aside(now);
    let changing = state.fleet().own_changing(now);
    let store_calm = state.fleet().store_calm(now);
    let report = LoadReport {
        peer: state.settings.instance.clone(),
        incarnation,
        sequence,
        loads,
        store_calm_ms: store_calm.as_millis() as u64,
        retries: state.own_retries(),
        aside,
        lines: state.demand.own_lines(now),
        changing,
        config: state.config_version(),
    };
    let datagram = postcard::to_allocvec(&report).expect("encoding plain numbers and text");
    if datagram.len() > MAX_DATAGRAM {
        metrics::counter!("umberglade_reports_oversize_total").increment(1);
        return None;
    }
    Some(datagram)
}

/// Takes in the other gateways' reports, for good.
pub async fn hear_reports(state: Arc<GatewayState>, socket: UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => take_report(&state, &buffer[..length]),
            Err(error) => {
                tracing::debug!(%error, "receiving a load report");
                smol::Timer::after(report_pace(0)).await;
            }
        }
    }
}

fn take_report(state: &GatewayState, datagram: &[u8]) {
    let Ok(report) = postcard::from_bytes::<LoadReport>(datagram) else {
        metrics::counter!("umberglade_reports_bad_total").increment(1);
        return;
    };
    let news = PeerNews {
        loads: report.loads,
        retries: report.retries,
        aside: report.aside.into(),
        lines: report.lines.into(),
        store_calm: Duration::from_millis(report.store_calm_ms),
        changing: report.changing.into(),
        config: report.config,
    };
    let now = Instant::now();
    state.fleet().peers.note(&report.peer, report.incarnation, report.sequence, news, now);
    state.hear_config(&report.peer, report.config);
    state.room.notify(usize::MAX);
}
