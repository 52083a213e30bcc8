//! Each caller gets the complete response to its own request, whatever the engines' streams carry
//! and wherever they break.

mod support;

use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;

use umberglade_router::prompt::chat_shape;
use umberglade_standin::engine::response_token;
use umberglade_wire::caller::ChatMessage;
use umberglade_wire::engine::EngineFaults;

use support::ORGANISATIONS;
use support::Site;
use support::engine_faults;
use support::engine_stats;
use support::post;
use support::sse_text;

const MAX_TOKENS: u32 = 40;
/// Rounds of four callers each; the server of each call is one of two, picked at random.
const MAX_ROUNDS: usize = 20;

fn messages(caller: usize) -> Vec<ChatMessage> {
    let content = format!("caller {caller}: my own story");
    vec![ChatMessage { role: "user".into(), content }]
}

fn expected(caller: usize) -> String {
    let seed = chat_shape(&messages(caller)).digest;
    (0..MAX_TOKENS).map(|index| response_token(seed, index)).collect()
}

/// Sends a request as `caller` and returns the text received and whether it was complete.
fn send_chat(daemon: &str, caller: usize, stream: bool) -> (String, bool) {
    let body = serde_json::json!({
        "model": "brief-model",
        "messages": messages(caller),
        "max_tokens": MAX_TOKENS,
        "stream": stream,
    });
    let (_, key) = ORGANISATIONS[caller % 2];
    let response = post(daemon, "/v1/chat/completions", key, &body.to_string());
    assert_eq!(response.status, 200, "{}", response.body);
    if stream {
        return sse_text(&response.body);
    }
    let complete: serde_json::Value = serde_json::from_str(&response.body).unwrap();
    (complete["choices"][0]["message"]["content"].as_str().unwrap().to_owned(), true)
}

/// The faults of one decode server's streams.
struct StreamCase {
    name: &'static str,
    faults: EngineFaults,
    /// Its streams can't be completed, so responses must be resumed on another server.
    resumes: bool,
}

/// One of two decode servers sends lines twice, inserts another request's lines, cuts its streams
/// after some tokens, or goes silent with the connection open. Eight callers of two organisations
/// send requests at the same time: each must get exactly its own response, complete.
#[test]
fn responses_are_complete_and_not_mixed_up_under_stream_faults() {
    let none = EngineFaults::default();
    let cases = [
        StreamCase {
            name: "lines twice",
            faults: EngineFaults { duplicate_lines: true, ..none.clone() },
            resumes: false,
        },
        StreamCase {
            name: "lines crossed",
            faults: EngineFaults { crossed_lines: true, ..none.clone() },
            resumes: false,
        },
        StreamCase {
            name: "crossed and twice",
            faults: EngineFaults { crossed_lines: true, duplicate_lines: true, ..none.clone() },
            resumes: false,
        },
        StreamCase {
            name: "streams cut",
            faults: EngineFaults { cut_after_tokens: 7, ..none.clone() },
            resumes: true,
        },
        StreamCase {
            name: "streams silent",
            faults: EngineFaults { silent_after_tokens: 7, ..none.clone() },
            resumes: true,
        },
    ];
    for case in &cases {
        let site = Site::start(1, 2);
        engine_faults(&site.decode_engine(1, 0).addr, &case.faults);
        let callers: Vec<_> = (0..8)
            .map(|caller| {
                let daemon = site.daemon.addr.clone();
                thread::spawn(move || (caller, send_chat(&daemon, caller, caller % 4 != 0)))
            })
            .collect();
        for handle in callers {
            let (caller, (text, done)) = handle.join().unwrap();
            assert!(done, "{}: caller {caller} got an incomplete response: {text}", case.name);
            assert_eq!(text, expected(caller), "{}: caller {caller}", case.name);
        }
        if case.resumes {
            let repeated = engine_stats(&site.engines[0].addr).repeated_tokens;
            assert!(repeated > 0, "{}: the fault had no effect", case.name);
        }
    }
}

/// A decode server's process is killed while six responses stream. Each of its responses resumes on
/// the other server at the next token: callers may see a pause, but no cut and no duplicate token.
#[test]
fn responses_survive_a_decode_server_crash() {
    let mut site = Site::start(1, 2);
    let callers: Vec<_> = (0..6)
        .map(|caller| {
            let daemon = site.daemon.addr.clone();
            thread::spawn(move || (caller, send_chat(&daemon, caller, true)))
        })
        .collect();
    thread::sleep(Duration::from_millis(150));
    site.engines[1].kill();
    for handle in callers {
        let (caller, (text, done)) = handle.join().unwrap();
        assert!(done, "caller {caller} was cut: {text}");
        assert_eq!(text, expected(caller), "caller {caller}");
    }
}

/// The only decode server cuts every stream, so the response can't be completed. The caller must be
/// able to tell: it gets an error event and no `[DONE]`, or an error status if nothing was sent
/// yet.
#[test]
fn incomplete_response_is_marked_incomplete() {
    let site = Site::start(1, 1);
    let faults = EngineFaults { cut_after_tokens: 5, ..EngineFaults::default() };
    engine_faults(&site.decode_engine(1, 0).addr, &faults);
    let body = support::chat(10, MAX_TOKENS);
    let response = post(&site.daemon.addr, "/v1/chat/completions", "key-glenmorrow", &body);
    assert_eq!(response.status, 200);
    assert!(!response.body.contains("[DONE]"), "{}", response.body);
    assert!(response.body.contains("answer_cut"), "{}", response.body);
    let unstreamed = body.replace("\"stream\":true", "\"stream\":false");
    let response = post(&site.daemon.addr, "/v1/chat/completions", "key-glenmorrow", &unstreamed);
    assert!(matches!(response.status, 502 | 503), "{}", response.body);
    assert!(response.retry_after.is_some());
}

/// One of two prefill servers sends no KV cache because its link is stalled. Only that server may
/// be ejected: if each decode server that fails to fetch were ejected in its place, none would be
/// left.
#[test]
fn stalled_kv_transfer_ejects_the_prefill_server() {
    let site = Site::start(2, 2);
    let stalled = EngineFaults { stall_kv: true, ..EngineFaults::default() };
    engine_faults(&site.engines[0].addr, &stalled);
    let mut ejected = BTreeSet::new();
    // Short prompts are placed at random: send requests until the stalled server was chosen.
    for _ in 0..MAX_ROUNDS {
        ejected.append(&mut send_and_collect_ejected(&site));
        if !ejected.is_empty() {
            break;
        }
    }
    assert_eq!(ejected.into_iter().collect::<Vec<_>>(), ["brief-prefill-0"]);
}

/// Sends requests from four callers at the same time, checks their responses, and returns the
/// servers that were ejected meanwhile.
fn send_and_collect_ejected(site: &Site) -> BTreeSet<String> {
    let callers: Vec<_> = (0..4)
        .map(|caller| {
            let daemon = site.daemon.addr.clone();
            thread::spawn(move || (caller, send_chat(&daemon, caller, true)))
        })
        .collect();
    let mut ejected = BTreeSet::new();
    while callers.iter().any(|caller| !caller.is_finished()) {
        let now = support::status(&site.daemon.addr).unwrap();
        for server in now["servers"].as_array().unwrap() {
            if server["set_aside"] == true {
                ejected.insert(server["server"].as_str().unwrap().to_owned());
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    for handle in callers {
        let (caller, (text, done)) = handle.join().unwrap();
        assert!(done, "caller {caller} was cut");
        assert_eq!(text, expected(caller));
    }
    ejected
}
