//! Why a caller's connection ended.

use std::io;

use strum::Display;
use strum::IntoStaticStr;

use super::read_call::CallAborted;

/// Why a connection ended while a request on it had no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EndReason {
    /// The caller closed or reset its connection.
    CallerLeft,
    /// The connection failed for another reason.
    ConnectionFailed,
    /// The body of the response was aborted.
    ResponseAborted,
    /// The connection was closed without an error.
    Closed,
    /// The connection made room for others.
    MadeRoom,
    /// The process ended.
    ProcessStopped,
    /// The connection's task ended early, as by a panic.
    TaskEnded,
}

/// The end of a connection.
#[derive(Debug)]
pub struct ConnectionEnd {
    pub reason: EndReason,
    /// The text of the connection's error; empty if there is none.
    pub problem: String,
}

impl ConnectionEnd {
    /// Returns an end without an error.
    pub fn without_error(reason: EndReason) -> Self {
        ConnectionEnd { reason, problem: String::new() }
    }

    /// Returns the end of a connection that hyper has served with `result`.
    pub fn of(result: hyper::Result<()>) -> Self {
        match result {
            Ok(()) => ConnectionEnd::without_error(EndReason::Closed),
            Err(error) => ConnectionEnd { reason: reason_of(&error), problem: error_text(&error) },
        }
    }
}

fn reason_of(error: &hyper::Error) -> EndReason {
    let source = std::error::Error::source(error);
    let is_aborted_call = source.is_some_and(|source| source.is::<CallAborted>());
    // hyper reports the end of the caller's bytes within an exchange as an incomplete message.
    if error.is_incomplete_message() || is_aborted_call || is_disconnect(error) {
        EndReason::CallerLeft
    } else if error.is_user() {
        EndReason::ResponseAborted
    } else {
        EndReason::ConnectionFailed
    }
}

/// Returns true when the operating system reports that the caller has closed the connection.
fn is_disconnect(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    let io_error = source.and_then(|source| source.downcast_ref::<io::Error>());
    io_error.is_some_and(|io_error| {
        matches!(
            io_error.kind(),
            io::ErrorKind::ConnectionReset
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::BrokenPipe
                | io::ErrorKind::NotConnected
                | io::ErrorKind::UnexpectedEof
        )
    })
}

/// Returns the text of `error` and of its source.
fn error_text(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
