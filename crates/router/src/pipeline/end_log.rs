//! Logs each admitted completion that ends without a complete response.

use std::time::Instant;

use strum::Display;
use umberglade_wire::ids::RequestId;

use crate::events;

/// Why a completion ended without a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum EndReason {
    /// Its handling was dropped, which a caller does that disconnects.
    CallerLeft,
    /// It was rejected after it had been admitted.
    Rejected,
    /// Its response had begun and could not be completed.
    Cut,
    Panicked,
}

/// Logs the end of a completion when dropped, unless its response was complete.
///
/// A log line by the code that ends the request would be missing wherever its future is dropped.
#[derive(Debug)]
pub(crate) struct EndLog {
    request_id: RequestId,
    started_at: Instant,
    /// `None` once the response is complete.
    reason: Option<EndReason>,
}

impl EndLog {
    /// Creates the log of a request that has just been admitted.
    pub fn new(request_id: RequestId) -> Self {
        let reason = Some(EndReason::CallerLeft);
        EndLog { request_id, started_at: Instant::now(), reason }
    }

    /// Sets why the request is about to end.
    pub fn set_reason(&mut self, reason: EndReason) {
        self.reason = Some(reason);
    }

    /// Records that the response is complete.
    pub fn complete(&mut self) {
        self.reason = None;
    }
}

impl Drop for EndLog {
    fn drop(&mut self) {
        let Some(reason) = self.reason else {
            return;
        };
        let reason = if std::thread::panicking() { EndReason::Panicked } else { reason };
        let elapsed_ms = self.started_at.elapsed().as_millis() as u64;
        tracing::info!(event = events::REQUEST_UNANSWERED, request_id = %self.request_id, %reason, elapsed_ms, "request ended without a complete response");
        metrics::counter!("umberglade_unanswered_total", "reason" => reason.to_string())
            .increment(1);
    }
}
