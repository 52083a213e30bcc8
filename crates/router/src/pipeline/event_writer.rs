//! Writes the server-sent events of a response.

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use umberglade_wire::caller::ChatChunk;
use umberglade_wire::caller::ChatDelta;
use umberglade_wire::caller::ChunkChoice;

use super::AdmittedRequest;
use crate::front::CompletionKind;

/// The last event of every complete stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// Returns the event that ends a truncated response.
pub(crate) fn error_event(message: &str) -> Bytes {
    let error = serde_json::json!({ "error": { "message": message, "type": "answer_cut" } });
    Bytes::from(format!("data: {error}\n\n"))
}

/// Buffers events until they are taken and sent as one chunk.
///
/// All events of one response differ only in their text, so the JSON around it is serialised only
/// once.
#[derive(Debug)]
pub(crate) struct EventWriter {
    kind: CompletionKind,
    empty_chunk: ChatChunk,
    /// The start of each event, `data: {...` up to the delta or text.
    event_prefix: Bytes,
    buffer: BytesMut,
    is_first: bool,
}

impl EventWriter {
    /// Creates a writer for the response to `admitted`, created at `created` seconds since the Unix
    /// epoch.
    pub fn new(admitted: &AdmittedRequest, created: u64) -> Self {
        let object = match admitted.kind {
            CompletionKind::Chat => "chat.completion.chunk",
            CompletionKind::Text => "text_completion",
        };
        let empty_chunk = ChatChunk {
            id: admitted.request_id.clone(),
            object: object.into(),
            created,
            model: admitted.model.clone(),
            choices: Vec::new(),
        };
        let json = serde_json::to_string(&empty_chunk).expect("serialising a chunk");
        let open = json.strip_suffix("]}").expect("a chunk ends in its choices");
        let event_prefix = Bytes::from(format!("data: {open}{{\"index\":0,"));
        EventWriter {
            kind: admitted.kind,
            empty_chunk,
            event_prefix,
            buffer: BytesMut::new(),
            is_first: true,
        }
    }

    /// Appends the event of one token.
    pub fn token(&mut self, text: &str) {
        self.buffer.put_slice(&self.event_prefix);
        match self.kind {
            CompletionKind::Chat if self.is_first => {
                self.buffer.put_slice(b"\"delta\":{\"role\":\"assistant\",\"content\":");
            }
            CompletionKind::Chat => self.buffer.put_slice(b"\"delta\":{\"content\":"),
            CompletionKind::Text => self.buffer.put_slice(b"\"text\":"),
        }
        self.is_first = false;
        serde_json::to_writer((&mut self.buffer).writer(), text).expect("writing to memory");
        if self.kind == CompletionKind::Chat {
            self.buffer.put_slice(b"}");
        }
        self.buffer.put_slice(b",\"finish_reason\":null}]}\n\n");
    }

    /// Appends the last event and the end-of-stream marker.
    pub fn finish(&mut self, finish_reason: &str) {
        if self.kind == CompletionKind::Text {
            self.buffer.put_slice(&self.event_prefix);
            let reason = serde_json::json!(finish_reason);
            let tail = format!("\"text\":\"\",\"finish_reason\":{reason}}}]}}\n\n");
            self.buffer.put_slice(tail.as_bytes());
        } else {
            let mut chunk = self.empty_chunk.clone();
            let delta = ChatDelta::default();
            let finish_reason = Some(finish_reason.to_owned());
            chunk.choices.push(ChunkChoice { index: 0, delta, finish_reason });
            let json = serde_json::to_string(&chunk).expect("serialising a chunk");
            self.buffer.put_slice(format!("data: {json}\n\n").as_bytes());
        }
        self.buffer.put_slice(DONE);
    }

    /// Appends an error event for a truncated response. No `[DONE]` follows, so the caller cannot
    /// mistake the response for a complete one.
    pub fn truncated(&mut self, message: &str) {
        self.buffer.put_slice(&error_event(message));
    }

    /// Returns the events appended since the last call.
    pub fn take(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}
