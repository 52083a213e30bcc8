//! Opens a stream at a server, or at another where the first fails or is silent.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_lite::FutureExt;
use http::Response;

use super::Call;
use super::GatewayBody;
use super::attempt_log::record_attempt;
use super::attempt_set::AttemptSet;
use super::attempts::Attempts;
use super::cache_guard::CacheGuard;
use super::capacity_wait::DEFAULT_FIRST_EVENT_TIME;
use super::exchange;
use super::exchange::AttemptFailure;
use super::kept_stream::KeptStream;
use super::silence_log;
use super::stream_attempt::AttemptEnd;
use super::stream_attempt::PromptSource;
use super::stream_attempt::StreamAttempt;
use super::stream_open::OpenOutcome;
use super::stream_open::OpenStream;
use super::stream_run;
use crate::codec::PlatformCodec;
use crate::model::PinnedVersion;
use crate::model::ServerKey;
use crate::origins::is_contradictory;
use crate::state::GatewayState;
use crate::timing::with_deadline;

/// Time without a first event after which another server is tried too, where there is one: five
/// times the typical time, after which the event is not expected to arrive.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval at which another server is looked for while all that were tried are silent. Doubles
/// with each attempt that failed.
const HEDGE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of servers at which one stream is in progress.
const MAX_IN_PROGRESS: usize = 2;

/// How the opening of a stream ended.
#[derive(Debug)]
pub enum Opening {
    Stream(Box<OpenStream>),
    /// A server's final error response.
    Responded(Response<GatewayBody>),
    /// No attempt is in progress, and no further one is allowed or possible.
    Exhausted {
        /// The last error response of a server that ran the request.
        error_response: Option<Response<GatewayBody>>,
    },
}

impl Opening {
    /// Returns the stream, if one was opened.
    pub fn into_stream(self) -> Option<Box<OpenStream>> {
        match self {
            Opening::Stream(stream) => Some(stream),
            Opening::Responded(_) | Opening::Exhausted { .. } => None,
        }
    }
}

/// Whether attempts begin the response or continue it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamStart {
    /// No event has been relayed, and an error response of a server can still be.
    Begins,
    /// Events up to `last_id` have been relayed.
    Continues { last_id: Option<u64>, relayed: u64 },
}

impl StreamStart {
    /// Returns true unless `stream` begins with another event than the next one. Prevents a server
    /// that goes on wrongly from being taken for one that is silent.
    fn is_continued_by(self, stream: &OpenStream) -> bool {
        let first_id = stream.first.as_ref().and_then(|event| event.id);
        match (self, first_id) {
            (StreamStart::Continues { last_id: Some(last_id), .. }, Some(id)) => id == last_id + 1,
            _ => true,
        }
    }
}

/// Opens a stream. A server that is silent is left only for another one that has sent an event.
pub struct StreamOpener<'a, C: PlatformCodec> {
    state: &'a Arc<GatewayState>,
    call: &'a Call,
    attempts: &'a mut Attempts,
    start: StreamStart,
    /// The stream to continue, if its silent server is kept.
    kept: &'a KeptStream,
    /// A cache that no decode server has fetched yet.
    reusable_cache: Option<CacheGuard<C>>,
    /// Number of decode servers that rejected the request with a cache.
    rejected_with_cache: u32,
    error_response: Option<Response<GatewayBody>>,
}

impl<'a, C: PlatformCodec> StreamOpener<'a, C> {
    pub fn new(
        state: &'a Arc<GatewayState>,
        call: &'a Call,
        attempts: &'a mut Attempts,
        start: StreamStart,
        kept: &'a KeptStream,
    ) -> Self {
        StreamOpener {
            state,
            call,
            attempts,
            start,
            kept,
            reusable_cache: None,
            rejected_with_cache: 0,
            error_response: None,
        }
    }

    /// Makes `first`, and further attempts where the route, its time, its quarantine and the retry
    /// budget allow them, until a server sends an event. Never ends without one while the kept
    /// stream is open.
    pub async fn open(mut self, first: Option<StreamAttempt<C>>) -> Opening {
        let (state, call) = (self.state, self.call);
        let mut in_progress = AttemptSet::new();
        let mut interval = HEDGE_INTERVAL;
        let mut hedge_at = Instant::now();
        let mut planned = first;
        let mut is_stalled = false;
        loop {
            if planned.is_none() && in_progress.is_empty() && !self.kept.is_open() {
                planned = self.plan_next().await;
                if planned.is_none() {
                    return Opening::Exhausted { error_response: self.error_response };
                }
            }
            if let Some(attempt) = planned.take() {
                let server = attempt.load_guard.server.clone();
                in_progress.push(server, attempt.run(state, call));
                hedge_at = Instant::now() + FIRST_EVENT_TIMEOUT;
            }
            let kept_ended = async {
                self.kept.wait_end().await;
                None
            };
            let ended = async { Some(in_progress.next_end().await) }.or(kept_ended);
            match with_deadline(hedge_at, ended).await {
                Some(Some(end)) => {
                    if let Some(opening) = self.record_end(end) {
                        self.record_losers(&opening, &in_progress);
                        return opening;
                    }
                    hedge_at = Instant::now() + interval;
                    interval *= 2;
                }
                // The kept stream has failed.
                Some(None) => {}
                None => {
                    if !std::mem::replace(&mut is_stalled, true) {
                        self.log_stall(&in_progress);
                    }
                    let servers = in_progress.len() + usize::from(self.kept.is_open());
                    planned = if servers < MAX_IN_PROGRESS { self.plan_hedge() } else { None };
                    hedge_at = Instant::now() + interval;
                }
            }
        }
    }

