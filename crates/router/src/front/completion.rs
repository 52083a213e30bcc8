//! Parses, classifies and admits completion requests.

use http::Request;
use http::Response;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use umberglade_wire::caller::ChatRequest;
use umberglade_wire::caller::CompletionRequest;
use umberglade_wire::engine::Priority;
use umberglade_wire::ids::OrganisationId;
use umberglade_wire::reply::ReplyBody;
use umberglade_wire::server::read_body;

use super::bad_request;
use super::reject_body;
use super::unavailable;
use crate::daemon::AdmissionGuard;
use crate::daemon::Daemon;
use crate::events;
use crate::pipeline::AdmittedRequest;
use crate::placement::Placement;
use crate::prompt;
use crate::prompt::PromptShape;

/// The API route of a completion request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionKind {
    Chat,
    Text,
}

/// A completion request with its parameters.
struct ParsedCompletion {
    model: String,
    shape: PromptShape,
    max_tokens: Option<u32>,
    stream: bool,
    priority: Option<Priority>,
}

impl<P: Placement> Daemon<P> {
    pub(super) async fn completion(
        &self,
        request: Request<Incoming>,
        kind: CompletionKind,
    ) -> Result<Response<ReplyBody>, Response<ReplyBody>> {
        let organisation = self.authenticate(&request)?;
        let (head, body) = request.into_parts();
        let body = read_body(&head, body).await.map_err(reject_body)?;
        let parsed = parse_completion(&body.bytes, kind).map_err(|text| bad_request(&text))?;
        // What is passed on has been copied from it.
        drop(body);
        let (admitted, guard) = self.admit_completion(organisation, parsed, kind)?;
        Ok(self.serve(admitted, guard).await)
    }

    fn admit_completion(
        &self,
        organisation: OrganisationId,
        parsed: ParsedCompletion,
        kind: CompletionKind,
    ) -> Result<(AdmittedRequest, AdmissionGuard<P>), Response<ReplyBody>> {
        let snapshot = self.shared.control.current();
        let Some(preset) = snapshot.preset.clone() else {
            return Err(unavailable("no_preset", "no preset in force yet"));
        };
        let guard = self.admit(&preset)?;
        let is_short = parsed.shape.tokens <= preset.urgent_prompt_tokens;
        let by_length = if is_short { Priority::Urgent } else { Priority::Standard };
        let priority = parsed.priority.unwrap_or(by_length);
        let request_id = self.next_request_id();
        tracing::info!(
            event = events::REQUEST_ADMITTED,
            %request_id,
            %organisation,
            model = %parsed.model,
            %priority,
            prompt_tokens = parsed.shape.tokens,
            fence = snapshot.fence,
            "request admitted"
        );
        let admitted = AdmittedRequest {
            request_id,
            organisation,
            model: parsed.model,
            max_tokens: parsed.max_tokens.unwrap_or(preset.default_max_tokens),
            stream: parsed.stream,
            priority,
            shape: parsed.shape,
            kind,
            preset,
        };
        Ok((admitted, guard))
    }
}

fn parse_completion(body: &[u8], kind: CompletionKind) -> Result<ParsedCompletion, String> {
    let parsed = match kind {
        CompletionKind::Chat => parse_chat(body)?,
        CompletionKind::Text => parse_text(body)?,
    };
    if parsed.max_tokens == Some(0) {
        return Err("request body: `max_tokens` must be at least 1".into());
    }
    Ok(parsed)
}

fn parse_chat(body: &[u8]) -> Result<ParsedCompletion, String> {
    let request: ChatRequest = parse_json(body)?;
    if request.messages.is_empty() {
        return Err("request body: `messages` is empty".into());
    }
    Ok(ParsedCompletion {
        model: request.model,
        shape: prompt::chat_shape(&request.messages),
        max_tokens: request.max_tokens,
        stream: request.stream,
        priority: request.priority,
    })
}

fn parse_text(body: &[u8]) -> Result<ParsedCompletion, String> {
    let request: CompletionRequest = parse_json(body)?;
    Ok(ParsedCompletion {
        model: request.model,
        shape: prompt::text_shape(&request.prompt),
        max_tokens: request.max_tokens,
        stream: request.stream,
        priority: request.priority,
    })
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| format!("request body: {error}"))
}
