//! Compares the responses and log events of a session with a golden file. Set `UPDATE_GOLDEN=1` to
//! rewrite the file, and review the difference before committing it.

mod support;

use std::collections::HashMap;
use std::fmt::Write;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use support::Process;
use support::get_json;
use support::seed;
use support::start_engine;
use support::start_platform;
use support::wait_for_servers;

/// Fields of log events that differ between runs.
const VARYING_FIELDS: [&str; 9] = [
    "timestamp",
    "level",
    "target",
    "scores",
    "elapsed_ms",
    "local",
    "error",
    "record_key",
    "message",
];

/// Events that a daemon logs in the background after its start, in this order.
const MEMBERS_CHANGED_EVENT: u64 = 3004;
const LEADER_CHANGED_EVENT: u64 = 4001;
/// The log is complete when it has not grown for this long.
const LOG_SETTLE_INTERVAL: Duration = Duration::from_millis(60);

/// One request of the session.
struct SessionStep {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    key: &'static str,
    idempotency_key: Option<&'static str>,
    body: &'static str,
}

const fn step(name: &'static str, path: &'static str, body: &'static str) -> SessionStep {
    SessionStep { name, method: "POST", path, key: "key-neulanjalki", idempotency_key: None, body }
}

const CHAT: &str = "/v1/chat/completions";
const CALL: &str = "/v1/services/booking-desk/call";

