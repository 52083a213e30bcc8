//! Contract tests of the engine, platform and plain-service interfaces: the response to each call,
//! also with injected faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use umberglade_standin::engine::EngineConfig;
use umberglade_standin::engine::EngineStandin;
use umberglade_standin::plain::PlainStandin;
use umberglade_standin::platform::PlatformConfig;
use umberglade_standin::platform::PlatformStandin;
use umberglade_wire::client::HttpClient;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::pool;
use umberglade_wire::server;
use umberglade_wire::server::RequestHandler;

/// One call and the expected response. The calls of a test run in order on the same stand-in.
struct CallCase {
    name: &'static str,
    method: Method,
    path: &'static str,
    body: &'static str,
    /// The expected status; 0 for no response within the client's timeout.
    status: u16,
    /// The text that the body must contain.
    body_contains: &'static str,
}

const GET: Method = Method::GET;
const PUT: Method = Method::PUT;
const POST: Method = Method::POST;
const DELETE: Method = Method::DELETE;

fn case(
    name: &'static str,
    method: Method,
    path: &'static str,
    body: &'static str,
    status: u16,
    body_contains: &'static str,
) -> CallCase {
    CallCase { name, method, path, body, status, body_contains }
}

async fn serve<H: RequestHandler>(handler: H) -> String {
    let listen: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let (listener, local) = server::bind(listen).await.unwrap();
    pool::spawn(server::serve(listener, Arc::new(handler)));
    local.to_string()
}

async fn check(addr: &str, cases: Vec<CallCase>) {
    let client = HttpClient::new(addr, Duration::from_millis(400));
    for case in cases {
        let sent = client.send("contract", case.method, case.path, Some(case.body.into())).await;
        let Ok(response) = sent else {
            assert_eq!(case.status, 0, "{}: no response", case.name);
            continue;
        };
        let status = response.status().as_u16();
        let body = match client.read_full_body("contract", response).await {
            Ok(body) => String::from_utf8_lossy(&body).into_owned(),
            Err(error) => error.to_string(),
        };
        assert_eq!(status, case.status, "{}: {body}", case.name);
        assert!(body.contains(case.body_contains), "{}: {body}", case.name);
    }
}

