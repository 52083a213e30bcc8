//! Decode servers that are silent in the middle of a response, and go on or not.

mod support;

use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use umberglade_router::events;
use umberglade_router::prompt::chat_shape;
use umberglade_standin::engine::response_token;
use umberglade_wire::caller::ChatMessage;
use umberglade_wire::engine::EngineFaults;

use support::Process;
use support::SHORT_FOLLOW_ARGS;
use support::actions;
use support::engine_faults;
use support::engine_stats;
use support::eventually;
use support::post;
use support::run;
use support::seed;
use support::sse_text;
use support::start_engine;
use support::start_platform;
use support::status;

const PROMPT: &str = "brief of the morning";
const MAX_TOKENS: u32 = 40;
/// Longer than an urgent stream may be silent before another server is looked for.
const SHORT_PAUSE_MS: u64 = 1400;
/// The same for a standard stream.
const LONG_PAUSE_MS: u64 = 2800;
/// Longer than any request of these tests may take.
const FOREVER_MS: u64 = 60_000;
/// How soon after its response engines must hold nothing of a request.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Decode servers of a site: the first is preferred.
const FIRST: usize = 0;
const SECOND: usize = 1;

/// A site with one prefill server and two decode servers, the first in the prefill server's domain.
struct PausedSite {
    daemon: Process,
    prefill: Process,
    decode: Vec<Process>,
    platform: Process,
    log: PathBuf,
}

impl PausedSite {
    fn start(name: &str, has_second: bool) -> PausedSite {
        let platform = start_platform("0");
        let prefill = start_engine(&platform.addr, "prefill-0", "prefill", &[]);
        let mut decode = vec![start_engine(&platform.addr, "decode-0", "decode", &[])];
        if has_second {
            let far = ["--domain", "far-away"];
            decode.push(start_engine(&platform.addr, "decode-1", "decode", &far));
        }
        seed(&platform.addr);
        let file = format!("paused-stream-{}-{name}.log", std::process::id()).replace(' ', "-");
        let log = std::env::temp_dir().join(file);
        let mut args = vec!["serve", "--listen", "127.0.0.1:0", "--platform", &platform.addr];
        args.extend(SHORT_FOLLOW_ARGS);
        let daemon = Process::start_logged(&args, &log);
        support::wait_for_servers(&daemon.addr, 1 + decode.len());
        PausedSite { daemon, prefill, decode, platform, log }
    }

    fn send(&self, priority: &str) -> (String, bool) {
        let body = serde_json::json!({
            "model": "brief-model",
            "messages": messages(),
            "max_tokens": MAX_TOKENS,
            "stream": true,
            "priority": priority,
        });
        let body = body.to_string();
        let response = post(&self.daemon.addr, "/v1/chat/completions", "key-glenmorrow", &body);
        assert_eq!(response.status, 200, "{}", response.body);
        sse_text(&response.body)
    }

    fn has_logged(&self, event: u32) -> bool {
        let text = std::fs::read_to_string(&self.log).expect("the daemon's log");
        text.lines().any(|line| line.contains(&format!("\"event\":{event},")))
    }

    /// Makes the preset with `deadline_ms` the one in force.
    fn set_deadline(&self, deadline_ms: u64) {
        let presets = concat!(env!("CARGO_MANIFEST_DIR"), "/../../presets/ordinary.toml");
        let ordinary = std::fs::read_to_string(presets).expect("the preset");
        let short = format!("deadline_ms = {deadline_ms}\n{ordinary}");
        let actions = actions(&self.platform.addr);
        run(async {
            actions.put_preset("short", &short, 0).await.expect("a preset");
            actions.activate("short", 1).await.expect("an activation");
        });
        let is_applied = || status(&self.daemon.addr).expect("a status")["fence"] == 2;
        assert!(eventually(Duration::from_secs(3), is_applied));
    }

    /// Returns true while the decode server gets no requests because it failed.
    fn is_ejected(&self, index: usize) -> bool {
        let status = status(&self.daemon.addr).expect("a status");
        let servers = status["servers"].as_array().expect("servers").clone();
        let name = format!("decode-{index}");
        let server = servers.iter().find(|server| server["server"] == *name);
        server.expect("the server")["set_aside"] == true
    }

    fn holds_nothing(&self) -> bool {
        self.decode.iter().chain([&self.prefill]).all(|engine| {
            let stats = engine_stats(&engine.addr);
            stats.held_requests == 0 && stats.held_exports == 0
        })
    }
}

impl Drop for PausedSite {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.log);
    }
}

fn messages() -> Vec<ChatMessage> {
    vec![ChatMessage { role: "user".into(), content: PROMPT.into() }]
}

fn expected() -> String {
    let seed = chat_shape(&messages()).digest;
    (0..MAX_TOKENS).map(|index| response_token(seed, index)).collect()
}

fn paused(after_tokens: u32, pause_ms: u64) -> EngineFaults {
    EngineFaults { pause_after_tokens: after_tokens, pause_ms, ..EngineFaults::default() }
}

