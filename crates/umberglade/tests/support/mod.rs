//! Starts umberglade processes for tests and sends requests to them.

#![allow(dead_code)]

pub mod crowd;
pub mod crowd_check;
pub mod gateway;
pub mod process_use;
mod tcp_proxy;

use std::io::BufRead;
use std::io::BufReader;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Instant;

use serde::Serialize;
use serde::de::DeserializeOwned;
use umberglade_router::operator::OperatorActions;
use umberglade_router::platform::PlatformClient;
use umberglade_wire::engine::EngineFaults;
use umberglade_wire::engine::EngineStats;
use umberglade_wire::platform::FaultPlan;

#[allow(unused_imports)]
pub use self::tcp_proxy::TcpProxy;

use self::process_use::ProcessLimits;

/// The `umberglade` binary under test.
pub const UMBERGLADE: &str = env!("CARGO_BIN_EXE_umberglade");

/// A child process, killed when dropped.
pub struct Process {
    pub child: Child,
    /// The address it printed as `listening on ADDR`.
    pub addr: String,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts `umberglade ARGS` and waits for its `listening on` line.
    pub fn start(args: &[&str]) -> Process {
        let child = Command::new(UMBERGLADE)
            .args(args)
            .env("UMBERGLADE_LOG", "error")
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .expect("starting umberglade");
        Process::wait_until_listening(child)
    }

    /// Like [`Process::start`], but writes the log to the file `log`, at level `info` as JSON
    /// lines.
    pub fn start_logged(args: &[&str], log: &std::path::Path) -> Process {
        let log = std::fs::File::create(log).expect("creating the log file");
        let child = Command::new(UMBERGLADE)
            .args(args)
            .env("UMBERGLADE_LOG", "info")
            .env("UMBERGLADE_LOG_FORMAT", "json")
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("starting umberglade");
        Process::wait_until_listening(child)
    }

    /// Like [`Process::start`], on a machine with `limits`.
    pub fn start_limited(args: &[&str], limits: ProcessLimits) -> Process {
        let child = Command::new(UMBERGLADE)
            .args(args)
            .env("UMBERGLADE_LOG", "error")
            .env("UMBERGLADE_MEMORY_MB", limits.memory_mb.to_string())
            .env("UMBERGLADE_MAX_FDS", limits.max_fds.to_string())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .expect("starting umberglade");
        Process::wait_until_listening(child)
    }

    fn wait_until_listening(mut child: Child) -> Process {
        let stdout = child.stdout.take().expect("piped stdout");
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).expect("reading the listening line");
        let addr =
            line.trim().strip_prefix("listening on ").expect("a `listening on` line").to_owned();
        Process { child, addr }
    }

    /// Kills the process and waits for its end, as in a crash or the loss of its machine.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM, as in a planned stop.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends SIGSTOP, as when the process's machine is paused.
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// Sends SIGCONT to a paused process.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(name).arg(self.child.id().to_string()).status();
    }
}

/// A platform stand-in with seeded presets and organisations and the `ordinary` preset active,
/// engines registered with it, and one daemon. The daemon is the first field so that it is dropped
/// first.
pub struct Site {
    pub daemon: Process,
    pub engines: Vec<Process>,
    pub platform: Process,
}

/// Organisations of the test site and their keys.
pub const ORGANISATIONS: [(&str, &str); 2] =
    [("neulanjalki", "key-neulanjalki"), ("glenmorrow", "key-glenmorrow")];

impl Site {
    /// Starts a site with `prefill` and `decode` engines of brief-model.
    pub fn start(prefill: usize, decode: usize) -> Site {
        Site::start_with(prefill, decode, &[])
    }

    /// Like [`Site::start`], with additional arguments for every engine.
    pub fn start_with(prefill: usize, decode: usize, engine_args: &[&str]) -> Site {
        let platform = start_platform("0");
        let mut engines = Vec::new();
        for (role, count) in [("prefill", prefill), ("decode", decode)] {
            for index in 0..count {
                let server = format!("brief-{role}-{index}");
                engines.push(start_engine(&platform.addr, &server, role, engine_args));
            }
        }
        seed(&platform.addr);
        let daemon = start_daemon(&platform.addr, "entry-1", &SHORT_FOLLOW_ARGS);
        wait_for_servers(&daemon.addr, prefill + decode);
        Site { platform, engines, daemon }
    }

    /// Returns the decode engine `brief-decode-{index}`; `prefill` is the site's number of prefill
    /// engines.
    pub fn decode_engine(&self, prefill: usize, index: usize) -> &Process {
        &self.engines[prefill + index]
    }
}

/// Starts a platform whose instance list lags by `lag_ms`.
pub fn start_platform(lag_ms: &str) -> Process {
    Process::start(&["standin", "platform", "--listen", "127.0.0.1:0", "--instance-lag-ms", lag_ms])
}

/// Starts an engine that registers in `platform`'s instance list.
pub fn start_engine(platform: &str, server: &str, role: &str, more: &[&str]) -> Process {
    let mut args = vec!["standin", "engine", "--server", server, "--role", role];
    args.extend(["--register-with", platform]);
    args.extend(more);
    Process::start(&args)
}

/// Arguments for short feed requests to the platform, used by most tests' daemons.
pub const SHORT_FOLLOW_ARGS: [&str; 2] = ["--follow-ms", "200"];

/// Starts a daemon of `platform`.
pub fn start_daemon(platform: &str, daemon_id: &str, more: &[&str]) -> Process {
    let mut args = vec!["serve", "--listen", "127.0.0.1:0", "--platform", platform];
    args.extend(["--daemon-id", daemon_id]);
    args.extend(more);
    Process::start(&args)
}

