//! Paths to servers, apart from the health of the servers.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::CheckStep;
use umberglade_gateway::cluster::PathVerdict;
use umberglade_gateway::cluster::ServerPaths;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Prevents requests from being written to idle connections that hang: from the first sign of a cut
/// on, a path is used again only once it has been proven.
#[test]
fn paths_are_doubted_until_proven() {
    struct Case {
        name: &'static str,
        /// Whether the path to server 1 is found broken, or only slow to open.
        is_broken: bool,
        /// Milliseconds at which server 2 responds, if it does.
        response_at: Option<u64>,
        at: u64,
        is_doubted: bool,
    }
    let cases = [
        Case {
            name: "another broke",
            is_broken: true,
            response_at: Some(0),
            at: 200,
            is_doubted: true,
        },
        Case { name: "never used", is_broken: true, response_at: None, at: 200, is_doubted: true },
        Case {
            name: "proven since",
            is_broken: true,
            response_at: Some(150),
            at: 200,
            is_doubted: false,
        },
        Case {
            name: "still broken",
            is_broken: true,
            response_at: Some(0),
            at: 12_000,
            is_doubted: true,
        },
        Case {
            name: "a slow one",
            is_broken: false,
            response_at: Some(0),
            at: 200,
            is_doubted: true,
        },
        Case {
            name: "long ago",
            is_broken: false,
            response_at: Some(0),
            at: 12_000,
            is_doubted: false,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut paths = ServerPaths::default();
        if let Some(at) = case.response_at {
            paths.record_response(2, start + ms(at));
        }
        if case.is_broken {
            assert!(paths.record_broken(1, start + ms(100)), "{}", case.name);
        } else {
            paths.record_doubt(start + ms(100));
        }
        let now = start + ms(case.at);
        assert_eq!(paths.is_doubted(2, now), case.is_doubted, "{}", case.name);
        assert_eq!(paths.is_doubted(1, now), case.is_broken || case.is_doubted, "{}", case.name);
    }
}

#[test]
fn a_path_is_broken_until_a_connection_opens() {
    let start = Instant::now();
    let mut paths = ServerPaths::default();
    assert!(paths.record_broken(1, start));
    assert!(!paths.record_broken(1, start + ms(10)));
    // The server still responds on a connection that has lived on.
    paths.record_response(1, start + ms(20));
    assert!(paths.is_broken(1) && paths.is_cut());
    assert_eq!(paths.record_open(1, start + ms(300)), Some(ms(300)));
    assert_eq!(paths.record_open(1, start + ms(400)), None);
    assert!(!paths.is_broken(1) && !paths.is_cut());
}

/// Prevents other gateways from asking one that reaches few servers, or not the one they want.
#[test]
fn reports_tell_which_servers_are_reached() {
    struct Case {
        name: &'static str,
        used: u64,
        broken: u64,
        is_cut: bool,
        reaches_broken: bool,
        reaches_others: bool,
    }
    let cases = [
        Case {
            name: "all well",
            used: 4,
            broken: 0,
            is_cut: false,
            reaches_broken: true,
            reaches_others: true,
        },
        Case {
            name: "one broken",
            used: 4,
            broken: 1,
            is_cut: false,
            reaches_broken: false,
            reaches_others: true,
        },
        Case {
            name: "most broken",
            used: 4,
            broken: 3,
            is_cut: true,
            reaches_broken: false,
            reaches_others: false,
        },
        Case {
            name: "too many to list",
            used: 200,
            broken: 60,
            is_cut: false,
            reaches_broken: false,
            reaches_others: false,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut paths = ServerPaths::default();
        (0..case.used).for_each(|server| paths.record_response(server, now));
        (0..case.broken).for_each(|server| {
            paths.record_broken(server, now);
        });
        let update = paths.update();
        assert_eq!(paths.is_cut(), case.is_cut, "{}", case.name);
        assert_eq!(update.reaches(0), case.reaches_broken, "{}", case.name);
        assert_eq!(update.reaches(case.used), case.reaches_others, "{}", case.name);
    }
}

/// Prevents each of the requests that fail at one server from connecting to it and to other gateways.
#[test]
fn failures_of_one_server_share_a_check() {
    let start = Instant::now();
    let mut paths = ServerPaths::default();
    assert_eq!(paths.begin_check(1, start, start), CheckStep::Begin);
    assert_eq!(paths.begin_check(1, start + ms(5), start + ms(5)), CheckStep::Wait);
    assert!(!paths.is_check_due(1, start + ms(5)));
    paths.end_check(1, PathVerdict::Broken, start + ms(20));
    let known = CheckStep::Known(PathVerdict::Broken);
    assert_eq!(paths.begin_check(1, start + ms(5), start + ms(30)), known);
    assert_eq!(paths.begin_check(1, start + ms(25), start + ms(30)), CheckStep::Begin);
}

/// Prevents servers that have gone, and long unused paths, from taking memory or counting as broken.
#[test]
fn paths_of_servers_that_are_gone_are_forgotten() {
    let start = Instant::now();
    let mut paths = ServerPaths::default();
    paths.record_broken(1, start);
    paths.record_broken(2, start);
    paths.record_response(3, start);
    paths.tick(|server| server != 1, start + ms(100));
    assert_eq!(paths.broken_count(), 1);
    paths.record_open(2, start + ms(200));
    paths.tick(|_| true, start + ms(60_000));
    assert!(paths.is_empty());
}
