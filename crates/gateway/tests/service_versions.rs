//! Which software versions of a service may begin streams, and when a server's version is certain.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use umberglade_gateway::cluster::Fleet;
use umberglade_gateway::cluster::PlacementError;
use umberglade_gateway::cluster::PlacementRequest;
use umberglade_gateway::cluster::PlacementTurn;
use umberglade_gateway::cluster::ServerOutcome;
use umberglade_gateway::cluster::ServiceVersions;
use umberglade_gateway::cluster::place_decode;
use umberglade_gateway::cluster::place_engine;
use umberglade_gateway::cluster::place_prefill;
use umberglade_gateway::model::DomainKey;
use umberglade_gateway::model::EngineSpec;
use umberglade_gateway::model::PromptShape;
use umberglade_gateway::model::ServerEntry;
use umberglade_gateway::model::ServerStage;
use umberglade_gateway::model::SoftwareDigest;
use umberglade_gateway::model::StoreStamp;
use umberglade_gateway::model::software_digest;

const V1: SoftwareDigest = 1;
const V2: SoftwareDigest = 2;
const SPEC: EngineSpec = EngineSpec {
    slots: 16,
    kv_tokens: 80_000,
    handle_ttl: Duration::from_millis(500),
    tokens_per_event: 1,
};
const SHAPE: PromptShape =
    PromptShape { prompt_tokens: 1000, output_limit: 100, output_estimate: None };

#[derive(Debug, Clone, Copy)]
enum Step {
    Joined(SoftwareDigest),
    Removed(SoftwareDigest),
    /// This many seconds pass.
    Passed(u64),
    Announced(&'static [SoftwareDigest]),
}

struct VersionCase {
    name: &'static str,
    steps: &'static [Step],
    sole: Option<SoftwareDigest>,
    /// Whether the first and the second version may begin streams.
    may_begin: [bool; 2],
    is_due: bool,
}

const VERSION_CASES: [VersionCase; 9] = [
    VersionCase {
        name: "one version",
        steps: &[Step::Joined(V1), Step::Passed(1)],
        sole: Some(V1),
        may_begin: [true, true],
        is_due: true,
    },
    VersionCase {
        name: "one version, announced",
        steps: &[Step::Joined(V1), Step::Passed(1), Step::Announced(&[V1])],
        sole: Some(V1),
        may_begin: [true, true],
        is_due: false,
    },
    VersionCase {
        name: "another one is announced, whose servers this gateway never saw",
        steps: &[Step::Joined(V2), Step::Passed(1), Step::Announced(&[V1])],
        sole: Some(V2),
        may_begin: [true, true],
        is_due: true,
    },
    VersionCase {
        name: "a second one appears",
        steps: &[Step::Joined(V1), Step::Passed(1), Step::Joined(V2)],
        sole: None,
        may_begin: [true, false],
        is_due: true,
    },
    VersionCase {
        name: "both are announced",
        steps: &[Step::Joined(V1), Step::Passed(1), Step::Joined(V2), Step::Announced(&[V1, V2])],
        sole: None,
        may_begin: [true, true],
        is_due: false,
    },
    VersionCase {
        name: "both are there at the start",
        steps: &[Step::Joined(V1), Step::Joined(V2), Step::Passed(1)],
        sole: None,
        may_begin: [false, false],
        is_due: true,
    },
    VersionCase {
        name: "the first has ended just now",
        steps: &[
            Step::Joined(V1),
            Step::Passed(1),
            Step::Joined(V2),
            Step::Removed(V1),
            Step::Passed(1),
            Step::Passed(30),
        ],
        sole: None,
        may_begin: [true, false],
        is_due: true,
    },
    VersionCase {
        name: "the first has ended long ago",
        steps: &[
            Step::Joined(V1),
            Step::Passed(1),
            Step::Joined(V2),
            Step::Removed(V1),
            Step::Passed(1),
            Step::Passed(60),
        ],
        sole: Some(V2),
        may_begin: [true, true],
        is_due: true,
    },
    VersionCase {
        name: "a version returns after its announcement may have been shortened",
        steps: &[
            Step::Joined(V1),
            Step::Passed(1),
            Step::Joined(V2),
            Step::Announced(&[V1, V2]),
            Step::Removed(V2),
            Step::Passed(1),
            Step::Passed(60),
            Step::Passed(60),
            Step::Joined(V2),
        ],
        sole: None,
        may_begin: [true, false],
        is_due: true,
    },
];

struct OverCase {
    name: &'static str,
    announced: &'static [SoftwareDigest],
    /// For how long the second version has been the only one, in seconds.
    alone_s: u64,
    is_over: bool,
}

const OVER_CASES: [OverCase; 4] = [
    OverCase { name: "both, for long", announced: &[V1, V2], alone_s: 61, is_over: true },
    OverCase { name: "both, not for long", announced: &[V1, V2], alone_s: 59, is_over: false },
    OverCase { name: "the only one", announced: &[V2], alone_s: 61, is_over: false },
    OverCase { name: "none", announced: &[], alone_s: 61, is_over: false },
];

/// Prevents a version from being forgotten while callers still take up its streams, and from being
/// remembered for ever.
#[test]
fn an_announcement_names_others_until_one_version_has_been_alone_for_long() {
    for case in &OVER_CASES {
        let mut versions = ServiceVersions::default();
        let start = Instant::now();
        versions.record_joined(V2, false);
        versions.tick(start);
        versions.set_announced(case.announced);
        let now = start + Duration::from_secs(case.alone_s);
        assert_eq!(versions.is_announcement_over(now), case.is_over, "{}", case.name);
    }
}

/// Prevents streams from beginning at a second version before all gateways can know that there are
/// two: one that takes up a stream of which nobody knows relies on it.
#[test]
fn a_second_version_begins_streams_once_it_is_announced() {
    for case in &VERSION_CASES {
        let mut versions = ServiceVersions::default();
        let mut now = Instant::now();
        for step in case.steps {
            match step {
                Step::Joined(software) => versions.record_joined(*software, false),
                Step::Removed(software) => versions.record_removed(*software, false),
                Step::Announced(announced) => versions.set_announced(announced),
                Step::Passed(seconds) => {
                    now += Duration::from_secs(*seconds);
                    versions.tick(now);
                }
            }
        }
        let may_begin = [V1, V2].map(|software| versions.may_begin(software));
        assert_eq!(versions.sole(), case.sole, "{}", case.name);
        assert_eq!(may_begin, case.may_begin, "{}", case.name);
        assert_eq!(versions.is_announcement_due(), case.is_due, "{}", case.name);
    }
}

fn entry(server: &str, software: &str, stage: ServerStage) -> ServerEntry {
    ServerEntry {
        server: server.into(),
        service: "svc".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: "a".into(),
        slots: 16,
        stage,
        software: software.into(),
        is_leaving: false,
        started_at: None,
    }
}

/// Returns a fleet with two decode servers and one prefill server of each of two announced versions.
fn two_versions() -> Fleet {
    let mut fleet = Fleet::default();
    let mut number = 0;
    for software in ["v1", "v2"] {
        for (name, stage) in
            [("d1", ServerStage::Decode), ("d2", ServerStage::Decode), ("p", ServerStage::Prefill)]
        {
            number += 1;
            let entry = entry(&format!("{name}-{software}"), software, stage);
            fleet.upsert(entry, StoreStamp::new(0, number));
        }
    }
    fleet.set_announced_versions("svc", &["v1", "v2"].map(software_digest));
    fleet
}

fn request(domain: &DomainKey, software: Option<SoftwareDigest>) -> PlacementRequest<'_> {
    let now = Instant::now();
    PlacementRequest { service: "svc", gateway: 1, domain, tried: &[], software, now }
}

