//! Waits for the silent server of a stream that has begun, while another one is tried.

use std::pin::pin;
use std::sync::Arc;
use std::time::Instant;

use futures_lite::FutureExt;
use futures_lite::future::zip;

use super::Call;
use super::StreamEvent;
use super::answer_end::AnswerBreak;
use super::answer_end::AnswerEnd;
use super::answer_end::end_break;
use super::attempts::Attempts;
use super::exchange;
use super::exchange::AttemptFailure;
use super::kept_stream::KeptStream;
use super::silence_log;
use super::stream_open::OpenStream;
use super::stream_opener::Opening;
use super::stream_opener::StreamOpener;
use super::stream_opener::StreamStart;
use crate::cluster::BrokenRun;
use crate::codec::PlatformCodec;
use crate::paths::request_check;
use crate::state::GatewayState;
use crate::timing::with_deadline;

/// What a stream's server has sent next.
#[derive(Debug)]
pub enum StreamStep {
    Event(StreamEvent),
    /// It had finished the stream.
    Ended,
    /// The stream has failed.
    Broken(AnswerBreak),
}

/// How the silence of a stream's server ended.
pub enum SilenceEnd {
    /// It has sent an event, or is known to have finished the stream.
    WentOn(StreamStep),
    /// Another server has begun to go on with the stream.
    Replaced(Box<OpenStream>),
    /// It failed, which is recorded; another server has gone on if one may.
    Failed(Option<Box<OpenStream>>),
    /// The caller's time is over.
    Expired,
}

/// What has been relayed of a stream.
#[derive(Debug, Clone, Copy)]
pub struct StreamPosition {
    /// The id of the last relayed event.
    pub last_id: Option<u64>,
    pub relayed: u64,
    pub last_event_at: Instant,
}

/// Which server went on first.
enum FirstToGoOn {
    /// The one that was silent.
    Kept(StreamStep),
    Other(Opening),
}

/// Waits for the silent server of `stream` while another one is opened, where that is allowed.
/// The first of them to send an event goes on with the stream. A server is also silent while it is
/// not known whether it had finished a stream that has ended.
pub async fn wait_or_replace<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Call,
    attempts: &mut Attempts,
    stream: &mut OpenStream,
    position: StreamPosition,
) -> SilenceEnd {
    let StreamPosition { last_id, relayed, last_event_at } = position;
    let server = stream.target.server.clone();
    request_check(state, &stream.target);
    silence_log::log_stall(call, &server, relayed, last_event_at.elapsed());
    let start = StreamStart::Continues { last_id, relayed };
    let tried_before = attempts.tried.len();
    let step = {
        let kept = KeptStream::open();
        let opener = StreamOpener::<C>::new(state, call, attempts, start, &kept);
        let mut opening = pin!(opener.open(None));
        let kept_step = async { FirstToGoOn::Kept(next_step::<C>(state, call, stream).await) };
        let replaced = async { FirstToGoOn::Other(opening.as_mut().await) };
        let step = match with_deadline(call.deadline, kept_step.or(replaced)).await {
            None => return SilenceEnd::Expired,
            Some(FirstToGoOn::Other(opening)) => {
                let next = opening.into_stream();
                return next.map_or(SilenceEnd::Failed(None), SilenceEnd::Replaced);
            }
            Some(FirstToGoOn::Kept(step)) => step,
        };
        if let StreamStep::Broken(AnswerBreak { failure, problem }) = step {
            let recorded = async {
                record_stop(state, call, stream, failure, &problem, last_event_at).await;
                kept.end();
            };
            let ((), opening) = zip(recorded, opening).await;
            return SilenceEnd::Failed(opening.into_stream());
        }
        step
    };
    // The other servers may go on with the stream when this one fails later.
    attempts.tried.truncate(tried_before);
    state.fleet().record_response(&server, stream.target.incarnation, Instant::now());
    let silence = last_event_at.elapsed();
    silence_log::log_recovery(call, &server, relayed, silence, attempts.count());
    SilenceEnd::WentOn(step)
}

/// Waits for what the server of `stream` sends next. The end of a stream that is not delimited counts
/// once it is known whether its server had finished: not before, however long that server is silent.
///
/// May be called again after it was dropped.
pub async fn next_step<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Call,
    stream: &mut OpenStream,
) -> StreamStep {
    match stream.reader.next_event().await {
        Ok(Some(event)) => return StreamStep::Event(event),
        Ok(None) if !stream.reader.is_complete() => {
            return StreamStep::Broken(AnswerBreak {
                failure: AttemptFailure::Broken,
                problem: "ended within an event".to_owned(),
            });
        }
        Ok(None) => {}
        Err(error) => return StreamStep::Broken(AnswerBreak::of_body(&error)),
    }
    let ended_at = *stream.ended_at.get_or_insert_with(Instant::now);
    let end = AnswerEnd { is_delimited: stream.is_delimited, ended_at };
    let broken = end_break::<C>(state, call, &stream.target, end, call.deadline).await;
    broken.map_or(StreamStep::Ended, StreamStep::Broken)
}

/// Records that the server of `stream`, whose last event was relayed at `last_event_at`, has failed.
pub async fn record_stop(
    state: &Arc<GatewayState>,
    call: &Call,
    stream: &OpenStream,
    failure: AttemptFailure,
    problem: &str,
    last_event_at: Instant,
) {
    let since_last_event = last_event_at.elapsed();
    let run = BrokenRun {
        sent_at: stream.sent_at,
        duration: stream.load_guard.age().saturating_sub(since_last_event),
        sent_events_for: stream.first_event_at.elapsed().saturating_sub(since_last_event),
    };
    let target = &stream.target;
    exchange::record_midstream_failure(state, call, target, failure, problem, run).await;
}
