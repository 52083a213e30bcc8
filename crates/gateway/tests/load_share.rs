//! What streams at one engine are expected to hold of its memory.

use umberglade_gateway::cluster::LoadShare;
use umberglade_gateway::model::PromptShape;

/// Tokens of an engine's memory that are given out, of [`MEMORY`].
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
        /// Prompt, answer and what of it is made, for each stream.
        streams: &'static [(u32, u32, u32)],
        peak: f64,
    }
    let cases = [
        PeakCase { name: "none", streams: &[], peak: 0.0 },
        PeakCase { name: "one that begins", streams: &[(5000, 1000, 0)], peak: 6000.0 },
        PeakCase { name: "one halfway", streams: &[(5000, 1000, 500)], peak: 6000.0 },
        PeakCase {
            name: "two that begin together",
            streams: &[(5000, 1000, 0), (5000, 1000, 0)],
            peak: 12_000.0,
        },
        // The older ends after 500 more, when the younger has made 500 too.
        PeakCase {
            name: "two half an answer apart",
            streams: &[(5000, 1000, 0), (5000, 1000, 500)],
            peak: 11_500.0,
        },
        // Each adds 250 until the first ends.
        PeakCase {
            name: "four evenly apart",
            streams: &[(5000, 1000, 0), (5000, 1000, 250), (5000, 1000, 500), (5000, 1000, 750)],
            peak: 22_500.0,
        },
        PeakCase { name: "one that is done", streams: &[(5000, 1000, 1000)], peak: 6000.0 },
    ];
    for case in cases {
        let load = case.streams.iter().fold(LoadShare::default(), |sum, (prompt, output, made)| {
            sum.plus(LoadShare { made_tokens: *made, ..stream(*prompt, *output) })
        });
        let error = (load.peak_tokens() - case.peak).abs();
        assert!(error <= case.peak * 0.03, "{}: {}", case.name, load.peak_tokens());
    }
}

/// A burst keeps an engine of 62,000 tokens full with streams of 5,000 and
/// answers of 3,500. Each is given room as soon as there is any. Room counted
/// by what streams hold at that moment let one more in than there was memory
/// for when all had gone on: one in nine was pushed out, stood still for half a
/// second and had its prompt read again.
#[test]
fn a_full_engine_preempts_no_stream() {
    const MEMORY: f64 = 62_000.0;
    const PROMPTS: [u32; 7] = [3000, 8000, 5000, 4000, 6500, 2500, 6000];
    const OUTPUTS: [u32; 5] = [3500, 2000, 5000, 2500, 4500];
    /// Tokens made between two looks.
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
    assert!(max_held >= MEMORY * 0.85, "{max_held} tokens held: room is wasted");
}
