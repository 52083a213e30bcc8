//! Processes a request end to end: claims capacity, runs prefill, hands over the KV cache, runs
//! decode, and returns the response streamed or in one piece.

mod cancel;
mod claim;
mod decode;
mod end_log;
mod event_writer;
mod failure;
mod plain;
mod prefill;
mod relay;
mod response_assembler;
mod response_feed;
mod run;
mod silent_stream;

use std::sync::Arc;

use http::Response;
use umberglade_wire::engine::Priority;
use umberglade_wire::ids::ModelName;
use umberglade_wire::ids::OrganisationId;
use umberglade_wire::ids::RequestId;
use umberglade_wire::reply::ReplyBody;

pub use self::cancel::CancelOnDrop;
pub use self::failure::RunFailure;
pub(crate) use self::plain::ServiceCall;
pub use self::response_assembler::AssemblyStep;
pub use self::response_assembler::ResponseAssembler;
use self::response_feed::ResponseFeed;
use self::run::RequestRun;
use crate::daemon::AdmissionGuard;
use crate::daemon::Daemon;
use crate::front::CompletionKind;
use crate::placement::Placement;
use crate::preset::Preset;
use crate::prompt::PromptShape;

/// A request that passed admission, with the preset that applies to it.
#[derive(Debug, Clone)]
pub struct AdmittedRequest {
    pub request_id: RequestId,
    pub organisation: OrganisationId,
    pub model: ModelName,
    pub max_tokens: u32,
    pub stream: bool,
    pub priority: Priority,
    pub shape: PromptShape,
    pub kind: CompletionKind,
    pub preset: Arc<Preset>,
}

impl<P: Placement> Daemon<P> {
    /// Serves `admitted` to its end. Returns a response, or a rejection that says whether the work
    /// ran and when to retry.
    pub(crate) async fn serve(
        &self,
        admitted: AdmittedRequest,
        admission: AdmissionGuard<P>,
    ) -> Response<ReplyBody> {
        let is_streamed = admitted.stream;
        let run = RequestRun::new(self.clone(), admitted, admission);
        let feed = match ResponseFeed::start(run).await {
            Ok(feed) => feed,
            Err(failure) => return failure.rejection(),
        };
        if is_streamed { relay::stream_response(feed) } else { relay::collect_response(feed).await }
    }
}
