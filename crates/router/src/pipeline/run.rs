//! The attempts of one request: claims capacity on both servers, runs prefill and decode, and
//! retries elsewhere when a server fails, within the retry budget and the deadline.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;
use umberglade_wire::engine::LOAD_HEADER;
use umberglade_wire::ids::ServerId;

use super::AdmittedRequest;
use super::CancelOnDrop;
use super::RunFailure;
use super::claim::ClaimedPair;
use super::decode::DecodeStream;
use super::end_log::EndLog;
use crate::admission::AdmissionQueue;
use crate::control::ServerSlot;
use crate::daemon::AdmissionGuard;
use crate::daemon::Daemon;
use crate::events;
use crate::placement::Placement;

/// The most attempts of one request, including the first.
const MAX_ATTEMPTS: u32 = 4;

/// A request being processed. Dropping it cancels the work that servers still hold.
pub(crate) struct RequestRun<P> {
    pub daemon: Daemon<P>,
    pub admitted: AdmittedRequest,
    pub cancel: CancelOnDrop,
    pub attempt: u32,
    pub end_log: EndLog,
    deadline: Instant,
    started_at: Instant,
    /// Servers that failed or rejected this request.
    pub(super) avoid: SmallVec<[ServerId; 4]>,
    /// The server whose silent stream is kept. Never placed on meanwhile: it holds the request.
    kept: Option<ServerId>,
    _admission: AdmissionGuard<P>,
}

impl<P: Placement> RequestRun<P> {
    /// Creates a run of `admitted` without sending anything.
    pub fn new(daemon: Daemon<P>, admitted: AdmittedRequest, admission: AdmissionGuard<P>) -> Self {
        daemon.shared.budget.deposit();
        let started_at = Instant::now();
        RequestRun {
            cancel: CancelOnDrop::new(admitted.request_id.clone()),
            end_log: EndLog::new(admitted.request_id.clone()),
            deadline: started_at + Duration::from_millis(admitted.preset.deadline_ms),
            daemon,
            admitted,
            attempt: 0,
            started_at,
            avoid: SmallVec::new(),
            kept: None,
            _admission: admission,
        }
    }

    /// Starts a decode stream at token `resume_from`, retrying elsewhere as the budget allows.
    pub async fn start(&mut self, resume_from: u32) -> Result<DecodeStream, RunFailure> {
        loop {
            let failure = match self.run_attempt(resume_from).await {
                Ok(stream) => return Ok(stream),
                Err(failure) => failure,
            };
            if !failure.may_retry() || !self.try_next_attempt() {
                return Err(failure);
            }
            tracing::info!(event = events::ATTEMPT_RETRIED, request_id = %self.admitted.request_id, attempt = self.attempt, %failure, "retrying on another server");
            metrics::counter!("umberglade_retries_total").increment(1);
        }
    }

    /// Counts another attempt and returns true, if the attempts, the deadline and the retry budget
    /// allow one.
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

    /// Starts a decode stream beside a silent one. Returns `None` if other servers have no room now
    /// or no further attempt is allowed: it does not queue, as the silent server may still go on.
    pub async fn open_beside(
        &mut self,
        resume_from: u32,
    ) -> Result<Option<DecodeStream>, RunFailure> {
        let Some(pair) = self.try_claim_beside() else {
            return Ok(None);
        };
        let export = self.prefill(pair.prefill, resume_from).await?;
        self.decode(pair.decode, export, resume_from).await.map(Some)
    }

    /// Claims both servers for another attempt, and counts it, if they have room now.
    fn try_claim_beside(&mut self) -> Option<ClaimedPair> {
        if !self.try_next_attempt() {
            return None;
        }
        let pair = self.place_pair_beside();
        if pair.is_none() {
            self.attempt -= 1;
            self.daemon.shared.budget.give_back();
        }
        pair
    }

    /// Returns when the request must have ended.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the time left until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the admission queue of the request's model.
    pub fn queue(&self) -> Arc<AdmissionQueue> {
        self.daemon.queue(&self.admitted.model)
    }

    /// Returns the time since the request was admitted.
    pub fn age(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Excludes the server from this request and ejects it for all requests for a while.
    pub fn record_failure(&mut self, slot: &ServerSlot) {
        slot.record_failure();
        self.avoid.push(slot.entry.server.clone());
    }

    /// Excludes the server from this request only, because it is full but healthy.
    pub fn avoid_server(&mut self, slot: &ServerSlot) {
        self.avoid.push(slot.entry.server.clone());
    }

    /// Makes all excluded servers eligible again, as full ones may have capacity by now, except the
    /// one whose stream is kept.
    pub fn clear_avoided(&mut self) {
        self.avoid.clear();
        self.avoid.extend(self.kept.clone());
    }

    /// Excludes the server while its silent stream is kept.
    pub fn keep_server(&mut self, slot: &ServerSlot) {
        self.kept = Some(slot.entry.server.clone());
        self.avoid_server(slot);
    }

    /// Ends the exclusion of a kept server if it `went_on`; otherwise it has failed this request.
    pub fn release_kept_server(&mut self, went_on: bool) {
        let kept = self.kept.take();
        if went_on {
            self.avoid.retain(|server| kept.as_ref() != Some(server));
        }
    }
}

/// Records the load report in the headers of an engine's response.
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
