//! Logs and counts panics, and keeps one from ending more than its own request or task.

use std::any::Any;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::panic::PanicHookInfo;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use umberglade_wire::pool;

use crate::events;
use crate::state::GatewayState;

/// Maximum length of a logged panic message in characters.
const MAX_MESSAGE_CHARS: usize = 400;
/// Delay before a background task that panicked starts again: bounds the log and the work if it
/// panics each time.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// The message of a panic, shortened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PanicMessage(String);

impl PanicMessage {
    fn of(payload: &(dyn Any + Send)) -> Self {
        let text = payload.downcast_ref::<&str>().copied();
        let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
        let text = text.unwrap_or("not a text");
        PanicMessage(text.chars().take(MAX_MESSAGE_CHARS).collect())
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Makes each panic of the process a log line and a count.
pub fn install_hook() {
    std::panic::set_hook(Box::new(log_panic));
}

fn log_panic(info: &PanicHookInfo<'_>) {
    metrics::counter!("umberglade_panics_total").increment(1);
    let thread = std::thread::current();
    tracing::error!(
        event = events::PANICKED,
        problem = PanicMessage::of(info.payload()).as_str(),
        location = info.location().map(|location| location.to_string()),
        thread = thread.name(),
        "panic"
    );
}

/// Returns the output of `future`, or the message with which it panicked.
pub async fn catch<F: Future>(future: F) -> Result<F::Output, PanicMessage> {
    let caught = AssertUnwindSafe(future).catch_unwind().await;
    caught.map_err(|payload| PanicMessage::of(&*payload))
}

/// Runs the background task that `start` returns until it ends; starts it again if it panics.
/// Calls `start` for the first time before it returns.
pub fn spawn_restarted<F>(
    name: &'static str,
    state: &Arc<GatewayState>,
    start: impl Fn(Arc<GatewayState>) -> F + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let state = Arc::clone(state);
    // Boxed, since large futures that are moved from call to call fill the stack.
    let mut task = Box::pin(start(Arc::clone(&state)));
    pool::spawn(async move {
        while let Err(message) = catch(task).await {
            tracing::error!(
                event = events::TASK_RESTARTED,
                task = name,
                problem = message.as_str(),
                "a background task panicked; starting it again"
            );
            smol::Timer::after(RESTART_DELAY).await;
            task = Box::pin(start(Arc::clone(&state)));
        }
    });
}
