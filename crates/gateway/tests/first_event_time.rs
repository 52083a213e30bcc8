//! The estimated time to first event.

use std::time::Duration;

use umberglade_gateway::cluster::FirstEventTime;

struct FirstEventCase {
    name: &'static str,
    /// Milliseconds to the first event of each stream, repeated.
    took: &'static [u64],
    /// Time within which nine of ten streams have started.
    p90_ms: std::ops::RangeInclusive<u64>,
}

fn recorded(took: &[u64]) -> FirstEventTime {
    let mut first_event_time = FirstEventTime::default();
    for at in 0..200 {
        first_event_time.record(Duration::from_millis(took[at % took.len()]));
    }
    first_event_time
}

/// Requests are placed from a full queue just before their response would miss its target. With the
/// mean time to first event alone, a third of all responses placed in a burst miss their target by
/// less than 0.1 s.
#[test]
fn nine_of_ten_streams_begin_within_p90() {
    let cases = [
        FirstEventCase { name: "even", took: &[250], p90_ms: 250..=250 },
        FirstEventCase {
            name: "typical spread",
            took: &[220, 230, 240, 250, 255, 260, 270, 290, 330, 400],
            p90_ms: 320..=400,
        },
        FirstEventCase {
            name: "slow links",
            took: &[800, 900, 1000, 1100, 1400],
            p90_ms: 1200..=1500,
        },
    ];
    for case in cases {
        let p90 = recorded(case.took).p90().as_millis() as u64;
        assert!(case.p90_ms.contains(&p90), "{}: {p90}", case.name);
    }
}

/// All gateways restart and every caller returns at once: prompts queue, and streams take 1.5 s to
/// start. A gateway serves two streams per second. If these samples count for too long, no new
/// request can be within target for 12 s, so that all wait in order of arrival and miss theirs.
#[test]
fn the_estimate_recovers_soon_after_a_slow_start() {
    const TARGET: Duration = Duration::from_millis(900);
    let mut first_event_time = FirstEventTime::default();
    (0..10).for_each(|_| first_event_time.record(Duration::from_millis(1500)));
    let worst = first_event_time.max_placement_delay(TARGET);
    assert!(worst >= TARGET / 3, "new requests can always be within target: {worst:?}");
    let normal = Duration::from_millis(260);
    (0..10).for_each(|_| first_event_time.record(normal));
    let soon = first_event_time.p90();
    assert!(soon < TARGET, "{soon:?} after five seconds");
    (0..10).for_each(|_| first_event_time.record(normal));
    assert!(first_event_time.p90() < normal * 3 / 2, "{:?} after ten", first_event_time.p90());
}

#[test]
fn too_few_streams_are_used_only_when_pooled() {
    let mut one = FirstEventTime::default();
    (0..3).for_each(|_| one.record(Duration::from_millis(700)));
    let unknown = FirstEventTime::default().p90();
    assert_eq!(one.p90(), unknown);
    let pool = (0..10).fold(FirstEventTime::default(), |pool, _| pool.pooled_with(&one));
    assert_eq!(pool.p90(), Duration::from_millis(700));
}
