//! Clients send large bodies, within the operator's limits, and more of them come for a while.

use std::collections::HashSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::memory::watch_memory;
use super::{Deployment, lines_of};
use crate::base::{Record, read_answer};

/// A body, as large as `maxBodyBytes` allows.
const BODY_BYTES: usize = 4_194_304;
const PIECES: usize = 32;
/// How long a client takes to send a body: 10 Mbit/s.
const UPLOAD_TIME: Duration = Duration::from_millis(3200);
const GATEWAYS: usize = 3;
/// Clients that send large bodies, at each gateway: as usual, and during the burst (2.2 times).
const USUAL_UPLOADS: usize = 6;
const BURST_UPLOADS: usize = 13;
/// Clients that send short requests on kept connections, at each gateway.
const CALLERS: usize = 8;
const BURST_START: Duration = Duration::from_secs(5);
const BURST_TIME: Duration = Duration::from_secs(4);
const LOAD_TIME: Duration = Duration::from_secs(14);

#[derive(Default)]
struct Load {
    is_over: AtomicBool,
    answered: AtomicU32,
    /// Ids of requests on kept connections that ended without an answer.
    unanswered: Mutex<Vec<String>>,
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut deployment = Deployment::start(GATEWAYS, 10_000);
    let zones = ["hall-a", "hall-b", "hall-c"];
    for index in 0..6 {
        let id = format!("desk-{index}");
        deployment.start_server([&id, "booking-desk", zones[index % 3], "plain", "sized", "60"]);
    }
    deployment.start_gateways(6);
    let started_at = Instant::now();
    let load = Arc::new(Load::default());
    let mut clients = Vec::new();
    for at in 0..GATEWAYS {
        let front = deployment.front(at);
        for index in 0..CALLERS {
            let (load, record) = (Arc::clone(&load), Arc::clone(record));
            let name = format!("g{at}c{index}");
            clients.push(std::thread::spawn(move || {
                while !load.is_over.load(Ordering::SeqCst) {
                    load.use_connection(&record, front, &name, 100);
                }
            }));
        }
        for index in 0..BURST_UPLOADS {
            if index >= USUAL_UPLOADS && !has_trouble {
                continue;
            }
            let (load, record) = (Arc::clone(&load), Arc::clone(record));
            let name = format!("g{at}u{index:02}");
            clients.push(std::thread::spawn(move || {
                std::thread::sleep(match index < USUAL_UPLOADS {
                    true => UPLOAD_TIME * index as u32 / USUAL_UPLOADS as u32,
                    false => BURST_START.saturating_sub(started_at.elapsed()),
                });
                let is_due =
                    || index < USUAL_UPLOADS || started_at.elapsed() < BURST_START + BURST_TIME;
                while !load.is_over.load(Ordering::SeqCst) && is_due() {
                    load.use_connection(&record, front, &name, BODY_BYTES);
                }
            }));
        }
    }
    let kills = watch_memory(record, &mut deployment, started_at + LOAD_TIME);
    load.is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let mut run_ids = HashSet::new();
    for index in 0..6 {
        let name = format!("desk-{index}");
        for line in lines_of(&deployment.server_log(&name)) {
            record.line(&format!("server {name}: {}", line.text));
            if line.word == "run" {
                run_ids.insert(line.id);
            }
        }
    }
    let unanswered = load.unanswered.lock().unwrap();
    let lost: Vec<&String> = unanswered.iter().filter(|id| run_ids.contains(*id)).collect();
    record.say(&format!(
        "answered {}, processes ended for memory {kills}, passed on from a kept connection and not answered {}",
        load.answered.load(Ordering::SeqCst),
        lost.len()
    ));
    record.line(&format!("lost: {lost:?}"));
    lost.len() > 3
}

impl Load {
    /// Sends requests with bodies of `bytes` on one connection until it ends.
    fn use_connection(&self, record: &Record, front: SocketAddr, name: &str, bytes: usize) {
        static NEXT: AtomicU32 = AtomicU32::new(1);
        let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
            std::thread::sleep(Duration::from_millis(200));
            return;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(11)));
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        for count in 0.. {
            if self.is_over.load(Ordering::SeqCst) {
                return;
            }
            let id = format!("{name}n{:06}", NEXT.fetch_add(1, Ordering::SeqCst));
            if send(&mut stream, &id, bytes).is_err() {
                record.line(&format!("{id}: the connection ended while the body was sent"));
                return;
            }
            match read_answer(&mut reader) {
                Some(answer) if answer.is_complete => {
                    record.line(&format!("{id}: {} after {bytes} bytes", answer.status));
                    self.answered.fetch_add(1, Ordering::SeqCst);
                }
                _ => {
                    record.line(&format!(
                        "{id}: closed without an answer, request {count} of its connection"
                    ));
                    if count > 0 {
                        self.unanswered.lock().unwrap().push(id);
                    }
                    return;
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

fn send(stream: &mut TcpStream, id: &str, bytes: usize) -> std::io::Result<()> {
    let head = format!(
        "POST /slot/x HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\n\
         X-Timeout-Ms: 10000\r\nContent-Length: {bytes}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    if bytes < PIECES * 1000 {
        return stream.write_all(&vec![b'x'; bytes]);
    }
    let piece = vec![b'x'; bytes / PIECES];
    for _ in 0..PIECES {
        stream.write_all(&piece)?;
        std::thread::sleep(UPLOAD_TIME / PIECES as u32);
    }
    Ok(())
}
