//! Clients with kept connections, most of whose new connections the platform hands to one gateway.

use std::collections::HashSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::memory::watch_memory;
use super::{Deployment, lines_of};
use crate::base::{Record, read_answer};

const GATEWAYS: usize = 3;
/// Clients of the region: 400 in each of five zones.
const CLIENTS: usize = 2000;
/// Memory of the smallest machines of the site.
const MEMORY_MB: u64 = 120;
/// Threads that play the clients; each one's clients send one request after the other.
const THREADS: usize = 25;
/// Further clients of each gateway, which send one request after the other on their connections.
const CALLERS: usize = 8;
/// From when on clients open new connections more often, and for how long.
const FUNNEL_START: Duration = Duration::from_secs(8);
const FUNNEL_TIME: Duration = Duration::from_secs(8);
const LOAD_TIME: Duration = Duration::from_secs(22);

#[derive(Default)]
struct Load {
    is_over: AtomicBool,
    next_id: AtomicU32,
    answered: AtomicU32,
    /// Ids of requests on kept connections that ended without an answer.
    unanswered: Mutex<Vec<String>>,
}

struct Client {
    at: usize,
    connection: Option<TcpStream>,
    /// Requests answered on its connection.
    served: u32,
    has_moved: bool,
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut deployment = Deployment::start(GATEWAYS, 600);
    for gateway in &mut deployment.gateways {
        gateway.memory_mb = MEMORY_MB;
    }
    let zones = ["hall-a", "hall-b", "hall-c"];
    for index in 0..6 {
        let id = format!("desk-{index}");
        deployment.start_server([&id, "booking-desk", zones[index % 3], "plain", "sized", "30"]);
    }
    deployment.start_gateways(6);
    let fronts: Vec<SocketAddr> = (0..GATEWAYS).map(|at| deployment.front(at)).collect();
    let started_at = Instant::now();
    let load = Arc::new(Load::default());
    let callers = (0..GATEWAYS * CALLERS).map(|caller| {
        let (load, record, front) =
            (Arc::clone(&load), Arc::clone(record), fronts[caller % GATEWAYS]);
        std::thread::spawn(move || {
            let mut client = Client { at: caller, connection: None, served: 0, has_moved: true };
            while !load.is_over.load(Ordering::SeqCst) {
                load.call(&record, front, &mut client);
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    let threads: Vec<_> = (0..THREADS)
        .map(|thread| {
            let (load, record, fronts) = (Arc::clone(&load), Arc::clone(record), fronts.clone());
            std::thread::spawn(move || {
                let mut clients: Vec<Client> = (0..CLIENTS / THREADS)
                    .map(|index| Client {
                        at: thread + index,
                        connection: None,
                        served: 0,
                        has_moved: false,
                    })
                    .collect();
                while !load.is_over.load(Ordering::SeqCst) {
                    for client in &mut clients {
                        let elapsed = started_at.elapsed();
                        let is_funnel =
                            elapsed >= FUNNEL_START && elapsed < FUNNEL_START + FUNNEL_TIME;
                        if is_funnel && !client.has_moved {
                            client.connection = None;
                            client.has_moved = true;
                        }
                        let front =
                            fronts[if is_funnel && has_trouble { 0 } else { client.at % GATEWAYS }];
                        load.call(&record, front, client);
                        if load.is_over.load(Ordering::SeqCst) {
                            return;
                        }
                    }
                }
            })
        })
        .collect();
    let kills = watch_memory(record, &mut deployment, started_at + LOAD_TIME);
    load.is_over.store(true, Ordering::SeqCst);
    for thread in threads.into_iter().chain(callers) {
        let _ = thread.join();
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
    /// Sends one request on the client's connection, or on a new one to `front`.
    fn call(&self, record: &Record, front: SocketAddr, client: &mut Client) {
        let id = format!("r{:06}", self.next_id.fetch_add(1, Ordering::SeqCst));
        if client.connection.is_none() {
            client.served = 0;
            client.connection = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok();
        }
        let Some(stream) = &mut client.connection else {
            std::thread::sleep(Duration::from_millis(50));
            return;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(1600)));
        let bytes = format!(
            "POST /slot/x HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\n\
             X-Timeout-Ms: 600\r\nContent-Length: 4\r\n\r\nslot"
        );
        let answer = match stream.write_all(bytes.as_bytes()) {
            Ok(()) => read_answer(&mut BufReader::new(&*stream)),
            Err(_) => None,
        };
        match answer {
            Some(answer) if answer.is_complete => {
                record.line(&format!("{id}: {}", answer.status));
                self.answered.fetch_add(1, Ordering::SeqCst);
                client.served += 1;
            }
            _ => {
                record.line(&format!(
                    "{id}: closed without an answer, after {} on its connection",
                    client.served
                ));
                if client.served > 0 {
                    self.unanswered.lock().unwrap().push(id);
                }
                client.connection = None;
            }
        }
    }
}
