//! Keeps a panic from ending more than the request in whose handling it happens.

use std::any::Any;
use std::panic::AssertUnwindSafe;

use futures_lite::FutureExt;

/// Maximum length of a panic message in characters.
const MAX_MESSAGE_CHARS: usize = 400;

/// Returns the output of `future`, or the message with which it panicked, shortened.
pub async fn catch<F: Future>(future: F) -> Result<F::Output, String> {
    let caught = AssertUnwindSafe(future).catch_unwind().await;
    caught.map_err(|payload| panic_message(&*payload))
}

fn panic_message(payload: &(dyn Any + Send)) -> String {
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("not a text").chars().take(MAX_MESSAGE_CHARS).collect()
}
