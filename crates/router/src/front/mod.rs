//! The daemon's HTTP API: completions and service calls, the load balancer's health check, status
//! and metrics.

mod completion;
mod rejection;
mod service;

use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use metrics_exporter_prometheus::PrometheusHandle;
use umberglade_wire::ids::OrganisationId;
use umberglade_wire::reply;
use umberglade_wire::reply::ReplyBody;
use umberglade_wire::server::RequestHandler;

pub use self::completion::CompletionKind;
pub(crate) use self::rejection::RETRY_AFTER_S;
pub(crate) use self::rejection::bad_request;
pub(crate) use self::rejection::not_found;
pub(crate) use self::rejection::reject;
pub(crate) use self::rejection::reject_body;
pub(crate) use self::rejection::unavailable;
use crate::daemon::AdmissionGuard;
use crate::daemon::Daemon;
use crate::placement::Placement;
use crate::preset::Preset;

impl<P: Placement> RequestHandler for Daemon<P> {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<ReplyBody> {
        let path = request.uri().path();
        let result = match (request.method(), path) {
            (&Method::POST, "/v1/chat/completions") => {
                self.completion(request, CompletionKind::Chat).await
            }
            (&Method::POST, "/v1/completions") => {
                self.completion(request, CompletionKind::Text).await
            }
            (_, path) if path.starts_with("/v1/services/") => self.service(request).await,
            (&Method::GET, "/healthz") => Ok(self.health()),
            (&Method::GET, "/v1/status") => Ok(reply::json(StatusCode::OK, &self.status())),
            (&Method::GET, "/metrics") => Ok(self.metrics()),
            _ => Err(not_found()),
        };
        result.unwrap_or_else(|rejection| rejection)
    }
}

impl<P: Placement> Daemon<P> {
    fn health(&self) -> Response<ReplyBody> {
        if self.is_draining() {
            let body = Bytes::from_static(b"draining\n");
            return reply::full(StatusCode::SERVICE_UNAVAILABLE, "text/plain", body);
        }
        if self.has_stale_fence() {
            let body = Bytes::from_static(b"behind the preset in force\n");
            return reply::full(StatusCode::SERVICE_UNAVAILABLE, "text/plain", body);
        }
        reply::full(StatusCode::OK, "text/plain", Bytes::from_static(b"ok\n"))
    }

    fn metrics(&self) -> Response<ReplyBody> {
        metrics::gauge!("umberglade_in_flight").set(f64::from(self.in_flight()));
        metrics::gauge!("umberglade_waiting").set(self.waiting() as f64);
        let text = self.shared.metrics.as_ref().map(PrometheusHandle::render).unwrap_or_default();
        reply::full(StatusCode::OK, "text/plain; version=0.0.4", Bytes::from(text))
    }

    /// Returns the organisation whose API key the request carries, or a 401 response.
    fn authenticate(
        &self,
        request: &Request<Incoming>,
    ) -> Result<OrganisationId, Response<ReplyBody>> {
        let key = request
            .headers()
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "))
            .unwrap_or_default();
        let snapshot = self.shared.control.current();
        // Before the organisations are read no key is known, and a caller with a valid key must
        // not be told that it is invalid.
        if snapshot.organisations_version == 0 {
            return Err(unavailable("no_organisations", "organisations not read yet; not run"));
        }
        match snapshot.api_keys.get(key) {
            Some(organisation) => Ok(organisation.clone()),
            None => {
                Err(reject(StatusCode::UNAUTHORIZED, "invalid_api_key", "unknown API key", None))
            }
        }
    }

    /// Admits a request. Rejects it before any work starts while the daemon is draining, when the
    /// preset disallows new work, or when the in-flight limit is reached.
    fn admit(&self, preset: &Preset) -> Result<AdmissionGuard<P>, Response<ReplyBody>> {
        if self.is_draining() || preset.refuse_new_work {
            return Err(unavailable("maintenance", "not taking new work"));
        }
        let (in_flight_before, guard) = self.begin_request();
        if in_flight_before >= preset.max_in_flight {
            return Err(reject(
                StatusCode::TOO_MANY_REQUESTS,
                "over_capacity",
                "daemon at its in-flight limit",
                Some(RETRY_AFTER_S),
            ));
        }
        Ok(guard)
    }
}
