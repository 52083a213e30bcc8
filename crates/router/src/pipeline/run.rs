//! One request's attempts: room at both servers, prefill, decode; again
//! elsewhere when a server fails, within the retry budget and the deadline.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;
use umberglade_wire::engine::LOAD_HEADER;
use umberglade_wire::ids::ServerId;

use super::AdmittedRequest;
use super::CancelOnDrop;
use super::RunFailure;
use super::decode::DecodeStream;
use crate::admission::AdmissionQueue;
use crate::control::ServerSlot;
use crate::daemon::AdmissionGuard;
use crate::daemon::Daemon;
use crate::events;
use crate::placement::Placement;

/// Attempts of one request, the first included.
const MAX_ATTEMPTS: u32 = 4;

/// A request being worked on. Dropping it cancels what servers still hold.
pub(crate) struct RequestRun<P> {
    pub daemon: Daemon<P>,
    pub admitted: AdmittedRequest,
    pub cancel: CancelOnDrop,
    pub attempt: u32,
    deadline: Instant,
    started: Instant,
    /// Servers that failed this request.
    pub(super) avoid: SmallVec<[ServerId; 4]>,
    _admission: AdmissionGuard<P>,
}

impl<P: Placement> RequestRun<P> {
    /// A run of `admitted`, nothing sent yet.
    pub fn new(daemon: Daemon<P>, admitted: AdmittedRequest, admission: AdmissionGuard<P>) -> Self {
        daemon.shared.budget.deposit();
        let started = Instant::now();
        RequestRun {
            cancel: CancelOnDrop::new(admitted.request_id.clone()),
            deadline: started + Duration::from_millis(admitted.preset.deadline_ms),
            daemon,
            admitted,
            attempt: 0,
            started,
            avoid: SmallVec::new(),
            _admission: admission,
        }
    }

    /// Gets a decode stream going at token `resume_from`, trying again
    /// elsewhere as the budget allows.
    pub async fn start(&mut self, resume_from: u32) -> Result<DecodeStream, RunFailure> {
        loop {
            let failure = match self.run_attempt(resume_from).await {
                Ok(stream) => return Ok(stream),
                Err(failure) => failure,
            };
            if !failure.may_retry() || !self.try_next_attempt() {
                return Err(failure);
            }
            tracing::info!(event = events::ATTEMPT_RETRIED, request_id = %self.admitted.request_id, attempt = self.attempt, %failure, "trying again elsewhere");
            metrics::counter!("umberglade_retries_total").increment(1);
        }
    }

    /// Counts one more attempt, if attempts, time and budget allow it.
    pub fn try_next_attempt(&mut self) -> bool {
        let allowed = self.attempt + 1 < MAX_ATTEMPTS
            && Instant::now() < self.deadline
            && self.daemon.shared.budget.try_consume();
        if allowed {
            self.attempt += 1;
        }
        allowed
    }

    async fn run_attempt(&mut self, resume_from: u32) -> Result<DecodeStream, RunFailure> {
        if Instant::now() >= self.deadline {
            let deadline_ms = self.admitted.preset.deadline_ms;
            return Err(RunFailure::DeadlineExceeded { deadline_ms });
        }
        let pair = self.claim_pair().await?;
        let export = self.prefill(pair.prefill, resume_from).await?;
        self.decode(pair.decode, export, resume_from).await
    }

    /// Time left until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The room this request waits in.
    pub fn queue(&self) -> Arc<AdmissionQueue> {
        self.daemon.room(&self.admitted.model)
    }

    /// Time since the request was admitted.
    pub fn age(&self) -> Duration {
        self.started.elapsed()
    }

    /// Tries no more of `slot` for this request, and none of anyone's for
    /// a while.
    pub fn record_failure(&mut self, slot: &ServerSlot) {
        slot.failed();
        self.avoid.push(slot.entry.server.clone());
    }

    /// Tries `slot` no more for this request: it is full, not ill.
    pub fn avoid_server(&mut self, slot: &ServerSlot) {
        self.avoid.push(slot.entry.server.clone());
    }

    /// Forgets which servers were full: they may have room again.
    pub fn clear_avoided(&mut self) {
        self.avoid.clear();
    }
}

/// Takes in the load report that rides on an engine's answer.
pub(crate) fn record_load<B>(slot: &ServerSlot, response: &http::Response<B>) {
    let sample = response
        .headers()
        .get(LOAD_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    if let Some(sample) = sample {
        slot.observe(sample);
    }
}
