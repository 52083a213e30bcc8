//! Reads a streamed response event by event.

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// One complete event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event's id, if it has one.
    pub id: Option<u64>,
    /// Its unchanged bytes, including the blank line that ends it.
    pub bytes: Bytes,
}

/// Splits bytes into complete events.
///
/// A server may stop in the middle of an event. Forwarding only complete events prevents
/// fragments of two runs from being joined.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes already searched for the end of the event.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes as they arrive.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let from = self.searched.saturating_sub(3);
        let window = &self.buffer[from..];
        let Some(end) = event_end(window) else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(from + end).freeze();
        Some(StreamEvent { id: event_id(&bytes), bytes })
    }

    /// Returns true when no part of a further event has arrived.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Returns the end of the first event in `window`, after its blank line.
fn event_end(window: &[u8]) -> Option<usize> {
    let mut at = 0;
    while let Some(found) = window[at..].iter().position(|byte| *byte == b'\n') {
        let next = at + found + 1;
        match window.get(next..) {
            Some([b'\n', ..]) => return Some(next + 1),
            Some([b'\r', b'\n', ..]) => return Some(next + 2),
            _ => at = next,
        }
    }
    None
}

/// Returns the value of the event's `id` field.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

/// Reads events from the body of a response.
#[derive(Debug)]
pub struct EventReader {
    body: Incoming,
    splitter: EventSplitter,
}

impl EventReader {
    /// Returns a reader of `body`.
    pub fn new(body: Incoming) -> Self {
        EventReader { body, splitter: EventSplitter::default() }
    }

    /// Returns the next complete event; `None` at the end of the body.
    pub async fn next_event(&mut self) -> Result<Option<StreamEvent>, hyper::Error> {
        loop {
            if let Some(event) = self.splitter.next_event() {
                return Ok(Some(event));
            }
            match self.body.frame().await {
                Some(frame) => {
                    if let Ok(data) = frame?.into_data() {
                        self.splitter.push(&data);
                    }
                }
                None => return Ok(None),
            }
        }
    }

    /// Returns true when the body ended with a complete event.
    pub fn is_complete(&self) -> bool {
        self.splitter.is_empty()
    }
}
