//! What gateways send each other of a table's content, and from whom they take it.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::ReadCost;
use umberglade_gateway::cluster::ReadRole;
use umberglade_gateway::cluster::ReaderNotice;
use umberglade_gateway::cluster::ReaderRank;
use umberglade_gateway::cluster::TableReaders;
use umberglade_gateway::cluster::TableRowSet;
use umberglade_gateway::cluster::TableSources;
use umberglade_gateway::model::RowValue;
use umberglade_gateway::model::StoreRow;
use umberglade_gateway::model::StoreStamp;
use umberglade_gateway::store::decode_rows;
use umberglade_gateway::store::encode_rows;

const SERVERS: u64 = 10_003;
/// Size of a registration, and the largest size of all of them as they are sent: a tenth of what
/// listing them from the store takes.
const ROW_BYTES: usize = 300;
const MAX_IMAGE_BYTES: usize = 500_000;
const BOUND: Duration = Duration::from_secs(5);
const MANY_PEERS: ReaderRank = ReaderRank { peers: 122, peers_before: 40 };

fn stamp(version: u64) -> StoreStamp {
    StoreStamp::new(0, version)
}

fn row(number: u64, version: u64) -> StoreRow {
    let text = format!(
        r#"{{"service":"model","address":"10.1.{}.{}:8080","state":"ready","sequence":{version}"#,
        number / 256,
        number % 256
    );
    let value = RowValue::Held(format!("{text:ROW_BYTES$}").into_bytes().into());
    StoreRow { key: format!("i-{number:08x}"), stamp: stamp(version), value }
}

fn record(row_set: &mut TableRowSet, row: &StoreRow, digest: u64) {
    row_set.record(&row.key, row.stamp, Some(digest));
    row_set.keep_value(row);
}

/// Prevents a gateway that lacks a few rows from being sent the whole table, and one that lacks
/// removals which nobody remembers from keeping the rows.
#[test]
fn changes_are_sent_where_they_are_known() {
    let mut row_set = TableRowSet::default();
    for number in 0..SERVERS {
        record(&mut row_set, &row(number, number + 1), 1);
    }
    let known = stamp(SERVERS);
    assert_eq!(row_set.rows_changed_after(known), Some(Vec::new()));
    // A renewal with the same content is no change.
    record(&mut row_set, &row(5, SERVERS + 1), 1);
    assert_eq!(row_set.rows_changed_after(known), Some(Vec::new()));
    record(&mut row_set, &row(7, SERVERS + 2), 2);
    row_set.record("i-00000009", stamp(SERVERS + 3), None);
    let changed = row_set.rows_changed_after(known).expect("all is remembered");
    let removed = changed.iter().filter(|row| row.value == RowValue::Removed).count();
    assert_eq!((changed.len(), removed), (2, 1));
    assert_eq!(row_set.all_rows().map(|rows| rows.len() as u64), Some(SERVERS - 1));
    for number in 100..1500 {
        row_set.record(&format!("i-{number:08x}"), stamp(SERVERS + number), None);
    }
    assert_eq!(row_set.rows_changed_after(known), None, "some removals are forgotten");
    assert!(row_set.rows_changed_after(stamp(SERVERS + 1450)).is_some());
}

/// Prevents a listing from hiding removals from gateways that know the table up to an earlier
/// version, and from taking back what is newer than the listing.
#[test]
fn listings_keep_removals_and_newer_rows() {
    let mut row_set = TableRowSet::default();
    for number in 0..3 {
        record(&mut row_set, &row(number, 10 + number), 1);
    }
    record(&mut row_set, &row(4, 30), 1);
    let (first, second) = (row(0, 10), row(1, 11));
    let listed = [&first, &second].map(|row| (row.key.as_str(), row.stamp, 1));
    let removed = row_set.replace(listed.into_iter(), stamp(20));
    assert_eq!(removed, [row(2, 0).key]);
    let changed = row_set.rows_changed_after(stamp(15)).expect("all is remembered");
    let mut keys: Vec<&str> = changed.iter().map(|row| row.key.as_str()).collect();
    keys.sort_unstable();
    assert_eq!(keys, ["i-00000002", "i-00000004"]);
}

