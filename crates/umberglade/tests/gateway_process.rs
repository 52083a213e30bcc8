//! Tests `umberglade gateway` as a process in front of a stand-in site: its settings, signals, log
//! and metrics.

mod support;

use std::io::BufRead;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::process::Command;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use support::gateway::Gateway;
use support::gateway::HANG_TIMEOUT;
use support::gateway::agent;
use support::gateway::settings_text;
use support::gateway::start_site;
use support::gateway::start_site_with;
use umberglade_platform_standin::ServerOptions;
use umberglade_platform_standin::Site;
use umberglade_platform_standin::loopback_capacity;
use umberglade_wire::pool;

/// Starts a site whose servers have registered addresses at which nothing listens. Returns its
/// store's address and the setting of those at which they are reached.
fn start_forwarded_site() -> (String, String) {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        pool::block_on(async move {
            let mut site = Site::start().await;
            let mut entries = Vec::new();
            for at in 0..site.servers.len() {
                let unused = TcpListener::bind("127.0.0.1:0").expect("a free port");
                let registered = unused.local_addr().expect("a bound address");
                let (server, reached) = &mut site.servers[at];
                entries.push(format!("{registered}={reached}"));
                *reached = registered;
                let id = server.id.clone();
                site.register(&id, "ready");
            }
            let store = site.store_address.to_string();
            sender.send((store, entries.join(","))).expect("a waiting test");
            std::future::pending::<()>().await;
        });
    });
    receiver.recv_timeout(HANG_TIMEOUT).expect("a started site")
}

/// Prevents requests from going to the registered addresses of servers that this instance reaches at
/// others.
#[test]
fn servers_are_reached_at_the_addresses_of_the_setting() {
    let (store, server_addresses) = start_forwarded_site();
    let gateway = Gateway::start_with("forwarded", &store, "400", &server_addresses);
    for path in ["/safe/x", "/stream/x"] {
        assert_eq!(gateway.call(&agent(), path, &format!("to{path}")), 200, "{path}");
    }
    let direct = Gateway::start("not-forwarded", &store, "400");
    assert_ne!(direct.call(&agent(), "/safe/x", "direct"), 200);
}

/// The reader of the log stops reading and the pipe fills up. Requests must still get responses:
/// lines are dropped instead, and the log reports this once it is read again.
#[test]
fn unread_log_does_not_block_requests() {
    let store = start_site();
    let mut gateway = Gateway::start("stalled", &store, "100000");
    // 6,000 lines of about 450 bytes: more than twice what a pipe and the queue of 2,048 lines
    // hold.
    thread::scope(|scope| {
        for caller in 0..6 {
            let gateway = &gateway;
            scope.spawn(move || {
                let agent = agent();
                for at in 0..500 {
                    let id = format!("id-{caller}-{at}");
                    assert_eq!(gateway.call(&agent, "/safe/x", &id), 200);
                }
            });
        }
    });
    for _ in 0..1500 {
        let mut line = String::new();
        gateway.log.read_line(&mut line).expect("reading the log");
    }
    thread::sleep(Duration::from_millis(1100));
    assert_eq!(gateway.call(&agent(), "/safe/x", "after"), 200);
    assert!(gateway.next_event(7006)["total"].as_u64() >= Some(1000));
    gateway.signal("-TERM");
    assert_eq!(gateway.next_event(7003)["in_flight"], 0);
}

/// More lines are logged than the limit per second: the rest is dropped, and one line reports how
/// many.
#[test]
fn log_lines_beyond_the_limit_are_counted() {
    let store = start_site();
    let mut gateway = Gateway::start("limited", &store, "20");
    let agent = agent();
    let (mut dropped, mut total) = (0, 0);
    // On a busy machine a round of calls takes several seconds, and each second logs a line.
    while total < 100 {
        for at in 0..100 {
            gateway.call(&agent, "/safe/x", &format!("id-{at}"));
        }
        thread::sleep(Duration::from_millis(1100));
        gateway.call(&agent, "/safe/x", "last");
        let line = gateway.next_event(7006);
        dropped += line["dropped"].as_u64().expect("a number");
        total = line["total"].as_u64().expect("a number");
        assert_eq!(dropped, total, "each dropped line is counted once");
    }
}

