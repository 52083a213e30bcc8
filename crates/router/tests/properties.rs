//! Properties that hold for every order of events: response assembly from arbitrary lines, presets
//! that never revert, and retries within their budget.

use proptest::prelude::*;
use umberglade_router::admission::RetryBudget;
use umberglade_router::control::ControlSnapshot;
use umberglade_router::pipeline::AssemblyStep;
use umberglade_router::pipeline::ResponseAssembler;
use umberglade_wire::engine::DecodeEvent;
use umberglade_wire::platform::ACTIVE_KEY;
use umberglade_wire::platform::ActivePreset;
use umberglade_wire::platform::Row;

const REQUEST_ID: &str = "entry-1-a-1";

/// A stream line, which an engine may send in any order.
#[derive(Debug, Clone)]
enum Line {
    Token { own: bool, index: u32 },
    Done { own: bool, tokens: u32 },
    Failed { own: bool },
}

fn line() -> impl Strategy<Value = Line> {
    prop_oneof![
        8 => (any::<bool>(), 0u32..12).prop_map(|(own, index)| Line::Token { own, index }),
        2 => (any::<bool>(), 0u32..12).prop_map(|(own, tokens)| Line::Done { own, tokens }),
        1 => any::<bool>().prop_map(|own| Line::Failed { own }),
    ]
}

fn event(line: &Line) -> DecodeEvent {
    let id = |own: &bool| if *own { REQUEST_ID.to_owned() } else { "entry-2-b-1".to_owned() };
    match line {
        Line::Token { own, index } => {
            let owner = if *own { "own" } else { "other" };
            let text = format!("{owner}{index} ");
            DecodeEvent::Token { request_id: id(own), index: *index, text }
        }
        Line::Done { own, tokens } => DecodeEvent::Done {
            request_id: id(own),
            tokens: *tokens,
            finish_reason: "length".into(),
        },
        Line::Failed { own } => {
            DecodeEvent::Failed { request_id: id(own), message: "failed".into() }
        }
    }
}

/// Feeds `lines` to an assembler, treating the lines after a failure as a new stream, until the
/// response is complete. Returns the tokens and, if complete, the stated token count.
fn assemble(lines: &[Line]) -> (Vec<String>, Option<u32>) {
    let mut assembler = ResponseAssembler::new(REQUEST_ID.to_owned());
    let mut text = Vec::new();
    for line in lines {
        match assembler.accept(event(line)) {
            AssemblyStep::Token(token) => text.push(token),
            AssemblyStep::Done { tokens, .. } => return (text, Some(tokens)),
            AssemblyStep::Ignored | AssemblyStep::Broken(_) => {}
        }
    }
    (text, None)
}

proptest! {
    /// Lines arrive mixed with another organisation's, repeated, late and out of order, over any
    /// number of streams. Only the request's own tokens 0, 1, 2, … may be forwarded, each once,
    /// and the response may be complete only when all of them were forwarded.
    #[test]
    fn response_contains_only_own_tokens_in_order(lines in prop::collection::vec(line(), 0..80)) {
        let (text, done) = assemble(&lines);
        for (index, token) in text.iter().enumerate() {
            prop_assert_eq!(token, &format!("own{index} "));
        }
        if let Some(tokens) = done {
            prop_assert_eq!(tokens as usize, text.len());
        }
    }

    /// The rows of the active preset are read repeatedly and in any order, from store replicas
    /// that lag or were rolled back. The daemon's fence must never decrease, and its preset must
    /// always match the fence.
    #[test]
    fn preset_never_reverts(versions in prop::collection::vec(1u64..20, 1..60)) {
        let mut snapshot = ControlSnapshot::default();
        let mut highest = 0;
        for version in versions {
            snapshot.apply_row(&active_row(version));
            highest = highest.max(version);
            prop_assert_eq!(snapshot.fence, highest);
            prop_assert_eq!(&snapshot.preset_name, &format!("preset-{highest}"));
        }
    }

    /// For every mix of requests and retries, the granted retries never exceed the initial balance
    /// plus a fifth of the requests.
    #[test]
    fn retries_stay_within_budget(calls in prop::collection::vec(any::<bool>(), 0..2000)) {
        let budget = RetryBudget::default();
        let mut requests = 0.0;
        let mut retries = 0.0;
        for is_request in calls {
            if is_request {
                budget.deposit();
                requests += 1.0;
            } else if budget.try_consume() {
                retries += 1.0;
            }
            prop_assert!(retries <= 20.0 + requests * 0.2 + 1e-6);
        }
    }
}

fn active_row(version: u64) -> Row {
    let body = serde_json::json!({
        "description": "a preset",
        "default_max_tokens": 8,
        "urgent_prompt_tokens": 512,
        "max_in_flight": 10,
        "prefill_keep_ms": 500,
        "urgent": { "ttft_ms": 900, "tpot_ms": 48 },
        "standard": { "ttft_ms": 900, "tpot_ms": 48 },
    });
    let active = ActivePreset {
        preset: format!("preset-{version}"),
        preset_version: 1,
        activated_by: "a shift".into(),
        body,
    };
    let value = serde_json::to_value(active).unwrap();
    Row { key: ACTIVE_KEY.into(), version, written_ms: 0, value }
}
