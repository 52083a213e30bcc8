//! Attempts that break although no server crashed under them, which must not count as crashes.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::AttemptOutcome;
use umberglade_gateway::cluster::BrokenRun;
use umberglade_gateway::cluster::CrashDetector;
use umberglade_gateway::cluster::OutcomeUpdate;
use umberglade_gateway::model::CrashSuspects;
use umberglade_gateway::model::RequestFingerprint;
use umberglade_gateway::model::ServerIncarnation;
use umberglade_gateway::model::prompt_part;

const CONTENT: RequestFingerprint = 7 << 16;
const SERVERS: std::ops::Range<ServerIncarnation> = 1..4;

/// A step at each server in turn. Times are milliseconds from the start; requests are sent at
/// `sent_at`.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// An attempt of the request breaks.
    Break { sent_at: u64, at: u64 },
    /// A peer reports that an attempt of the request broke.
    PeerBreak { at: u64 },
    /// An attempt of another request, which no other has in common, breaks.
    OtherBreak { sent_at: u64, at: u64 },
    /// No connection to the server can be opened.
    Unreachable { at: u64 },
    /// The server responds to another request.
    Response { sent_at: u64, at: u64 },
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    is_quarantined: bool,
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// What the requests that are judged have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Common {
    Content,
    Parts,
}

struct Replay {
    common: Common,
    detector: CrashDetector,
    started_at: Instant,
}

impl Replay {
    fn suspects(&self, server: ServerIncarnation) -> CrashSuspects {
        match self.common {
            Common::Content => CrashSuspects { content: CONTENT, ..CrashSuspects::default() },
            Common::Parts => CrashSuspects {
                content: (200 + server) << 16,
                parts: [prompt_part("a0"), prompt_part("b1")].into_iter().collect(),
            },
        }
    }

    fn is_quarantined(&self, now: Instant) -> bool {
        self.suspects(0).iter().any(|of| self.detector.status(of, now).is_some())
    }

    fn apply(&mut self, step: Step, server: ServerIncarnation) {
        let started_at = self.started_at;
        let at = |millis| started_at + ms(millis);
        let run = |sent_at| BrokenRun {
            sent_at: at(sent_at),
            duration: Duration::ZERO,
            sent_events_for: Duration::ZERO,
        };
        let suspects = self.suspects(server);
        let detector = &mut self.detector;
        match step {
            Step::Break { sent_at, at: broke_at } => {
                detector.record_broken_run(&suspects, server, run(sent_at), at(broke_at));
            }
            Step::PeerBreak { at: broke_at } => {
                for content in suspects.iter() {
                    let outcome = AttemptOutcome::Crashed(server);
                    let update = OutcomeUpdate { content, outcome, age_ms: 0 };
                    detector.apply_peer_outcome(update, at(broke_at));
                }
            }
            Step::OtherBreak { sent_at, at: broke_at } => {
                let other = CrashSuspects { content: (100 + server) << 16, ..Default::default() };
                detector.record_broken_run(&other, server, run(sent_at), at(broke_at));
            }
            Step::Unreachable { at: failed_at } => {
                detector.record_unreachable(server, at(failed_at));
            }
            Step::Response { sent_at, at: head_at } => {
                detector.record_response(server, at(sent_at), at(head_at));
            }
        }
    }
}

/// Returns whether the content or a part of the requests is quarantined once the steps have
/// happened: each at all servers before the next, or all at one server before the next server.
fn is_quarantined(common: Common, steps: &[Step], is_by_server: bool) -> bool {
    let started_at = Instant::now();
    let mut replay = Replay { common, detector: CrashDetector::default(), started_at };
    if is_by_server {
        for server in SERVERS {
            steps.iter().for_each(|step| replay.apply(*step, server));
        }
    } else {
        for step in steps {
            SERVERS.for_each(|server| replay.apply(*step, server));
        }
    }
    replay.is_quarantined(started_at + ms(1500))
}

fn check(cases: &[Case]) {
    for case in cases {
        for (common, is_by_server) in [
            (Common::Content, false),
            (Common::Content, true),
            (Common::Parts, false),
            (Common::Parts, true),
        ] {
            let found = is_quarantined(common, case.steps, is_by_server);
            let Case { name, is_quarantined, .. } = *case;
            assert_eq!(found, is_quarantined, "{name}, {common:?}, by server: {is_by_server}");
        }
    }
}

/// Prevents popular requests, and parts that most prompts share, from being quarantined since
/// servers break off streams and go on working.
#[test]
fn breaks_that_servers_outlive_are_no_crashes() {
    check(&[
        Case {
            name: "no response",
            steps: &[Step::Break { sent_at: 0, at: 100 }],
            is_quarantined: true,
        },
        Case {
            name: "a response to a request sent later",
            steps: &[Step::Break { sent_at: 0, at: 100 }, Step::Response { sent_at: 110, at: 150 }],
            is_quarantined: false,
        },
        Case {
            name: "a response that was under way",
            steps: &[Step::Break { sent_at: 0, at: 100 }, Step::Response { sent_at: 90, at: 150 }],
            is_quarantined: true,
        },
        Case {
            name: "a response when the server may be back",
            steps: &[
                Step::Break { sent_at: 0, at: 100 },
                Step::Response { sent_at: 1200, at: 1300 },
            ],
            is_quarantined: true,
        },
        Case {
            name: "a peer saw the break",
            steps: &[Step::PeerBreak { at: 100 }, Step::Response { sent_at: 110, at: 150 }],
            is_quarantined: false,
        },
        Case {
            name: "a peer reports the break again",
            steps: &[
                Step::Break { sent_at: 0, at: 100 },
                Step::Response { sent_at: 110, at: 150 },
                Step::PeerBreak { at: 100 },
            ],
            is_quarantined: false,
        },
        Case {
            name: "a crash after the response",
            steps: &[
                Step::Break { sent_at: 0, at: 100 },
                Step::Response { sent_at: 110, at: 150 },
                Step::Break { sent_at: 160, at: 300 },
            ],
            is_quarantined: true,
        },
    ]);
}

/// Prevents requests from being quarantined that are sent to servers which are down already, while
/// something before them still accepts connections.
#[test]
fn requests_to_servers_that_are_down_crash_nothing() {
    check(&[
        Case {
            name: "sent after another broke",
            steps: &[
                Step::OtherBreak { sent_at: 0, at: 100 },
                Step::Break { sent_at: 300, at: 310 },
            ],
            is_quarantined: false,
        },
        Case {
            name: "under way when another broke",
            steps: &[
                Step::OtherBreak { sent_at: 0, at: 100 },
                Step::Break { sent_at: 50, at: 110 },
            ],
            is_quarantined: true,
        },
        Case {
            name: "sent after the server was out of reach",
            steps: &[Step::Unreachable { at: 100 }, Step::Break { sent_at: 300, at: 310 }],
            is_quarantined: false,
        },
        Case {
            name: "under way when the server went out of reach",
            steps: &[Step::Unreachable { at: 100 }, Step::Break { sent_at: 50, at: 110 }],
            is_quarantined: true,
        },
        Case {
            name: "sent after the server responded again",
            steps: &[
                Step::Unreachable { at: 100 },
                Step::Response { sent_at: 200, at: 250 },
                Step::Break { sent_at: 300, at: 310 },
            ],
            is_quarantined: true,
        },
    ]);
}
