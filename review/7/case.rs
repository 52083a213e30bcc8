//! A failure of a server that has run an unsafe call reaches the client as "not run, and never will
//! be".
//!
//! One gateway, two plain servers. One server fails part of its calls after it has worked on them,
//! with its health check good: it answers 503 without `X-Not-Executed`. Clients send unsafe calls,
//! and send one again under a new id only after a promise (429, 503, 408, 421).

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

const WORK_MS: u64 = 15;
const TIMEOUT_MS: u64 = 600;
const CALLS: u64 = 400;
/// Clients that send at the same time.
const CLIENTS: u64 = 8;
/// Of five calls at the server in trouble, two fail (x = 0.4, the default of `srv_grey`).
const FAILED_OF_FIVE: u64 = 2;

#[derive(Default)]
struct Site {
    /// Servers that have run each request id.
    runs: HashMap<String, Vec<&'static str>>,
    /// Runs of each booking, whatever the id.
    bookings: HashMap<String, u32>,
    /// Number of runs at the server in trouble.
    grey_runs: u64,
}

fn serve(mut connection: Connection, server: &'static str, is_grey: bool, site: &Arc<Mutex<Site>>) {
    while let Ok(Some(request)) = connection.read_request() {
        let is_target = [server, ""].contains(&request.header("x-target-instance"));
        let id = request.header("x-request-id").to_owned();
        let answered = if request.path() == "/healthz" {
            connection.answer(200, &[("X-Instance-Id", server)], b"")
        } else if !is_target {
            connection.answer(421, &[("X-Request-Id", &id), ("X-Instance-Id", server)], b"")
        } else if id.is_empty() {
            connection.answer(400, &[("X-Not-Executed", "1")], b"")
        } else {
            let booking = String::from_utf8_lossy(&request.body).into_owned();
            let mut site = site.lock().unwrap();
            site.runs.entry(id.clone()).or_default().push(server);
            *site.bookings.entry(booking.clone()).or_default() += 1;
            site.grey_runs += u64::from(is_grey);
            let fails = is_grey && site.grey_runs % 5 < FAILED_OF_FIVE;
            drop(site);
            sleep_ms(WORK_MS);
            let status = if fails { 503 } else { 200 };
            record(&format!("{server} ran {id} ({booking}) and answers {status}"));
            let headers = [("X-Request-Id", id.as_str()), ("X-Server-Signature", server)];
            connection.answer(status, &headers, booking.as_bytes())
        };
        if answered.is_err() {
            return;
        }
    }
}

fn send(front: SocketAddr, id: &str, booking: &str) -> Outcome {
    let text = format!(
        "POST /slots/2f HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\n\
         X-Timeout-Ms: {TIMEOUT_MS}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{booking}",
        booking.len()
    );
    exchange(front, text.as_bytes(), Duration::from_millis(TIMEOUT_MS), |_| {})
}

fn main() {
    begin_record("review/7");
    let folder = temporary_folder();
    let (store, store_address) = Store::start();
    let settings = Settings { folder, store: store_address, heartbeat_ms: 1200, memory_mb: 110 };
    let site: Arc<Mutex<Site>> = Arc::default();
    store.put(
        "op",
        "config",
        &format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"desk.example\",\
             \"prefix\":\"/slots/\",\"kind\":\"unsafe\",\"timeoutMs\":{TIMEOUT_MS},\
             \"targetLatencyMs\":100,\"priority\":2,\"service\":\"desk\",\"maxAttempts\":1}}],\
             \"services\":[{{\"name\":\"desk\",\"healthPath\":\"/healthz\",\"maxConnections\":96,\
             \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
             \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
        ),
    );
    for (server, is_grey) in [("i-desk1", false), ("i-desk2", has_trouble())] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| give_up(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let site = Arc::clone(&site);
        listen(listener, move |connection| serve(connection, server, is_grey, &site));
        let (service, zone) = ("desk".to_owned(), "hall-a".to_owned());
        let (id, stage, software) = (server.to_owned(), String::new(), "v1".to_owned());
        keep_registered(&store, Registration { id, service, address, zone, slots: 6, stage, software });
    }
    let gateway = Gateway::start(&settings, 0, "hall-a");
    sleep_ms(500);

    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (front, site) = (gateway.front, Arc::clone(&site));
            thread::spawn(move || run_client(client, front, &site))
        })
        .collect();
    let refused: u32 = clients.into_iter().filter_map(|client| client.join().ok()).sum();
    let twice = site.lock().unwrap().bookings.values().filter(|runs| **runs > 1).count();
    let verdict = format!(
        "REFUSED: {refused} unsafe requests that had run were answered with a promise that they had \
         not; {twice} of {CALLS} bookings were made twice by the clients' tries"
    );
    finish(&settings, refused > 0, &verdict);
}

/// Makes the bookings of one client, each with two tries at most. Returns how many tries were
/// answered with a promise though they had run.
fn run_client(client: u64, front: SocketAddr, site: &Mutex<Site>) -> u32 {
    let mut refused = 0;
    for number in (client..CALLS).step_by(CLIENTS as usize) {
        let booking = format!("chair-{number:03}");
        for retry in ["a", "b"] {
            let id = format!("try-{number:03}-{retry}");
            let outcome = send(front, &id, &booking);
            record(&format!("client: {id} ({booking}) got {}", outcome.label()));
            let Outcome::Answered(answer) = &outcome else { break };
            if ![429, 503, 408, 421].contains(&answer.status) {
                break;
            }
            refused += u32::from(site.lock().unwrap().runs.contains_key(&id));
        }
        sleep_ms(20);
    }
    refused
}