/// What the second decode server does.
#[derive(Clone, PartialEq)]
enum Second {
    Absent,
    Faults(EngineFaults),
    /// Its process stands still.
    Frozen,
}

struct PauseCase {
    name: &'static str,
    priority: &'static str,
    first: EngineFaults,
    second: Second,
    /// The server that sends the rest of the response.
    goes_on: usize,
    /// The first is silent for longer than a sound server.
    may_be_ejected: bool,
}

fn cases() -> Vec<PauseCase> {
    let pause = paused(7, SHORT_PAUSE_MS);
    let rejects = Second::Faults(EngineFaults { down: true, ..EngineFaults::default() });
    let sound = Second::Faults(EngineFaults::default());
    let silent = EngineFaults { ignores_hangup: true, ..paused(0, FOREVER_MS) };
    let case = |name, first: &EngineFaults, second: &Second, goes_on| PauseCase {
        name,
        priority: "urgent",
        first: first.clone(),
        second: second.clone(),
        goes_on,
        may_be_ejected: false,
    };
    vec![
        case("no other", &pause, &Second::Absent, FIRST),
        case("other rejects", &pause, &rejects, FIRST),
        case("other is frozen", &pause, &Second::Frozen, FIRST),
        case("other is silent", &pause, &Second::Faults(silent), FIRST),
        case("before the first token", &paused(0, SHORT_PAUSE_MS), &rejects, FIRST),
        PauseCase {
            priority: "standard",
            ..case("standard", &paused(7, LONG_PAUSE_MS), &rejects, FIRST)
        },
        case("other is sound", &paused(7, FOREVER_MS), &sound, SECOND),
        PauseCase {
            may_be_ejected: true,
            ..case(
                "other is silent for a while",
                &paused(7, FOREVER_MS),
                &Second::Faults(paused(0, SHORT_PAUSE_MS)),
                SECOND,
            )
        },
        case("other is sound, before the first token", &paused(0, FOREVER_MS), &sound, SECOND),
    ]
}

/// Guards against a silent server that is given up before another one has begun: its response is
/// truncated if the other rejects or fails, though the server goes on.
#[test]
fn a_silent_server_is_kept_until_another_one_goes_on() {
    let failures: Vec<String> = cases().iter().filter_map(|case| check(case).err()).collect();
    assert!(failures.is_empty(), "{failures:#?}");
}

fn check(case: &PauseCase) -> Result<(), String> {
    let site = PausedSite::start(case.name, case.second != Second::Absent);
    engine_faults(&site.decode[FIRST].addr, &case.first);
    match &case.second {
        Second::Absent => {}
        Second::Faults(faults) => engine_faults(&site.decode[SECOND].addr, faults),
        Second::Frozen => site.decode[SECOND].pause(),
    }
    let (text, is_complete) = site.send(case.priority);
    let is_first_ejected = site.is_ejected(FIRST);
    if case.second == Second::Frozen {
        site.decode[SECOND].resume();
    }
    let is_released = eventually(RELEASE_TIMEOUT, || site.holds_nothing());
    let first_went_on = case.goes_on == FIRST;
    let checks = [
        ("complete", is_complete && text == expected()),
        ("silence logged", site.has_logged(events::STREAM_SILENT)),
        ("went on", site.has_logged(events::STREAM_WENT_ON) == first_went_on),
        ("resumed", site.has_logged(events::RESPONSE_RESUMED) != first_went_on),
        ("not ejected", case.may_be_ejected || !is_first_ejected),
        ("released", is_released),
    ];
    let failed: Vec<_> = checks.iter().filter(|(_, holds)| !holds).map(|(what, _)| what).collect();
    if failed.is_empty() { Ok(()) } else { Err(format!("{}: not {failed:?}", case.name)) }
}

/// Guards against the loss of a response whose silent server dies while another one, which has
/// not sent a line yet, is open beside it.
#[test]
fn a_server_opened_beside_a_silent_one_takes_over_when_that_dies() {
    const DIES_AFTER: Duration = Duration::from_millis(1300);
    let mut site = PausedSite::start("dies", true);
    engine_faults(&site.decode[FIRST].addr, &paused(7, FOREVER_MS));
    engine_faults(&site.decode[SECOND].addr, &paused(0, SHORT_PAUSE_MS));
    let mut first = site.decode.remove(FIRST);
    let killer = std::thread::spawn(move || {
        std::thread::sleep(DIES_AFTER);
        first.kill();
    });
    let (text, is_complete) = site.send("urgent");
    killer.join().expect("the killer");
    assert!(is_complete, "cut: {text}");
    assert_eq!(text, expected());
}

