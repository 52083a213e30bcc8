//! Datagrams between gateways of this build and the previous one.

use umberglade_gateway::cluster::AttemptOutcome;
use umberglade_gateway::cluster::OutcomeUpdate;
use umberglade_gateway::cluster::PathUpdate;
use umberglade_gateway::cluster::PeerReach;
use umberglade_gateway::cluster::RetryCount;
use umberglade_gateway::cluster::TunnelOffer;
use umberglade_gateway::model::ConfigId;
use umberglade_gateway::model::RowValue;
use umberglade_gateway::model::StoreRow;
use umberglade_gateway::model::StoreStamp;
use umberglade_gateway::model::StoreTable;
use umberglade_gateway::peers::Datagram;
use umberglade_gateway::peers::LoadReport;
use umberglade_gateway::peers::PeerMessage;
use umberglade_gateway::peers::RelayPart;
use umberglade_gateway::peers::ReportTail;
use umberglade_gateway::peers::TableRows;
use umberglade_gateway::peers::UsagePart;

/// The store's era at the receiver.
const LOCAL_ERA: u64 = 5;

fn rows(stamps: &[StoreStamp]) -> PeerMessage {
    let row = |stamp: &StoreStamp| StoreRow {
        key: format!("i-{stamp}"),
        stamp: *stamp,
        value: RowValue::Removed,
    };
    let rows = stamps.iter().map(row).collect();
    PeerMessage::Rows(TableRows { table: StoreTable::Servers, rows })
}

fn report(outcomes: Vec<OutcomeUpdate>) -> PeerMessage {
    PeerMessage::Load(Box::new(LoadReport {
        peer: "gw-1".to_owned(),
        incarnation: 1,
        sequence: 1,
        reach: PeerReach::Near,
        loads: Vec::new(),
        retries: Vec::new(),
        aside: Vec::new(),
        lines: Vec::new(),
        store_calm_ms: 0,
        changing: Vec::new(),
        learned: None,
        config: 7,
        tables: Vec::new(),
        charges: Vec::new(),
        age_ms: 0,
        outcomes,
        limits: Vec::new(),
        departures: Vec::new(),
        backoffs: Vec::new(),
    }))
}

fn tail() -> ReportTail {
    let config = Some(ConfigId { stamp: StoreStamp::new(2, 40), version: 7 });
    ReportTail { config, era: 3, ..ReportTail::default() }
}

fn cleared(stamp: StoreStamp) -> OutcomeUpdate {
    OutcomeUpdate { content: 1, outcome: AttemptOutcome::Cleared(stamp), age_ms: 0 }
}

/// Returns the stamps of a message, which compare by era and number.
fn stamps(message: &PeerMessage) -> Vec<StoreStamp> {
    match message {
        PeerMessage::Rows(table_rows) => table_rows.rows.iter().map(|row| row.stamp).collect(),
        PeerMessage::Load(report) => report
            .outcomes
            .iter()
            .filter_map(|update| match update.outcome {
                AttemptOutcome::Cleared(stamp) => Some(stamp),
                _ => None,
            })
            .collect(),
        PeerMessage::Origins(_) => Vec::new(),
    }
}

/// Prevents rows and outcomes from losing the era in which they were written on their way, and
/// gateways of the previous build from rejecting datagrams of this one.
#[test]
fn datagrams_keep_eras_and_are_read_by_the_previous_build() {
    let copied = StoreStamp::new(3, 30).written_in(2);
    let fresh = StoreStamp::new(3, 31);
    let whole = OutcomeUpdate { content: 2, outcome: AttemptOutcome::Whole, age_ms: 0 };
    let messages = [
        rows(&[copied, fresh]),
        rows(&[]),
        report(vec![cleared(fresh), whole, cleared(copied)]),
        report(Vec::new()),
    ];
    for mut message in messages {
        let bytes = message.encode(&tail());
        let (decoded, decoded_tail) = PeerMessage::decode(&bytes, LOCAL_ERA).expect("a message");
        assert_eq!(stamps(&decoded), stamps(&message));
        assert_eq!(decoded_tail.config, tail().config);
        // The previous build decodes the message and ignores what follows.
        assert!(postcard::from_bytes::<PeerMessage>(&bytes).is_ok());
    }
}

/// Prevents datagrams of the previous build, which have no tail, from being rejected or from
/// counting as older than all that is known.
#[test]
fn datagrams_of_the_previous_build_are_read() {
    let message = rows(&[StoreStamp::new(0, 30)]);
    let bytes = postcard::to_allocvec(&message).expect("plain fields");
    let (decoded, tail) = PeerMessage::decode(&bytes, LOCAL_ERA).expect("a message");
    assert_eq!(stamps(&decoded), [StoreStamp::new(LOCAL_ERA, 30)]);
    assert_eq!(tail.config, None);
}

/// Prevents reports that offer tunnels from being rejected by the previous build, and its reports,
/// which offer none, from being rejected here.
#[test]
fn offers_of_tunnels_are_ignored_by_the_previous_build() {
    let (relay, mut message) = (RelayPart::default(), report(Vec::new()));
    let paths = PathUpdate { is_cut: true, broken: [3].into_iter().collect() };
    let offer = TunnelOffer { is_open: true, tunnels: 4, paths };
    let usage = UsagePart { retry_totals: vec![RetryCount { requests: 9, repeats: 2 }] };
    let bytes = message.encode_report(&tail(), &relay, &offer, &usage);
    let datagram = Datagram::decode(&bytes, LOCAL_ERA).expect("a report");
    assert_eq!((datagram.relay, datagram.tunnel), (Some(relay.clone()), Some(offer.clone())));
    assert_eq!(datagram.usage, Some(usage));
    // The previous build decodes the last part that it knows, and ignores what follows.
    let (_, rest): (PeerMessage, _) = postcard::take_from_bytes(&bytes).expect("a message");
    let (_, rest): (ReportTail, _) = postcard::take_from_bytes(rest).expect("a tail");
    assert_eq!(postcard::from_bytes::<RelayPart>(rest), Ok(relay.clone()));
    let (_, rest): (RelayPart, _) = postcard::take_from_bytes(rest).expect("a relay part");
    assert_eq!(postcard::from_bytes::<TunnelOffer>(rest), Ok(offer));
    let bytes = message.encode_with(&tail(), &relay);
    let datagram = Datagram::decode(&bytes, LOCAL_ERA).expect("a report");
    assert_eq!((datagram.relay, datagram.tunnel), (Some(relay), None));
    assert_eq!(datagram.usage, None);
}
