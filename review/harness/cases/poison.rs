//! A part of a prompt crashes each server that begins to write an answer on it, where answers have
//! neither a length nor chunks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use super::{Deployment, ServerLine, lines_of};
use crate::base::{Record, request};
use crate::server::FATAL_PART;

const GATEWAYS: usize = 3;
const SERVERS: usize = 9;
const PREFILL_SERVERS: usize = 3;
/// `stableWindowMs`.
const STABLE_WINDOW_MS: u128 = 3000;
/// How long a server that has crashed is away.
const AWAY: Duration = Duration::from_secs(2);
const SOUND_CALLERS: usize = 6;
/// Interval of requests with the part that crashes servers.
const FATAL_INTERVAL: Duration = Duration::from_millis(250);
const FATAL_START: Duration = Duration::from_secs(4);
const LOAD_TIME: Duration = Duration::from_secs(22);

#[derive(Default)]
struct Load {
    is_over: AtomicBool,
    sound: AtomicU32,
    sound_whole: AtomicU32,
    fatal: AtomicU32,
}

/// One place of a server: its processes follow each other, each with an id of its own.
struct Place {
    zone: &'static str,
    generation: u32,
    ended_at: Option<Instant>,
}

impl Place {
    fn id(&self, index: usize) -> String {
        format!("decode-{index}-{}", self.generation)
    }
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    // With `FRAMING=chunked` the same servers end their answers visibly, for comparison.
    let is_chunked = std::env::var("FRAMING").is_ok_and(|value| value == "chunked");
    let framing = if is_chunked { "chunked" } else { "undelimited" };
    let mut deployment = Deployment::start(GATEWAYS, 600);
    let zones = ["hall-a", "hall-b", "hall-c"];
    let mut places: Vec<Place> = (0..SERVERS)
        .map(|index| Place { zone: zones[index % 3], generation: 0, ended_at: None })
        .collect();
    for (index, place) in places.iter().enumerate() {
        deployment.start_server([
            &place.id(index),
            "brief-model",
            place.zone,
            "decode",
            framing,
            "25",
        ]);
    }
    for index in 0..PREFILL_SERVERS {
        let id = format!("prefill-{index}");
        deployment.start_server([&id, "brief-model", zones[index % 3], "prefill", "sized", "25"]);
    }
    deployment.start_gateways(SERVERS + PREFILL_SERVERS);
    let load = Arc::new(Load::default());
    let started_at = Instant::now();
    let mut threads = Vec::new();
    for caller in 0..SOUND_CALLERS {
        let (load, record, front) =
            (Arc::clone(&load), Arc::clone(record), deployment.front(caller));
        threads.push(std::thread::spawn(move || {
            let mut count = 0;
            while !load.is_over.load(Ordering::SeqCst) {
                count += 1;
                let id = format!("s{caller}n{count:04}");
                load.sound.fetch_add(1, Ordering::SeqCst);
                if call(&record, front, &id, "5c1e07a2:150,91bd3f06:50") == Some(40) {
                    load.sound_whole.fetch_add(1, Ordering::SeqCst);
                }
            }
        }));
    }
    if has_trouble {
        let (load, record) = (Arc::clone(&load), Arc::clone(record));
        let fronts: Vec<SocketAddr> = (0..GATEWAYS).map(|at| deployment.front(at)).collect();
        threads.push(std::thread::spawn(move || {
            std::thread::sleep(FATAL_START);
            let mut calls = Vec::new();
            while !load.is_over.load(Ordering::SeqCst) {
                let count = load.fatal.fetch_add(1, Ordering::SeqCst) as usize;
                let (record, front) = (Arc::clone(&record), fronts[count % fronts.len()]);
                calls.push(std::thread::spawn(move || {
                    let parts = format!("5c1e07a2:150,{FATAL_PART}:50");
                    call(&record, front, &format!("p{count:04}"), &parts)
                }));
                std::thread::sleep(FATAL_INTERVAL);
            }
            for call in calls {
                let _ = call.join();
            }
        }));
    }
    let mut ids: Vec<String> =
        places.iter().enumerate().map(|(index, place)| place.id(index)).collect();
    while started_at.elapsed() < LOAD_TIME {
        for (index, place) in places.iter_mut().enumerate() {
            match place.ended_at {
                None => {
                    let child = deployment.processes.child(&place.id(index));
                    if child.try_wait().ok().flatten().is_some() {
                        record.line(&format!("{} has crashed", place.id(index)));
                        place.ended_at = Some(Instant::now());
                    }
                }
                Some(ended_at) if ended_at.elapsed() >= AWAY => {
                    place.generation += 1;
                    place.ended_at = None;
                    let id = place.id(index);
                    deployment.start_server([
                        &id,
                        "brief-model",
                        place.zone,
                        "decode",
                        framing,
                        "25",
                    ]);
                    record.line(&format!("{id} starts"));
                    ids.push(id);
                }
                Some(_) => {}
            }
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    load.is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let mut lines: Vec<(String, ServerLine)> = Vec::new();
    for id in &ids {
        lines.extend(
            lines_of(&deployment.server_log(id)).into_iter().map(|line| (id.clone(), line)),
        );
    }
    lines.sort_by_key(|(_, line)| line.unix_ms);
    for (id, line) in &lines {
        record.line(&format!("server {id}: {}", line.text));
    }
    let crashes: Vec<u128> = lines
        .iter()
        .filter(|(_, line)| line.word == "crash")
        .map(|(_, line)| line.unix_ms)
        .collect();
    let late = crashes.get(4).map_or(0, |fifth| {
        let is_late = |line: &ServerLine| line.unix_ms > fifth + STABLE_WINDOW_MS;
        let is_fatal = |line: &ServerLine| line.word == "run" && line.id.starts_with('p');
        lines.iter().filter(|(_, line)| is_fatal(line) && is_late(line)).count()
    });
    record.say(&format!(
        "sound requests {}, whole {}; fatal requests {}; crashes {}; fatal requests that reached servers \
         later than {STABLE_WINDOW_MS} ms after the fifth crash: {late}",
        load.sound.load(Ordering::SeqCst),
        load.sound_whole.load(Ordering::SeqCst),
        load.fatal.load(Ordering::SeqCst),
        crashes.len()
    ));
    late > 3
}

/// Sends a request with these parts before its own; returns the events of a complete answer.
fn call(record: &Record, front: SocketAddr, id: &str, parts: &str) -> Option<usize> {
    let own: String = id.bytes().map(|byte| format!("{byte:02x}")).collect();
    let body = format!("the request {id}");
    let bytes = format!(
        "POST /cover/x HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Model-Id: m\r\n\
         X-Token-Usage: 5200,40\r\nX-Prompt-Prefix: {parts},{own}:5000\r\nX-Timeout-Ms: 14000\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let answer = request(front, bytes.as_bytes(), Duration::from_secs(15));
    let events = answer.as_ref().map(|it| it.body.windows(2).filter(|two| two == b"\n\n").count());
    let status = answer.as_ref().map_or(0, |it| it.status);
    let is_complete = answer.as_ref().is_some_and(|it| it.is_complete);
    record.line(&format!("{id}: {status}, {events:?} events, ends as complete: {is_complete}"));
    events.filter(|_| is_complete)
}
