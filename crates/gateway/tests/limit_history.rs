//! Which limits a caller may go by that began at some time.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::LimitHistory;
use umberglade_gateway::model::CallerLimits;

/// Time within which a caller learns of a change.
const NOTICE_TIME: Duration = Duration::from_secs(2);

fn idle_limit(seconds: u64) -> CallerLimits {
    CallerLimits { idle_timeout: Duration::from_secs(seconds), ..CallerLimits::default() }
}

/// A caller must be held to none of the limits that came into force after it began, nor to a
/// smaller one that it may not know yet; and to no limit that was replaced before.
#[test]
fn callers_go_by_the_largest_limit_since_they_began() {
    struct Case {
        name: &'static str,
        /// When a limit came into force, and its idle time, in seconds.
        changes: &'static [(u64, u64)],
        began_at: u64,
        idle_s: u64,
    }
    let cases = [
        Case { name: "no configuration", changes: &[], began_at: 5, idle_s: 15 },
        Case { name: "one", changes: &[(0, 4)], began_at: 5, idle_s: 4 },
        Case { name: "raised since", changes: &[(0, 4), (8, 9)], began_at: 5, idle_s: 9 },
        Case { name: "lowered since", changes: &[(0, 9), (8, 4)], began_at: 5, idle_s: 9 },
        Case { name: "just lowered", changes: &[(0, 9), (4, 4)], began_at: 5, idle_s: 9 },
        Case { name: "lowered before", changes: &[(0, 9), (4, 4)], began_at: 7, idle_s: 4 },
        Case {
            name: "raised and lowered since",
            changes: &[(0, 4), (6, 9), (7, 3)],
            began_at: 5,
            idle_s: 9,
        },
        Case {
            name: "replaced long ago",
            changes: &[(0, 9), (30, 4), (60, 5), (90, 4)],
            began_at: 93,
            idle_s: 4,
        },
    ];
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    for case in cases {
        let mut history = LimitHistory::new(NOTICE_TIME);
        for (since, idle_s) in case.changes {
            history.record(idle_limit(*idle_s), at(*since));
        }
        let limits = history.largest_since(at(case.began_at));
        assert_eq!(limits.idle_timeout, Duration::from_secs(case.idle_s), "{}", case.name);
    }
}

/// A storm of configurations must not make each request pass through all limits of the past, nor
/// forget one that a caller may still go by.
#[test]
fn a_storm_of_limits_is_forgotten_in_time() {
    const CHANGES: u64 = 100_000;
    let start = Instant::now();
    let mut history = LimitHistory::new(NOTICE_TIME);
    history.record(idle_limit(60), start);
    for change in 1..=CHANGES {
        let at = start + Duration::from_millis(100 * change);
        history.record(idle_limit(3 + change % 2), at);
        let largest = history.largest_since(at - Duration::from_secs(3));
        // Replaced after 0.1 s, and known to callers 2 s later; they began 3 s ago.
        let is_early = change <= 51;
        let is_first = largest.idle_timeout == Duration::from_secs(60);
        assert_eq!(is_first, is_early, "change {change}");
    }
    assert!(history.len() < 200, "{} limits", history.len());
}

/// A time limit without end in a configuration must not end the process.
#[test]
fn endless_limits_are_held() {
    let start = Instant::now();
    let mut history = LimitHistory::new(NOTICE_TIME);
    let endless = CallerLimits {
        idle_timeout: Duration::MAX,
        header_timeout: Duration::MAX,
        ..CallerLimits::default()
    };
    history.record(endless, start);
    history.record(idle_limit(3), start + Duration::from_secs(1));
    assert_eq!(history.largest_since(start), endless);
}
