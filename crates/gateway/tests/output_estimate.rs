//! How long an answer is expected to be.

use std::time::Duration;

use umberglade_gateway::cluster::OutputEstimate;

const TOOK: Duration = Duration::from_secs(3);

/// Answers so far, each this long, and what is then expected.
struct GuessCase {
    name: &'static str,
    answers: u32,
    length: u32,
    estimate: Option<u32>,
    expected: Option<u32>,
}

/// Callers' estimates are right at the median and often off by half. Taken
/// alone they fill an engine past its memory, and a stream pauses while its
/// prompt is read a second time.
#[test]
fn estimates_are_weighed_with_usual_answers() {
    let case = |name, answers, length, estimate, expected| GuessCase {
        name,
        answers,
        length,
        estimate,
        expected,
    };
    let cases = [
        case("nothing known", 0, 0, None, None),
        case("too few answers", 5, 3400, Some(800), Some(800)),
        case("no estimate", 6, 3400, None, Some(3638)),
        case("as usual", 6, 3400, Some(3400), Some(3638)),
        case("estimated short", 50, 3600, Some(900), Some(1926)),
        case("estimated long", 50, 900, Some(3600), Some(1926)),
        case("estimated nothing", 50, 3600, Some(0), Some(64)),
    ];
    for case in cases {
        let mut guess = OutputEstimate::default();
        for _ in 0..case.answers {
            guess.note(case.length, TOOK);
        }
        let expected = guess.expect(case.estimate);
        let near = |left: u32, right: u32| left.abs_diff(right) <= 2;
        let is_right = match (expected, case.expected) {
            (Some(left), Some(right)) => near(left, right),
            (left, right) => left == right,
        };
        assert!(is_right, "{}: {expected:?}, not {:?}", case.name, case.expected);
    }
}

/// Answers become twice as long when a configuration changes what is asked;
/// within some dozens of answers the new length is expected.
#[test]
fn the_usual_length_follows_the_answers() {
    let mut guess = OutputEstimate::default();
    (0..100).for_each(|_| guess.note(1000, TOOK));
    (0..60).for_each(|_| guess.note(2000, TOOK));
    let expected = guess.expect(None).unwrap();
    assert!((1950..2200).contains(&expected), "{expected}");
}

/// A caller that came back has seven seconds left and waits for three of
/// them. Its answer takes five: it must be refused before, not cut then.
#[test]
fn the_time_an_answer_takes_is_known() {
    let mut guess = OutputEstimate::default();
    assert_eq!(guess.run_time(4000), Duration::ZERO, "nothing known");
    (0..20).for_each(|_| guess.note(3000, TOOK));
    let time = guess.run_time(4000).as_secs_f64();
    assert!((3.9..4.1).contains(&time), "{time}");
}
