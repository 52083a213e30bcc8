//! A race of alternatives that begin one after the other.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use futures_lite::FutureExt;
use smallvec::SmallVec;

/// Runs `alternatives` until one succeeds, and returns its output: the first one at once, each
/// further one `stagger` after the one before, or as soon as all that run have failed. Returns all
/// errors, in the order in which they came, if none succeeds.
///
/// Like the connection attempts of "Happy Eyeballs" (RFC 8305).
pub async fn race_staggered<F, T, E>(
    alternatives: impl IntoIterator<Item = F>,
    stagger: Duration,
) -> Result<T, Vec<E>>
where
    F: Future<Output = Result<T, E>>,
{
    let mut waiting = alternatives.into_iter();
    let mut running: SmallVec<[Pin<Box<F>>; 3]> = SmallVec::new();
    let mut errors = Vec::new();
    loop {
        match waiting.next() {
            Some(next) => running.push(Box::pin(next)),
            None if running.is_empty() => return Err(errors),
            None => {}
        }
        let has_more = waiting.size_hint().1 != Some(0);
        let next_due = async {
            if has_more {
                smol::Timer::after(stagger).await;
            } else {
                std::future::pending::<()>().await;
            }
            None
        };
        let finished = async { Some(poll_fn(|context| poll_any(&mut running, context)).await) };
        match finished.or(next_due).await {
            Some(Ok(output)) => return Ok(output),
            Some(Err(error)) => errors.push(error),
            None => {}
        }
    }
}

/// Polls all of `running`, and removes the one whose output it returns.
fn poll_any<F: Future>(
    running: &mut SmallVec<[Pin<Box<F>>; 3]>,
    context: &mut Context<'_>,
) -> Poll<F::Output> {
    for index in 0..running.len() {
        if let Poll::Ready(output) = running[index].as_mut().poll(context) {
            drop(running.remove(index));
            return Poll::Ready(output);
        }
    }
    Poll::Pending
}
