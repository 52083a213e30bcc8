//! A stream whose silent server is kept while another one is tried.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use event_listener::Event;

/// Whether the silent server's stream is still open.
#[derive(Debug, Default)]
pub struct KeptStream {
    is_open: AtomicBool,
    ended: Event,
}

impl KeptStream {
    /// Returns the state of a stream that is open.
    pub fn open() -> Self {
        KeptStream { is_open: AtomicBool::new(true), ended: Event::new() }
    }

    pub fn is_open(&self) -> bool {
        self.is_open.load(Ordering::Acquire)
    }

    /// Records that the stream has failed: only another server can go on with it.
    pub fn end(&self) {
        self.is_open.store(false, Ordering::Release);
        self.ended.notify(usize::MAX);
    }

    /// Waits for the end of a stream that is open; forever if it has ended.
    pub async fn wait_end(&self) {
        let listener = self.ended.listen();
        if self.is_open() {
            listener.await;
        } else {
            std::future::pending::<()>().await;
        }
    }
}
