//! Forwards one caller's request to servers and responds to it.

mod admit;
mod answer_end;
mod attempt_log;
mod attempt_permit;
mod attempt_set;
mod attempts;
mod cache_guard;
mod call;
mod capacity_wait;
mod event_reader;
mod exchange;
mod kept_stream;
mod long_response;
mod plain_placement;
mod plain_run;
mod prefill_step;
mod probe_guard;
mod queue_turn;
mod quota_charge;
mod reject;
mod relay;
mod request_stage;
mod response_body;
mod silence_log;
mod silent_stream;
mod stream_attempt;
mod stream_open;
mod stream_opener;
mod stream_placement;
mod stream_run;
mod version_wait;

pub use self::call::Call;
pub use self::event_reader::EventReader;
pub use self::event_reader::EventSplitter;
pub use self::event_reader::StreamEvent;
pub use self::exchange::send_target;
pub use self::quota_charge::QuotaCharge;
pub use self::reject::Rejection;
pub use self::reject::reject;
pub use self::request_stage::RequestProgress;
pub use self::request_stage::RequestStage;
pub use self::response_body::GatewayBody;
pub use self::response_body::StreamBroken;

use std::sync::Arc;

use http::Response;

use self::reject::reject_stopping;
use crate::codec::PlatformCodec;
use crate::model::CallKind;
use crate::state::GatewayState;

/// Returns the response to `call`, from a server or of the gateway itself.
pub async fn forward<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: Arc<Call>,
) -> Response<GatewayBody> {
    if !state.stop.may_begin(call.route.kind, call.deadline) {
        return reject_stopping(&call, 0);
    }
    state.record_request(&call.service);
    let attempts = match admit::admit::<C>(state, &call).await {
        Ok(attempts) => attempts,
        Err(rejection) => return rejection,
    };
    match call.route.kind {
        CallKind::Stream => stream_run::run::<C>(state, call, attempts).await,
        CallKind::Idempotent | CallKind::AtMostOnce => {
            plain_run::run::<C>(state, call, attempts).await
        }
    }
}
