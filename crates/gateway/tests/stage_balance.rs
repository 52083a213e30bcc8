//! What is learned of engines' work, and how many should read prompts.

use std::time::Duration;

use umberglade_gateway::cluster::PrefillRate;
use umberglade_gateway::cluster::StageBalance;
use umberglade_gateway::model::EngineSpec;

/// The time that every prompt takes besides its tokens, in milliseconds.
const BASE_MS: f64 = 110.0;

/// Prompts as they come: short and long, some behind others.
fn prompts() -> impl Iterator<Item = u32> {
    (0..60u32).map(|at| 1000 + (at * 2741) % 9000 + if at % 3 == 0 { 5000 } else { 0 })
}

fn learned(tokens_per_ms: f64, base_ms: f64) -> PrefillRate {
    let mut pace = PrefillRate::default();
    for tokens in prompts() {
        let millis = base_ms + f64::from(tokens) / tokens_per_ms;
        pace.note(tokens, Duration::from_secs_f64(millis / 1000.0));
    }
    pace
}

/// The pace is that of the engine's work on tokens, whatever else passes.
#[test]
fn the_reading_pace_is_learned() {
    struct PaceCase {
        tokens_per_ms: f64,
        base_ms: f64,
    }
    let cases = [
        PaceCase { tokens_per_ms: 55.0, base_ms: BASE_MS },
        PaceCase { tokens_per_ms: 14.0, base_ms: BASE_MS },
        PaceCase { tokens_per_ms: 300.0, base_ms: 10.0 },
        PaceCase { tokens_per_ms: 2.0, base_ms: 0.0 },
    ];
    for case in cases {
        let pace = learned(case.tokens_per_ms, case.base_ms);
        let found = 1.0 / pace.millis_per_token().expect("enough prompts");
        let off = found / case.tokens_per_ms;
        assert!((0.6..=1.1).contains(&off), "{found} for {}", case.tokens_per_ms);
        let estimate = pace.estimate(20_000).expect("enough prompts").as_secs_f64() * 1000.0;
        let true_time = case.base_ms + 20_000.0 / case.tokens_per_ms;
        assert!((estimate / true_time - 1.0).abs() < 0.3, "{estimate} for {true_time}");
    }
    let mut new = PrefillRate::default();
    new.note(5000, Duration::from_millis(200));
    assert_eq!(new.millis_per_token(), None, "one prompt tells nothing");
}

/// Prompts of one length only: all of their time counts as reading, which is
/// too much rather than too little.
#[test]
fn prompts_of_one_length_count_in_full() {
    let mut pace = PrefillRate::default();
    (0..40).for_each(|_| pace.note(1000, Duration::from_millis(100)));
    let slope = pace.millis_per_token().expect("enough prompts");
    assert!((slope - 0.1).abs() < 0.001, "{slope}");
}

/// Any stage may be the narrow one: the same streams on engines that read
/// slowly, have more memory, or few places.
#[test]
fn readers_are_wanted_by_what_streams_take() {
    struct BalanceCase {
        name: &'static str,
        tokens_per_ms: f64,
        slots: u32,
        kv_tokens: u32,
        stay_ms: u64,
        wanted: usize,
    }
    let usual = BalanceCase {
        name: "memory is narrow",
        tokens_per_ms: 55.0,
        slots: 64,
        kv_tokens: 58_379,
        stay_ms: 3700,
        wanted: 3,
    };
    let cases = [
        BalanceCase { name: "reading at half the pace", tokens_per_ms: 27.0, wanted: 5, ..usual },
        BalanceCase { name: "at a quarter", tokens_per_ms: 14.0, wanted: 7, ..usual },
        BalanceCase { name: "twice the memory", kv_tokens: 116_758, wanted: 5, ..usual },
        BalanceCase { name: "few places", slots: 4, kv_tokens: 1 << 20, wanted: 2, ..usual },
        BalanceCase { name: "short answers", stay_ms: 400, wanted: 9, ..usual },
        usual,
    ];
    for case in cases {
        let mut balance = StageBalance::default();
        balance.reading = learned(case.tokens_per_ms, BASE_MS);
        let spec = EngineSpec {
            slots: case.slots,
            kv_tokens: case.kv_tokens,
            handle_ttl: Duration::from_millis(500),
            tokens_per_event: 8,
        };
        assert_eq!(balance.wanted_readers(12, &spec), None, "{}: no stream yet", case.name);
        for _ in 0..20 {
            balance.note_stream(5200, 536, Duration::from_millis(case.stay_ms));
        }
        assert_eq!(balance.wanted_readers(12, &spec), Some(case.wanted), "{}", case.name);
    }
}
