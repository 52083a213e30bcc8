//! Measures the latency that the router adds: sends the same requests alternately straight to the
//! engines and through a daemon.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Method;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;
use umberglade_router::operator::OperatorError;
use umberglade_router::placement::AffinityPlacement;
use umberglade_standin::engine::EngineConfig;
use umberglade_wire::WireError;
use umberglade_wire::client::HttpClient;
use umberglade_wire::engine::DecodeOrder;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::engine::PrefillOrder;
use umberglade_wire::engine::PrefillReply;
use umberglade_wire::engine::Priority;
use umberglade_wire::lines::LineError;
use umberglade_wire::lines::LineReader;

use crate::site::LocalSite;

const KEY: &str = "latency-key";
const MODEL: &str = "brief-model";
/// A prompt of 40 words, about 40 tokens.
const PROMPT: &str = "lor lor lor lor lor lor lor lor lor lor lor lor lor lor lor lor lor lor lor lor \
lor lor lor lor lor lor lor lor lor lor lor lor lor lor lor lor lor lor lor lor ";
const MAX_TOKENS: u32 = 8;
const TIMEOUT: Duration = Duration::from_secs(5);
const PRESET: &str = include_str!("../../../presets/ordinary.toml");

/// Why the measurement could not be made.
#[derive(Debug, Snafu)]
pub enum LatencyError {
    #[snafu(display("starting the site: {source}"))]
    Site { source: std::io::Error },
    #[snafu(display("seeding the site: {source}"))]
    Seed { source: OperatorError },
    #[snafu(display("{source}"))]
    Exchange { source: WireError },
    #[snafu(display("reading a response: {source}"))]
    Body { source: LineError },
}

/// Latencies of one path to the engines, in milliseconds: until the first token, and until the
/// response is complete.
#[derive(Debug, Clone, Serialize)]
pub struct PathLatencies {
    pub first_token_p50: f64,
    pub first_token_p95: f64,
    pub whole_p50: f64,
    pub whole_p95: f64,
}

/// Latencies of both paths in one run.
#[derive(Debug, Clone, Serialize)]
pub struct LatencyReport {
    pub requests: u32,
    pub direct: PathLatencies,
    pub routed: PathLatencies,
    /// Ratio of the routed to the direct median.
    pub first_token_ratio: f64,
    pub whole_ratio: f64,
}

/// Latencies of one request.
struct RequestLatencies {
    first_token: Duration,
    full_response: Duration,
}

/// Sends `requests` requests on each path, alternating between the two.
pub async fn measure(requests: u32) -> Result<LatencyReport, LatencyError> {
    let mut site = LocalSite::start(Duration::ZERO).await.context(SiteSnafu)?;
    for role in [EngineRole::Prefill, EngineRole::Decode] {
        let config = EngineConfig::new(role.to_string(), role, MODEL);
        site.add_engine(config).await.context(SiteSnafu)?;
    }
    site.seed(&[("ordinary", PRESET)], &[("north", KEY)]).await.context(SeedSnafu)?;
    let settings = site.daemon_settings("latency", "hall-a");
    let started =
        site.add_daemon(settings, AffinityPlacement::default()).await.context(SiteSnafu)?;
    let engines = site.engine_addrs();
    let daemon = started.local.to_string();
    let mut direct = PathHistograms::new();
    let mut routed = PathHistograms::new();
    for number in 0..requests {
        direct.record(&send_direct(&engines, number).await?);
        routed.record(&send_routed(&daemon, number).await?);
    }
    let (direct, routed) = (direct.latencies(), routed.latencies());
    Ok(LatencyReport {
        requests,
        first_token_ratio: routed.first_token_p50 / direct.first_token_p50,
        whole_ratio: routed.whole_p50 / direct.whole_p50,
        direct,
        routed,
    })
}

