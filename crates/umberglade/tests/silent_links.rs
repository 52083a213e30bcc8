//! Open connections go silent for good while new ones work.

mod support;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

use umberglade_wire::engine::EngineRole;
use umberglade_wire::platform::InstanceEntry;
use umberglade_wire::platform::InstanceState;

use support::CLOSELY;
use support::Link;
use support::Process;
use support::actions;
use support::eventually;
use support::post;
use support::run;
use support::seed;
use support::start_daemon;
use support::start_engine;
use support::start_platform;
use support::status;

/// The letter's bound on a change being in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(4);

/// Something between daemon and platform loses track of the daemon's open
/// feeds: they stay open and carry nothing. An operator then activates
/// another preset. The daemon must notice by itself, follow on a fresh
/// connection and have the preset in force within the letter's 4 s.
#[test]
fn a_preset_is_in_force_in_time_though_the_feeds_went_silent() {
    let platform = start_platform("0");
    seed(&platform.addr);
    let link = Link::to(&platform.addr);
    let daemon = start_daemon(&link.addr, "entry-1", &["--follow-ms", "1500"]);
    assert!(eventually(Duration::from_secs(2), || status(&daemon.addr).unwrap()["fence"] == 1));
    link.silence_open();
    let begun = Instant::now();
    run(actions(&platform.addr).activate("peak", 1)).unwrap();
    let in_force = eventually(IN_FORCE_WITHIN, || status(&daemon.addr).unwrap()["fence"] == 2);
    assert!(in_force, "not in force after {:?}", begun.elapsed());
}

/// A dead connection must not hold a request nearly this long.
const ANSWERED_WITHIN: Duration = Duration::from_secs(15);

/// Where a link to an engine goes silent.
struct SilentCase {
    name: &'static str,
    role: EngineRole,
    /// The request has begun to stream when it happens.
    mid_stream: bool,
}

/// The daemon's open connection to an engine goes silent: while a prompt
/// is being read, or in the middle of a stream. The engine itself is well
/// and takes new connections. The caller must get its whole answer, by a
/// fresh connection, not wait for the dead one.
#[test]
fn a_request_is_answered_though_its_connection_went_silent() {
    let cases = [
        SilentCase { name: "mid-prefill", role: EngineRole::Prefill, mid_stream: false },
        SilentCase { name: "mid-stream", role: EngineRole::Decode, mid_stream: true },
    ];
    for case in &cases {
        let platform = start_platform("0");
        seed(&platform.addr);
        let (engines, link) = linked_engines(&platform, case.role);
        let daemon = start_daemon(&platform.addr, "entry-1", &CLOSELY);
        support::wait_for_servers(&daemon.addr, engines.len());
        let addr = daemon.addr.clone();
        let body = support::chat(if case.mid_stream { 20 } else { 20_000 }, 100);
        let (sender, answers) = mpsc::channel();
        std::thread::spawn(move || {
            let answer = post(&addr, "/v1/chat/completions", "key-neulanjalki", &body);
            let _ = sender.send(answer);
        });
        std::thread::sleep(Duration::from_millis(300));
        link.silence_open();
        let answer = answers
            .recv_timeout(ANSWERED_WITHIN)
            .unwrap_or_else(|_| panic!("{}: waits for the dead connection", case.name));
        assert_eq!(answer.status, 200, "{}: {}", case.name, answer.body);
        assert!(answer.body.ends_with("data: [DONE]\n\n"), "{}: cut", case.name);
    }
}

/// One engine of each role by itself, and one more of `role`, nearer and so
/// chosen first, that is reached through the link returned.
fn linked_engines(platform: &Process, role: EngineRole) -> (Vec<Process>, Link) {
    let unlisted =
        Process::start(&["standin", "engine", "--server", "linked", "--role", &role.to_string()]);
    let link = Link::to(&unlisted.addr);
    let entry = InstanceEntry {
        server: "linked".into(),
        addr: link.addr.clone(),
        role,
        model: "brief-model".into(),
        domain: "unknown".into(),
        region: String::new(),
        state: InstanceState::Live,
    };
    run(umberglade_standin::engine::register(&platform.addr, &entry));
    let other = match role {
        EngineRole::Prefill => "decode",
        _ => "prefill",
    };
    let far = ["--domain", "far-away"];
    let engines = vec![
        unlisted,
        start_engine(&platform.addr, "other-role", other, &["--domain", "unknown"]),
        start_engine(&platform.addr, "second", &role.to_string(), &far),
    ];
    (engines, link)
}

/// What a caller sent before its connection went silent.
struct CallerCase {
    name: &'static str,
    sent: &'static str,
    /// What the daemon answers before it closes; empty for nothing.
    answer: &'static str,
}

/// Callers' connections go silent while they send: in the headers, or in
/// the body. Neither may hold the daemon for good: it closes them, the
/// second with an honest refusal, and a stop need not wait for them.
#[test]
fn a_caller_that_falls_silent_while_sending_is_let_go() {
    let cases = [
        CallerCase {
            name: "in the headers",
            sent: "POST /v1/completions HTTP/1.1\r\nHost: x\r\n",
            answer: "",
        },
        CallerCase {
            name: "in the body",
            sent: "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-neulanjalki\r\nContent-Length: 100\r\n\r\n{\"model\":",
            answer: "HTTP/1.1 400",
        },
    ];
    let site = support::Site::start(1, 1);
    let sockets: Vec<TcpStream> = cases
        .iter()
        .map(|case| {
            let mut socket = TcpStream::connect(&site.daemon.addr).unwrap();
            socket.write_all(case.sent.as_bytes()).unwrap();
            socket.set_read_timeout(Some(ANSWERED_WITHIN)).unwrap();
            socket
        })
        .collect();
    for (case, mut socket) in cases.iter().zip(sockets) {
        let mut answer = String::new();
        let closed = socket.read_to_string(&mut answer);
        assert!(closed.is_ok(), "{}: still open: {closed:?}", case.name);
        assert!(answer.starts_with(case.answer), "{}: {answer}", case.name);
    }
    assert_eq!(status(&site.daemon.addr).unwrap()["in_flight"], 0);
}
