//! A caller's complete request with its route.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::HeaderMap;
use http::Method;
use http::Request;
use http::Uri;
use umberglade_wire::memory::HeldBody;
use umberglade_wire::request_content::RequestContent;

use super::QuotaCharge;
use super::RequestProgress;
use super::RequestStage;
use crate::cluster::OrganisationDigest;
use crate::codec::PlatformCodec;
use crate::model::AttemptSpec;
use crate::model::ConfigVersion;
use crate::model::CrashSuspects;
use crate::model::EngineSpec;
use crate::model::PromptShape;
use crate::model::RequestHead;
use crate::model::Route;
use crate::model::ServiceName;
use crate::model::ServiceSpec;

/// A request that the gateway forwards.
#[derive(Debug)]
pub struct Call {
    pub method: Method,
    pub uri: Uri,
    /// The caller's headers after [`PlatformCodec::set_caller_headers`], which sets the
    /// organisation and removes the key if organisations hold keys.
    pub headers: HeaderMap,
    pub body: HeldBody,
    pub head: RequestHead,
    /// Digest of its organisation; 0 if there are none.
    pub organisation: OrganisationDigest,
    /// The charge to the quota of its organisation, if there is one.
    pub charge: Option<QuotaCharge>,
    /// By what the request is recognised if servers crash while they run it.
    pub suspects: CrashSuspects,
    pub route: Arc<Route>,
    pub service: ServiceName,
    pub spec: ServiceSpec,
    /// The configuration that it was routed with.
    pub config: ConfigVersion,
    pub arrived: Instant,
    /// How long its caller has been retrying with earlier requests.
    pub retrying_for: Duration,
    /// The caller's deadline or the operator's limit, whichever is earlier.
    pub deadline: Instant,
    /// How far the gateway has come with it.
    pub progress: Arc<RequestProgress>,
}

impl Call {
    /// Returns the request id for logs.
    pub fn id(&self) -> &str {
        self.head.request_id.as_deref().unwrap_or("-")
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns the token counts of the prompt and output. If the request states none, the size of
    /// its body counts as the prompt's.
    pub fn prompt_shape(&self) -> PromptShape {
        self.head.prompt.unwrap_or(PromptShape {
            prompt_tokens: self.body.bytes.len() as u32,
            output_limit: 0,
            output_estimate: None,
        })
    }

    /// Returns the capacity of the service's engines. A service without one is bounded only by
    /// the slots of its servers.
    pub fn engine_spec(&self) -> EngineSpec {
        self.spec.engine.clone().unwrap_or(EngineSpec {
            slots: 0,
            kv_tokens: u32::MAX,
            handle_ttl: Duration::ZERO,
            tokens_per_event: 1,
        })
    }

    /// Returns the milliseconds since the request arrived.
    pub fn age_ms(&self) -> u64 {
        self.arrived.elapsed().as_millis() as u64
    }

    /// Returns the request that `attempt_spec` sends to a server, with unchanged method, path and
    /// body, and records that it is sent.
    pub fn upstream_request<C: PlatformCodec>(
        &self,
        attempt_spec: &AttemptSpec,
    ) -> Request<RequestContent> {
        self.progress.reach(RequestStage::Sent);
        let mut request = Request::new(RequestContent::from(self.body.bytes.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = C::upstream_headers(&self.headers, attempt_spec);
        request
    }
}