/// The settings file becomes invalid. A process that applied it or exited would cut off callers
/// because of an operator's typing error.
#[test]
fn invalid_settings_file_is_ignored_at_reload() {
    let store = start_site();
    let mut gateway = Gateway::start("reload", &store, "400");
    let agent = agent();
    std::fs::write(&gateway.node_file, "nodeName: [").expect("writing the settings file");
    gateway.signal("-HUP");
    gateway.next_event(7005);
    assert_eq!(gateway.call(&agent, "/once/x", "after"), 200);
    std::fs::write(&gateway.node_file, settings_text(&store)).expect("writing the settings file");
    gateway.signal("-HUP");
    gateway.next_event(7004);
    gateway.signal("-TERM");
    assert_eq!(gateway.next_event(7003)["in_flight"], 0);
    assert!(gateway.child.wait().expect("an ended process").success());
}

/// Signals to read the settings again, and a file that changes, breaks and vanishes without a
/// signal, must not end or fail a request.
#[test]
fn reloads_end_no_request() {
    const RELOADS: usize = 40;
    const RELOAD_INTERVAL: Duration = Duration::from_millis(60);
    let store = start_site();
    let gateway = Gateway::start("reloads", &store, "400");
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        let callers = ["/safe/x", "/once/x", "/stream/x", "/resumed/x"].map(|path| {
            let (gateway, is_over) = (&gateway, &is_over);
            scope.spawn(move || {
                let agent = agent();
                let mut calls = 0;
                while !is_over.load(Ordering::Acquire) {
                    let id = format!("{path}-{calls}");
                    assert_eq!(gateway.call(&agent, path, &id), 200, "{id}");
                    calls += 1;
                }
                calls
            })
        });
        for number in 0..RELOADS {
            match number % 3 {
                0 => std::fs::write(&gateway.node_file, settings_text(&store)),
                1 => std::fs::write(&gateway.node_file, "nodeName: ["),
                _ => std::fs::remove_file(&gateway.node_file),
            }
            .expect("changing the settings file");
            if number.is_multiple_of(2) {
                gateway.signal("-HUP");
            }
            thread::sleep(RELOAD_INTERVAL);
        }
        is_over.store(true, Ordering::Release);
        for caller in callers {
            assert!(caller.join().expect("calls without failure") > 10);
        }
    });
}

#[test]
fn failed_start_names_the_cause() {
    struct Case {
        name: &'static str,
        file: &'static str,
        expected_text: &'static str,
    }
    let cases = [
        Case { name: "no file", file: "", expected_text: "reading settings file" },
        Case { name: "not YAML", file: "nodeName: [", expected_text: "settings file" },
        Case { name: "a field missing", file: "nodeName: a\n", expected_text: "missing field" },
    ];
    for case in cases {
        let path = std::env::temp_dir().join(format!("umberglade-bad-{}", std::process::id()));
        if !case.file.is_empty() {
            std::fs::write(&path, case.file).expect("writing the settings file");
        }
        let output = run_with(&path);
        let _ = std::fs::remove_file(&path);
        assert_eq!(output.0, Some(2), "{}", case.name);
        assert!(output.1.contains(case.expected_text), "{}: {}", case.name, output.1);
    }
}

fn run_with(node_file: &Path) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_umberglade"))
        .arg("gateway")
        .env("UMBERGLADE_NODE_FILE", node_file)
        .output()
        .expect("running umberglade");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

/// A caller reads its stream slowly during a planned stop of the instance. The server has sent the
/// complete response and the gateway has handed the last event to the connection, but the
/// connection has not written it out when the stop's minimum time is over. The caller must still
/// get the complete response.
#[test]
fn stop_waits_until_responses_are_written() {
    const EVENT_BYTES: usize = 48 * 1024;
    /// Events beyond what the system buffers of a connection, which the gateway holds.
    const HELD_EVENTS: usize = 8;
    let events = loopback_capacity(EVENT_BYTES) / EVENT_BYTES + HELD_EVENTS;
    let options = ServerOptions {
        padding: EVENT_BYTES,
        events: events as u32,
        step_delay: Duration::from_millis(1),
        ..ServerOptions::default()
    };
    let store = start_site_with(options);
    let gateway = Gateway::start("slow-reader", &store, "400");
    thread::sleep(Duration::from_millis(500));
    let mut caller = TcpStream::connect(&gateway.front).expect("a connection");
    caller.set_read_timeout(Some(HANG_TIMEOUT)).expect("a timeout");
    let request = "POST /stream/x HTTP/1.1\r\nhost: site.example\r\nx-request-id: slow\r\n\
                   x-timeout-ms: 20000\r\nx-token-usage: 1000,400\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(request.as_bytes()).expect("sending the request");
    thread::sleep(Duration::from_millis(500));
    gateway.signal("-TERM");
    // Longer than the minimum time of a stop, shorter than its grace period.
    thread::sleep(Duration::from_millis(4500));
    let mut response = Vec::new();
    caller.read_to_end(&mut response).expect("a response until the connection closes");
    assert!(response.ends_with(b"0\r\n\r\n"), "cut after {} bytes", response.len());
    assert!(response.len() > events * EVENT_BYTES, "only {} bytes", response.len());
}

