//! Open connections go silent permanently while new ones work.

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

use support::Process;
use support::SHORT_FOLLOW_ARGS;
use support::TcpProxy;
use support::actions;
use support::eventually;
use support::post;
use support::run;
use support::seed;
use support::start_daemon;
use support::start_engine;
use support::start_platform;
use support::status;

/// The required bound on the time until a change is active everywhere.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(4);

/// A device between daemon and platform loses the state of the daemon's open feed connections: they
/// stay open and carry nothing. An operator then activates another preset. The daemon must detect
/// this itself, follow the feeds on a new connection and apply the preset within the required 4 s.
#[test]
fn preset_is_applied_in_time_when_feeds_go_silent() {
    let platform = start_platform("0");
    seed(&platform.addr);
    let proxy = TcpProxy::to(&platform.addr);
    let daemon = start_daemon(&proxy.addr, "entry-1", &["--follow-ms", "1500"]);
    assert!(eventually(Duration::from_secs(2), || status(&daemon.addr).unwrap()["fence"] == 1));
    proxy.silence_open_connections();
    let started_at = Instant::now();
    run(actions(&platform.addr).activate("peak", 1)).unwrap();
    let is_applied = eventually(ACTIVATION_TIMEOUT, || status(&daemon.addr).unwrap()["fence"] == 2);
    assert!(is_applied, "preset not active after {:?}", started_at.elapsed());
}

/// Upper bound on waiting for a response; a dead connection must delay a request far less.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// When the connection to an engine goes silent.
struct SilentCase {
    name: &'static str,
    role: EngineRole,
    /// The response already streams when the connection goes silent.
    mid_stream: bool,
}

/// The daemon's open connection to an engine goes silent during a prefill or in the middle of a
/// stream. The engine itself works and accepts new connections. The caller must get its complete
/// response over a new connection instead of waiting for the dead one.
#[test]
fn request_completes_when_its_connection_goes_silent() {
    let cases = [
        SilentCase { name: "mid-prefill", role: EngineRole::Prefill, mid_stream: false },
        SilentCase { name: "mid-stream", role: EngineRole::Decode, mid_stream: true },
    ];
    for case in &cases {
        let platform = start_platform("0");
        seed(&platform.addr);
        let (engines, proxy) = engines_with_proxy(&platform, case.role);
        let daemon = start_daemon(&platform.addr, "entry-1", &SHORT_FOLLOW_ARGS);
        support::wait_for_servers(&daemon.addr, engines.len());
        let addr = daemon.addr.clone();
        let body = support::chat(if case.mid_stream { 20 } else { 20_000 }, 100);
        let (sender, responses) = mpsc::channel();
        std::thread::spawn(move || {
            let response = post(&addr, "/v1/chat/completions", "key-neulanjalki", &body);
            let _ = sender.send(response);
        });
        std::thread::sleep(Duration::from_millis(300));
        proxy.silence_open_connections();
        let response = responses
            .recv_timeout(RESPONSE_TIMEOUT)
            .unwrap_or_else(|_| panic!("{}: waits for the dead connection", case.name));
        assert_eq!(response.status, 200, "{}: {}", case.name, response.body);
        assert!(response.body.ends_with("data: [DONE]\n\n"), "{}: cut", case.name);
    }
}

/// Starts one engine of each role, and one more of `role` that is reached through the returned
/// proxy. The latter is in the daemon's failure domain and so is chosen first.
fn engines_with_proxy(platform: &Process, role: EngineRole) -> (Vec<Process>, TcpProxy) {
    let unlisted =
        Process::start(&["standin", "engine", "--server", "linked", "--role", &role.to_string()]);
    let proxy = TcpProxy::to(&unlisted.addr);
    let entry = InstanceEntry {
        server: "linked".into(),
        addr: proxy.addr.clone(),
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
    let other_domain = ["--domain", "far-away"];
    let engines = vec![
        unlisted,
        start_engine(&platform.addr, "other-role", other, &["--domain", "unknown"]),
        start_engine(&platform.addr, "second", &role.to_string(), &other_domain),
    ];
    (engines, proxy)
}

/// What a caller sends before its connection goes silent.
struct CallerCase {
    name: &'static str,
    sent: &'static str,
    /// The start of the daemon's response before it closes the connection; empty for none.
    response: &'static str,
}

/// Callers' connections go silent while they send headers or body. Neither may occupy the daemon
/// forever: it closes both, the second after an error response, and a stop does not wait for
/// them.
#[test]
fn silent_caller_connection_is_closed() {
    let cases = [
        CallerCase {
            name: "in the headers",
            sent: "POST /v1/completions HTTP/1.1\r\nHost: x\r\n",
            response: "",
        },
        CallerCase {
            name: "in the body",
            sent: "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-neulanjalki\r\nContent-Length: 100\r\n\r\n{\"model\":",
            response: "HTTP/1.1 400",
        },
    ];
    let site = support::Site::start(1, 1);
    let sockets: Vec<TcpStream> = cases
        .iter()
        .map(|case| {
            let mut socket = TcpStream::connect(&site.daemon.addr).unwrap();
            socket.write_all(case.sent.as_bytes()).unwrap();
            socket.set_read_timeout(Some(RESPONSE_TIMEOUT)).unwrap();
            socket
        })
        .collect();
    for (case, mut socket) in cases.iter().zip(sockets) {
        let mut response = String::new();
        let closed = socket.read_to_string(&mut response);
        assert!(closed.is_ok(), "{}: still open: {closed:?}", case.name);
        assert!(response.starts_with(case.response), "{}: {response}", case.name);
    }
    assert_eq!(status(&site.daemon.addr).unwrap()["in_flight"], 0);
}
