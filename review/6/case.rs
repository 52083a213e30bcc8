//! A planned stop cuts calls that servers have run.
//!
//! A zone of three gateways, one sound plain server. Clients send one unsafe call each 20 ms, each
//! on a new connection, which the platform forwards by its rule. A call takes 1.2 s of the 1.5 s
//! that its client and its route allow. Two gateways get SIGTERM; nothing else happens. One of
//! three in rotation is fewer than half, so the platform uses all three until they are gone.

#[path = "../harness-2/harness.rs"]
mod harness;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use harness::*;

const WORK_MS: u64 = 1200;
const TIMEOUT_MS: u64 = 1500;
const GRACE_MS: u64 = 8000;
const CALL_INTERVAL_MS: u64 = 20;
const GATEWAYS: u8 = 3;
/// How many of them are stopped.
const STOPPED: usize = 2;
const CLIENTS: u64 = 24;

/// Begin and end of each run, by request id.
type Runs = Arc<Mutex<HashMap<String, (u64, Option<u64>)>>>;

fn serve(mut connection: Connection, runs: &Runs) {
    while let Ok(Some(request)) = connection.read_request() {
        let id = request.header("x-request-id").to_owned();
        if id.is_empty() {
            let refused = [("X-Not-Executed", "1")];
            if connection.answer(400, &refused, b"").is_err() {
                return;
            }
            continue;
        }
        runs.lock().unwrap().insert(id.clone(), (now_ms(), None));
        record(&format!("server runs {id}, X-Timeout-Ms {}", request.header("x-timeout-ms")));
        sleep_ms(WORK_MS);
        runs.lock().unwrap().insert(id.clone(), (now_ms() - WORK_MS, Some(now_ms())));
        let headers = [("X-Request-Id", id.as_str()), ("X-Server-Signature", "sig-1")];
        let body = format!("booked {id}");
        if connection.answer(200, &headers, body.as_bytes()).is_err() {
            record(&format!("server could not answer {id}"));
            return;
        }
    }
}

/// The platform's balancer: asks each daemon once a second whether it is ready.
struct Balancer {
    gateways: Vec<Arc<Gateway>>,
    /// Misses in a row of each.
    misses: Mutex<Vec<u32>>,
}

impl Balancer {
    fn start(gateways: Vec<Arc<Gateway>>) -> Arc<Balancer> {
        let misses = Mutex::new(vec![0; gateways.len()]);
        let balancer = Arc::new(Balancer { gateways, misses });
        for index in 0..balancer.gateways.len() {
            let balancer = Arc::clone(&balancer);
            thread::spawn(move || loop {
                let is_ready = balancer.gateways[index].is_ready();
                let mut misses = balancer.misses.lock().unwrap();
                misses[index] = if is_ready { 0 } else { misses[index] + 1 };
                drop(misses);
                sleep_ms(1000);
            });
        }
        balancer
    }

