//! Calls to plain services. `POST /v1/services/{service}/call` runs at most once;
//! `GET /v1/services/{service}/lookup/{what}` may be retried.

use http::Method;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use umberglade_wire::reply::ReplyBody;
use umberglade_wire::server::read_body;

use super::bad_request;
use super::not_found;
use super::reject_body;
use super::unavailable;
use crate::daemon::Daemon;
use crate::pipeline::ServiceCall;
use crate::placement::Placement;

/// The header that identifies a non-idempotent action.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The length limit of idempotency keys.
const MAX_KEY_BYTES: usize = 100;

impl<P: Placement> Daemon<P> {
    pub(super) async fn service(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ReplyBody>, Response<ReplyBody>> {
        let organisation = self.authenticate(&request)?;
        let Some(preset) = self.shared.control.current().preset.clone() else {
            return Err(unavailable("no_preset", "no preset in force yet"));
        };
        let path = request.uri().path().to_owned();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), segments.as_slice()) {
            (&Method::POST, ["v1", "services", service, "call"]) => {
                let service = (*service).to_owned();
                let idempotency_key = idempotency_key(&request)?;
                let (head, body) = request.into_parts();
                let body = read_body(&head, body).await.map_err(reject_body)?;
                let payload = serde_json::from_slice(&body.bytes)
                    .map_err(|error| bad_request(&format!("request body: {error}")))?;
                let _guard = self.admit(&preset)?;
                let call = ServiceCall { organisation, service, idempotency_key, payload };
                Ok(self.call_at_most_once(call).await)
            }
            (&Method::GET, ["v1", "services", service, "lookup", what]) => {
                let _guard = self.admit(&preset)?;
                Ok(self.lookup(service, what).await)
            }
            _ => Err(not_found()),
        }
    }
}

fn idempotency_key(request: &Request<Incoming>) -> Result<String, Response<ReplyBody>> {
    let key = request
        .headers()
        .get(IDEMPOTENCY_KEY)
        .and_then(|value| value.to_str().ok())
        .filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES);
    key.map(str::to_owned).ok_or_else(|| {
        bad_request("calls to plain services need an Idempotency-Key header (1 to 100 bytes)")
    })
}