/// Operators scrape an instance whose callers send arbitrary paths and ids. A label whose value
/// came from a request would create a series per value, and first the scraper, then the instance,
/// would run out of memory.
#[test]
fn metrics_are_valid_with_a_bounded_number_of_series() {
    let store = start_site();
    let gateway = Gateway::start("scraped", &store, "400");
    let agent = agent();
    let paths = ["/safe/", "/once/", "/stream/", "/nowhere/"];
    let scrape = || {
        let url = format!("http://{}/metrics", gateway.metrics);
        let mut response = agent.get(url).call().expect("a response");
        response.body_mut().read_to_string().expect("text")
    };
    for round in 0..3 {
        for at in 0..40 {
            let path = format!("{}{round}-{at}", paths[at % paths.len()]);
            gateway.call(&agent, &path, &format!("id-{round}-{at}"));
        }
        let text = scrape();
        text.lines().for_each(check_exposition_line);
        let series = text.lines().filter(|line| !line.starts_with('#')).count();
        assert!((10..150).contains(&series), "{series} series in round {round}");
    }
}

/// The labels of the gateway's metrics, each with all allowed values.
const LABELS: [(&str, &[&str]); 9] = [
    ("call", &["put", "claim", "remove", "store listing", "store feed", "store look"]),
    ("failure", &["unsent", "not_run", "misdirected", "silent", "broken", "garbled"]),
    ("outcome", &["whole", "caller_left", "expired", "broken"]),
    ("quantile", &["0", "0.5", "0.9", "0.95", "0.99", "0.999", "1"]),
    ("reach", &["near", "far"]),
    (
        "reason",
        &[
            "no_configuration",
            "no_route",
            "too_large",
            "head_too_large",
            "bad_request",
            "no_server",
            "no_room",
            "not_run",
            "stopping",
            "expired_unsent",
            "expired",
            "outcome_unknown",
            "quarantined",
            "unknown_key",
            "config_unsettled",
            "quota_spent",
            "caller_left",
            "connection_failed",
            "response_aborted",
            "closed",
            "process_stopped",
            "task_ended",
            "made_room",
            "no_memory",
            "rate_limited",
        ],
    ),
    ("bound", &["connections", "memory", "organisation", "evicted"]),
    ("phase", &["connected", "receiving", "serving", "idle", "closing"]),
    ("table", &["configuration", "servers", "members", "duties", "quarantines"]),
];

/// Checks that `line` is `name{label="value",...} number` with known labels, a comment or empty.
fn check_exposition_line(line: &str) {
    if line.is_empty() || line.starts_with("# TYPE ") || line.starts_with("# HELP ") {
        return;
    }
    let (series, number) = line.rsplit_once(' ').unwrap_or_else(|| panic!("no value: {line}"));
    assert!(number.parse::<f64>().is_ok(), "no number: {line}");
    let (name, pairs) = match series.split_once('{') {
        Some((name, pairs)) => (name, pairs.strip_suffix('}').expect("a closing brace")),
        None => (series, ""),
    };
    let is_name = |name: &str| {
        name.starts_with(|first: char| first.is_ascii_alphabetic())
            && name.chars().all(|found| found.is_ascii_alphanumeric() || found == '_')
    };
    assert!(is_name(name), "no metric name: {line}");
    for pair in pairs.split(',').filter(|pair| !pair.is_empty()) {
        let (label, value) = pair.split_once('=').unwrap_or_else(|| panic!("no label: {line}"));
        let value = value.strip_prefix('"').and_then(|value| value.strip_suffix('"'));
        let value = value.unwrap_or_else(|| panic!("a value without quotes: {line}"));
        let known = LABELS.iter().find(|(name, _)| *name == label);
        let (_, values) = known.unwrap_or_else(|| panic!("an unknown label: {line}"));
        assert!(values.contains(&value), "an unknown label value: {line}");
    }
}