fn session() -> Vec<SessionStep> {
    vec![
        step(
            "a streamed brief behind shared guidelines",
            CHAT,
            r#"{"model":"brief-model","stream":true,"max_tokens":3,"messages":[{"role":"system","content":"studio guidelines"},{"role":"user","content":"a heron, left forearm"}]}"#,
        ),
        step(
            "the same, whole",
            CHAT,
            r#"{"model":"brief-model","max_tokens":3,"messages":[{"role":"system","content":"studio guidelines"},{"role":"user","content":"a heron, left forearm"}]}"#,
        ),
        step(
            "a plain completion, streamed",
            "/v1/completions",
            r#"{"model":"brief-model","stream":true,"prompt":"open slots?","max_tokens":2,"priority":"urgent"}"#,
        ),
        SessionStep {
            key: "nobody",
            ..step("an unknown key", CHAT, r#"{"model":"brief-model","messages":[]}"#)
        },
        step("no messages", CHAT, r#"{"model":"brief-model","messages":[]}"#),
        step("an unknown model", "/v1/completions", r#"{"model":"nope","prompt":"x"}"#),
        SessionStep {
            idempotency_key: Some("fri-14"),
            ..step("a booking", CALL, r#"{"slot":"fri-14:00"}"#)
        },
        SessionStep {
            idempotency_key: Some("fri-14"),
            ..step("the booking again", CALL, r#"{"slot":"fri-14:00"}"#)
        },
        step("a booking without a key", CALL, r#"{"slot":"fri-14:00"}"#),
        SessionStep {
            method: "GET",
            ..step("a lookup", "/v1/services/booking-desk/lookup/fri", "")
        },
        step("an unknown route", "/v1/nope", "{}"),
    ]
}

fn send(daemon: &str, step: &SessionStep) -> String {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let mut request = ureq::http::Request::builder()
        .method(step.method)
        .uri(format!("http://{daemon}{}", step.path))
        .header("authorization", format!("Bearer {}", step.key));
    if let Some(key) = step.idempotency_key {
        request = request.header("idempotency-key", key);
    }
    let mut response =
        agent.run(request.body(step.body).unwrap()).expect("a response from the daemon");
    let mut text = format!("< {}", response.status().as_u16());
    for name in ["retry-after", "idempotent-replay", "content-type"] {
        if let Some(value) = response.headers().get(name) {
            let _ = write!(text, " {name}: {}", value.to_str().unwrap());
        }
    }
    let body = response.body_mut().read_to_string().unwrap();
    for line in body.lines().filter(|line| !line.is_empty()) {
        let _ = write!(text, "\n< {line}");
    }
    text
}

/// Returns the log once it stops growing. On a busy machine the last event of a step is logged some
/// time after its response.
fn wait_for_stable_log(read_log: impl Fn() -> String) -> String {
    let mut log = read_log();
    loop {
        thread::sleep(LOG_SETTLE_INTERVAL);
        let later = read_log();
        if later.len() == log.len() {
            return log;
        }
        log = later;
    }
}

/// Returns the event number of a log line.
fn event_number(line: &str) -> Option<u64> {
    let event: serde_json::Value = serde_json::from_str(line).ok()?;
    event.get("event")?.as_u64()
}

/// Formats a log line as `event fields`, with sorted keys and without fields that vary.
fn event_line(line: &str) -> Option<String> {
    let event: serde_json::Map<String, serde_json::Value> = serde_json::from_str(line).ok()?;
    event.get("event")?;
    let mut text = format!("! {}", event["event"]);
    for (name, value) in &event {
        if name != "event" && !VARYING_FIELDS.contains(&name.as_str()) {
            let _ = write!(text, " {name}={value}");
        }
    }
    Some(text)
}

/// Replaces request ids and times, which vary between runs, by fixed names.
fn normalise(text: &str) -> String {
    let mut names: HashMap<String, String> = HashMap::new();
    let mut out = String::new();
    let is_word = |c: char| c.is_ascii_alphanumeric() || c == '-';
    for piece in text.split_inclusive(|c| !is_word(c)) {
        let word = piece.trim_end_matches(|c| !is_word(c));
        let rest = &piece[word.len()..];
        let is_request = word.starts_with("golden-") && word.matches('-').count() == 2;
        if is_request {
            let next = format!("request-{}", names.len() + 1);
            out.push_str(names.entry(word.to_owned()).or_insert(next));
        } else if word.len() == 10 && word.starts_with("17") && word.parse::<u64>().is_ok() {
            out.push_str("TIME");
        } else {
            out.push_str(word);
        }
        out.push_str(rest);
    }
    out
}

/// A session with streamed and non-streamed responses, a booking that is made once and retried, and
/// all kinds of rejections. The responses and the numbered events that the daemon logs for each
/// step must match the golden file exactly.
#[test]
fn session_matches_the_golden_file() {
    let platform = start_platform("0");
    let _engines = [
        start_engine(&platform.addr, "prefill-1", "prefill", &[]),
        start_engine(&platform.addr, "decode-1", "decode", &["--domain", "hall-b"]),
    ];
    let _desk = Process::start(&[
        "standin",
        "plain",
        "--server",
        "desk-1",
        "--register-with",
        &platform.addr,
    ]);
    seed(&platform.addr);
    let log = std::env::temp_dir().join(format!("umberglade-golden-{}.log", std::process::id()));
    let args = ["serve", "--listen", "127.0.0.1:0", "--platform", &platform.addr];
    let daemon = Process::start_logged(
        &[&args[..], &["--daemon-id", "golden", "--domain", "hall-a"]].concat(),
        &log,
    );
    wait_for_servers(&daemon.addr, 3);
    let read_log = || std::fs::read_to_string(&log).unwrap();
    // The daemon acquires its lease and leadership in the background, leadership last. A session
    // started between the two would find the leadership event among its own.
    let has_event = |number| read_log().lines().any(|line| event_number(line) == Some(number));
    for background in [MEMBERS_CHANGED_EVENT, LEADER_CHANGED_EVENT] {
        support::eventually(Duration::from_secs(10), || has_event(background));
    }
    let mut seen = read_log().lines().count();
    let mut text = String::new();
    for step in session() {
        let _ = writeln!(text, "## {}\n> {} {} {}", step.name, step.method, step.path, step.body);
        let _ = writeln!(text, "{}", send(&daemon.addr, &step));
        let log = wait_for_stable_log(read_log);
        for line in log.lines().skip(seen).filter_map(event_line) {
            let _ = writeln!(text, "{line}");
        }
        seen = log.lines().count();
        text.push('\n');
    }
    let status: serde_json::Value = get_json(&daemon.addr, "/v1/status");
    let _ = writeln!(text, "in force: {} at fence {}", status["preset"], status["fence"]);
    let _ = std::fs::remove_file(&log);
    compare(&normalise(&text));
}

fn compare(text: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/session.txt");
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(&path, text).unwrap();
    }
    let golden = std::fs::read_to_string(&path).expect("tests/golden/session.txt");
    for (at, (got, want)) in text.lines().zip(golden.lines()).enumerate() {
        assert_eq!(got, want, "line {} of the session", at + 1);
    }
    assert_eq!(text.lines().count(), golden.lines().count(), "length of the session");
}
