//! What gateways learn of engines together.

use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::EngineEstimates;
use umberglade_gateway::cluster::PeerReports;
use umberglade_gateway::model::EngineSpec;

const ENGINES: usize = 140;

fn spec() -> EngineSpec {
    EngineSpec {
        slots: 64,
        kv_tokens: 37_406,
        handle_ttl: Duration::from_millis(500),
        tokens_per_event: 8,
    }
}

/// What a gateway knows that has served these streams: prompts of 5,000
/// tokens read at 55 a millisecond, answers of 500 that take three seconds.
fn learned(streams: Range<u32>, slowdown: f64) -> EngineEstimates {
    let mut learning = EngineEstimates::default();
    for at in streams {
        let prompt = 4000 + at % 5 * 500;
        let read_ms = (100.0 + f64::from(prompt) / 55.0) * slowdown;
        learning.balance.reading.note(prompt, Duration::from_secs_f64(read_ms / 1000.0));
        let stay = Duration::from_secs_f64(3.0 * slowdown);
        learning.balance.record_stream(prompt, 500, stay);
        learning.outputs.note(500, stay);
    }
    learning
}

/// 195 gateways share 50 streams a second. One of them serves eight in half a
/// minute, fewer than it needs to believe what it has seen: engines are left
/// as they are through the first bursts, and callers whose answers cannot end
/// in time take room all the same. Together the gateways know after a second.
#[test]
fn many_gateways_know_soon_what_none_knows_alone() {
    let each = learned(0..2, 1.0);
    assert_eq!(each.balance.target_prefill_servers(ENGINES, &spec()), None);
    assert_eq!(each.outputs.run_time(500), Duration::ZERO);
    let pool = EngineEstimates::pooled((0..25).map(|at| learned(at * 2..at * 2 + 2, 1.0)));
    let alone = learned(0..50, 1.0);
    let wanted = pool.balance.target_prefill_servers(ENGINES, &spec()).expect("known together");
    let expected = alone.balance.target_prefill_servers(ENGINES, &spec()).expect("known alone");
    assert!(wanted.abs_diff(expected) <= 2, "{wanted} for {expected}");
    let run_time = pool.outputs.run_time(500).as_secs_f64();
    assert!((run_time - 3.0).abs() < 0.1, "{run_time}");
}

/// A gateway whose path to the engines is slow sees all streams take three
/// times as long. It is one of many and moves the mean by its part, however
/// many streams it has served.
#[test]
fn one_odd_gateway_decides_little() {
    let others = (0..39).map(|_| learned(0..40, 1.0));
    let pool = EngineEstimates::pooled(others.chain([learned(0..4000, 3.0)]));
    let run_time = pool.outputs.run_time(500).as_secs_f64();
    assert!((3.0..3.3).contains(&run_time), "{run_time}");
}

/// A datagram that is not a gateway's claims what no gateway can have learned.
/// Taken into the means of all it would make every answer seem endless, or end
/// the process when a time is made of it.
#[test]
fn what_no_gateway_can_have_learned_is_ignored() {
    const SERVICE: u64 = 7;
    struct OddCase {
        name: &'static str,
        /// The number that stands where the length of answers is told.
        told: f64,
        is_taken: bool,
    }
    let cases = [
        OddCase { name: "usual", told: 6.2, is_taken: true },
        OddCase { name: "no number", told: f64::NAN, is_taken: false },
        OddCase { name: "endless", told: f64::INFINITY, is_taken: false },
        OddCase { name: "less than nothing", told: -1.0, is_taken: false },
        OddCase { name: "beyond all bounds", told: 1e300, is_taken: false },
    ];
    for case in cases {
        let mut bytes = postcard::to_allocvec(&learned(0..30, 1.0)).unwrap();
        bytes[..8].copy_from_slice(&case.told.to_le_bytes());
        let odd: EngineEstimates = postcard::from_bytes(&bytes).unwrap();
        let mut peers = PeerReports::default();
        peers.record_estimates("peer", vec![(SERVICE, odd)], Instant::now());
        let taken = peers.estimates(SERVICE).count() > 0;
        assert_eq!(taken, case.is_taken, "{}", case.name);
        let pool = EngineEstimates::pooled(peers.estimates(SERVICE));
        assert!(pool.outputs.run_time(500) < Duration::from_secs(60), "{}", case.name);
    }
}
