//! Reads a streamed answer one whole event at a time.

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// One whole event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event's id, if it has one.
    pub id: Option<u64>,
    /// Its bytes as they came, with the blank line that ends it.
    pub bytes: Bytes,
}

/// Splits bytes into whole events.
///
/// Guards against pieces of two runs being joined: a server may stop in the
/// middle of an event, and only whole ones are passed on.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Where the search for the next end goes on.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes as they arrive.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event that has arrived.
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

    /// True when nothing of a further event has arrived.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Where the first event in `window` ends: behind its blank line.
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

/// The value of the event's `id` field.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

/// Reads events from an answer's body.
#[derive(Debug)]
pub struct EventReader {
    body: Incoming,
    splitter: EventSplitter,
}

impl EventReader {
    /// A reader of `body`.
    pub fn new(body: Incoming) -> Self {
        EventReader { body, splitter: EventSplitter::default() }
    }

    /// The next whole event; `None` at the end of the body.
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

    /// True when the body ended with a whole event.
    pub fn is_complete(&self) -> bool {
        self.splitter.is_empty()
    }
}
