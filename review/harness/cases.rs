//! The cases.

mod bodies;
mod ends;
mod funnel;
mod memory;
mod poison;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::base::{Gateway, Processes, Record, Scratch, Store, configuration, give_up};

/// Runs a case; exits with 1 if the rule was broken, 0 if it held.
pub fn run(case: &str, folder: &str) {
    let folder = PathBuf::from(folder);
    let record = Record::create(&folder);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    let is_broken = match case {
        "stream-end" => ends::run_streams(&record, has_trouble),
        "plain-end" => ends::run_plain(&record, has_trouble),
        "bodies" => bodies::run(&record, has_trouble),
        "funnel" => funnel::run(&record, has_trouble),
        "poison" => poison::run(&record, has_trouble),
        _ => give_up("no such case"),
    };
    record.say(if is_broken { "result: the rule was broken" } else { "result: the rule held" });
    std::process::exit(i32::from(is_broken));
}

/// A small deployment: store, servers, gateways.
pub struct Deployment {
    pub scratch: Scratch,
    pub store: Arc<Store>,
    pub processes: Processes,
    pub gateways: Vec<Gateway>,
}

impl Deployment {
    pub fn start(gateways: usize, call_timeout_ms: u64) -> Deployment {
        let scratch = Scratch::create();
        let store = Store::start();
        store.put("op", "config", &configuration(1, call_timeout_ms));
        let zones = ["hall-a", "hall-b", "hall-c"];
        let gateways: Vec<Gateway> = (0..gateways)
            .map(|index| Gateway::plan(index as u32, zones[index % zones.len()]))
            .collect();
        Deployment { scratch, store, processes: Processes::default(), gateways }
    }

    /// Starts a server; what it prints goes to a file in the temporary folder.
    pub fn start_server(&mut self, options: [&str; 6]) {
        let [id, service, zone, stage, framing, work_ms] = options;
        let output =
            std::fs::File::create(self.server_log(id)).unwrap_or_else(|_| give_up("no file"));
        let program = std::env::current_exe().unwrap_or_else(|_| give_up("no program"));
        let store = self.store.address.to_string();
        let child = Command::new(program)
            .args(["server", id, service, zone, stage, &store, framing, work_ms])
            .stdin(Stdio::null())
            .stdout(output)
            .spawn()
            .unwrap_or_else(|_| give_up("a server does not start"));
        self.processes.add(id, child);
    }

    pub fn server_log(&self, id: &str) -> PathBuf {
        self.scratch.0.join(format!("server-{id}.txt"))
    }

    /// Waits until `count` servers have registered, and starts the gateways.
    pub fn start_gateways(&mut self, count: usize) {
        let until = Instant::now() + Duration::from_secs(10);
        while self.store.keys("servers").len() < count {
            if Instant::now() > until {
                give_up("servers do not register");
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        for gateway in self.gateways.clone() {
            gateway.start(self.store.address, &self.scratch.0, &mut self.processes);
        }
        for gateway in &self.gateways {
            gateway.wait_ready();
        }
        // Until the gateways know each other.
        std::thread::sleep(Duration::from_secs(2));
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        self.gateways[index % self.gateways.len()].front
    }
}

/// A line that a server has printed.
#[derive(Debug, Clone)]
pub struct ServerLine {
    pub unix_ms: u128,
    /// `listening`, `prefill`, `run`, `done` or `crash`.
    pub word: String,
    /// The id of the request.
    pub id: String,
    pub text: String,
}

/// Returns the lines that a server has printed.
pub fn lines_of(path: &Path) -> Vec<ServerLine> {
    let text = std::fs::read(path).map(|it| String::from_utf8_lossy(&it).into_owned());
    let text = text.unwrap_or_default();
    let lines = text.lines().filter_map(|line| {
        let mut words = line.split(' ');
        Some(ServerLine {
            unix_ms: words.next()?.parse().ok()?,
            word: words.next()?.to_owned(),
            id: words.next()?.to_owned(),
            text: line.to_owned(),
        })
    });
    lines.collect()
}
