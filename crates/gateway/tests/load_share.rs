//! KV cache memory that streams at one engine are expected to hold.

use umberglade_gateway::cluster::LoadShare;
use umberglade_gateway::model::PromptShape;

/// Fraction of an engine's memory that placement uses, of [`MEMORY`].
const USABLE_FRACTION: f64 = 0.95;

fn stream(prompt_tokens: u32, output: u32) -> LoadShare {
    LoadShare::of_stream(&PromptShape {
        prompt_tokens,
        output_limit: output,
        output_estimate: Some(output),
    })
}

#[test]
fn peak_tokens_of_streams() {
    struct PeakCase {
        name: &'static str,
        /// Prompt tokens, response tokens, and response tokens already generated, of each stream.
        streams: &'static [(u32, u32, u32)],
        peak: f64,
    }
    let cases = [
        PeakCase { name: "none", streams: &[], peak: 0.0 },
        PeakCase { name: "one at its start", streams: &[(5000, 1000, 0)], peak: 6000.0 },
        PeakCase { name: "one halfway", streams: &[(5000, 1000, 500)], peak: 6000.0 },
        PeakCase {
            name: "two that start together",
            streams: &[(5000, 1000, 0), (5000, 1000, 0)],
            peak: 12_000.0,
        },
        // The older ends after 500 more tokens, when the younger has generated 500 too.
        PeakCase {
            name: "two half a response apart",
            streams: &[(5000, 1000, 0), (5000, 1000, 500)],
            peak: 11_500.0,
        },
        // Each adds 250 tokens until the first ends.
        PeakCase {
            name: "four evenly apart",
            streams: &[(5000, 1000, 0), (5000, 1000, 250), (5000, 1000, 500), (5000, 1000, 750)],
            peak: 22_500.0,
        },
        PeakCase { name: "one that is complete", streams: &[(5000, 1000, 1000)], peak: 6000.0 },
    ];
    for case in cases {
        let load = case.streams.iter().fold(LoadShare::default(), |sum, (prompt, output, made)| {
            sum.plus(LoadShare { made_tokens: *made, ..stream(*prompt, *output) })
        });
        let error = (load.peak_tokens() - case.peak).abs();
        assert!(error <= case.peak * 0.03, "{}: {}", case.name, load.peak_tokens());
    }
}

/// Prevents streams from being preempted on a full engine. A burst keeps an engine of 62,000 tokens
/// full with streams of 5,000 and responses of 3,500, each placed as soon as there is capacity. If
/// capacity is computed from what streams hold at that moment, one more is placed than there is
/// memory for when all have progressed: one in nine is preempted, stalls for half a second and has
/// its prompt prefilled again.
#[test]
fn a_full_engine_preempts_no_stream() {
    const MEMORY: f64 = 62_000.0;
    const PROMPTS: [u32; 7] = [3000, 8000, 5000, 4000, 6500, 2500, 6000];
    const OUTPUTS: [u32; 5] = [3500, 2000, 5000, 2500, 4500];
    /// Tokens generated between two checks.
    const STEP: u32 = 50;
    let mut running: Vec<(u32, u32, u32)> = Vec::new();
    let (mut placed, mut ended, mut max_held) = (0, 0, 0.0f64);
    for _ in 0..4000 {
        for stream in &mut running {
            stream.2 += STEP;
        }
        let before = running.len();
        running.retain(|(_, output, made)| made < output);
        ended += before - running.len();
        loop {
            let next = (PROMPTS[placed % PROMPTS.len()], OUTPUTS[placed % OUTPUTS.len()], 0);
            let load =
                running.iter().chain([&next]).fold(LoadShare::default(), |sum, stream_state| {
                    sum.plus(LoadShare {
                        made_tokens: stream_state.2,
                        ..stream(stream_state.0, stream_state.1)
                    })
                });
            if load.peak_tokens() > MEMORY * USABLE_FRACTION {
                break;
            }
            running.push(next);
            placed += 1;
        }
        let held: u32 = running.iter().map(|(prompt, _, made)| prompt + made).sum();
        max_held = max_held.max(f64::from(held));
    }
    assert!(max_held <= MEMORY, "{max_held} tokens held, {ended} streams");
    assert!(max_held >= MEMORY * 0.85, "{max_held} tokens held: capacity is wasted");
}
