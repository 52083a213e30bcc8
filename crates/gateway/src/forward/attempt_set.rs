//! Attempts at one stream that are in progress at the same time.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

use crate::model::ServerKey;

/// One attempt in progress.
struct RunningAttempt<F> {
    server: ServerKey,
    started_at: Instant,
    future: Pin<Box<F>>,
}

/// The attempts in progress, oldest first. Dropping one ends it at its server.
pub struct AttemptSet<F> {
    running: SmallVec<[RunningAttempt<F>; 2]>,
}

impl<F: Future> AttemptSet<F> {
    pub fn new() -> Self {
        AttemptSet { running: SmallVec::new() }
    }

    /// Starts `future`, an attempt at `server`.
    pub fn push(&mut self, server: ServerKey, future: F) {
        let future = Box::pin(future);
        self.running.push(RunningAttempt { server, started_at: Instant::now(), future });
    }

    pub fn len(&self) -> usize {
        self.running.len()
    }

    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns the servers of attempts in progress for at least `silence`, with how long.
    pub fn silent_servers(&self, silence: Duration) -> SmallVec<[(ServerKey, Duration); 2]> {
        let ages = self.running.iter().map(|one| (one.server.clone(), one.started_at.elapsed()));
        ages.filter(|(_, age)| *age >= silence).collect()
    }

    /// Returns the output of the next attempt to end, the oldest if several have; waits forever
    /// while there is none. May be cancelled without effect on the attempts.
    pub async fn next_end(&mut self) -> F::Output {
        let (index, output) = poll_fn(|context| {
            for (index, attempt) in self.running.iter_mut().enumerate() {
                if let Poll::Ready(output) = attempt.future.as_mut().poll(context) {
                    return Poll::Ready((index, output));
                }
            }
            Poll::Pending
        })
        .await;
        self.running.remove(index);
        output
    }
}
