//! Reads a newline-delimited response body line by line.

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use snafu::Snafu;

use crate::client_connection::ResponseBody;

/// Maximum size of a line, in bytes: a line holds some tokens of text.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// Why no further line can be read.
#[derive(Debug, Snafu)]
pub enum LineError {
    #[snafu(display("{source}"), context(false))]
    Broken { source: hyper::Error },
    #[snafu(display("a line is longer than {MAX_LINE_BYTES} bytes"))]
    TooLong,
}

/// Splits a streamed body into lines without their newline characters.
#[derive(Debug)]
pub struct LineReader {
    body: ResponseBody,
    buffer: BytesMut,
}

impl LineReader {
    /// Creates a reader of the lines of `body`.
    pub fn new(body: ResponseBody) -> Self {
        LineReader { body, buffer: BytesMut::new() }
    }

    /// Returns the next line if it has been received completely, without waiting.
    pub fn buffered_line(&mut self) -> Option<Bytes> {
        let newline = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let line = self.buffer.split_to(newline + 1);
        Some(line.freeze().slice(..newline))
    }

    /// Puts the most recently returned line back, so that it is returned again next.
    pub fn unread_line(&mut self, line: Bytes) {
        let rest = self.buffer.split();
        self.buffer.extend_from_slice(&line);
        self.buffer.extend_from_slice(b"\n");
        self.buffer.extend_from_slice(&rest);
    }

    /// Waits for the next complete line and returns it, or `None` at the end of the body. A last
    /// line that has no newline is returned too.
    pub async fn next_line(&mut self) -> Result<Option<Bytes>, LineError> {
        loop {
            if let Some(line) = self.buffered_line() {
                return Ok(Some(line));
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return TooLongSnafu.fail();
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
