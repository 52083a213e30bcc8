//! What is kept of the versions that began streams, and who keeps it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::KnownOrigin;
use umberglade_gateway::cluster::StreamOrigin;
use umberglade_gateway::cluster::StreamOrigins;
use umberglade_gateway::cluster::name_digest;
use umberglade_gateway::cluster::stream_digest;
use umberglade_gateway::peers::PeerMessage;
use umberglade_gateway::peers::PeerRegistry;
use umberglade_gateway::peers::ReportTail;

const V1: u64 = 11;
const V2: u64 = 22;
const SERVER: u64 = 7;
/// Maximum number of origins, as documented in `docs/CAPACITY.md`.
const MAX_ORIGINS: usize = 32_768;
/// Number of other gateways that are told of a stream.
const HOLDERS: usize = 5;

fn origin(stream: u64, organisation: u32, software: u64) -> StreamOrigin {
    StreamOrigin { stream, organisation, software, incarnation: SERVER }
}

struct OriginCase {
    name: &'static str,
    /// Recorded origins and the time of each, in milliseconds.
    recorded: &'static [(u64, u64)],
    /// When the server is found to have been started again at another version, if it is.
    doubted_ms: Option<u64>,
    asked_ms: u64,
    expected: Option<KnownOrigin>,
}

const ORIGIN_CASES: [OriginCase; 6] = [
    OriginCase {
        name: "recorded once",
        recorded: &[(V1, 0)],
        doubted_ms: None,
        asked_ms: 59_000,
        expected: Some(KnownOrigin::Version(V1)),
    },
    OriginCase {
        name: "told again later",
        recorded: &[(V1, 0), (V1, 50_000)],
        doubted_ms: None,
        asked_ms: 100_000,
        expected: Some(KnownOrigin::Version(V1)),
    },
    OriginCase {
        name: "too old",
        recorded: &[(V1, 0)],
        doubted_ms: None,
        asked_ms: 61_000,
        expected: None,
    },
    OriginCase {
        name: "two versions under one id",
        recorded: &[(V1, 0), (V2, 10)],
        doubted_ms: None,
        asked_ms: 20,
        expected: Some(KnownOrigin::Contradictory),
    },
    OriginCase {
        name: "its server was started again at another version just before that was known",
        recorded: &[(V1, 0)],
        doubted_ms: Some(1000),
        asked_ms: 1100,
        expected: Some(KnownOrigin::Contradictory),
    },
    OriginCase {
        name: "its server was started again long after it began",
        recorded: &[(V1, 0)],
        doubted_ms: Some(5000),
        asked_ms: 5100,
        expected: Some(KnownOrigin::Version(V1)),
    },
];

/// Prevents a stream from going on at a version that only may have begun it.
#[test]
fn a_version_is_known_or_not() {
    for case in &ORIGIN_CASES {
        let start = Instant::now();
        let at = |millis| start + Duration::from_millis(millis);
        let mut origins = StreamOrigins::default();
        for (software, millis) in case.recorded {
            origins.record(origin(1, 0, *software), true, at(*millis));
        }
        if let Some(millis) = case.doubted_ms {
            origins.doubt(SERVER, at(millis));
        }
        origins.tick(at(case.asked_ms));
        assert_eq!(origins.find(1), case.expected, "{}", case.name);
    }
}

/// Prevents an organisation that invents ids from displacing the origins of others, and the table
/// from growing.
#[test]
fn an_organisation_displaces_only_its_own_origins() {
    let now = Instant::now();
    let mut origins = StreamOrigins::default();
    let (quiet, hostile) = (1, 2);
    for stream in 0..100 {
        origins.record(origin(stream, quiet, V1), false, now);
    }
    for stream in 0..2 * MAX_ORIGINS as u64 {
        origins.record(origin(1_000 + stream, hostile, V2), false, now);
    }
    assert_eq!(origins.len(), MAX_ORIGINS);
    assert!((0..100).all(|stream| origins.find(stream).is_some()));
    assert_ne!(stream_digest(quiet, "id"), stream_digest(hostile, "id"));
}

/// Prevents memory from growing with each read of the store's rows, which tell known origins again:
/// callers who invent ids cause as many reads as they like.
#[test]
fn origins_that_are_told_again_and_again_take_no_more_memory() {
    let start = Instant::now();
    let mut origins = StreamOrigins::default();
    for read in 0..1_000 {
        let now = start + Duration::from_millis(10 * read);
        for stream in 0..10 {
            origins.record(origin(stream, 0, V1), false, now);
            origins.record(origin(100 + stream, 0, [V1, V2][read as usize % 2]), false, now);
        }
    }
    assert_eq!(origins.len(), 20);
    assert!(origins.recordings() <= 4 * 20, "{} recordings", origins.recordings());
}

/// Origins that began here are written to the store once a second version appears; told ones are
/// written by who told them.
#[test]
fn own_origins_are_told_apart() {
    let now = Instant::now();
    let mut origins = StreamOrigins::default();
    origins.record(origin(1, 0, V1), true, now);
    origins.record(origin(2, 0, V1), false, now);
    origins.record(origin(1, 0, V1), false, now);
    let own: Vec<u64> = origins.own().iter().map(|origin| origin.stream).collect();
    assert_eq!(own, [1]);
}

fn registry(gateways: usize) -> PeerRegistry {
    let registry = PeerRegistry::default();
    for number in 0..gateways {
        registry.insert(&format!("gw-{number}"), address(number));
    }
    registry
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7660))
}

/// Prevents the cost of a stream's origin from growing with the number of gateways, a crowd at one
/// of them, and gateways that ask others than those that were told.
#[test]
fn a_few_gateways_hold_each_origin_whatever_their_number() {
    const STREAMS: usize = 4_000;
    let datagram = PeerMessage::Origins(vec![origin(u64::MAX, u32::MAX, u64::MAX)])
        .encode(&ReportTail::default());
    assert!(datagram.len() < 64, "{} bytes", datagram.len());
    for gateways in [6, 63, 986] {
        let registry = registry(gateways);
        let mut held: HashMap<SocketAddr, usize> = HashMap::new();
        for stream in 0..STREAMS {
            let digest = stream_digest(0, &format!("stream-{stream}"));
            let began_at = name_digest(&format!("gw-{}", stream % gateways));
            let told = registry.preferred(digest, began_at, HOLDERS);
            assert_eq!(told.len(), HOLDERS, "{gateways} gateways");
            told.iter().for_each(|address| *held.entry(*address).or_default() += 1);
            // A gateway that does not know is to ask most of those that were told.
            let asks_at = name_digest(&format!("gw-{}", (stream + 1) % gateways));
            let asked = registry.preferred(digest, asks_at, HOLDERS);
            let common = told.iter().filter(|address| asked.contains(address)).count();
            assert!(common >= HOLDERS - 1, "{gateways} gateways: {common} in common");
        }
        let mean = (STREAMS * HOLDERS) as f64 / gateways as f64;
        let most = held.values().copied().max().unwrap_or_default() as f64;
        assert!(most < mean * 2.5, "{gateways} gateways: {most} of {mean} at one");
    }
}
