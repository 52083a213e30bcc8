//! One request end to end: room claimed, prefill, hand-off of the KV
//! cache, decode, and the answer streamed or whole.

mod answer;
mod answer_feed;
mod cancel;
mod claim;
mod decode;
mod event_writer;
mod failure;
mod plain;
mod prefill;
mod relay;
mod run;

use std::sync::Arc;

use http::Response;
use umberglade_wire::engine::Priority;
use umberglade_wire::ids::ModelName;
use umberglade_wire::ids::OrganisationId;
use umberglade_wire::ids::RequestId;
use umberglade_wire::reply::ReplyBody;

pub use self::answer::AnswerAssembler;
pub use self::answer::AnswerStep;
use self::answer_feed::AnswerFeed;
pub use self::cancel::CancelOnDrop;
pub use self::failure::RunFailure;
pub(crate) use self::plain::ServiceCall;
use self::run::RequestRun;
use crate::daemon::AdmissionGuard;
use crate::daemon::Daemon;
use crate::front::CompletionKind;
use crate::placement::Placement;
use crate::preset::Preset;
use crate::prompt::PromptShape;

/// A request that passed admission, with the preset in force for it.
#[derive(Debug, Clone)]
pub struct Admitted {
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
    /// Serves `admitted` to its end: a whole answer, or a refusal saying
    /// whether the work ran and when to come back.
    pub(crate) async fn serve(
        &self,
        admitted: Admitted,
        admission: AdmissionGuard<P>,
    ) -> Response<ReplyBody> {
        let is_streamed = admitted.stream;
        let run = RequestRun::new(self.clone(), admitted, admission);
        let feed = match AnswerFeed::start(run).await {
            Ok(feed) => feed,
            Err(failure) => return failure.refusal(),
        };
        if is_streamed { relay::stream_answer(feed) } else { relay::whole_answer(feed).await }
    }
}