#[test]
fn platform_contract() {
    pool::block_on(async {
        let config = PlatformConfig { instance_lag: Duration::ZERO, ..PlatformConfig::default() };
        let addr = serve(PlatformStandin::new(config)).await;
        let row = "/v1/rows/t/k";
        let write = r#"{"expect_version":0,"value":1}"#;
        let entry = r#"{"server":"s","addr":"1.2.3.4:5","role":"decode","model":"m","domain":"d","state":"live"}"#;
        let leaving = r#"{"server":"s","addr":"1.2.3.4:5","role":"decode","model":"m","domain":"d","state":"leaving"}"#;
        let cases = vec![
            case("absent row", GET, row, "", 404, "no such row"),
            case("first write", PUT, row, write, 200, r#""version":1"#),
            case("same condition again", PUT, row, write, 409, r#""current_version":1"#),
            case(
                "next write",
                PUT,
                row,
                r#"{"expect_version":1,"value":2}"#,
                200,
                r#""version":2"#,
            ),
            case("read back", GET, row, "", 200, r#""value":2"#),
            case("key with a slash", PUT, "/v1/rows/t/a%2Fb", write, 200, r#""key":"a/b""#),
            case("list", GET, "/v1/rows/t", "", 200, r#""key":"a/b""#),
            case("feed from the start", GET, "/v1/feed/t?after=0", "", 200, r#""generation":3"#),
            case("feed, changes only", GET, "/v1/feed/t?after=2", "", 200, r#"[{"key":"a/b""#),
            case(
                "feed, nothing new",
                GET,
                "/v1/feed/t?after=3&wait_ms=50",
                "",
                200,
                r#""rows":[]"#,
            ),
            case("feed, unknown generation", GET, "/v1/feed/t?after=99", "", 410, "history"),
            case("remove, wrong version", DELETE, "/v1/rows/t/k?version=1", "", 409, "2"),
            case("remove", DELETE, "/v1/rows/t/k?version=2", "", 200, ""),
            case("malformed write", PUT, row, r#"{"value":1}"#, 400, "expect_version"),
            case("instance", PUT, "/v1/instances/s", entry, 200, "live"),
            case("instance list", GET, "/v1/instances?after=0", "", 200, r#""delta":false"#),
            case("instance leaves", PUT, "/v1/instances/s", leaving, 200, "leaving"),
            case("instance change", GET, "/v1/instances?after=1", "", 200, r#""delta":true"#),
            case("object absent", GET, "/v1/objects/o", "", 404, ""),
            case("object put", PUT, "/v1/objects/o%2F1", "bytes", 200, "o/1"),
            case("object get", GET, "/v1/objects/o%2F1", "", 200, "bytes"),
            case("object list", GET, "/v1/objects?prefix=o%2F", "", 200, "o/1"),
            case("object removed", DELETE, "/v1/objects/o%2F1", "", 200, ""),
            case("lost replies on", POST, "/v1/faults", r#"{"lose_reply_percent":100}"#, 200, ""),
            case("write, reply lost", PUT, "/v1/rows/t/lost", write, 0, ""),
            case("it took effect", GET, "/v1/rows/t/lost", "", 200, r#""value":1"#),
            case("outage", POST, "/v1/faults", r#"{"outage":true}"#, 200, ""),
            case("read in an outage", GET, row, "", 503, "outage"),
            case("write in an outage", PUT, "/v1/rows/t/no", write, 503, "outage"),
            case("over", POST, "/v1/faults", "{}", 200, ""),
            case("nothing was done", GET, "/v1/rows/t/no", "", 404, ""),
            case("silent", POST, "/v1/faults", r#"{"silent":true}"#, 200, ""),
            case("no response", GET, row, "", 0, ""),
        ];
        check(&addr, cases).await;
    });
}

#[test]
fn platform_rejects_calls_over_its_rate() {
    pool::block_on(async {
        let config = PlatformConfig { reads_per_second: 5, ..PlatformConfig::default() };
        let addr = serve(PlatformStandin::new(config)).await;
        let client = HttpClient::new(addr, Duration::from_secs(1));
        let mut rejected = 0;
        for _ in 0..20 {
            let response = client.send("read", GET, "/v1/rows/t", None).await.unwrap();
            if response.status().as_u16() == 429 {
                assert!(umberglade_wire::client::retry_after(&response).is_some());
                rejected += 1;
            }
        }
        assert!(rejected >= 10, "{rejected} of 20 rejected at 5 a second");
    });
}

const PREFILL: &str = r#"{"request_id":"r1","organisation":"o","model":"m","prompt_tokens":100,"prefix_hash":7,"prefix_tokens":60,"priority":"standard","fence":5,"keep_ms":200,"deadline_ms":1000,"attempt":0}"#;
const PREFILL_OLD: &str = r#"{"request_id":"r2","organisation":"o","model":"m","prompt_tokens":100,"prefix_hash":7,"prefix_tokens":60,"priority":"standard","fence":4,"keep_ms":200,"deadline_ms":1000,"attempt":0}"#;
const DECODE: &str = r#"{"request_id":"r1","organisation":"o","model":"m","kv_source":"127.0.0.1:1","kv_handle":1,"prompt_tokens":100,"max_tokens":2,"answer_seed":1,"resume_from":0,"priority":"urgent","fence":5,"deadline_ms":1000}"#;
const ORDER: &str = r#"{"operation":"load_model","model":"m2","version":3,"holder":"h","fence":2,"expected_sequence":0}"#;

#[test]
fn engine_contract() {
    pool::block_on(async {
        let config = EngineConfig {
            weight_load: Duration::from_millis(50),
            ..EngineConfig::new("p", EngineRole::Prefill, "m")
        };
        let addr = serve(EngineStandin::new(config)).await;
        let cases = vec![
            case("prefill", POST, "/v1/prefill", PREFILL, 200, r#""computed_tokens":100"#),
            case("prefix cached", POST, "/v1/prefill", PREFILL, 200, r#""cached_tokens":60"#),
            case("old fence", POST, "/v1/prefill", PREFILL_OLD, 409, "stale_fence"),
            case("wrong role", POST, "/v1/decode", DECODE, 421, "wrong_role"),
            case("malformed", POST, "/v1/prefill", "{}", 400, "request_id"),
            case("export", GET, "/v1/kv/1", "", 200, ""),
            case("export taken", GET, "/v1/kv/1", "", 410, "evicted"),
            case("cancel frees", POST, "/v1/cancel", r#"{"request_id":"r1"}"#, 200, "true"),
            case("nothing left", POST, "/v1/cancel", r#"{"request_id":"r1"}"#, 200, "false"),
            case("wasted by cancel", GET, "/v1/stats", "", 200, r#""wasted_tokens":40"#),
            case("order", POST, "/v1/order", ORDER, 202, r#""sequence":1"#),
            case("rejected while busy", POST, "/v1/prefill", PREFILL, 503, "engine_full"),
            case("same order again", POST, "/v1/order", ORDER, 409, "stale_sequence"),
            case("load", GET, "/v1/load", "", 200, r#""slots":20"#),
            case("events are late", GET, "/v1/cache-events?since=0", "", 200, r#""events":[]"#),
            case("unknown route", GET, "/v1/nope", "", 404, "no such route"),
            case("down", POST, "/v1/faults", r#"{"down":true}"#, 200, ""),
            case("rejects when down", POST, "/v1/prefill", PREFILL, 503, ""),
        ];
        check(&addr, cases).await;
    });
}

/// A planned stop must reject new requests, or the server never becomes idle: under load the next
/// request of a caller arrives before the last one has ended.
#[test]
fn a_leaving_engine_takes_no_new_work() {
    pool::block_on(async {
        let engine = EngineStandin::new(EngineConfig::new("p", EngineRole::Prefill, "m"));
        let addr = serve(engine.clone()).await;
        check(&addr, vec![case("before", POST, "/v1/prefill", PREFILL, 200, "")]).await;
        engine.drain().await;
        let cases = vec![
            case("rejected", POST, "/v1/prefill", PREFILL, 503, "engine_full"),
            case("holds nothing", GET, "/v1/stats", "", 200, r#""held_requests":0"#),
        ];
        check(&addr, cases).await;
    });
}

/// A decode server that cannot fetch the KV cache returns an error and frees the request's slot.
#[test]
fn decode_without_its_kv_cache_holds_nothing() {
    pool::block_on(async {
        let addr = serve(EngineStandin::new(EngineConfig::new("d", EngineRole::Decode, "m"))).await;
        let cases = vec![
            case("no source", POST, "/v1/decode", DECODE, 502, "kv_fetch"),
            case("holds nothing", GET, "/v1/stats", "", 200, r#""held_requests":0"#),
        ];
        check(&addr, cases).await;
    });
}

#[test]
fn plain_service_contract() {
    pool::block_on(async {
        let addr = serve(PlainStandin::default()).await;
        let call = r#"{"organisation":"o","idempotency_key":"k","payload":{}}"#;
        let cases = vec![
            case("call", POST, "/v1/call", call, 200, "bk-o-1"),
            case("again runs again", POST, "/v1/call", call, 200, ""),
            case("counted", GET, "/v1/stats", "", 200, r#""most_runs_of_one_key":2"#),
            case("lookup", GET, "/v1/lookup/fri", "", 200, "fri: free"),
            case("malformed", POST, "/v1/call", "{}", 400, "organisation"),
            case("rejecting", POST, "/v1/faults", r#"{"refuse":true}"#, 200, ""),
            case("not run", POST, "/v1/call", call, 503, "not run"),
            case("still two", GET, "/v1/stats", "", 200, r#""executions":2"#),
        ];
        check(&addr, cases).await;
    });
}
