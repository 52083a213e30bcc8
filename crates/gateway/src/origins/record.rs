//! Records the version that began a stream.

use crate::cluster::StreamDigest;
use crate::cluster::StreamOrigin;
use crate::cluster::stream_digest;
use crate::forward::Call;
use crate::model::ServerIncarnation;
use crate::model::SoftwareDigest;
use crate::state::GatewayState;

/// Returns the digest of the stream that `call` begins or takes up; `None` without an id.
pub fn stream_of(call: &Call) -> Option<StreamDigest> {
    let first = call.head.resumes.as_deref().or(call.head.request_id.as_deref())?;
    Some(stream_digest(call.organisation, first))
}

/// Records that a server of `software` has sent the first event of `call`, or still sends events,
/// and tells the gateways that hold this. To be called before the event is passed on, so that it is
/// known whatever happens to this gateway.
pub async fn record_origin(
    state: &GatewayState,
    call: &Call,
    software: SoftwareDigest,
    incarnation: ServerIncarnation,
) {
    let Some(stream) = stream_of(call).filter(|_| call.route.resumable) else { return };
    let organisation = call.organisation;
    let origin = StreamOrigin { stream, organisation, software, incarnation };
    let has_several_versions = state.fleet().sole_version(&call.service).is_none();
    state.origins.record_own(origin, has_several_versions);
    if let Some(teller) = state.origins.teller.get() {
        teller.tell(origin).await;
    }
}

/// Returns true if it was found since that another version than the recorded one may have written
/// the events of `call`.
pub fn is_contradictory(state: &GatewayState, call: &Call) -> bool {
    let known = stream_of(call).and_then(|stream| state.origins.known().find(stream));
    known == Some(crate::cluster::KnownOrigin::Contradictory)
}
