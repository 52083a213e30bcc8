//! When engines change between reading prompts and generating.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::Fleet;
use umberglade_gateway::cluster::StageChange;
use umberglade_gateway::cluster::StageSnapshot;
use umberglade_gateway::cluster::StageWatch;
use umberglade_gateway::cluster::choose_stage_change;
use umberglade_gateway::leader::LeaderRow;
use umberglade_gateway::leader::may_claim;
use umberglade_gateway::model::ServerEntry;
use umberglade_gateway::model::ServerStage;

/// The same look each 200 ms.
struct WatchCase {
    name: &'static str,
    look: StageSnapshot,
    seconds: f64,
    change: Option<StageChange>,
}

fn look(prefill: usize, prefill_busy: usize, decode: usize, waiting: usize) -> StageSnapshot {
    StageSnapshot { prefill, prefill_busy, decode, waiting, wanted: None }
}

fn wanting(wanted: usize, look: StageSnapshot) -> StageSnapshot {
    StageSnapshot { wanted: Some(wanted), ..look }
}

fn to_decode(count: usize) -> Option<StageChange> {
    Some(StageChange { to: ServerStage::Decode, count })
}

/// In bursts of twice the usual load, callers wait for room to generate while
/// most prompt readers idle. Engines change when there are clearly more readers
/// than wanted, or requests have waited for a while, and never so many that reading would be the narrow stage or a
/// failure domain's loss would leave none.
#[test]
fn pools_change_with_the_load() {
    let cases = [
        WatchCase {
            name: "calm, a few more readers than wanted",
            look: wanting(17, look(21, 6, 39, 0)),
            seconds: 10.0,
            change: None,
        },
        // Changed in the burst itself, they would be back when it is over.
        WatchCase {
            name: "calm, far more readers than wanted",
            look: wanting(14, look(21, 6, 39, 0)),
            seconds: 3.0,
            change: to_decode(7),
        },
        WatchCase {
            name: "calm, what streams take is not known",
            look: look(21, 0, 39, 0),
            seconds: 10.0,
            change: None,
        },
        WatchCase {
            name: "short wait",
            look: wanting(14, look(21, 7, 39, 5)),
            seconds: 0.5,
            change: None,
        },
        WatchCase {
            name: "burst",
            look: wanting(14, look(21, 9, 39, 90)),
            seconds: 2.0,
            change: to_decode(7),
        },
        WatchCase {
            name: "balanced",
            look: wanting(21, look(21, 14, 39, 90)),
            seconds: 5.0,
            change: None,
        },
        // Readers idle before a burst; by that alone most of them would go.
        WatchCase {
            name: "idle readers that the burst will need",
            look: wanting(21, look(21, 0, 39, 9)),
            seconds: 5.0,
            change: None,
        },
        WatchCase {
            name: "idle readers",
            look: wanting(0, look(21, 0, 39, 9)),
            seconds: 2.0,
            change: to_decode(13),
        },
        WatchCase {
            name: "what streams take is not known",
            look: look(21, 0, 39, 9),
            seconds: 5.0,
            change: None,
        },
        WatchCase {
            name: "small site",
            look: wanting(5, look(6, 3, 12, 9)),
            seconds: 5.0,
            change: to_decode(1),
        },
        WatchCase {
            name: "small site, balanced",
            look: wanting(6, look(6, 4, 12, 9)),
            seconds: 5.0,
            change: None,
        },
        WatchCase {
            name: "least readers",
            look: wanting(1, look(3, 0, 5, 9)),
            seconds: 5.0,
            change: None,
        },
        WatchCase {
            name: "too few readers",
            look: wanting(10, look(8, 8, 40, 0)),
            seconds: 6.0,
            change: Some(StageChange { to: ServerStage::Prefill, count: 2 }),
        },
        // A burst of prompts that is over before an engine has changed.
        WatchCase {
            name: "busy readers that are enough",
            look: wanting(8, look(8, 8, 40, 0)),
            seconds: 6.0,
            change: None,
        },
        WatchCase {
            name: "no engines",
            look: wanting(0, look(0, 0, 0, 9)),
            seconds: 5.0,
            change: None,
        },
    ];
    for case in cases {
        let begun = Instant::now();
        let mut watch = StageWatch::default();
        let steps = (case.seconds / 0.2) as u32;
        let change = (0..=steps)
            .find_map(|step| watch.look(case.look, begun + Duration::from_millis(200) * step));
        assert_eq!(change, case.change, "{}", case.name);
    }
}

/// After a change the pools rest: engines are away for seconds, and a second
/// set of orders in that time would answer the same burst twice.
#[test]
fn a_change_is_followed_by_rest() {
    let begun = Instant::now();
    let mut watch = StageWatch::default();
    watch.rest(begun);
    let burst = wanting(14, look(21, 9, 39, 90));
    let first = (0..200u32)
        .find(|step| watch.look(burst, begun + Duration::from_millis(100) * *step).is_some());
    assert_eq!(first, Some(150));
}

/// The engines chosen are idle ones, and no failure domain loses more than
/// its part.
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
            is_leaving: false,
            started_at: None,
        };
        fleet.upsert(entry, at + 1);
    }
    let change = StageChange { to: ServerStage::Decode, count: 6 };
    let chosen = choose_stage_change(&fleet, "svc", change, now);
    assert_eq!(chosen.len(), 6);
    for domain in ["a", "b", "c"] {
        let here = chosen.iter().filter(|key| &*fleet.server(key).unwrap().entry.domain == domain);
        assert_eq!(here.count(), 2, "{domain}: {chosen:?}");
    }
    fleet.begin_change(&chosen[0], ServerStage::Decode, now);
    let open = fleet
        .open_servers("svc", now)
        .filter(|(server_state, _)| server_state.entry.server == chosen[0]);
    assert_eq!(open.count(), 0, "an engine that changes gets no work");
}

/// A gateway froze after its claim, and another wants to act: it must wait
/// until the claim has ended by the store's clock.
#[test]
fn a_duty_is_claimed_once_at_a_time() {
    let row = LeaderRow { holder: "gw-1".into(), until: Duration::from_secs(20) };
    let cases = [
        ("nobody has it", None, 0, true),
        ("held", Some(&row), 19, false),
        ("ended", Some(&row), 20, true),
    ];
    for (name, row, at, may) in cases {
        assert_eq!(may_claim(row, Duration::from_secs(at)), may, "{name}");
    }
}