/// Prevents a KV cache from being read by a server of another version than wrote it.
#[test]
fn prefill_and_decode_have_one_version() {
    let fleet = two_versions();
    let domain: DomainKey = "a".into();
    // All four decode servers are chosen in turn.
    for ahead in 0..4 {
        let placed = place_engine(
            &fleet,
            &SPEC,
            &SHAPE,
            PlacementTurn::Ranked(ahead),
            &request(&domain, None),
        )
        .unwrap();
        let software =
            |server: &str| server.split_once('-').map(|(_, software)| software.to_owned());
        let prefill = placed.prefill.expect("a prefill server of each version");
        assert_eq!(software(&placed.decode), software(&prefill));
    }
}

/// Prevents a stream that is taken up from going on at another version, also where its own has no
/// server left.
#[test]
fn a_pinned_request_gets_servers_of_its_version_only() {
    let fleet = two_versions();
    let domain: DomainKey = "a".into();
    for _ in 0..100 {
        let pinned = request(&domain, Some(software_digest("v2")));
        let placed =
            place_engine(&fleet, &SPEC, &SHAPE, PlacementTurn::Ranked(0), &pinned).unwrap();
        assert!(placed.decode.ends_with("-v2"));
        assert!(placed.prefill.is_some_and(|server| server.ends_with("-v2")));
        assert!(place_decode(&fleet, &SPEC, &SHAPE, &pinned).unwrap().ends_with("-v2"));
        assert!(place_prefill(&fleet, &domain, &pinned).unwrap().ends_with("-v2"));
    }
    let pinned = request(&domain, Some(software_digest("v3")));
    let placed = place_engine(&fleet, &SPEC, &SHAPE, PlacementTurn::Ranked(0), &pinned);
    assert_eq!(placed, Err(PlacementError::NoServer));
}

