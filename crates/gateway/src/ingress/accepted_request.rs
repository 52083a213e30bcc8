//! Follows each request of a caller's connection until its response is written, and reports those
//! that end without one.

use std::sync::Arc;
use std::time::Instant;

use smallvec::SmallVec;
use umberglade_wire::ordered_body::FlushSignal;

use super::connection_end::ConnectionEnd;
use super::connection_end::EndReason;
use crate::events;
use crate::forward::Call;
use crate::forward::RequestProgress;
use crate::forward::RequestStage;
use crate::model::CallKind;
use crate::state_lock::StateLock;

/// The requests of one connection that may still end without a response. Reports them when it is
/// dropped.
#[derive(Debug)]
pub struct ConnectionRequests {
    signal: FlushSignal,
    /// Requests whose guards are dropped and whose responses may not have been written.
    dropped: Arc<StateLock<SmallVec<[DroppedRequest; 1]>>>,
    end: ConnectionEnd,
}

/// A request whose guard is dropped.
#[derive(Debug)]
struct DroppedRequest {
    request_id: String,
    route: String,
    is_stream: bool,
    stage: RequestStage,
    arrived: Instant,
    has_complete_body: bool,
    /// The connection's flushes when the complete response had been handed to it; `None` when it
    /// was not handed over completely.
    handed_over_at: Option<u64>,
}

impl ConnectionRequests {
    /// Returns the requests of a connection whose flushes notify `signal`.
    pub fn new(signal: FlushSignal) -> Self {
        let end = ConnectionEnd::without_error(EndReason::TaskEnded);
        ConnectionRequests { signal, dropped: Arc::default(), end }
    }

    /// Returns a handle that follows the connection's requests.
    pub fn tracker(&self) -> RequestTracker {
        RequestTracker { signal: self.signal.clone(), dropped: Arc::clone(&self.dropped) }
    }

    /// Records how the connection ended.
    pub fn record_end(&mut self, end: ConnectionEnd) {
        self.end = end;
    }
}

impl Drop for ConnectionRequests {
    fn drop(&mut self) {
        let flush_count = self.signal.flush_count();
        let dropped = std::mem::take(&mut *self.dropped.lock());
        for request in dropped {
            request.report(&self.end, flush_count);
        }
    }
}

impl DroppedRequest {
    /// Returns true when the complete response was written by a connection that has flushed
    /// `flush_count` times.
    fn is_written(&self, flush_count: u64) -> bool {
        self.handed_over_at.is_some_and(|handed_over_at| flush_count > handed_over_at)
    }

    /// Returns true when the relay of a stream reports that its caller has left, or that it was
    /// broken off. It does neither once it has passed on the last event, and does not know that
    /// the process ends.
    fn is_reported_by_relay(&self, end: &ConnectionEnd) -> bool {
        self.is_stream
            && self.stage == RequestStage::Answering
            && !self.has_complete_body
            && end.reason != EndReason::ProcessStopped
    }

    /// Logs and counts the request unless its response was written, or its end is reported
    /// elsewhere.
    fn report(&self, end: &ConnectionEnd, flush_count: u64) {
        if self.is_written(flush_count) || self.is_reported_by_relay(end) {
            return;
        }
        let (event, metric) = match self.stage {
            RequestStage::Receiving => {
                (events::REQUEST_INCOMPLETE, "umberglade_incomplete_requests_total")
            }
            _ => (events::REQUEST_UNANSWERED, "umberglade_unanswered_total"),
        };
        let reason: &'static str = end.reason.into();
        metrics::counter!(metric, "reason" => reason).increment(1);
        tracing::info!(
            event,
            request_id = self.request_id,
            route = self.route,
            reason,
            problem = end.problem,
            stage = %self.stage,
            elapsed_ms = self.arrived.elapsed().as_millis() as u64,
            "request ended without a complete response"
        );
    }
}

/// Follows the requests of a connection.
#[derive(Debug, Clone)]
pub struct RequestTracker {
    signal: FlushSignal,
    dropped: Arc<StateLock<SmallVec<[DroppedRequest; 1]>>>,
}

impl RequestTracker {
    /// Returns the guard of a request that arrives.
    pub fn begin(&self) -> RequestGuard {
        let flush_count = self.signal.flush_count();
        let mut dropped = self.dropped.lock();
        dropped.retain(|request| !request.is_written(flush_count));
        drop(dropped);
        RequestGuard {
            tracker: self.clone(),
            request_id: None,
            call: None,
            progress: Arc::default(),
            arrived: Instant::now(),
            has_complete_body: false,
            is_handed_over: false,
            is_dismissed: false,
        }
    }
}

/// Follows one request, first in its handler and then in the body of its response.
#[derive(Debug)]
pub struct RequestGuard {
    tracker: RequestTracker,
    request_id: Option<String>,
    call: Option<Arc<Call>>,
    progress: Arc<RequestProgress>,
    arrived: Instant,
    /// True when the body of the response is complete, be it handed over or not.
    has_complete_body: bool,
    /// True when the complete response has been handed to the connection.
    is_handed_over: bool,
    is_dismissed: bool,
}

impl RequestGuard {
    /// Returns what the tasks that work on the request record its stage in.
    pub fn progress(&self) -> &Arc<RequestProgress> {
        &self.progress
    }

    /// Returns the request's id for logs.
    pub fn request_id(&self) -> &str {
        self.request_id.as_deref().unwrap_or("-")
    }

    /// Records the request's id.
    pub fn identify(&mut self, request_id: &str) {
        self.request_id = Some(request_id.to_owned());
    }

    /// Records that the request is forwarded as `call`.
    pub fn record_call(&mut self, call: &Arc<Call>) {
        self.call = Some(Arc::clone(call));
    }

    /// Records that the body of the response is complete.
    pub fn record_end_of_body(&mut self) {
        self.has_complete_body = true;
    }

    /// Records that the complete response has been handed to the connection.
    pub fn record_handed_over(&mut self) {
        self.is_handed_over = true;
    }

    /// Stops following the request.
    pub fn dismiss(&mut self) {
        self.is_dismissed = true;
    }

    fn to_dropped(&self) -> DroppedRequest {
        let route = self.call.as_ref().map(|call| &call.route);
        DroppedRequest {
            request_id: self.request_id().to_owned(),
            route: route.map_or_else(|| "-".to_owned(), |route| route.name.to_string()),
            is_stream: route.is_some_and(|route| route.kind == CallKind::Stream),
            stage: self.progress.stage(),
            arrived: self.arrived,
            has_complete_body: self.has_complete_body,
            handed_over_at: self.is_handed_over.then(|| self.tracker.signal.flush_count()),
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if !self.is_dismissed {
            let request = self.to_dropped();
            self.tracker.dropped.lock().push(request);
        }
    }
}