/// Returns the operator actions on `platform`.
pub fn actions(platform: &str) -> OperatorActions {
    OperatorActions {
        platform: PlatformClient::new(platform, Duration::from_secs(2)),
        actor: "test".into(),
    }
}

/// Runs `task` to completion.
pub fn run<F: Future>(task: F) -> F::Output {
    umberglade_wire::pool::block_on(task)
}

/// GETs `path` and parses the JSON response.
pub fn get_json<T: DeserializeOwned>(addr: &str, path: &str) -> T {
    let mut response = ureq::get(&format!("http://{addr}{path}")).call().expect("a response");
    let text = response.body_mut().read_to_string().expect("a text body");
    serde_json::from_str(&text).expect("the JSON expected")
}

/// POSTs `value` to `path`, expecting success.
pub fn post_json<T: Serialize>(addr: &str, path: &str, value: &T) {
    ureq::post(&format!("http://{addr}{path}"))
        .header("Content-Type", "application/json")
        .send(serde_json::to_string(value).expect("serialising"))
        .expect("a response");
}

/// Reads the statistics of the engine at `addr`.
pub fn engine_stats(addr: &str) -> EngineStats {
    get_json(addr, "/v1/stats")
}

/// Injects `faults` into the engine at `addr`.
pub fn engine_faults(addr: &str, faults: &EngineFaults) {
    post_json(addr, "/v1/faults", faults);
}

/// Injects `plan` into the platform stand-in at `platform`.
pub fn set_faults(platform: &str, plan: &FaultPlan) {
    post_json(platform, "/v1/faults", plan);
}

/// Polls `check` every 20 ms until it holds or `limit` passes.
pub fn eventually(limit: Duration, mut check: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if check() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    check()
}

/// Sends `body` to the daemon's chat route on a raw socket and returns the socket. Dropping it
/// hangs up.
pub fn raw_request(daemon: &str, body: &str) -> TcpStream {
    let mut socket = TcpStream::connect(daemon).expect("connecting to the daemon");
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-neulanjalki\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    socket.write_all(request.as_bytes()).expect("sending the request");
    socket
}

/// Waits for the first bytes of a response.
pub fn first_bytes(socket: &mut TcpStream) {
    let mut first = [0u8; 256];
    assert!(socket.read(&mut first).expect("a response") > 0);
}

/// Builds a streamed chat request of `prompt_words` words for `max_tokens` tokens.
pub fn chat(prompt_words: usize, max_tokens: u32) -> String {
    serde_json::json!({
        "model": "brief-model",
        "stream": true,
        "max_tokens": max_tokens,
        "messages": [{ "role": "user", "content": "brief ".repeat(prompt_words) }],
    })
    .to_string()
}

/// Joins the content deltas of an SSE response and returns them with whether it holds `[DONE]`.
pub fn sse_text(body: &str) -> (String, bool) {
    let mut text = String::new();
    let mut done = false;
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let chunk: serde_json::Value = serde_json::from_str(data).expect("a JSON chunk");
        if let Some(content) = chunk["choices"][0]["delta"]["content"].as_str() {
            text.push_str(content);
        }
    }
    (text, done)
}

/// Seeds presets and organisations and activates `ordinary`.
pub fn seed(platform: &str) {
    let actions = actions(platform);
    run(async {
        for name in ["ordinary", "peak", "maintenance"] {
            let text = std::fs::read_to_string(format!(
                "{}/../../presets/{name}.toml",
                env!("CARGO_MANIFEST_DIR")
            ))
            .unwrap();
            actions.put_preset(name, &text, 0).await.expect("seeding a preset");
        }
        for (organisation, key) in ORGANISATIONS {
            actions
                .set_organisation(organisation, vec![key.into()])
                .await
                .expect("seeding an organisation");
        }
        actions.activate("ordinary", 0).await.expect("activating ordinary");
    });
}

/// Waits until the daemon's status lists `count` servers and an active preset.
pub fn wait_for_servers(daemon: &str, count: usize) {
    for _ in 0..100 {
        if let Ok(status) = status(daemon)
            && status["servers"].as_array().map_or(0, Vec::len) == count
            && status["fence"].as_u64().unwrap_or(0) > 0
        {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("daemon did not list {count} servers in time");
}

/// Reads the daemon's `/v1/status`.
pub fn status(daemon: &str) -> Result<serde_json::Value, ureq::Error> {
    let mut response = ureq::get(&format!("http://{daemon}/v1/status")).call()?;
    let text = response.body_mut().read_to_string()?;
    Ok(serde_json::from_str(&text).expect("status is JSON"))
}

/// A response as the caller sees it.
pub struct CallerResponse {
    pub status: u16,
    pub retry_after: Option<String>,
    pub body: String,
}

/// POSTs `body` to `path` on the daemon with `key`.
pub fn post(daemon: &str, path: &str, key: &str, body: &str) -> CallerResponse {
    try_post(daemon, path, key, body).expect("a response from the daemon")
}

/// Like [`post`]; fails if there is no complete response.
pub fn try_post(
    daemon: &str,
    path: &str,
    key: &str,
    body: &str,
) -> Result<CallerResponse, ureq::Error> {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let mut response = agent
        .post(&format!("http://{daemon}{path}"))
        .header("Authorization", &format!("Bearer {key}"))
        .header("Content-Type", "application/json")
        .send(body)?;
    let retry_after =
        response.headers().get("retry-after").map(|value| value.to_str().unwrap().to_owned());
    let status = response.status().as_u16();
    let body = response.body_mut().read_to_string()?;
    Ok(CallerResponse { status, retry_after, body })
}
