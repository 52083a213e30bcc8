//! The query parameters of calls to the platform stand-in.

use std::time::Duration;

use percent_encoding::percent_decode_str;

/// The longest time that a long poll waits for a change.
const MAX_FEED_WAIT: Duration = Duration::from_secs(30);

/// The query parameters of one call; absent ones have their default.
#[derive(Debug, Default)]
pub(super) struct CallQuery {
    pub after: u64,
    pub version: u64,
    pub from: String,
    pub limit: Option<usize>,
    pub wait_ms: u64,
    pub prefix: String,
}

impl CallQuery {
    /// Parses a query such as `a=1&b=2`. Unknown and malformed parameters are ignored.
    pub fn parse(text: &str) -> CallQuery {
        let mut query = CallQuery::default();
        for (name, value) in text.split('&').filter_map(|pair| pair.split_once('=')) {
            match name {
                "after" => query.after = value.parse().unwrap_or(0),
                "version" => query.version = value.parse().unwrap_or(0),
                "from" => query.from = percent_decode_str(value).decode_utf8_lossy().into(),
                "limit" => query.limit = value.parse().ok(),
                "wait_ms" => query.wait_ms = value.parse().unwrap_or(0),
                "prefix" => query.prefix = percent_decode_str(value).decode_utf8_lossy().into(),
                _ => {}
            }
        }
        query
    }

    /// Returns how long a long poll may wait: `wait_ms`, at most [`MAX_FEED_WAIT`].
    pub fn wait(&self) -> Duration {
        Duration::from_millis(self.wait_ms).min(MAX_FEED_WAIT)
    }
}
