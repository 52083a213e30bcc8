//! Reads a newline-delimited body one line at a time.

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Splits a streamed body into lines, without the newline.
#[derive(Debug)]
pub struct LineReader {
    body: Incoming,
    buffer: BytesMut,
}

impl LineReader {
    /// A reader of `body`.
    pub fn new(body: Incoming) -> Self {
        LineReader { body, buffer: BytesMut::new() }
    }

    /// A whole line that has already arrived, if there is one.
    pub fn buffered_line(&mut self) -> Option<Bytes> {
        let newline = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let line = self.buffer.split_to(newline + 1);
        Some(line.freeze().slice(..newline))
    }

    /// Puts back a line that was just taken.
    pub fn unread_line(&mut self, line: Bytes) {
        let rest = self.buffer.split();
        self.buffer.extend_from_slice(&line);
        self.buffer.extend_from_slice(b"\n");
        self.buffer.extend_from_slice(&rest);
    }

    /// The next whole line; `None` at the end of the body (a last line
    /// without a newline is returned first).
    pub async fn next_line(&mut self) -> Result<Option<Bytes>, hyper::Error> {
        loop {
            if let Some(line) = self.buffered_line() {
                return Ok(Some(line));
            }
            match self.body.frame().await {
                Some(frame) => {
                    if let Ok(data) = frame?.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                None if self.buffer.is_empty() => return Ok(None),
                None => return Ok(Some(self.buffer.split().freeze())),
            }
        }
    }
}
