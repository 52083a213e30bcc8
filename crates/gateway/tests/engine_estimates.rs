//! Estimates that gateways pool.

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

/// Returns the estimates of a gateway that has served these streams: prompts of 5,000 tokens
/// prefilled at 55 per millisecond, responses of 500 tokens that take 3 s.
fn estimates_from(streams: Range<u32>, slowdown: f64) -> EngineEstimates {
    let mut estimates = EngineEstimates::default();
    for at in streams {
        let prompt = 4000 + at % 5 * 500;
        let read_ms = (100.0 + f64::from(prompt) / 55.0) * slowdown;
        estimates.balance.reading.record(prompt, Duration::from_secs_f64(read_ms / 1000.0));
        let stay = Duration::from_secs_f64(3.0 * slowdown);
        estimates.balance.record_stream(prompt, 500, stay);
        estimates.outputs.record(500, stay);
    }
    estimates
}

/// 195 gateways share 50 streams per second. One of them serves eight in half a minute, fewer than
/// the minimum number of samples: on its own, engines keep their stages through the first bursts,
/// and requests whose responses cannot complete in time still take capacity. Pooled, the estimates
/// are available after a second.
#[test]
fn pooled_estimates_are_known_sooner_than_local_ones() {
    let each = estimates_from(0..2, 1.0);
    assert_eq!(each.balance.target_prefill_servers(ENGINES, &spec()), None);
    assert_eq!(each.outputs.generation_time(500), Duration::ZERO);
    let pool = EngineEstimates::pooled((0..25).map(|at| estimates_from(at * 2..at * 2 + 2, 1.0)));
    let alone = estimates_from(0..50, 1.0);
    let pooled_target =
        pool.balance.target_prefill_servers(ENGINES, &spec()).expect("pooled samples suffice");
    let single_target =
        alone.balance.target_prefill_servers(ENGINES, &spec()).expect("local samples suffice");
    assert!(pooled_target.abs_diff(single_target) <= 2, "{pooled_target} for {single_target}");
    let generation_time = pool.outputs.generation_time(500).as_secs_f64();
    assert!((generation_time - 3.0).abs() < 0.1, "{generation_time}");
}

/// A gateway with a slow path to the engines sees all streams take three times as long. It is one
/// of many and moves the mean by its share only, however many streams it has served.
#[test]
fn one_outlier_gateway_has_little_weight() {
    let typical = (0..39).map(|_| estimates_from(0..40, 1.0));
    let pool = EngineEstimates::pooled(typical.chain([estimates_from(0..4000, 3.0)]));
    let generation_time = pool.outputs.generation_time(500).as_secs_f64();
    assert!((3.0..3.3).contains(&generation_time), "{generation_time}");
}

/// A datagram that no gateway sent holds values that no gateway can have estimated. Pooled, they
/// would make every response seem endless, or end the process when converted to a duration.
#[test]
fn invalid_estimates_are_ignored() {
    const SERVICE: u64 = 7;
    struct ReportedCase {
        name: &'static str,
        /// The value reported as the mean response length.
        reported: f64,
        is_accepted: bool,
    }
    let cases = [
        ReportedCase { name: "typical", reported: 6.2, is_accepted: true },
        ReportedCase { name: "not a number", reported: f64::NAN, is_accepted: false },
        ReportedCase { name: "infinite", reported: f64::INFINITY, is_accepted: false },
        ReportedCase { name: "negative", reported: -1.0, is_accepted: false },
        ReportedCase { name: "beyond the maximum", reported: 1e300, is_accepted: false },
    ];
    for case in cases {
        let mut bytes = postcard::to_allocvec(&estimates_from(0..30, 1.0)).unwrap();
        bytes[..8].copy_from_slice(&case.reported.to_le_bytes());
        let invalid: EngineEstimates = postcard::from_bytes(&bytes).unwrap();
        let mut peers = PeerReports::default();
        peers.record_estimates("peer", vec![(SERVICE, invalid)], Instant::now());
        let accepted = peers.estimates(SERVICE).count() > 0;
        assert_eq!(accepted, case.is_accepted, "{}", case.name);
        let pool = EngineEstimates::pooled(peers.estimates(SERVICE));
        assert!(pool.outputs.generation_time(500) < Duration::from_secs(60), "{}", case.name);
    }
}
