//! When a server is ejected, by how its attempts end.

mod dark_server;

use std::time::Duration;
use std::time::Instant;

use dark_server::DarkRun;
use umberglade_gateway::cluster::ServerHealth;
use umberglade_gateway::cluster::ServerOutcome;
use umberglade_gateway::cluster::ServerOutcome::Failed;
use umberglade_gateway::cluster::ServerOutcome::Fine;
use umberglade_gateway::cluster::ServerOutcome::Refused;
use umberglade_gateway::cluster::ServerOutcome::Silent;
use umberglade_gateway::cluster::ServerOutcome::Unreachable;

struct EjectionCase {
    name: &'static str,
    /// Outcomes, each at its time in milliseconds.
    outcomes: &'static [(u64, ServerOutcome)],
    /// Time in milliseconds at which the ejection is looked up.
    at_ms: u64,
    is_ejected: bool,
}

const EJECTION_CASES: [EjectionCase; 9] = [
    EjectionCase {
        name: "many silences within a second and a half",
        outcomes: &[(0, Silent), (1, Silent), (500, Silent), (1000, Silent), (1500, Silent)],
        at_ms: 1500,
        is_ejected: false,
    },
    EjectionCase {
        name: "pauses again and again, with a response between them",
        outcomes: &[(0, Silent), (1400, Silent), (1500, Fine), (2900, Silent), (4300, Silent)],
        at_ms: 4300,
        is_ejected: false,
    },
    EjectionCase {
        name: "a rejection is a response",
        outcomes: &[(0, Silent), (1000, Silent), (1500, Refused), (2500, Silent)],
        at_ms: 2500,
        is_ejected: false,
    },
    EjectionCase {
        name: "two pauses with no request between them",
        outcomes: &[(0, Silent), (5000, Silent)],
        at_ms: 5000,
        is_ejected: false,
    },
    EjectionCase {
        name: "dark for two seconds",
        outcomes: &[(0, Silent), (1000, Silent), (2000, Silent)],
        at_ms: 2000,
        is_ejected: true,
    },
    EjectionCase {
        name: "dark, and its probe met silence",
        outcomes: &[(0, Silent), (1000, Silent), (2000, Silent), (4500, Silent)],
        at_ms: 4500,
        is_ejected: true,
    },
    EjectionCase {
        name: "dark, then back",
        outcomes: &[(0, Silent), (1000, Silent), (2000, Silent), (2100, Fine)],
        at_ms: 2100,
        is_ejected: false,
    },
    EjectionCase {
        name: "refuses connections",
        outcomes: &[(0, Unreachable)],
        at_ms: 0,
        is_ejected: true,
    },
    EjectionCase {
        name: "breaks off two responses",
        outcomes: &[(0, Failed), (10, Failed)],
        at_ms: 10,
        is_ejected: true,
    },
];

/// Prevents a sound server that pauses for a second or so from being taken out of use, and one that
/// is dark for good from staying in use.
#[test]
fn only_a_long_silence_ejects_a_server() {
    for case in &EJECTION_CASES {
        let start = Instant::now();
        let at = |millis| start + Duration::from_millis(millis);
        let mut health = ServerHealth::default();
        for (millis, outcome) in case.outcomes {
            health.record(*outcome, at(*millis));
        }
        assert_eq!(health.is_ejected(at(case.at_ms)), case.is_ejected, "{}", case.name);
    }
}

struct LateSilenceCase {
    name: &'static str,
    /// When the attempt that ends 250 ms after the pause began, in milliseconds.
    waited_since_ms: u64,
    is_ejected: bool,
}

const LATE_SILENCE_CASES: [LateSilenceCase; 2] = [
    LateSilenceCase { name: "begun in the pause", waited_since_ms: 1300, is_ejected: false },
    LateSilenceCase { name: "begun after the response", waited_since_ms: 1450, is_ejected: true },
];

/// Prevents a connection that times out just after a pause from joining it to the next one.
#[test]
fn a_silence_that_ends_after_a_response_begins_with_it() {
    for case in &LATE_SILENCE_CASES {
        let start = Instant::now();
        let at = |millis| start + Duration::from_millis(millis);
        let mut health = ServerHealth::default();
        health.record(Silent, at(250));
        health.record(Fine, at(1400));
        health.record_since(Silent, at(case.waited_since_ms), at(1650));
        health.record(Silent, at(3400));
        health.record(Silent, at(3700));
        assert_eq!(health.is_ejected(at(3700)), case.is_ejected, "{}", case.name);
    }
}

/// Prevents a pause from leaving a server as preferred as those that respond.
#[test]
fn a_silence_lowers_the_preference_for_a_server() {
    let now = Instant::now();
    let mut health = ServerHealth::default();
    health.record(ServerOutcome::Silent, now);
    assert!(health.failure_fraction(now) > 0.0);
}

/// Requests that a server dark for good may receive in 50 s, after it was found to be: silences
/// less than 2 s apart eject it, so that there is at most one in 2 s.
const MAX_LATE_REQUESTS: usize = 25;

/// Prevents a server that is dark for good from receiving requests on and on.
#[test]
fn a_dark_server_receives_few_requests() {
    for requests_per_s in [1, 5, 20, 100, 200, 280] {
        let run = |outcome| DarkRun::play(requests_per_s, outcome);
        let (as_failed, as_silent) = (run(ServerOutcome::Failed), run(ServerOutcome::Silent));
        println!("{requests_per_s}/s: as failed {as_failed:?}, silent {as_silent:?}");
        assert!(as_silent.late <= MAX_LATE_REQUESTS, "{requests_per_s}/s: {as_silent:?}");
    }
}
