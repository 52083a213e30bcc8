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

    /// The next whole line; `None` at the end of the body (a last line
    /// without a newline is returned first).
    pub async fn next_line(&mut self) -> Result<Option<Bytes>, hyper::Error> {
        loop {
            if let Some(at) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(at + 1);
                return Ok(Some(line.freeze().slice(..at)));
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