async fn send_direct(engines: &[String], number: u32) -> Result<RequestLatencies, LatencyError> {
    let started_at = Instant::now();
    let request_id = format!("direct-{number}");
    let order = PrefillOrder {
        request_id: request_id.clone(),
        organisation: "north".into(),
        model: MODEL.into(),
        prompt_tokens: (PROMPT.len() / 4) as u32,
        prefix_hash: 0,
        prefix_tokens: 0,
        priority: Priority::Urgent,
        fence: 1,
        keep_ms: 1000,
        deadline_ms: 5000,
        attempt: 0,
    };
    let prefill = HttpClient::new(engines[0].clone(), TIMEOUT);
    let reply: PrefillReply = prefill
        .call("prefill", Method::POST, "/v1/prefill", Some(&order))
        .await
        .context(ExchangeSnafu)?;
    let order = DecodeOrder {
        request_id,
        organisation: "north".into(),
        model: MODEL.into(),
        kv_source: engines[0].clone(),
        kv_handle: reply.kv_handle,
        prompt_tokens: order.prompt_tokens,
        max_tokens: MAX_TOKENS,
        answer_seed: 1,
        resume_from: 0,
        priority: Priority::Urgent,
        fence: 1,
        deadline_ms: 5000,
    };
    let body = Bytes::from(serde_json::to_vec(&order).expect("serialising an order"));
    let decode = HttpClient::new(engines[1].clone(), TIMEOUT);
    let response = decode
        .send("decode", Method::POST, "/v1/decode", Some(body))
        .await
        .context(ExchangeSnafu)?;
    measure_response(LineReader::new(response.into_body()), started_at, b"{").await
}

async fn send_routed(daemon: &str, number: u32) -> Result<RequestLatencies, LatencyError> {
    let started_at = Instant::now();
    let body = serde_json::json!({
        "model": MODEL,
        "stream": true,
        "max_tokens": MAX_TOKENS,
        "messages": [{ "role": "user", "content": format!("{number} {PROMPT}") }],
    });
    let request = http::Request::builder()
        .method(Method::POST)
        .uri("/v1/chat/completions")
        .header(http::header::AUTHORIZATION, format!("Bearer {KEY}"));
    let client = HttpClient::new(daemon, TIMEOUT);
    let response = client
        .send_with("routed", request, body.to_string().into())
        .await
        .context(ExchangeSnafu)?;
    measure_response(LineReader::new(response.into_body()), started_at, b"data: ").await
}

/// Reads the response to its end; the first line that begins with `token_prefix` is the first
/// token.
async fn measure_response(
    mut reader: LineReader,
    started_at: Instant,
    token_prefix: &[u8],
) -> Result<RequestLatencies, LatencyError> {
    let mut first_token = None;
    while let Some(line) = reader.next_line().await.context(BodySnafu)? {
        if line.starts_with(token_prefix) {
            first_token.get_or_insert_with(|| started_at.elapsed());
        }
    }
    let full_response = started_at.elapsed();
    Ok(RequestLatencies { first_token: first_token.unwrap_or(full_response), full_response })
}

struct PathHistograms {
    first_token: Histogram<u64>,
    full_response: Histogram<u64>,
}

impl PathHistograms {
    fn new() -> Self {
        let new = || Histogram::new(3).expect("valid histogram figures");
        PathHistograms { first_token: new(), full_response: new() }
    }

    fn record(&mut self, latencies: &RequestLatencies) {
        let _ = self.first_token.record(latencies.first_token.as_micros() as u64);
        let _ = self.full_response.record(latencies.full_response.as_micros() as u64);
    }

    fn latencies(&self) -> PathLatencies {
        let millis_at = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1000.0
        };
        PathLatencies {
            first_token_p50: millis_at(&self.first_token, 0.5),
            first_token_p95: millis_at(&self.first_token, 0.95),
            whole_p50: millis_at(&self.full_response, 0.5),
            whole_p95: millis_at(&self.full_response, 0.95),
        }
    }
}
