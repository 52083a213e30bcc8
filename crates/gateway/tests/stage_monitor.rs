//! Changes of engines between the prefill and decode stages.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::Fleet;
use umberglade_gateway::cluster::StageChange;
use umberglade_gateway::cluster::StageMonitor;
use umberglade_gateway::cluster::StageSnapshot;
use umberglade_gateway::cluster::choose_stage_change;
use umberglade_gateway::leader::LeaderRow;
use umberglade_gateway::leader::is_claimable;
use umberglade_gateway::model::ServerEntry;
use umberglade_gateway::model::ServerStage;
use umberglade_gateway::model::StoreStamp;

/// Returns the stamp with `version` of a store that has never come back from a copy.
fn stamp(version: u64) -> StoreStamp {
    StoreStamp::new(0, version)
}

/// The same snapshot every 200 ms.
struct MonitorCase {
    name: &'static str,
    snapshot: StageSnapshot,
    seconds: f64,
    change: Option<StageChange>,
}

fn snapshot(prefill: usize, prefill_busy: usize, decode: usize, queued: usize) -> StageSnapshot {
    StageSnapshot { prefill, prefill_busy, decode, queued, target_prefill: None }
}

fn with_target(target_prefill: usize, snapshot: StageSnapshot) -> StageSnapshot {
    StageSnapshot { target_prefill: Some(target_prefill), ..snapshot }
}

fn to_decode(count: usize) -> Option<StageChange> {
    Some(StageChange { to: ServerStage::Decode, count })
}

/// Prevents requests from queueing for decode capacity, in bursts of twice the usual load, while
/// most prefill servers are idle. Engines change when there are clearly more prefill servers than
/// the target, or requests have been queued for a while, and never so many that prefill becomes the
/// bottleneck or the loss of a failure domain leaves none.
#[test]
fn stage_changes_follow_the_load() {
    let cases = [
        MonitorCase {
            name: "no queue, slightly more prefill servers than the target",
            snapshot: with_target(17, snapshot(21, 6, 39, 0)),
            seconds: 10.0,
            change: None,
        },
        // If changed during the burst, they would be back only when it is over.
        MonitorCase {
            name: "no queue, far more prefill servers than the target",
            snapshot: with_target(14, snapshot(21, 6, 39, 0)),
            seconds: 3.0,
            change: to_decode(7),
        },
        MonitorCase {
            name: "no queue, target unknown",
            snapshot: snapshot(21, 0, 39, 0),
            seconds: 10.0,
            change: None,
        },
        MonitorCase {
            name: "short queue time",
            snapshot: with_target(14, snapshot(21, 7, 39, 5)),
            seconds: 0.5,
            change: None,
        },
        MonitorCase {
            name: "burst",
            snapshot: with_target(14, snapshot(21, 9, 39, 90)),
            seconds: 2.0,
            change: to_decode(7),
        },
        MonitorCase {
            name: "balanced",
            snapshot: with_target(21, snapshot(21, 14, 39, 90)),
            seconds: 5.0,
            change: None,
        },
        // Prefill servers are idle before a burst; by that alone most of them would change.
        MonitorCase {
            name: "idle prefill servers that the burst needs",
            snapshot: with_target(21, snapshot(21, 0, 39, 9)),
            seconds: 5.0,
            change: None,
        },
        MonitorCase {
            name: "idle prefill servers",
            snapshot: with_target(0, snapshot(21, 0, 39, 9)),
            seconds: 2.0,
            change: to_decode(13),
        },
        MonitorCase {
            name: "target unknown",
            snapshot: snapshot(21, 0, 39, 9),
            seconds: 5.0,
            change: None,
        },
        MonitorCase {
            name: "small site",
            snapshot: with_target(5, snapshot(6, 3, 12, 9)),
            seconds: 5.0,
            change: to_decode(1),
        },
        MonitorCase {
            name: "small site, balanced",
            snapshot: with_target(6, snapshot(6, 4, 12, 9)),
            seconds: 5.0,
            change: None,
        },
        MonitorCase {
            name: "minimum number of prefill servers",
            snapshot: with_target(1, snapshot(3, 0, 5, 9)),
            seconds: 5.0,
            change: None,
        },
        MonitorCase {
            name: "too few prefill servers",
            snapshot: with_target(10, snapshot(8, 8, 40, 0)),
            seconds: 6.0,
            change: Some(StageChange { to: ServerStage::Prefill, count: 2 }),
        },
        // A burst of prompts that is over before an engine has changed.
        MonitorCase {
            name: "busy prefill servers that are enough",
            snapshot: with_target(8, snapshot(8, 8, 40, 0)),
            seconds: 6.0,
            change: None,
        },
        MonitorCase {
            name: "no engines",
            snapshot: with_target(0, snapshot(0, 0, 0, 9)),
            seconds: 5.0,
            change: None,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut monitor = StageMonitor::default();
        let steps = (case.seconds / 0.2) as u32;
        let change = (0..=steps)
            .find_map(|n| monitor.update(case.snapshot, start + Duration::from_millis(200) * n));
        assert_eq!(change, case.change, "{}", case.name);
    }
}

/// Prevents a second set of stage changes while engines are unavailable for the first, which takes
/// seconds: both would respond to the same burst.
#[test]
fn a_change_is_followed_by_a_cooldown() {
    let start = Instant::now();
    let mut monitor = StageMonitor::default();
    monitor.start_cooldown(start);
    let burst = with_target(14, snapshot(21, 9, 39, 90));
    let first = (0..200u32)
        .find(|step| monitor.update(burst, start + Duration::from_millis(100) * *step).is_some());
    assert_eq!(first, Some(150));
}

/// The chosen engines are idle ones, and no failure domain loses more than its share.
#[test]
fn engines_change_evenly_over_failure_domains() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    for at in 0..12u64 {
        let entry = ServerEntry {
            server: format!("p{at}").as_str().into(),
            service: "svc".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            domain: ["a", "b", "c"][at as usize % 3].into(),
            slots: 16,
            stage: if at < 9 { ServerStage::Prefill } else { ServerStage::Decode },
            software: "v1".into(),
            is_leaving: false,
            started_at: None,
        };
        fleet.upsert(entry, stamp(at + 1));
    }
    let change = StageChange { to: ServerStage::Decode, count: 6 };
    let chosen = choose_stage_change(&fleet, "svc", change, now);
    assert_eq!(chosen.len(), 6);
    for domain in ["a", "b", "c"] {
        let here = chosen.iter().filter(|key| &*fleet.server(key).unwrap().entry.domain == domain);
        assert_eq!(here.count(), 2, "{domain}: {chosen:?}");
    }
    fleet.begin_stage_change(&chosen[0], ServerStage::Decode, now);
    let available = fleet
        .available_servers("svc", now)
        .filter(|(server_state, _)| server_state.entry.server == chosen[0]);
    assert_eq!(available.count(), 0, "an engine that changes its stage receives no work");
}

/// Prevents two leaders at the same time. A gateway freezes after its claim, and another one that
/// wants to act must wait until the claim has expired by the store's clock.
#[test]
fn leadership_is_claimed_by_one_gateway_at_a_time() {
    let row = LeaderRow { holder: "gw-1".into(), until: Duration::from_secs(20) };
    let cases = [
        ("not held", None, 0, true),
        ("held", Some(&row), 19, false),
        ("expired", Some(&row), 20, true),
    ];
    for (name, row, at, expected) in cases {
        assert_eq!(is_claimable(row, Duration::from_secs(at)), expected, "{name}");
    }
}