    /// Where the platform forwards a new connection of `client`.
    fn choose(&self, client: u64) -> usize {
        let misses = self.misses.lock().unwrap().clone();
        let rotation: Vec<usize> = (0..misses.len()).filter(|index| misses[*index] < 2).collect();
        let all: Vec<usize> = (0..misses.len()).collect();
        let used = if rotation.len() * 2 < all.len() { all } else { rotation };
        used[(client.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize % used.len()]
    }
}

struct Call {
    id: String,
    /// The gateway that the connection was forwarded to.
    gateway: usize,
    sent_at: u64,
    ended_at: u64,
    outcome: Outcome,
}

fn call(gateway: usize, front: SocketAddr, number: u64) -> Call {
    let id = format!("call-{number:04}");
    let text = format!(
        "POST /slots/{number} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\n\
         X-Timeout-Ms: {TIMEOUT_MS}\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbook"
    );
    let sent_at = now_ms();
    let outcome = exchange(front, text.as_bytes(), Duration::from_millis(TIMEOUT_MS), |_| {});
    Call { id, gateway, sent_at, ended_at: now_ms(), outcome }
}

fn main() {
    begin_record("review/6");
    let folder = temporary_folder();
    let (store, store_address) = Store::start();
    let settings = Settings { folder, store: store_address, heartbeat_ms: 1200, memory_mb: 110 };
    let runs = Runs::default();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| give_up(&e.to_string()));
    let address = listener.local_addr().unwrap();
    let served = Arc::clone(&runs);
    listen(listener, move |connection| serve(connection, &served));
    store.put(
        "op",
        "config",
        &format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"desk.example\",\
             \"prefix\":\"/slots/\",\"kind\":\"unsafe\",\"timeoutMs\":{TIMEOUT_MS},\
             \"targetLatencyMs\":300,\"priority\":2,\"service\":\"desk\",\"maxAttempts\":1}}],\
             \"services\":[{{\"name\":\"desk\",\"healthPath\":\"/healthz\",\"maxConnections\":440,\
             \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
             \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
        ),
    );
    let id = "i-desk1".to_owned();
    let (service, zone) = ("desk".to_owned(), "hall-a".to_owned());
    let (stage, software) = (String::new(), "v1".to_owned());
    keep_registered(&store, Registration { id, service, address, zone, slots: 64, stage, software });
    let start = |index| Arc::new(Gateway::start(&settings, index, "hall-a"));
    let gateways: Vec<Arc<Gateway>> = (0..GATEWAYS).map(start).collect();
    let balancer = Balancer::start(gateways.clone());
    sleep_ms(1500);

    let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
    let mut clients = Vec::new();
    let begun_at = now_ms();
    let mut stopped_at = None;
    for number in 0.. {
        let at = now_ms() - begun_at;
        // All has been calm for over stableWindowMs.
        if stopped_at.is_none() && at >= 3500 {
            stopped_at = Some(now_ms());
            if has_trouble() {
                gateways[..STOPPED].iter().for_each(|gateway| gateway.signal(SIGTERM));
            }
        }
        if at >= 3500 + GRACE_MS + 1000 {
            break;
        }
        let chosen = balancer.choose(number % CLIENTS);
        let (front, calls) = (gateways[chosen].front, Arc::clone(&calls));
        clients.push(thread::spawn(move || {
            let call = call(chosen, front, number);
            calls.lock().unwrap().push(call);
        }));
        sleep_ms(CALL_INTERVAL_MS);
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    let stopped_at = stopped_at.unwrap_or_default();

    let runs = runs.lock().unwrap().clone();
    let mut lost = 0;
    let mut calls = std::mem::take(&mut *calls.lock().unwrap());
    calls.sort_by_key(|call| call.sent_at);
    for call in &calls {
        let Call { id, gateway, sent_at, ended_at, outcome } = call;
        let since_stop = *sent_at as i64 - stopped_at as i64;
        let run = runs.get(id);
        record(&format!(
            "{id} sent to gateway {gateway} {since_stop} ms after SIGTERM: {} after {} ms; run {run:?}",
            outcome.label(),
            ended_at - sent_at
        ));
        let is_cut = match outcome {
            Outcome::Cut(_) => true,
            Outcome::Answered(answer) => !answer.is_whole,
            Outcome::NotConnected(_) | Outcome::TimedOut => false,
        };
        // LOST, planned work: sent while the stop lasts, passed on, cut before the deadline and the
        // route's timeout, by a machine that was stopped. Excused: sent no later than 3 s after SIGTERM and still at work in the
        // last sixth of graceS.
        let is_around_stop = since_stop >= 0 && *ended_at <= stopped_at + GRACE_MS + 1000;
        let is_in_time = ended_at - sent_at < TIMEOUT_MS;
        let is_excused = since_stop <= 3000;
        let is_stopped = *gateway < STOPPED;
        if is_stopped && is_cut && run.is_some() && is_around_stop && is_in_time && !is_excused {
            lost += 1;
        }
    }
    let sent = calls.len();
    let verdict = format!("LOST: {lost} of {sent} calls were passed on and cut without an answer");
    finish(&settings, lost > 0, &verdict);
}
