//! Estimates of engines' work, and of how many should prefill prompts.

use std::time::Duration;

use umberglade_gateway::cluster::PrefillRate;
use umberglade_gateway::cluster::StageBalance;
use umberglade_gateway::model::EngineSpec;

/// Time that every prompt takes apart from its tokens, in milliseconds.
const BASE_MS: f64 = 110.0;

/// Prompts of mixed lengths, some queued behind others.
fn prompts() -> impl Iterator<Item = u32> {
    (0..60u32).map(|at| 1000 + (at * 2741) % 9000 + if at % 3 == 0 { 5000 } else { 0 })
}

fn learned_rate(tokens_per_ms: f64, base_ms: f64) -> PrefillRate {
    let mut rate = PrefillRate::default();
    for tokens in prompts() {
        let millis = base_ms + f64::from(tokens) / tokens_per_ms;
        rate.record(tokens, Duration::from_secs_f64(millis / 1000.0));
    }
    rate
}

/// The estimated rate is that of the engine's work on tokens, whatever other time passes.
#[test]
fn the_prefill_rate_is_estimated() {
    struct RateCase {
        tokens_per_ms: f64,
        base_ms: f64,
    }
    let cases = [
        RateCase { tokens_per_ms: 55.0, base_ms: BASE_MS },
        RateCase { tokens_per_ms: 14.0, base_ms: BASE_MS },
        RateCase { tokens_per_ms: 300.0, base_ms: 10.0 },
        RateCase { tokens_per_ms: 2.0, base_ms: 0.0 },
    ];
    for case in cases {
        let rate = learned_rate(case.tokens_per_ms, case.base_ms);
        let estimated_rate = 1.0 / rate.millis_per_token().expect("enough prompts");
        let ratio = estimated_rate / case.tokens_per_ms;
        assert!((0.6..=1.1).contains(&ratio), "{estimated_rate} for {}", case.tokens_per_ms);
        let estimated_ms = rate.estimate(20_000).expect("enough prompts").as_secs_f64() * 1000.0;
        let expected_ms = case.base_ms + 20_000.0 / case.tokens_per_ms;
        assert!((estimated_ms / expected_ms - 1.0).abs() < 0.3, "{estimated_ms} for {expected_ms}");
    }
    let mut new = PrefillRate::default();
    new.record(5000, Duration::from_millis(200));
    assert_eq!(new.millis_per_token(), None, "one prompt is not enough");
}

/// With prompts of one length only, all of their time counts as prefill, which is an overestimate
/// rather than an underestimate.
#[test]
fn prompts_of_one_length_count_in_full() {
    let mut rate = PrefillRate::default();
    (0..40).for_each(|_| rate.record(1000, Duration::from_millis(100)));
    let slope = rate.millis_per_token().expect("enough prompts");
    assert!((slope - 0.1).abs() < 0.001, "{slope}");
}

/// Either stage may be the bottleneck: the same streams on engines that prefill slowly, have more
/// memory, or have few slots.
#[test]
fn target_prefill_servers_follow_the_time_streams_take() {
    struct BalanceCase {
        name: &'static str,
        tokens_per_ms: f64,
        slots: u32,
        kv_tokens: u32,
        stay_ms: u64,
        expected: usize,
    }
    let base_case = BalanceCase {
        name: "memory is the bottleneck",
        tokens_per_ms: 55.0,
        slots: 64,
        kv_tokens: 58_379,
        stay_ms: 3700,
        expected: 3,
    };
    let cases = [
        BalanceCase {
            name: "prefill at half the rate",
            tokens_per_ms: 27.0,
            expected: 5,
            ..base_case
        },
        BalanceCase {
            name: "prefill at a quarter of the rate",
            tokens_per_ms: 14.0,
            expected: 7,
            ..base_case
        },
        BalanceCase { name: "twice the memory", kv_tokens: 116_758, expected: 5, ..base_case },
        BalanceCase { name: "few slots", slots: 4, kv_tokens: 1 << 20, expected: 2, ..base_case },
        BalanceCase { name: "short responses", stay_ms: 400, expected: 9, ..base_case },
        base_case,
    ];
    for case in cases {
        let mut balance = StageBalance::default();
        balance.reading = learned_rate(case.tokens_per_ms, BASE_MS);
        let spec = EngineSpec {
            slots: case.slots,
            kv_tokens: case.kv_tokens,
            handle_ttl: Duration::from_millis(500),
            tokens_per_event: 8,
        };
        assert_eq!(balance.target_prefill_servers(12, &spec), None, "{}: no stream yet", case.name);
        for _ in 0..20 {
            balance.record_stream(5200, 536, Duration::from_millis(case.stay_ms));
        }
        assert_eq!(balance.target_prefill_servers(12, &spec), Some(case.expected), "{}", case.name);
    }
}
