//! `umberglade gateway` as a process in front of a stand-in site.

use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::Stdio;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use umberglade_platform_standin::DEFAULT_SERVERS;
use umberglade_platform_standin::ServerOptions;
use umberglade_platform_standin::Site;
use umberglade_wire::pool;

/// Longer than any step of these tests takes, so that exceeding it means a hang.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// A gateway and its standard output; killed when dropped.
pub struct Gateway {
    pub child: Child,
    pub log: BufReader<ChildStdout>,
    pub front: String,
    pub ready: String,
    pub metrics: String,
    /// Address for other gateways.
    pub peer: String,
    pub node_file: PathBuf,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.node_file);
    }
}

impl Gateway {
    /// Starts a gateway that writes at most `log_lines` a second, and waits until it serves.
    pub fn start(name: &str, store: &str, log_lines: &str) -> Gateway {
        Gateway::start_with(name, store, log_lines, "")
    }

    /// Like [`Gateway::start`], where servers are reached at `server_addresses`.
    pub fn start_with(name: &str, store: &str, log_lines: &str, server_addresses: &str) -> Gateway {
        let settings = settings_text(store);
        Gateway::start_from(name, &settings, &["--log-lines", log_lines], server_addresses)
    }

    /// Starts a gateway with the settings file `settings` and the further arguments `args`.
    pub fn start_from(
        name: &str,
        settings: &str,
        args: &[&str],
        server_addresses: &str,
    ) -> Gateway {
        let file = format!("umberglade-node-{}-{name}.yaml", std::process::id());
        let node_file = std::env::temp_dir().join(file);
        std::fs::write(&node_file, settings).expect("writing the settings file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_umberglade"))
            .args(["gateway", "--metrics-port", "0"])
            .args(args)
            .args(["--server-addresses", server_addresses])
            .env("UMBERGLADE_NODE_FILE", &node_file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("starting umberglade");
        let log = BufReader::new(child.stdout.take().expect("piped stdout"));
        let (front, ready, metrics, peer) = Default::default();
        let mut gateway = Gateway { child, log, front, ready, metrics, peer, node_file };
        let started = gateway.next_event(7001);
        gateway.front = started["front"].as_str().expect("an address").to_owned();
        gateway.ready = started["ready"].as_str().expect("an address").to_owned();
        gateway.peer = started["peer"].as_str().expect("an address").to_owned();
        gateway.metrics = started["metrics"].as_str().expect("an address").to_owned();
        gateway
    }

    /// Returns the next log line of event `number`.
    pub fn next_event(&mut self, number: u64) -> serde_json::Value {
        let deadline = Instant::now() + HANG_TIMEOUT;
        let mut line = String::new();
        loop {
            assert!(Instant::now() < deadline, "no event {number}");
            line.clear();
            let length = self.log.read_line(&mut line).expect("reading the log");
            assert!(length > 0, "the log ended before event {number}");
            let event: serde_json::Value = serde_json::from_str(&line).expect("a JSON line");
            if event["event"] == number {
                return event;
            }
        }
    }

    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .args([signal, &self.child.id().to_string()])
            .status()
            .expect("running kill");
        assert!(status.success());
    }

    /// Sends one call, reads its response completely and returns the status.
    pub fn call(&self, agent: &ureq::Agent, path: &str, id: &str) -> u16 {
        self.try_call(agent, path, id).expect("a complete response")
    }

    /// Like [`Gateway::call`]; fails if there is no complete response.
    pub fn try_call(&self, agent: &ureq::Agent, path: &str, id: &str) -> Result<u16, ureq::Error> {
        let mut response = agent
            .post(format!("http://{}{path}", self.front))
            .header("host", "site.example")
            .header("x-request-id", id)
            .header("x-timeout-ms", "3000")
            .send("hello")?;
        response.body_mut().read_to_string()?;
        Ok(response.status().as_u16())
    }
}

/// Returns the text of a settings file that states no limits.
pub fn settings_text(store: &str) -> String {
    format!(
        "nodeName: gw\nip: 127.0.0.1\nzone: z1\nlisten:\n  front: 127.0.0.1:0\n  ready: \
         127.0.0.2:0\ninternalPorts: [0]\nbounds:\n  configApplyMs: 2000\n  drainMs: 2000\n  \
         graceS: 8\n  retryBudgetRatio: 0.2\n  budgetWindowS: 10\n  budgetSlack: \
         52\nprovider:\n  address: {store}\n"
    )
}

/// Returns an HTTP client that opens its own connections.
pub fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(HANG_TIMEOUT))
        .build();
    ureq::Agent::new_with_config(config)
}

/// Starts a site on a thread of this process and returns its store's address.
pub fn start_site() -> String {
    start_site_with(ServerOptions::default())
}

/// Like [`start_site`], with servers configured by `options`.
pub fn start_site_with(options: ServerOptions) -> String {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        pool::block_on(async move {
            let site = Site::start_with(&DEFAULT_SERVERS, options).await;
            sender.send(site.store_address.to_string()).expect("a waiting test");
            std::future::pending::<()>().await;
        });
    });
    receiver.recv_timeout(HANG_TIMEOUT).expect("a started site")
}
