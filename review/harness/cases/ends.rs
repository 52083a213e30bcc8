//! Answers with neither a length nor chunks, whose servers crash.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{Deployment, ServerLine, lines_of};
use crate::base::{Record, request};
use crate::server::{EVENTS, event, whole_body};

const CLIENTS: usize = 36;
const LOAD_TIME: Duration = Duration::from_secs(12);

/// Requests that a server is answering when it crashes, at least.
const IN_FLIGHT: usize = 3;

struct Load {
    record: Arc<Record>,
    is_over: AtomicBool,
    sent: AtomicU32,
    whole: AtomicU32,
    /// Answers that look complete and are not.
    cut: Mutex<Vec<String>>,
}

/// Compares the body of a complete success with the whole one.
type Judge = fn(&str, &[u8]) -> Result<(), String>;

fn judge_plain(id: &str, body: &[u8]) -> Result<(), String> {
    let whole = whole_body(id);
    match body == whole {
        true => Ok(()),
        false => Err(format!("{} of {} bytes", body.len(), whole.len())),
    }
}

fn judge_stream(id: &str, body: &[u8]) -> Result<(), String> {
    let whole: String = (1..=EVENTS).map(|number| event(id, number)).collect();
    let events = body.windows(2).filter(|it| it == b"\n\n").count();
    match body == whole.as_bytes() {
        true => Ok(()),
        false => Err(format!("{events} of {EVENTS} events")),
    }
}

pub fn run_streams(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut deployment = Deployment::start(3, 600);
    let zones = ["hall-a", "hall-b", "hall-c"];
    for index in 0..6 {
        let id = format!("decode-{index}");
        deployment.start_server([
            &id,
            "brief-model",
            zones[index % 3],
            "decode",
            "undelimited",
            "25",
        ]);
    }
    for index in 0..3 {
        let id = format!("prefill-{index}");
        deployment.start_server([&id, "brief-model", zones[index % 3], "prefill", "sized", "25"]);
    }
    deployment.start_gateways(9);
    let servers: Vec<String> = (0..6).map(|index| format!("decode-{index}")).collect();
    run(record, deployment, &servers, ["/brief/x", "/cover/x"], 14_000, judge_stream, has_trouble)
}

pub fn run_plain(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut deployment = Deployment::start(3, 600);
    let zones = ["hall-a", "hall-b", "hall-c"];
    for index in 0..7 {
        let id = format!("desk-{index}");
        deployment.start_server([
            &id,
            "booking-desk",
            zones[index % 3],
            "plain",
            "undelimited",
            "80",
        ]);
    }
    deployment.start_gateways(7);
    let servers: Vec<String> = (0..7).map(|index| format!("desk-{index}")).collect();
    run(record, deployment, &servers, ["/slot/x", "/deposit/x"], 600, judge_plain, has_trouble)
}

fn run(
    record: &Arc<Record>,
    mut deployment: Deployment,
    servers: &[String],
    paths: [&'static str; 2],
    timeout_ms: u64,
    judge: Judge,
    has_trouble: bool,
) -> bool {
    let load = Arc::new(Load {
        record: Arc::clone(record),
        is_over: AtomicBool::new(false),
        sent: AtomicU32::new(0),
        whole: AtomicU32::new(0),
        cut: Mutex::default(),
    });
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let load = Arc::clone(&load);
            let front = deployment.front(client);
            std::thread::spawn(move || {
                let path = paths[client % 2];
                let mut count = 0;
                while !load.is_over.load(Ordering::SeqCst) {
                    count += 1;
                    load.call(front, &format!("c{client:02}n{count:04}"), path, timeout_ms, judge);
                    std::thread::sleep(Duration::from_millis(30));
                }
            })
        })
        .collect();
    let started_at = Instant::now();
    std::thread::sleep(LOAD_TIME / 3);
    if has_trouble {
        let server = &servers[0];
        while in_flight(&lines_of(&deployment.server_log(server))) < IN_FLIGHT
            && started_at.elapsed() < LOAD_TIME
        {
            std::thread::sleep(Duration::from_millis(2));
        }
        deployment.processes.signal(server, "KILL");
        record.line(&format!("{server} has crashed (SIGKILL)"));
    }
    std::thread::sleep(LOAD_TIME.saturating_sub(started_at.elapsed()));
    load.is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    for server in servers {
        for line in lines_of(&deployment.server_log(server)) {
            record.line(&format!("server {server}: {}", line.text));
        }
    }
    let cut = load.cut.lock().unwrap();
    record.say(&format!(
        "sent {}, answered whole {}, answered as complete but cut {}",
        load.sent.load(Ordering::SeqCst),
        load.whole.load(Ordering::SeqCst),
        cut.len()
    ));
    for line in cut.iter() {
        record.say(line);
    }
    !cut.is_empty()
}

/// Returns the number of runs that a server has begun and not ended.
fn in_flight(lines: &[ServerLine]) -> usize {
    let count = |word: &str| lines.iter().filter(|line| line.word == word).count();
    count("run").saturating_sub(count("done"))
}

impl Load {
    fn call(
        &self,
        front: std::net::SocketAddr,
        id: &str,
        path: &str,
        timeout_ms: u64,
        judge: Judge,
    ) {
        let method = if path.starts_with("/deposit/") { "GET" } else { "POST" };
        let body = if method == "GET" { "" } else { "the request" };
        let bytes = format!(
            "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Model-Id: m\r\n\
             X-Token-Usage: 5200,40\r\nX-Prompt-Prefix: 5c1e07a2:200,{}:5000\r\n\
             X-Timeout-Ms: {timeout_ms}\r\nContent-Length: {}\r\n\r\n{body}",
            hexadecimal(id),
            body.len()
        );
        self.sent.fetch_add(1, Ordering::SeqCst);
        let answer = request(front, bytes.as_bytes(), Duration::from_millis(timeout_ms + 1000));
        let Some(answer) = answer else {
            self.record.line(&format!("{id} {path}: no answer"));
            return;
        };
        let is_signed = answer.head.header("x-server-signature").is_some();
        let verdict = judge(id, &answer.body);
        let outcome = match (&verdict, answer.is_complete) {
            (Ok(()), true) => "whole".to_owned(),
            (Ok(()), false) => "whole, its end not shown".to_owned(),
            (Err(problem), true) => format!("ends as complete with {problem}"),
            (Err(problem), false) => format!("visibly broken off with {problem}"),
        };
        let line = format!("{id} {path}: {} signed {is_signed}, {outcome}", answer.status);
        self.record.line(&line);
        if answer.status != 200 || !answer.is_complete {
            return;
        }
        match verdict {
            Ok(()) => {
                self.whole.fetch_add(1, Ordering::SeqCst);
            }
            Err(_) => self.cut.lock().unwrap().push(line),
        }
    }
}

fn hexadecimal(id: &str) -> String {
    id.bytes().map(|byte| format!("{byte:02x}")).collect()
}
