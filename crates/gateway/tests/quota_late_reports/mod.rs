//! Quotas while reports between gateways are late.

use std::time::Duration;

use crate::quota_fleet::BURST;
use crate::quota_fleet::Fleet;
use crate::quota_fleet::RATE;
use crate::quota_fleet::STEP;
use crate::quota_fleet::bound;

const STEPS_PER_S: u32 = 200;
/// When reports begin to be late, in seconds.
const LATE_AT: u32 = 10;

struct LateCase {
    name: &'static str,
    /// Gateways that get requests.
    running: usize,
    /// Gateways that start when reports begin to be late.
    added: usize,
    /// Requests in each step; the limit allows one every 30 ms.
    arrivals: usize,
    late: Duration,
    late_for_s: u32,
}

impl LateCase {
    /// Returns the most that was granted in a window.
    fn max_in_window(&self, seed: u64) -> u64 {
        let mut fleet = Fleet::new(self.running, 0, seed);
        for step in 0..(LATE_AT + self.late_for_s + 4) * STEPS_PER_S {
            if step == LATE_AT * STEPS_PER_S {
                fleet.delay = self.late;
                fleet.add(self.added);
            }
            if step == (LATE_AT + self.late_for_s) * STEPS_PER_S {
                fleet.delay = STEP;
            }
            fleet.step(self.arrivals, |draw, _| draw.usize(..self.running));
        }
        fleet.max_in_window()
    }
}

/// Prevents gateways from granting what others have spent already, where many start at once and
/// reports take longer than in normal times.
#[test]
fn a_hot_organisation_gets_no_more_than_its_quota_while_reports_are_late() {
    let start = LateCase {
        name: "many start",
        running: 46,
        added: 28,
        arrivals: 2,
        late: Duration::from_secs(1),
        late_for_s: 1,
    };
    let cases = [
        LateCase { name: "in time", late: STEP, ..start },
        LateCase { name: "hardly late", late: Duration::from_millis(200), ..start },
        LateCase { name: "half a second late", late: Duration::from_millis(500), ..start },
        LateCase { name: "few requests", arrivals: 1, ..start },
        LateCase { name: "few gateways", running: 6, added: 0, late_for_s: 3, ..start },
        LateCase { name: "none start", added: 0, late_for_s: 3, ..start },
        LateCase { ..start },
    ];
    let allowed = bound(RATE, BURST);
    let mut exceeded = Vec::new();
    for case in cases {
        let max_units = case.max_in_window(0);
        if max_units as f64 > allowed {
            exceeded.push(format!("{}: {max_units} of {allowed}", case.name));
        }
    }
    assert!(exceeded.is_empty(), "{}", exceeded.join("\n"));
}

/// Prevents a quota from costing requests within its limit, where reports are late by more and more
/// as queues grow.
#[test]
fn nothing_within_the_limit_is_rejected_while_reports_are_late() {
    struct Case {
        gateways: usize,
        late: Duration,
        burst: f64,
        /// True when all requests arrive at one gateway.
        is_skewed: bool,
    }
    let normal = Case { gateways: 6, late: STEP, burst: BURST, is_skewed: false };
    let late = Case { late: Duration::from_secs(1), ..normal };
    let cases = [
        Case { late: Duration::from_millis(200), ..normal },
        Case { is_skewed: true, ..normal },
        Case { gateways: 63, late: Duration::from_millis(200), ..normal },
        Case { gateways: 63, ..late },
        Case { is_skewed: true, ..late },
        Case { is_skewed: true, burst: BURST / 10.0, ..late },
        Case { gateways: 63, is_skewed: true, burst: BURST / 10.0, ..late },
        Case { burst: BURST / 10.0, ..late },
        Case { ..late },
        Case { ..normal },
    ];
    for Case { gateways, late, burst, is_skewed } in cases {
        let mut fleet = Fleet::new(gateways, 0, 0);
        fleet.set_limit(RATE, burst);
        // 0.9 of the rate.
        for step in 0..(LATE_AT + 8) * STEPS_PER_S {
            if step == LATE_AT * STEPS_PER_S {
                fleet.rejected = 0;
            }
            if (LATE_AT * STEPS_PER_S..(LATE_AT + 5) * STEPS_PER_S).contains(&step) {
                let elapsed = STEP * (step - LATE_AT * STEPS_PER_S);
                fleet.delay = (STEP + elapsed / 2).min(late);
            } else {
                fleet.delay = STEP;
            }
            let arrivals = usize::from(step % 20 < 3);
            fleet.step(arrivals, |draw, count| if is_skewed { 0 } else { draw.usize(..count) });
        }
        let rejected = fleet.rejected;
        assert_eq!(
            rejected, 0,
            "{gateways} gateways, {late:?} late, burst {burst}, skewed {is_skewed}"
        );
    }
}

/// Prevents gateways from granting too much where reports stay late by a second for seconds: what
/// is granted then swings around the limit.
#[test]
fn a_hot_organisation_gets_no_more_than_its_quota_while_reports_stay_late() {
    let few_requests = LateCase {
        name: "few requests",
        running: 46,
        added: 28,
        arrivals: 1,
        late: Duration::from_secs(1),
        late_for_s: 3,
    };
    let many_requests = LateCase { name: "many requests", arrivals: 2, ..few_requests };
    let allowed = bound(RATE, BURST);
    let mut exceeded = Vec::new();
    for case in [few_requests, many_requests] {
        for seed in 0..2 {
            let max_units = case.max_in_window(seed);
            if max_units as f64 > allowed {
                exceeded.push(format!("{}, seed {seed}: {max_units} of {allowed}", case.name));
            }
        }
    }
    assert!(exceeded.is_empty(), "{}", exceeded.join("\n"));
}
