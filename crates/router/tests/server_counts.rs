//! A daemon's counters for its servers across changes of the instance list.

use umberglade_router::control::ControlSnapshot;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::engine::LoadSample;
use umberglade_wire::platform::InstanceEntry;
use umberglade_wire::platform::InstanceList;
use umberglade_wire::platform::InstanceState;

fn entry(server: &str, state: InstanceState) -> InstanceEntry {
    InstanceEntry {
        server: server.into(),
        addr: "127.0.0.1:1".into(),
        role: EngineRole::Decode,
        model: "m".into(),
        domain: "hall-a".into(),
        region: String::new(),
        state,
    }
}

fn list(delta: bool, instances: Vec<InstanceEntry>) -> InstanceList {
    InstanceList { generation: 1, delta, instances }
}

/// A server's entry changes (to leaving) while a request runs there, and the request ends after.
/// The count on the new entry must fall to zero; if the entry copied the count instead of sharing
/// it, it would stay at one.
#[test]
fn in_flight_count_survives_entry_change() {
    let mut snapshot = ControlSnapshot::default();
    snapshot.apply_instances(list(false, vec![entry("d", InstanceState::Live)]));
    let guard = snapshot.servers[0].begin(100);
    snapshot.apply_instances(list(true, vec![entry("d", InstanceState::Leaving)]));
    assert_eq!(snapshot.servers[0].in_flight(), 1);
    drop(guard);
    assert_eq!(snapshot.servers[0].in_flight(), 0);
    assert_eq!(snapshot.servers[0].local_queued_tokens(), 0);
}

/// A change of the instance list and the servers available afterwards.
struct ChangeCase {
    name: &'static str,
    change: InstanceList,
    available: &'static [&'static str],
}

/// Servers join, start leaving and disappear through changes of the list. Only live ones may get
/// new work, and a full list replaces the previous one.
#[test]
fn only_live_servers_are_candidates() {
    let cases = [
        ChangeCase {
            name: "full list",
            change: list(
                false,
                vec![entry("a", InstanceState::Live), entry("b", InstanceState::Live)],
            ),
            available: &["a", "b"],
        },
        ChangeCase {
            name: "b is leaving",
            change: list(true, vec![entry("b", InstanceState::Leaving)]),
            available: &["a"],
        },
        ChangeCase { name: "nothing changed", change: list(true, Vec::new()), available: &["a"] },
        ChangeCase {
            name: "b gone, c joins",
            change: list(
                true,
                vec![entry("b", InstanceState::Gone), entry("c", InstanceState::Live)],
            ),
            available: &["a", "c"],
        },
        ChangeCase {
            name: "second full list",
            change: list(false, vec![entry("c", InstanceState::Live)]),
            available: &["c"],
        },
    ];
    let mut snapshot = ControlSnapshot::default();
    for case in cases {
        snapshot.apply_instances(case.change);
        let pool = snapshot.candidates(EngineRole::Decode, "m");
        let names: Vec<&str> = pool.iter().map(|slot| slot.entry.server.as_str()).collect();
        assert_eq!(names, case.available, "{}", case.name);
    }
}

/// Load reports lag and include the daemon's own requests. The local part must be separated from
/// that of other daemons and be counted without lag.
#[test]
fn load_report_is_corrected_by_local_count() {
    let mut snapshot = ControlSnapshot::default();
    snapshot.apply_instances(list(false, vec![entry("d", InstanceState::Live)]));
    let slot = &snapshot.servers[0];
    let guards: Vec<_> = (0..3).map(|_| slot.begin(10)).collect();
    slot.observe(LoadSample { running: 8, slots: 20, queued_tokens: 50 });
    assert_eq!(slot.load().running, 8);
    let more = slot.begin(10);
    assert_eq!(slot.load().running, 9);
    assert_eq!(slot.load().queued_tokens, 60);
    drop(guards);
    drop(more);
    assert_eq!(slot.load().running, 5, "load of the other daemons remains");
}