    /// Plans the next attempt when none is in progress.
    async fn plan_next(&mut self) -> Option<StreamAttempt<C>> {
        self.attempts.wait_for_quarantine_decision(self.state, self.call).await;
        let min_time = match self.start {
            StreamStart::Begins => DEFAULT_FIRST_EVENT_TIME,
            StreamStart::Continues { .. } => Duration::ZERO,
        };
        (self.call.time_left(Instant::now()) > min_time).then(|| self.plan())?
    }

    /// Plans an attempt at another server while the one in progress is silent.
    ///
    /// A silent server may still be at work: an engine preempts streams and continues them seconds
    /// later. Prevents the end of such a stream with nothing in its place.
    fn plan_hedge(&mut self) -> Option<StreamAttempt<C>> {
        let has_time = self.call.time_left(Instant::now()) > DEFAULT_FIRST_EVENT_TIME;
        has_time.then(|| self.plan())?
    }

    fn plan(&mut self) -> Option<StreamAttempt<C>> {
        let is_continued = self.start != StreamStart::Begins;
        if is_continued && is_contradictory(self.state, self.call) {
            self.attempts.pinned_version = PinnedVersion::Unknown;
        }
        if !self.attempts.is_within_route_limits(self.call) {
            return None;
        }
        let (server, cache) = self.choose_server()?;
        let permit = self.attempts.permit(self.state, self.call)?;
        let load_guard = stream_run::begin_retry(self.state, self.call, self.attempts, server);
        let prompt = match cache {
            Some(cache) => PromptSource::Cache(cache),
            None => stream_run::plan_prefill(self.state, self.call, self.attempts, &load_guard),
        };
        self.attempts.record(&load_guard.server);
        let (resume_after, relayed) = match self.start {
            StreamStart::Begins => (self.call.head.resume_after, None),
            StreamStart::Continues { last_id, relayed } => {
                (last_id.or(self.call.head.resume_after), Some(relayed))
            }
        };
        let pinned = self.attempts.pinned_version.known();
        Some(StreamAttempt { load_guard, permit, prompt, pinned, resume_after, relayed })
    }

    /// Chooses another decode server, preferably one that can read the cache left over.
    fn choose_server(&mut self) -> Option<(ServerKey, Option<CacheGuard<C>>)> {
        let (state, call, attempts) = (self.state, self.call, &*self.attempts);
        let ttl = call.engine_spec().handle_ttl;
        if let Some(cache) = self.reusable_cache.take().filter(|cache| cache.is_fresh(ttl)) {
            let software = Some(cache.software());
            if let Some(server) = stream_run::choose_decode(state, call, attempts, software) {
                return Some((server, Some(cache)));
            }
        }
        Some((stream_run::choose_retry(state, call, attempts)?, None))
    }

    /// Records the end of an attempt. Returns the final outcome, if it is one.
    fn record_end(&mut self, end: AttemptEnd<C>) -> Option<Opening> {
        let AttemptEnd { outcome, cache } = end;
        match outcome {
            OpenOutcome::Stream(stream) if self.start.is_continued_by(&stream) => {
                return Some(Opening::Stream(stream));
            }
            OpenOutcome::Stream(stream) => self.record_wrong_event(&stream),
            OpenOutcome::Responded(response) => {
                let may_retry =
                    response.status().is_server_error() && self.call.route.is_retryable();
                if self.start == StreamStart::Begins && !may_retry {
                    return Some(Opening::Responded(response));
                }
                self.error_response = Some(response);
            }
            OpenOutcome::Failed(failure) if failure.is_not_run() => {
                self.attempts.record_not_run(failure.is_unsent());
                if let Some(cache) = cache {
                    self.keep_cache(failure, cache);
                }
            }
            OpenOutcome::Failed(_) => {}
        }
        None
    }

    /// Keeps the cache of an attempt that did not run for the next one: another prefill would cost
    /// as much as tens of tokens. A server that rejected the request may have found the cache
    /// missing, so only one more is offered it.
    fn keep_cache(&mut self, failure: AttemptFailure, cache: CacheGuard<C>) {
        let is_offered_again = failure.is_unsent() || self.rejected_with_cache == 0;
        self.rejected_with_cache += u32::from(failure == AttemptFailure::NotRun);
        let ttl = self.call.engine_spec().handle_ttl;
        self.reusable_cache = Some(cache).filter(|cache| is_offered_again && cache.is_fresh(ttl));
    }

    /// Records that a server began `stream` with another event than the next one.
    fn record_wrong_event(&self, stream: &OpenStream) {
        let id = stream.first.as_ref().and_then(|event| event.id);
        let problem = format!("first event {id:?}, {:?}", self.start);
        let failure = AttemptFailure::Garbled;
        let (state, call) = (self.state, self.call);
        let (outcome, now) = (failure.outcome(), Instant::now());
        record_attempt(state, call, &stream.target, failure, outcome, &problem, now);
    }

    fn log_stall<F: Future>(&self, in_progress: &AttemptSet<F>) {
        for (server, age) in in_progress.silent_servers(FIRST_EVENT_TIMEOUT) {
            silence_log::log_stall(self.call, &server, 0, age);
        }
    }

    /// Records the silence of servers that are left for the one of `opening`.
    fn record_losers<F: Future>(&self, opening: &Opening, in_progress: &AttemptSet<F>) {
        if !matches!(opening, Opening::Stream(_)) {
            return;
        }
        for (server, age) in in_progress.silent_servers(FIRST_EVENT_TIMEOUT) {
            if let Some(target) = exchange::known_target(self.state, &server) {
                silence_log::record_replacement(self.state, self.call, &target, age);
            }
        }
    }
}
