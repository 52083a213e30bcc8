//! The expected length and duration of responses.

use std::time::Duration;

use umberglade_gateway::cluster::OutputEstimate;

const DURATION: Duration = Duration::from_secs(3);

/// Earlier responses, each of the same length, and the length that is then expected.
struct EstimateCase {
    name: &'static str,
    responses: u32,
    length: u32,
    estimate: Option<u32>,
    expected: Option<u32>,
}

/// Callers' estimates are right at the median and often wrong by half. Used alone, they fill an
/// engine beyond its memory, and a stream pauses while its prompt is prefilled a second time.
#[test]
fn caller_estimates_are_weighted_with_typical_lengths() {
    let case = |name, responses, length, estimate, expected| EstimateCase {
        name,
        responses,
        length,
        estimate,
        expected,
    };
    let cases = [
        case("nothing known", 0, 0, None, None),
        case("too few responses", 5, 3400, Some(800), Some(800)),
        case("no estimate", 6, 3400, None, Some(3638)),
        case("typical", 6, 3400, Some(3400), Some(3638)),
        case("estimated short", 50, 3600, Some(900), Some(1926)),
        case("estimated long", 50, 900, Some(3600), Some(1926)),
        case("estimated zero", 50, 3600, Some(0), Some(64)),
    ];
    for case in cases {
        let mut output_estimate = OutputEstimate::default();
        for _ in 0..case.responses {
            output_estimate.record(case.length, DURATION);
        }
        let expected = output_estimate.expected_tokens(case.estimate);
        let near = |left: u32, right: u32| left.abs_diff(right) <= 2;
        let is_right = match (expected, case.expected) {
            (Some(left), Some(right)) => near(left, right),
            (left, right) => left == right,
        };
        assert!(is_right, "{}: {expected:?}, not {:?}", case.name, case.expected);
    }
}

/// Responses become twice as long when a configuration changes the requests; the new length is
/// expected after a few dozen responses.
#[test]
fn the_typical_length_follows_the_responses() {
    let mut output_estimate = OutputEstimate::default();
    (0..100).for_each(|_| output_estimate.record(1000, DURATION));
    (0..60).for_each(|_| output_estimate.record(2000, DURATION));
    let expected = output_estimate.expected_tokens(None).unwrap();
    assert!((1950..2200).contains(&expected), "{expected}");
}

/// A retrying caller has 7 s left and waits for 3 of them, while its response takes 5 s: it must be
/// rejected in advance instead of cut off at its deadline.
#[test]
fn the_generation_time_is_estimated() {
    let mut output_estimate = OutputEstimate::default();
    assert_eq!(output_estimate.generation_time(4000), Duration::ZERO, "nothing known");
    (0..20).for_each(|_| output_estimate.record(3000, DURATION));
    let time = output_estimate.generation_time(4000).as_secs_f64();
    assert!((3.9..4.1).contains(&time), "{time}");
}
