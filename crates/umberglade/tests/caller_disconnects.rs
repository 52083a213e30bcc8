//! Engines release the memory of a request whose caller has disconnected or whose daemon has
//! stopped, in every stage of the request.

mod support;

use std::io::Write;
use std::time::Duration;

use umberglade_wire::engine::EngineFaults;

use support::Site;
use support::chat;
use support::engine_faults;
use support::engine_stats;
use support::eventually;
use support::raw_request;

/// How soon after the disconnect the engines must hold nothing.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time in which the daemon reads what is behind a request.
const BEHIND_DELAY: Duration = Duration::from_millis(100);

/// How and when a request loses its caller.
struct DisconnectCase {
    name: &'static str,
    prefill_faults: EngineFaults,
    decode_faults: EngineFaults,
    prompt_words: usize,
    /// What the caller sends behind its request before it leaves.
    behind: &'static str,
    /// Which engine must hold the request before its caller disconnects.
    held_at: HeldAt,
    /// The daemon is killed instead of the caller hanging up.
    kill_daemon: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum HeldAt {
    Prefill,
    Decode,
}

impl DisconnectCase {
    const fn new(name: &'static str, held_at: HeldAt) -> DisconnectCase {
        const NONE: EngineFaults = EngineFaults {
            down: false,
            cut_after_tokens: 0,
            silent_after_tokens: 0,
            pause_after_tokens: 0,
            pause_ms: 0,
            silent_prefill: false,
            stall_kv: false,
            duplicate_lines: false,
            crossed_lines: false,
            ignores_hangup: false,
            late_order_ms: 0,
        };
        DisconnectCase {
            name,
            prefill_faults: NONE,
            decode_faults: NONE,
            prompt_words: 20,
            behind: "",
            held_at,
            kill_daemon: false,
        }
    }
}

/// A caller hangs up, or the daemon is killed, at each stage of a request: during a long prefill
/// (1.2 s), during a stalled KV cache transfer, while tokens stream (4 s), and while the stream is
/// silent. Covers engines that end work when its connection closes and engines that ignore it.
/// Nobody will read the response, so every engine must hold nothing within seconds.
#[test]
fn engines_release_requests_after_disconnect() {
    let stalled = EngineFaults { stall_kv: true, ..EngineFaults::default() };
    let silent = EngineFaults { silent_after_tokens: 3, ..EngineFaults::default() };
    let ignores_hangup_faults = EngineFaults { ignores_hangup: true, ..EngineFaults::default() };
    let cases = [
        DisconnectCase {
            prompt_words: 200_000,
            prefill_faults: ignores_hangup_faults.clone(),
            ..DisconnectCase::new("caller, mid-prefill, engine ignores it", HeldAt::Prefill)
        },
        DisconnectCase {
            decode_faults: ignores_hangup_faults,
            ..DisconnectCase::new("caller, mid-decode, engine ignores it", HeldAt::Decode)
        },
        DisconnectCase {
            prompt_words: 40_000,
            ..DisconnectCase::new("caller, mid-prefill", HeldAt::Prefill)
        },
        DisconnectCase {
            prefill_faults: stalled.clone(),
            ..DisconnectCase::new("caller, mid-transfer", HeldAt::Decode)
        },
        DisconnectCase::new("caller, mid-decode", HeldAt::Decode),
        DisconnectCase {
            decode_faults: silent.clone(),
            ..DisconnectCase::new("caller, silent stream", HeldAt::Decode)
        },
        DisconnectCase {
            prompt_words: 200_000,
            behind: "\r\n",
            ..DisconnectCase::new("caller, mid-prefill, a blank line behind", HeldAt::Prefill)
        },
        DisconnectCase {
            decode_faults: silent,
            behind: "\r\n",
            ..DisconnectCase::new("caller, silent stream, a blank line behind", HeldAt::Decode)
        },
        DisconnectCase {
            prompt_words: 40_000,
            kill_daemon: true,
            ..DisconnectCase::new("daemon, mid-prefill", HeldAt::Prefill)
        },
        DisconnectCase {
            prefill_faults: stalled,
            kill_daemon: true,
            ..DisconnectCase::new("daemon, mid-transfer", HeldAt::Decode)
        },
        DisconnectCase {
            kill_daemon: true,
            ..DisconnectCase::new("daemon, mid-decode", HeldAt::Decode)
        },
    ];
    for case in &cases {
        let mut site = Site::start(1, 1);
        let engines: Vec<String> = site.engines.iter().map(|engine| engine.addr.clone()).collect();
        engine_faults(&engines[0], &case.prefill_faults);
        engine_faults(&engines[1], &case.decode_faults);
        let mut socket = raw_request(&site.daemon.addr, &chat(case.prompt_words, 500));
        let holder = &engines[if case.held_at == HeldAt::Prefill { 0 } else { 1 }];
        let held = || engine_stats(holder).held_requests == 1;
        assert!(
            eventually(Duration::from_secs(2), held),
            "{}: the engine never held the request",
            case.name
        );
        if case.kill_daemon {
            site.daemon.kill();
        }
        socket.write_all(case.behind.as_bytes()).unwrap();
        if !case.behind.is_empty() {
            std::thread::sleep(BEHIND_DELAY);
        }
        drop(socket);
        let freed = eventually(RELEASE_TIMEOUT, || {
            engines.iter().all(|engine| {
                let stats = engine_stats(engine);
                stats.held_requests == 0 && stats.held_exports == 0
            })
        });
        let left: Vec<_> = engines.iter().map(|engine| engine_stats(engine)).collect();
        assert!(freed, "{}: still held: {left:?}", case.name);
    }
}

/// The daemon's machine is paused in the middle of a response: its sockets stay open and nothing is
/// cancelled. The decode server releases the request by itself when the deadline carried by the
/// order has passed.
#[test]
fn engines_release_requests_of_a_paused_daemon_at_the_deadline() {
    let site = Site::start(1, 1);
    let short = std::fs::read_to_string(format!(
        "{}/../../presets/ordinary.toml",
        env!("CARGO_MANIFEST_DIR")
    ))
    .unwrap();
    let short = format!("deadline_ms = 1500\n{short}");
    let actions = support::actions(&site.platform.addr);
    support::run(async {
        actions.put_preset("short", &short, 0).await.unwrap();
        actions.activate("short", 1).await.unwrap();
    });
    let is_applied = || support::status(&site.daemon.addr).unwrap()["fence"] == 2;
    assert!(eventually(Duration::from_secs(3), is_applied));
    let silent = EngineFaults { silent_after_tokens: 3, ..EngineFaults::default() };
    let decode = &site.decode_engine(1, 0).addr;
    engine_faults(decode, &silent);
    let _socket = raw_request(&site.daemon.addr, &chat(20, 500));
    assert!(eventually(Duration::from_secs(2), || engine_stats(decode).held_requests == 1));
    site.daemon.pause();
    let freed = eventually(Duration::from_secs(4), || engine_stats(decode).held_requests == 0);
    site.daemon.resume();
    assert!(freed, "held past its deadline: {:?}", engine_stats(decode));
}