/// Prevents the registrations of ten thousand servers from filling the links of gateways that start
/// together.
#[test]
fn images_are_small() {
    let rows: Vec<StoreRow> = (0..SERVERS).map(|number| row(number, number + 1)).collect();
    let bytes = encode_rows(rows.clone());
    println!("{SERVERS} rows in {} bytes", bytes.len());
    assert!(bytes.len() < MAX_IMAGE_BYTES, "{} bytes", bytes.len());
    assert_eq!(decode_rows(&bytes), Some(rows));
    assert_eq!(decode_rows(&bytes[..bytes.len() / 2]), None);
    assert_eq!(decode_rows(&u32::MAX.to_le_bytes()), None);
    assert_eq!(decode_rows(&[]), None);
}

/// Prevents gateways from asking peers that know no more than they do, and from asking across
/// failure domains where a peer of their own can help.
#[test]
fn sources_know_more_and_are_near() {
    let now = Instant::now();
    let address = |low| SocketAddr::from((Ipv4Addr::new(10, 0, 0, low), 7660));
    let mut sources = TableSources::default();
    sources.record(1, address(1), stamp(10), true, now);
    sources.record(2, address(2), stamp(20), false, now);
    assert_eq!(sources.choose(Some(stamp(20)), 0, now), None);
    assert_eq!(sources.choose(Some(stamp(10)), 0, now), Some((2, address(2))));
    assert_eq!(sources.choose(None, 7, now), Some((1, address(1))));
    sources.rest(1, Duration::from_secs(1), now);
    assert_eq!(sources.choose(None, 7, now), Some((2, address(2))));
    let later = now + Duration::from_secs(7);
    assert_eq!(sources.choose(None, 0, later), None, "neither has reported since");
}

fn notice(read_at: Instant, fingerprint: u64) -> ReaderNotice {
    ReaderNotice { fingerprint, read_at, cost: ReadCost::LIGHT, through: Some(stamp(fingerprint)) }
}

struct WaitCase {
    name: &'static str,
    /// Time for which nothing is held and peers are waited for.
    wait: Duration,
    after: Duration,
    reads: bool,
}

/// Prevents gateways that start together from each listing the table, and from waiting for peers
/// that have nothing for longer than they should.
#[test]
fn gateways_without_content_wait_for_peers() {
    let second = Duration::from_secs(1);
    let cases = [
        WaitCase { name: "does not wait", wait: Duration::ZERO, after: second, reads: true },
        WaitCase { name: "waits", wait: second * 3, after: second * 2, reads: false },
        WaitCase { name: "has waited", wait: second, after: second * 2, reads: true },
    ];
    for WaitCase { name, wait, after, reads } in cases {
        let now = Instant::now();
        let mut readers = TableReaders::new(1, BOUND, 0.0);
        readers.wait_for_peers(now + wait);
        let role = readers.role(MANY_PEERS, now + after);
        assert_eq!(role == ReadRole::Reader, reads, "{name}");
        assert_eq!(readers.lacks_content(Duration::ZERO, now + after), !reads, "{name}");
    }
}

/// Prevents hundreds of gateways from reading the same rows from the store when many change at once:
/// while some read and others offer the rows, they are taken from those, but not beyond the bound.
#[test]
fn lacking_rows_are_taken_from_peers_first() {
    for has_sources in [false, true] {
        let started_at = Instant::now() + Duration::from_secs(60);
        let mut readers = TableReaders::new(100, BOUND, 0.0);
        readers.record_peer_content(7, stamp(7), started_at);
        readers.set_has_sources(has_sources);
        let mut at = started_at;
        let mut read_after = None;
        while read_after.is_none() && at < started_at + BOUND {
            at += Duration::from_millis(100);
            (1..=3).for_each(|peer| readers.apply_peer_notice(peer, notice(at, 8)));
            let is_reader = readers.role(MANY_PEERS, at) == ReadRole::Reader;
            read_after = is_reader.then(|| at - started_at);
        }
        let read_after = read_after.expect("reads within the bound");
        assert!(read_after < BOUND.mul_f64(0.8), "{read_after:?}");
        assert_eq!(read_after > BOUND.mul_f64(0.6), has_sources, "{read_after:?}");
        assert!(!readers.lacks_content(BOUND, at), "not for so long");
    }
}
