//! Decisions of the placement policy, with one table of cases each for prefill and decode.

use std::sync::Arc;

use umberglade_router::control::ServerSlot;
use umberglade_router::placement::AffinityPlacement;
use umberglade_router::placement::Placement;
use umberglade_router::placement::PlacementRequest;
use umberglade_router::preset::Preset;
use umberglade_router::prompt::PromptShape;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::engine::LoadSample;
use umberglade_wire::engine::Priority;
use umberglade_wire::platform::InstanceEntry;
use umberglade_wire::platform::InstanceState;

/// A candidate server: its location, last reported load and health.
#[derive(Clone, Copy)]
struct Candidate {
    domain: &'static str,
    region: &'static str,
    running: u32,
    queued_tokens: u64,
    failed: bool,
}

const IDLE: Candidate =
    Candidate { domain: "hall-a", region: "north", running: 0, queued_tokens: 0, failed: false };

fn slots(candidates: &[Candidate]) -> Vec<Arc<ServerSlot>> {
    candidates
        .iter()
        .enumerate()
        .map(|(index, candidate)| {
            let slot = ServerSlot::new(InstanceEntry {
                server: format!("s{index}"),
                addr: "127.0.0.1:1".into(),
                role: EngineRole::Decode,
                model: "m".into(),
                domain: candidate.domain.into(),
                region: candidate.region.into(),
                state: InstanceState::Live,
            });
            slot.observe(LoadSample {
                running: candidate.running,
                slots: 20,
                queued_tokens: candidate.queued_tokens,
            });
            if candidate.failed {
                slot.record_failure();
            }
            Arc::new(slot)
        })
        .collect()
}

fn preset() -> Preset {
    Preset::from_toml(include_str!("../../../presets/ordinary.toml")).unwrap()
}

/// The candidates and the index of the expected choice; `None` if the request must wait.
struct PlacementCase {
    name: &'static str,
    candidates: Vec<Candidate>,
    priority: Priority,
    avoid: &'static [&'static str],
    reserve: u32,
    chosen: Option<usize>,
}

fn case(name: &'static str, candidates: Vec<Candidate>, chosen: Option<usize>) -> PlacementCase {
    let priority = Priority::Standard;
    PlacementCase { name, candidates, priority, avoid: &[], reserve: 2, chosen }
}

fn check(cases: Vec<PlacementCase>, is_prefill: bool) {
    let preset = preset();
    let shape = PromptShape { tokens: 4000, prefix_hash: 0, prefix_tokens: 0, digest: 1 };
    for case in cases {
        let slots = slots(&case.candidates);
        let avoid: Vec<String> = case.avoid.iter().map(|name| (*name).to_owned()).collect();
        let request = PlacementRequest {
            shape: &shape,
            priority: case.priority,
            preset: &preset,
            domain: "hall-a",
            region: "north",
            avoid: &avoid,
            cached_or_idle_only: false,
            reserve: case.reserve,
            max_local_queue_tokens: 16_000,
        };
        let policy = AffinityPlacement::default();
        let choice = if is_prefill {
            policy.prefill(&slots, &request)
        } else {
            policy.decode(&slots, &request)
        };
        assert_eq!(choice.map(|choice| choice.index), case.chosen, "{}", case.name);
    }
}

#[test]
fn decode_prefers_free_servers_nearby() {
    let other_domain = Candidate { domain: "hall-b", ..IDLE };
    let other_region = Candidate { region: "south", ..IDLE };
    let running = |running| Candidate { running, ..IDLE };
    check(
        vec![
            case("fewer requests", vec![running(15), running(5)], Some(1)),
            case("equal load: server in the same domain", vec![other_domain, IDLE], Some(1)),
            case("same-domain server full: other domain", vec![running(18), other_domain], Some(1)),
            case("same region despite more load", vec![other_region, running(17)], Some(1)),
            case("other region as last resort", vec![other_region, running(20)], Some(0)),
            case("none: only the reserve is left", vec![running(18), running(19)], None),
            PlacementCase {
                priority: Priority::Urgent,
                reserve: 0,
                ..case("urgent request uses reserve", vec![running(20), running(19)], Some(1))
            },
            case(
                "ejected server is skipped",
                vec![Candidate { failed: true, ..IDLE }, running(9)],
                Some(1),
            ),
            PlacementCase {
                avoid: &["s0"],
                ..case("tried server is skipped", vec![IDLE, running(9)], Some(1))
            },
            case("no candidates", vec![], None),
        ],
        false,
    );
}

#[test]
fn prefill_prefers_earliest_completion() {
    let queued = |queued_tokens| Candidate { queued_tokens, ..IDLE };
    check(
        vec![
            case("shorter queue", vec![queued(9000), queued(2000)], Some(1)),
            case("none: every queue at its limit", vec![queued(16_000), queued(20_000)], None),
            PlacementCase {
                priority: Priority::Urgent,
                reserve: 0,
                ..case("urgent ignores limit", vec![queued(50_000), queued(20_000)], Some(1))
            },
            case(
                "equal load: server in the same domain",
                vec![Candidate { domain: "hall-b", ..IDLE }, IDLE],
                Some(1),
            ),
            case(
                "server in another domain over a long queue",
                vec![queued(9000), Candidate { domain: "hall-b", ..IDLE }],
                Some(1),
            ),
        ],
        true,
    );
}

/// Prompts with a shared prefix arrive one after another. They must return to the server that has
/// the prefix cached, even when it has some queue, and go elsewhere once its queue is at the limit.
#[test]
fn shared_prefix_is_placed_on_its_cached_server() {
    let preset = preset();
    let shape = PromptShape { tokens: 4000, prefix_hash: 99, prefix_tokens: 1800, digest: 1 };
    let request = PlacementRequest {
        shape: &shape,
        priority: Priority::Standard,
        preset: &preset,
        domain: "hall-a",
        region: "north",
        avoid: &[],
        cached_or_idle_only: false,
        reserve: 2,
        max_local_queue_tokens: 16_000,
    };
    let policy = AffinityPlacement::default();
    let slots = slots(&[IDLE; 6]);
    let first = policy.prefill(&slots, &request).unwrap().index;
    let _waiting = slots[first].begin(6000);
    for _ in 0..10 {
        assert_eq!(policy.prefill(&slots, &request).unwrap().index, first);
    }
    slots[first].observe(LoadSample { running: 9, slots: 20, queued_tokens: 20_000 });
    assert_ne!(policy.prefill(&slots, &request).unwrap().index, first);
    let restricted = PlacementRequest { cached_or_idle_only: true, ..request };
    let choice = policy.prefill(&slots, &restricted).map(|choice| choice.index);
    assert!(
        choice.is_some_and(|index| index != first),
        "another, idle server must be chosen: {choice:?}"
    );
}
