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
        let is_change = by_deadline(due, changed).await.is_some();
        if is_change {
            let pause = budget.wait(peers.len(), Instant::now());
            smol::Timer::at(due.min(Instant::now() + pause)).await;
        }
        // Regular reports are paced by themselves. Paid from the same budget
        // they used it up at 79 peers, and changes were told 70 to 200 ms late.
        if is_change && Instant::now() < due {
            budget.spend(peers.len());
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
    let store_calm = state.fleet().store_calm(now);
    let report = LoadReport {
        peer: state.settings.instance.clone(),
        incarnation,
        sequence,
        loads,
        store_calm_ms: store_calm.as_millis() as u64,
        retries: state.own_retries(),
        aside,
        lines: state.own_lines(now),
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
    let LoadReport { peer, incarnation, sequence, loads, retries, aside, lines, store_calm_ms } =
        report;
    let news = PeerNews {
        loads: loads.into_iter().collect(),
        retries: retries.into_iter().collect(),
        aside: aside.into(),
        lines: lines.into_iter().collect(),
        store_calm: Duration::from_millis(store_calm_ms),
    };
    let now = Instant::now();
    state.fleet().peers.note(&peer, incarnation, sequence, news, now);
    state.room.notify(usize::MAX);
}
