//! Waits for the silent server of a stream that has begun, while another one is tried.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_lite::FutureExt;
use futures_lite::future::zip;
use umberglade_wire::client_connection::BodyError;

use super::Call;
use super::StreamEvent;
use super::answer_end::AnswerBreak;
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

/// How long the end of a stream waits until it is known whether its server had finished. Callers
/// leave after a gap of two seconds or more.
const MAX_END_WAIT: Duration = Duration::from_millis(1200);

/// The next event of a stream; `None` at its end.
pub type ReadEvent = Result<Option<StreamEvent>, BodyError>;

/// How the silence of a stream's server ended.
pub enum SilenceEnd {
    /// It has sent an event, or the end of the stream.
    WentOn(ReadEvent),
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
    Kept(ReadEvent),
    Other(Opening),
}

/// Waits for the silent server of `stream` while another one is opened, where that is allowed.
/// The first of them to send an event goes on with the stream.
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
    let read = {
        let kept = KeptStream::open();
        let opener = StreamOpener::<C>::new(state, call, attempts, start, &kept);
        let mut opening = pin!(opener.open(None));
        let kept_read = async { FirstToGoOn::Kept(stream.reader.next_event().await) };
        let replaced = async { FirstToGoOn::Other(opening.as_mut().await) };
        let read = match with_deadline(call.deadline, kept_read.or(replaced)).await {
            None => return SilenceEnd::Expired,
            Some(FirstToGoOn::Other(opening)) => {
                let next = opening.into_stream();
                return next.map_or(SilenceEnd::Failed(None), SilenceEnd::Replaced);
            }
            Some(FirstToGoOn::Kept(read)) => read,
        };
        let broken = stream_break::<C>(state, call, &read, stream).await;
        if let Some(AnswerBreak { failure, problem }) = broken {
            let recorded = async {
                record_stop(state, call, stream, failure, &problem, last_event_at).await;
                kept.end();
            };
            let ((), opening) = zip(recorded, opening).await;
            return SilenceEnd::Failed(opening.into_stream());
        }
        read
    };
    // The other servers may go on with the stream when this one fails later.
    attempts.tried.truncate(tried_before);
    state.fleet().record_response(&server, stream.target.incarnation, Instant::now());
    let silence = last_event_at.elapsed();
    silence_log::log_recovery(call, &server, relayed, silence, attempts.count());
    SilenceEnd::WentOn(read)
}

/// Returns how the server of `stream` has failed, if `read` shows that it has.
pub async fn stream_break<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Call,
    read: &ReadEvent,
    stream: &OpenStream,
) -> Option<AnswerBreak> {
    match read {
        Ok(Some(_)) => None,
        Ok(None) if !stream.reader.is_complete() => Some(AnswerBreak {
            failure: AttemptFailure::Broken,
            problem: "ended within an event".to_owned(),
        }),
        Ok(None) => {
            let until = (Instant::now() + MAX_END_WAIT).min(call.deadline);
            end_break::<C>(state, call, &stream.target, stream.is_delimited, until).await
        }
        Err(error) => Some(AnswerBreak::of_body(error)),
    }
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
