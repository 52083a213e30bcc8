//! A caller's request, read whole, with its route.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Uri;
use http_body_util::Full;

use super::QuotaCharge;
use crate::codec::PlatformCodec;
use crate::model::CallHead;
use crate::model::ConfigVersion;
use crate::model::EngineSpec;
use crate::model::OnwardOrder;
use crate::model::PromptShape;
use crate::model::RequestFingerprint;
use crate::model::Route;
use crate::model::ServiceName;
use crate::model::ServiceSpec;

/// One request in the gateway's hands.
#[derive(Debug)]
pub struct Call {
    pub method: Method,
    pub uri: Uri,
    /// Marked with who calls; without its key.
    pub headers: HeaderMap,
    pub body: Bytes,
    pub head: CallHead,
    /// What it is charged to its organisation's quota, if there is one.
    pub charge: Option<QuotaCharge>,
    /// The same for each try of the same request.
    pub content: RequestFingerprint,
    pub route: Arc<Route>,
    pub service: ServiceName,
    pub spec: ServiceSpec,
    /// The configuration by which it was routed.
    pub config: ConfigVersion,
    pub arrived: Instant,
    /// How long its caller has been trying with earlier requests.
    pub tried_for: Duration,
    /// When the caller, or the operator's bound, ends it.
    pub deadline: Instant,
}

impl Call {
    /// The id in logs.
    pub fn id(&self) -> &str {
        self.head.request_id.as_deref().unwrap_or("-")
    }

    /// What is left until the deadline.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// The sizes of its prompt; for calls that state none, its body's.
    pub fn prompt_shape(&self) -> PromptShape {
        self.head.prompt.unwrap_or(PromptShape {
            prompt_tokens: self.body.len() as u32,
            output_limit: 0,
            output_estimate: None,
        })
    }

    /// The sizes of the service's engines; a service without any is bounded
    /// by its servers' slots alone.
    pub fn engine_spec(&self) -> EngineSpec {
        self.spec.engine.clone().unwrap_or(EngineSpec {
            slots: 0,
            kv_tokens: u32::MAX,
            handle_ttl: Duration::ZERO,
            tokens_per_event: 1,
        })
    }

    /// Milliseconds since the request arrived.
    pub fn age_ms(&self) -> u64 {
        self.arrived.elapsed().as_millis() as u64
    }

    /// The request as it is sent on by `order`: method, path and body as
    /// they came.
    pub fn onward<C: PlatformCodec>(&self, order: &OnwardOrder) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = C::upstream_headers(&self.headers, order);
        request
    }
}
