//! The plain-service stand-in: a booking-desk whose calls must not be
//! repeated. It counts how often each idempotency key ran, so a test can
//! prove "at most once".

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use umberglade_wire::plain::PlainAnswer;
use umberglade_wire::plain::PlainCall;
use umberglade_wire::plain::PlainStats;
use umberglade_wire::reply;
use umberglade_wire::reply::ReplyBody;
use umberglade_wire::server::RequestHandler;
use umberglade_wire::server::read_body;

/// How long one call takes.
const CALL_TIME: Duration = Duration::from_millis(20);

/// A plain service; every call runs its action.
#[derive(Debug, Default)]
pub struct PlainStandin {
    /// Idempotency key → times it ran.
    runs: Mutex<HashMap<String, u32>>,
}

impl PlainStandin {
    fn stats(&self) -> PlainStats {
        let runs = self.runs.lock().expect("runs lock");
        PlainStats {
            executions: runs.values().map(|count| u64::from(*count)).sum(),
            most_runs_of_one_key: runs.values().copied().max().unwrap_or(0),
        }
    }

    async fn call(&self, call: PlainCall) -> Response<ReplyBody> {
        smol::Timer::after(CALL_TIME).await;
        let mut runs = self.runs.lock().expect("runs lock");
        let count = runs.entry(call.idempotency_key.clone()).or_default();
        *count += 1;
        let confirmation = format!("bk-{}-{}", call.organisation, runs.len());
        reply::json(StatusCode::OK, &PlainAnswer { confirmation })
    }
}

impl RequestHandler for PlainStandin {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<ReplyBody> {
        let (parts, body) = request.into_parts();
        let body = match read_body(body).await {
            Ok(body) => body,
            Err(message) => {
                return reply::refusal(StatusCode::BAD_REQUEST, "bad_request", &message, None);
            }
        };
        match (&parts.method, parts.uri.path()) {
            (&Method::POST, "/v1/call") => match serde_json::from_slice(&body) {
                Ok(call) => self.call(call).await,
                Err(error) => {
                    reply::refusal(StatusCode::BAD_REQUEST, "bad_request", &error.to_string(), None)
                }
            },
            (&Method::GET, "/v1/stats") => reply::json(StatusCode::OK, &self.stats()),
            _ => reply::refusal(StatusCode::NOT_FOUND, "not_found", "no such route", None),
        }
    }
}