/// Guards against callers who are held beyond their deadline by a server that never goes on.
#[test]
fn a_dark_server_holds_no_caller_beyond_the_deadline() {
    const DEADLINE_MS: u64 = 1500;
    let site = PausedSite::start("dark", false);
    site.set_deadline(DEADLINE_MS);
    engine_faults(&site.decode[FIRST].addr, &paused(3, FOREVER_MS));
    let freezer = std::thread::spawn({
        let addr = site.decode[FIRST].addr.clone();
        let pid = site.decode[FIRST].child.id().to_string();
        move || {
            eventually(Duration::from_secs(1), || engine_stats(&addr).held_requests == 1);
            std::thread::sleep(Duration::from_millis(100));
            let _ = std::process::Command::new("kill").args(["-STOP", &pid]).status();
        }
    });
    let started_at = Instant::now();
    let (_, is_complete) = site.send("urgent");
    let elapsed = started_at.elapsed();
    freezer.join().expect("the freezer");
    site.decode[FIRST].resume();
    assert!(!is_complete);
    let deadline = Duration::from_millis(DEADLINE_MS);
    assert!(elapsed >= deadline, "given up after {elapsed:?}");
    assert!(elapsed < deadline + Duration::from_millis(400), "held for {elapsed:?}");
}

/// Guards against a sound server that is ejected for all callers because the deadline of one of
/// them came during a short silence.
#[test]
fn a_short_silence_at_the_deadline_ejects_no_server() {
    const DEADLINE_MS: u64 = 1000;
    let site = PausedSite::start("short", false);
    site.set_deadline(DEADLINE_MS);
    engine_faults(&site.decode[FIRST].addr, &paused(7, SHORT_PAUSE_MS));
    let (_, is_complete) = site.send("urgent");
    assert!(!is_complete);
    assert!(site.has_logged(events::STREAM_SILENT));
    assert!(!site.is_ejected(FIRST));
}

/// Guards against a server that gets further requests though it broke, because it did so before
/// its first line and beside a silent stream.
#[test]
fn a_server_that_dies_beside_a_silent_one_is_ejected() {
    const DIES_AFTER: Duration = Duration::from_millis(1300);
    /// Shorter than the first ejection of a server.
    const NOTICE_TIMEOUT: Duration = Duration::from_millis(400);
    let mut site = PausedSite::start("dies beside", true);
    engine_faults(&site.decode[FIRST].addr, &paused(7, LONG_PAUSE_MS));
    engine_faults(&site.decode[SECOND].addr, &paused(0, FOREVER_MS));
    let mut second = site.decode.remove(SECOND);
    let (is_opened, is_ejected, (text, is_complete)) = std::thread::scope(|scope| {
        let caller = scope.spawn(|| site.send("urgent"));
        std::thread::sleep(DIES_AFTER);
        let is_opened = engine_stats(&second.addr).held_requests == 1;
        second.kill();
        let is_ejected = eventually(NOTICE_TIMEOUT, || site.is_ejected(SECOND));
        (is_opened, is_ejected, caller.join().expect("the caller"))
    });
    assert!(is_opened);
    assert!(is_ejected);
    assert!(is_complete, "cut: {text}");
    assert_eq!(text, expected());
}

/// Guards against callers who are held beyond their deadline by an opening that gets no answer,
/// after the silent stream broke meanwhile.
#[test]
fn an_opening_holds_no_caller_beyond_the_deadline_when_the_silent_server_dies() {
    const DEADLINE_MS: u64 = 1800;
    const DIES_AFTER: Duration = Duration::from_millis(1300);
    let mut site = PausedSite::start("dies at opening", true);
    site.set_deadline(DEADLINE_MS);
    engine_faults(&site.decode[FIRST].addr, &paused(7, FOREVER_MS));
    site.decode[SECOND].pause();
    let mut first = site.decode.remove(FIRST);
    let (is_ejected, elapsed, is_complete) = std::thread::scope(|scope| {
        let started_at = Instant::now();
        let caller = scope.spawn(|| site.send("urgent"));
        std::thread::sleep(DIES_AFTER);
        first.kill();
        let (_, is_complete) = caller.join().expect("the caller");
        (site.is_ejected(FIRST), started_at.elapsed(), is_complete)
    });
    site.decode[0].resume();
    assert!(!is_complete);
    assert!(site.has_logged(events::STREAM_SILENT));
    let deadline = Duration::from_millis(DEADLINE_MS);
    assert!(elapsed >= deadline, "given up after {elapsed:?}");
    assert!(elapsed < deadline + Duration::from_millis(400), "held for {elapsed:?}");
    assert!(is_ejected);
}

/// Guards against a server that gets further requests though it was silent for longer than a
/// sound one, because the deadline of its caller ended the silence.
#[test]
fn a_long_silence_at_the_deadline_ejects_the_server() {
    const DEADLINE_MS: u64 = 3000;
    let site = PausedSite::start("long", false);
    site.set_deadline(DEADLINE_MS);
    engine_faults(&site.decode[FIRST].addr, &paused(7, FOREVER_MS));
    let (_, is_complete) = site.send("urgent");
    assert!(!is_complete);
    assert!(site.is_ejected(FIRST));
}
