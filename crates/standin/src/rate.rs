//! A fixed-window rate limit, with which a stand-in rejects calls over its published rate.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

const WINDOW: Duration = Duration::from_secs(1);

/// Admits at most `per_second` calls in each one-second window.
#[derive(Debug)]
pub struct RateWindow {
    per_second: u32,
    /// The start of the current window and the number of calls admitted in it.
    window: Mutex<(Instant, u32)>,
}

impl RateWindow {
    /// Creates a limit of `per_second` calls per second.
    pub fn new(per_second: u32) -> Self {
        RateWindow { per_second, window: Mutex::new((Instant::now(), 0)) }
    }

    /// Counts one more call and returns true, or returns false when the current window is full.
    pub fn admit(&self) -> bool {
        let mut window = self.window.lock().expect("rate window lock");
        let now = Instant::now();
        if now.duration_since(window.0) >= WINDOW {
            *window = (now, 0);
        }
        if window.1 >= self.per_second {
            return false;
        }
        window.1 += 1;
        true
    }
}
