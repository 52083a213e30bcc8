//! End-to-end tests with a platform stand-in, engine stand-ins and a daemon, each its own process
//! on loopback, driven by a plain HTTP client.

mod support;

use std::thread;

use umberglade_router::prompt::chat_shape;
use umberglade_standin::engine::response_token;
use umberglade_wire::caller::ChatMessage;

use support::ORGANISATIONS;
use support::Site;
use support::post;
use support::sse_text;

/// Returns the text that a caller must receive for `messages` and `max_tokens`.
fn expected_response(messages: &[ChatMessage], max_tokens: u32) -> String {
    let seed = chat_shape(messages).digest;
    (0..max_tokens).map(|index| response_token(seed, index)).collect()
}

fn chat_body(messages: &[ChatMessage], max_tokens: u32, stream: bool) -> String {
    serde_json::json!({ "model": "brief-model", "messages": messages, "max_tokens": max_tokens, "stream": stream })
        .to_string()
}

/// Many callers of two organisations send streamed and non-streamed requests at the same time. Each
/// gets the complete response to its own prompt and nothing of another caller's.
#[test]
fn each_caller_gets_its_own_complete_response() {
    let site = Site::start(2, 2);
    let daemon = site.daemon.addr.clone();
    let callers: Vec<_> = (0..12)
        .map(|index| {
            let daemon = daemon.clone();
            thread::spawn(move || {
                let (_, key) = ORGANISATIONS[index % 2];
                let messages = vec![
                    ChatMessage { role: "system".into(), content: "studio guidelines ".repeat(50) },
                    ChatMessage {
                        role: "user".into(),
                        content: format!("caller {index}: open slots on Friday?"),
                    },
                ];
                let stream = index % 3 != 0;
                let max_tokens = 5 + index as u32;
                let response = post(
                    &daemon,
                    "/v1/chat/completions",
                    key,
                    &chat_body(&messages, max_tokens, stream),
                );
                (response, expected_response(&messages, max_tokens), stream)
            })
        })
        .collect();
    for caller in callers {
        let (response, expected, stream) = caller.join().expect("a caller thread");
        assert_eq!(response.status, 200, "body: {}", response.body);
        if stream {
            let (text, done) = sse_text(&response.body);
            assert!(done, "stream must end in [DONE]: {}", response.body);
            assert_eq!(text, expected);
        } else {
            let complete: serde_json::Value = serde_json::from_str(&response.body).unwrap();
            assert_eq!(complete["choices"][0]["message"]["content"], expected.as_str());
        }
    }
}

/// A request that the daemon must reject, and the expected response.
struct RejectionCase {
    name: &'static str,
    path: &'static str,
    key: &'static str,
    body: &'static str,
    status: u16,
    /// Whether the rejection has a `Retry-After` header.
    retry_after: bool,
    /// Text that the error message must contain.
    expected_text: &'static str,
}

/// Invalid input gets a clear error, and the daemon keeps serving afterwards.
#[test]
fn invalid_requests_get_clear_errors() {
    let cases = [
        RejectionCase {
            name: "unknown key",
            path: "/v1/chat/completions",
            key: "nope",
            body: "{}",
            status: 401,
            retry_after: false,
            expected_text: "API key",
        },
        RejectionCase {
            name: "not JSON",
            path: "/v1/chat/completions",
            key: "key-neulanjalki",
            body: "{",
            status: 400,
            retry_after: false,
            expected_text: "request body",
        },
        RejectionCase {
            name: "no messages",
            path: "/v1/chat/completions",
            key: "key-neulanjalki",
            body: r#"{"model":"brief-model","messages":[]}"#,
            status: 400,
            retry_after: false,
            expected_text: "messages",
        },
        RejectionCase {
            name: "zero max_tokens",
            path: "/v1/completions",
            key: "key-glenmorrow",
            body: r#"{"model":"brief-model","prompt":"x","max_tokens":0}"#,
            status: 400,
            retry_after: false,
            expected_text: "max_tokens",
        },
        RejectionCase {
            name: "unknown model",
            path: "/v1/completions",
            key: "key-glenmorrow",
            body: r#"{"model":"nope","prompt":"x"}"#,
            status: 503,
            retry_after: true,
            expected_text: "not run",
        },
    ];
    let site = Site::start(1, 1);
    for case in &cases {
        let response = post(&site.daemon.addr, case.path, case.key, case.body);
        assert_eq!(response.status, case.status, "{}: {}", case.name, response.body);
        assert_eq!(response.retry_after.is_some(), case.retry_after, "{}: Retry-After", case.name);
        assert!(response.body.contains(case.expected_text), "{}: {}", case.name, response.body);
    }
    let response = post(
        &site.daemon.addr,
        "/v1/completions",
        "key-glenmorrow",
        r#"{"model":"brief-model","prompt":"gate code?","max_tokens":3}"#,
    );
    assert_eq!(response.status, 200, "still serving: {}", response.body);
}
