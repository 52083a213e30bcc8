//! How long streams take to begin.

use std::time::Duration;

use umberglade_gateway::cluster::FirstEventTime;

struct OpeningCase {
    name: &'static str,
    /// Milliseconds that streams took, over and over.
    took: &'static [u64],
    /// Within this most of them have begun.
    likely_ms: std::ops::RangeInclusive<u64>,
}

fn learned(took: &[u64]) -> FirstEventTime {
    let mut opening = FirstEventTime::default();
    for at in 0..200 {
        opening.note(Duration::from_millis(took[at % took.len()]));
    }
    opening
}

/// Requests leave a full line just before an answer begun would be late. With
/// the usual time to the first event alone, a third of all answers given out
/// in a burst came too late by less than a tenth of a second.
#[test]
fn nine_of_ten_streams_begin_within_what_is_likely() {
    let cases = [
        OpeningCase { name: "even", took: &[250], likely_ms: 250..=250 },
        OpeningCase {
            name: "as measured",
            took: &[220, 230, 240, 250, 255, 260, 270, 290, 330, 400],
            likely_ms: 320..=400,
        },
        OpeningCase {
            name: "slow links",
            took: &[800, 900, 1000, 1100, 1400],
            likely_ms: 1200..=1500,
        },
    ];
    for case in cases {
        let likely = learned(case.took).likely().as_millis() as u64;
        assert!(case.likely_ms.contains(&likely), "{}: {likely}", case.name);
    }
}

/// All gateways restart, and every caller comes back at once: prompts queue and
/// streams take 1.5 s to begin. A gateway serves two streams a second. Judged by
/// what it saw then, no newcomer could be on time for twelve seconds, all waited
/// in the order of arrival, and all were late.
#[test]
fn a_slow_start_is_forgotten_soon() {
    const TARGET: Duration = Duration::from_millis(900);
    let mut opening = FirstEventTime::default();
    (0..10).for_each(|_| opening.note(Duration::from_millis(1500)));
    let worst = opening.latest_start(TARGET);
    assert!(worst >= TARGET / 3, "newcomers can be on time at any time: {worst:?}");
    let well = Duration::from_millis(260);
    (0..10).for_each(|_| opening.note(well));
    let soon = opening.likely();
    assert!(soon < TARGET, "{soon:?} after five seconds");
    (0..10).for_each(|_| opening.note(well));
    assert!(opening.likely() < well * 3 / 2, "{:?} after ten", opening.likely());
}

#[test]
fn too_few_streams_tell_nothing_alone_and_much_together() {
    let mut one = FirstEventTime::default();
    (0..3).for_each(|_| one.note(Duration::from_millis(700)));
    let unknown = FirstEventTime::default().likely();
    assert_eq!(one.likely(), unknown);
    let pool = (0..10).fold(FirstEventTime::default(), |pool, _| pool.with(&one));
    assert_eq!(pool.likely(), Duration::from_millis(700));
}
