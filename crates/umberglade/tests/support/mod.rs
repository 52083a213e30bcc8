//! Starting umberglade processes for tests, and talking to them.

#![allow(dead_code)]

use std::io::BufRead;
use std::io::BufReader;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use umberglade_router::operator::OperatorActions;
use umberglade_router::platform::PlatformClient;

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
        let mut child = Command::new(UMBERGLADE)
            .args(args)
            .env("UMBERGLADE_LOG", "warn")
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .expect("starting umberglade");
        let stdout = child.stdout.take().expect("piped stdout");
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).expect("reading the listening line");
        let addr =
            line.trim().strip_prefix("listening on ").expect("a `listening on` line").to_owned();
        Process { child, addr }
    }

    /// Kills the process and waits for it: a crash, or a machine lost.
    pub fn stop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM: a planned stop.
    pub fn terminate(&self) {
        let _ = Command::new("kill").arg("-TERM").arg(self.child.id().to_string()).status();
    }
}

/// A platform stand-in, engines registered with it, presets and
/// organisations seeded, the ordinary preset active, and one daemon.
pub struct Site {
    pub platform: Process,
    pub engines: Vec<Process>,
    pub daemon: Process,
}

/// Organisations of the test site and their keys.
pub const ORGANISATIONS: [(&str, &str); 2] =
    [("neulanjalki", "key-neulanjalki"), ("glenmorrow", "key-glenmorrow")];

impl Site {
    /// Starts a site with `prefill` and `decode` engines of brief-model.
    pub fn start(prefill: usize, decode: usize) -> Site {
        let platform = Process::start(&[
            "standin",
            "platform",
            "--listen",
            "127.0.0.1:0",
            "--instance-lag-ms",
            "0",
        ]);
        let mut engines = Vec::new();
        for (role, count) in [("prefill", prefill), ("decode", decode)] {
            for index in 0..count {
                let server = format!("brief-{role}-{index}");
                engines.push(Process::start(&[
                    "standin",
                    "engine",
                    "--server",
                    &server,
                    "--role",
                    role,
                    "--register-with",
                    &platform.addr,
                ]));
            }
        }
        seed(&platform.addr);
        let daemon = Process::start(&[
            "serve",
            "--listen",
            "127.0.0.1:0",
            "--platform",
            &platform.addr,
            "--follow-ms",
            "200",
        ]);
        wait_for_servers(&daemon.addr, prefill + decode);
        Site { platform, engines, daemon }
    }
}

/// Seeds presets, organisations, and activates `ordinary`.
pub fn seed(platform: &str) {
    let actions = OperatorActions {
        platform: PlatformClient::new(platform, Duration::from_secs(2)),
        actor: "test".into(),
    };
    umberglade_wire::pool::block_on(async {
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

/// Waits until the daemon's status lists `count` servers.
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
    panic!("daemon never saw {count} servers");
}

/// The daemon's `/v1/status`.
pub fn status(daemon: &str) -> Result<serde_json::Value, ureq::Error> {
    let mut response = ureq::get(&format!("http://{daemon}/v1/status")).call()?;
    let text = response.body_mut().read_to_string()?;
    Ok(serde_json::from_str(&text).expect("status is JSON"))
}

/// An answer as a caller sees it.
pub struct CallerAnswer {
    pub status: u16,
    pub retry_after: Option<String>,
    pub body: String,
}

/// POSTs `body` to `path` on the daemon with `key`.
pub fn post(daemon: &str, path: &str, key: &str, body: &str) -> CallerAnswer {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let mut response = agent
        .post(&format!("http://{daemon}{path}"))
        .header("Authorization", &format!("Bearer {key}"))
        .header("Content-Type", "application/json")
        .send(body)
        .expect("the daemon answers");
    let retry_after =
        response.headers().get("retry-after").map(|value| value.to_str().unwrap().to_owned());
    let status = response.status().as_u16();
    let body = response.body_mut().read_to_string().expect("a text body");
    CallerAnswer { status, retry_after, body }
}
