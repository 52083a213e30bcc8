//! The plain-service stand-in: a booking-desk whose calls must not be retried. It counts how often
//! each idempotency key ran, so that a test can check that an action ran at most once.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use umberglade_wire::plain::PlainCall;
use umberglade_wire::plain::PlainFaults;
use umberglade_wire::plain::PlainResponse;
use umberglade_wire::plain::PlainStats;
use umberglade_wire::reply;
use umberglade_wire::reply::ReplyBody;
use umberglade_wire::server::RequestHandler;
use umberglade_wire::server::parse_or_reject;
use umberglade_wire::server::read_body_or_reject;

/// How long one call or lookup takes.
const CALL_DURATION: Duration = Duration::from_millis(20);

/// The path prefix of lookups, which are safe to retry.
const LOOKUP_PREFIX: &str = "/v1/lookup/";
/// How long a call stalls when its response is lost: longer than any timeout of a caller.
const STALL_DURATION: Duration = Duration::from_secs(60);

/// A plain service that runs the action of every call. Lock order: `faults`, then `runs`; no call
/// holds both.
#[derive(Debug, Default)]
pub struct PlainStandin {
    faults: Mutex<PlainFaults>,
    /// The number of runs of each idempotency key.
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

    fn faults(&self) -> PlainFaults {
        self.faults.lock().expect("faults lock").clone()
    }

    async fn call(&self, call: PlainCall) -> Response<ReplyBody> {
        let faults = self.faults();
        if faults.refuse {
            return reply::rejection(StatusCode::SERVICE_UNAVAILABLE, "full", "not run", Some(1));
        }
        smol::Timer::after(CALL_DURATION).await;
        let confirmation = self.run(&call);
        if faults.lose_answers {
            smol::Timer::after(STALL_DURATION).await;
        }
        if faults.fail {
            let message = "failed halfway through";
            return reply::rejection(StatusCode::INTERNAL_SERVER_ERROR, "failed", message, None);
        }
        reply::json(StatusCode::OK, &PlainResponse { confirmation })
    }

    /// Counts a run of the action and returns its confirmation.
    fn run(&self, call: &PlainCall) -> String {
        let mut runs = self.runs.lock().expect("runs lock");
        *runs.entry(call.idempotency_key.clone()).or_default() += 1;
        format!("bk-{}-{}", call.organisation, runs.len())
    }

    async fn lookup(&self, item: &str) -> Response<ReplyBody> {
        if self.faults().refuse {
            return reply::rejection(StatusCode::SERVICE_UNAVAILABLE, "full", "not run", Some(1));
        }
        smol::Timer::after(CALL_DURATION).await;
        reply::json(StatusCode::OK, &PlainResponse { confirmation: format!("{item}: free") })
    }

    fn set_faults(&self, body: &[u8]) -> Response<ReplyBody> {
        match parse_or_reject::<PlainFaults>(body) {
            Ok(faults) => {
                *self.faults.lock().expect("faults lock") = faults.clone();
                reply::json(StatusCode::OK, &faults)
            }
            Err(rejection) => rejection,
        }
    }
}

impl RequestHandler for PlainStandin {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<ReplyBody> {
        let (parts, body) = request.into_parts();
        let body = match read_body_or_reject(&parts, body).await {
            Ok(body) => body,
            Err(rejection) => return rejection,
        };
        let path = parts.uri.path();
        match (&parts.method, path) {
            (&Method::GET, _) if path.starts_with(LOOKUP_PREFIX) => {
                self.lookup(&path[LOOKUP_PREFIX.len()..]).await
            }
            (&Method::POST, "/v1/faults") => self.set_faults(&body),
            (&Method::POST, "/v1/call") => match parse_or_reject(&body) {
                Ok(call) => self.call(call).await,
                Err(rejection) => rejection,
            },
            (&Method::GET, "/v1/stats") => reply::json(StatusCode::OK, &self.stats()),
            _ => reply::rejection(StatusCode::NOT_FOUND, "not_found", "no such route", None),
        }
    }
}
