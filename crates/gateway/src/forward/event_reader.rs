//! Reads a streamed response event by event.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use umberglade_wire::client_connection::BodyError;
use umberglade_wire::client_connection::ResponseBody;
use umberglade_wire::client_connection::TooLongSnafu;

use crate::upstream::answer_limits::MAX_EVENT_BYTES;

/// Capacity of the buffer up to which it is kept for the next event, in bytes.
const MAX_KEPT_CAPACITY: usize = 16 * 1024;

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
    /// Number of bytes of complete comments at the start of the buffer.
    comments: usize,
}

impl EventSplitter {
    /// Adds bytes as they arrive.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, with the comments before it: these alone are no part of an
    /// answer, and so reach a caller only with an event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        loop {
            let from = self.searched.saturating_sub(3).max(self.comments);
            let Some(length) = event_end(&self.buffer[from..]) else {
                self.searched = self.buffer.len();
                return None;
            };
            let end = from + length;
            self.searched = end;
            if !is_comment(&self.buffer[self.comments..end]) {
                return Some(self.take(end));
            }
            self.comments = end;
        }
    }

    /// Returns the comments after the last event, if nothing follows them.
    pub fn last_comments(&mut self) -> Option<StreamEvent> {
        let has_only_comments = self.comments > 0 && self.comments == self.buffer.len();
        has_only_comments.then(|| self.take(self.comments))
    }

    fn take(&mut self, end: usize) -> StreamEvent {
        self.searched = 0;
        self.comments = 0;
        let bytes = self.take_bytes(end);
        StreamEvent { id: event_id(&bytes), bytes }
    }

    /// Returns the bytes up to `end`. They share no memory with the buffer: what is held for a caller
    /// is as long as what it is sent.
    fn take_bytes(&mut self, end: usize) -> Bytes {
        let bytes = Bytes::copy_from_slice(&self.buffer[..end]);
        if self.buffer.capacity() > MAX_KEPT_CAPACITY {
            self.buffer = BytesMut::from(&self.buffer[end..]);
        } else {
            self.buffer.advance(end);
        }
        bytes
    }

    /// Returns the number of bytes of the event that has not arrived completely.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
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

/// Returns true when no line of `event` has a field.
fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
}

/// Returns the value of the event's `id` field.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

/// Reads events from the body of a response.
#[derive(Debug)]
pub struct EventReader {
    body: ResponseBody,
    splitter: EventSplitter,
}

impl EventReader {
    /// Returns a reader of `body`.
    pub fn new(body: ResponseBody) -> Self {
        EventReader { body, splitter: EventSplitter::default() }
    }

    /// Returns the next complete event; `None` at the end of the body.
    pub async fn next_event(&mut self) -> Result<Option<StreamEvent>, BodyError> {
        loop {
            if let Some(event) = self.splitter.next_event() {
                return Ok(Some(event));
            }
            if self.splitter.buffered() > MAX_EVENT_BYTES {
                return TooLongSnafu { limit: MAX_EVENT_BYTES }.fail();
            }
            match self.body.frame().await {
                Some(frame) => {
                    let frame = frame.map_err(|source| BodyError::Broken { source })?;
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                }
                None => return Ok(self.splitter.last_comments()),
            }
        }
    }

    /// Returns true when the body ended with a complete event.
    pub fn is_complete(&self) -> bool {
        self.splitter.is_empty()
    }
}
