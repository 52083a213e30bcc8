//! A site in the test's process, and the events that it logs.

#![allow(dead_code)]

use std::fmt::Debug;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use tracing::Event;
use tracing::Metadata;
use tracing::Subscriber;
use tracing::field::Field;
use tracing::field::Visit;
use tracing::span;
use umberglade_bench::site::LocalSite;
use umberglade_standin::engine::EngineConfig;
use umberglade_wire::client::HttpClient;
use umberglade_wire::engine::EngineRole;

/// Longer than any request of these tests takes, so that a time-out indicates a hang.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(8);

/// A logged event.
#[derive(Debug, Clone, Default)]
struct LoggedEvent {
    number: u32,
    reason: String,
}

/// All events that the process has logged.
#[derive(Debug, Clone, Default)]
pub struct EventLog {
    events: Arc<Mutex<Vec<LoggedEvent>>>,
}

impl EventLog {
    /// Returns how often the event was logged.
    pub fn count(&self, number: u32) -> usize {
        self.reasons(number).len()
    }

    /// Returns the reasons with which the event was logged.
    pub fn reasons(&self, number: u32) -> Vec<String> {
        let events = self.events.lock().expect("events lock");
        let matching = events.iter().filter(|event| event.number == number);
        matching.map(|event| event.reason.clone()).collect()
    }
}

impl Subscriber for EventLog {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn new_span(&self, _span: &span::Attributes<'_>) -> span::Id {
        span::Id::from_u64(1)
    }

    fn record(&self, _span: &span::Id, _values: &span::Record<'_>) {}

    fn record_follows_from(&self, _span: &span::Id, _follows: &span::Id) {}

    fn event(&self, event: &Event<'_>) {
        let mut logged = LoggedEvent::default();
        event.record(&mut logged);
        self.events.lock().expect("events lock").push(logged);
    }

    fn enter(&self, _span: &span::Id) {}

    fn exit(&self, _span: &span::Id) {}
}

impl Visit for LoggedEvent {
    fn record_u64(&mut self, field: &Field, value: u64) {
        if field.name() == "event" {
            self.number = value as u32;
        }
    }

    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        if field.name() == "reason" {
            self.reason = format!("{value:?}");
        }
    }
}

pub async fn start_site() -> LocalSite {
    let mut site = LocalSite::start(Duration::ZERO).await.expect("a site");
    let engines = [
        ("prefill-0", EngineRole::Prefill),
        ("decode-0", EngineRole::Decode),
        ("decode-1", EngineRole::Decode),
    ];
    for (server, role) in engines {
        let config = EngineConfig::new(server, role, "brief-model");
        site.add_engine(config).await.expect("an engine");
    }
    let ordinary = include_str!("../../../../presets/ordinary.toml");
    site.seed(&[("ordinary", ordinary)], &[("glenmorrow", "key-1")]).await.expect("seeding");
    site
}

/// Sends a request and returns its status and body.
pub async fn send(daemon: &str, is_streamed: bool) -> (StatusCode, String) {
    let body = serde_json::json!({
        "model": "brief-model",
        "messages": [{ "role": "user", "content": "brief" }],
        "max_tokens": 20,
        "stream": is_streamed,
    });
    let request = Request::builder()
        .method(Method::POST)
        .uri("/v1/chat/completions")
        .header("authorization", "Bearer key-1");
    let client = HttpClient::new(daemon, HANG_TIMEOUT);
    let body = Bytes::from(body.to_string());
    let response = client.send_with("chat", request, body).await.expect("a response");
    let status = response.status();
    let body = response.into_body().collect().await.expect("a whole body").to_bytes();
    (status, String::from_utf8(body.to_vec()).expect("a text"))
}