/// Streams begin at the version that stays: one that is leaving has no room to take them up.
#[test]
fn a_leaving_version_begins_fewer_streams() {
    let mut fleet = two_versions();
    let leaving = ServerEntry { is_leaving: true, ..entry("d1-v1", "v1", ServerStage::Decode) };
    fleet.upsert(leaving, StoreStamp::new(0, 20));
    let domain: DomainKey = "a".into();
    for _ in 0..50 {
        let placed =
            place_engine(&fleet, &SPEC, &SHAPE, PlacementTurn::Ranked(0), &request(&domain, None))
                .unwrap();
        assert!(placed.decode.ends_with("-v2"), "{}", placed.decode);
    }
}

struct CertaintyCase {
    name: &'static str,
    states_start: bool,
    /// When the table was read, in milliseconds.
    read_ms: Option<u64>,
    broke_ms: Option<u64>,
    confirmed_ms: Option<u64>,
    is_certain: bool,
}

/// All are asked at 10 s.
const CERTAINTY_CASES: [CertaintyCase; 7] = [
    CertaintyCase {
        name: "an id is never used again",
        states_start: false,
        read_ms: None,
        broke_ms: Some(9_990),
        confirmed_ms: None,
        is_certain: true,
    },
    CertaintyCase {
        name: "the table was read lately",
        states_start: true,
        read_ms: Some(9_000),
        broke_ms: None,
        confirmed_ms: None,
        is_certain: true,
    },
    CertaintyCase {
        name: "a connection broke since",
        states_start: true,
        read_ms: Some(9_000),
        broke_ms: Some(9_500),
        confirmed_ms: None,
        is_certain: false,
    },
    CertaintyCase {
        name: "a connection broke shortly before the read, whose row may be older",
        states_start: true,
        read_ms: Some(9_000),
        broke_ms: Some(8_000),
        confirmed_ms: None,
        is_certain: false,
    },
    CertaintyCase {
        name: "the server was asked after the break",
        states_start: true,
        read_ms: Some(9_000),
        broke_ms: Some(9_500),
        confirmed_ms: Some(9_600),
        is_certain: true,
    },
    CertaintyCase {
        name: "the store has been out for long",
        states_start: true,
        read_ms: Some(2_000),
        broke_ms: None,
        confirmed_ms: None,
        is_certain: false,
    },
    CertaintyCase {
        name: "the store has been out for long, and the server was asked",
        states_start: true,
        read_ms: Some(2_000),
        broke_ms: None,
        confirmed_ms: Some(7_000),
        is_certain: true,
    },
];

/// Prevents events of a server that was started again under its id, at another version, from
/// counting as those of the version in its row.
#[test]
fn a_servers_version_is_certain_only_while_its_process_is_known() {
    for case in &CERTAINTY_CASES {
        let start = Instant::now();
        let at = |millis| start + Duration::from_millis(millis);
        let started_at = case.states_start.then_some(SystemTime::UNIX_EPOCH);
        let server = ServerEntry { started_at, ..entry("d", "v1", ServerStage::Decode) };
        let incarnation = server.incarnation();
        let mut fleet = Fleet::default();
        fleet.upsert(server, StoreStamp::new(0, 1));
        if let Some(millis) = case.read_ms {
            fleet.record_store_read(at(millis));
        }
        if let Some(millis) = case.broke_ms {
            fleet.record_outcome("d", incarnation, ServerOutcome::Failed, at(millis));
        }
        if let Some(millis) = case.confirmed_ms {
            fleet.confirm_version("d", incarnation, at(millis));
        }
        let (sent_at, now) = (at(9_900), at(10_000));
        let version = fleet.answering_version("d", incarnation, sent_at, now);
        assert_eq!(version.is_some(), case.is_certain, "{}", case.name);
        assert_eq!(fleet.answering_version("d", incarnation + 1, sent_at, now), None);
        // Beside another version, it must have been asked since the request was sent.
        let other = entry("e", "v2", ServerStage::Decode);
        fleet.upsert(other, StoreStamp::new(0, 2));
        let version = fleet.answering_version("d", incarnation, sent_at, now);
        assert_eq!(version.is_some(), !case.states_start, "{}", case.name);
        fleet.confirm_version("d", incarnation, at(9_950));
        assert!(fleet.answering_version("d", incarnation, sent_at, now).is_some());
        // A connection that was opened after that may lead to its successor.
        let is_confirmed = |millis| fleet.is_connection_confirmed("d", incarnation, at(millis));
        assert!(is_confirmed(9_950), "{}", case.name);
        assert_eq!(is_confirmed(9_960), !case.states_start, "{}", case.name);
        assert!(!fleet.is_connection_confirmed("d", incarnation + 1, at(9_950)));
    }
}
