//! The query parameters of the platform's calls.

use std::time::Duration;

use percent_encoding::percent_decode_str;

/// Longest a feed is held open while nothing changes.
const MAX_FEED_WAIT: Duration = Duration::from_secs(30);

/// The query parameters a call may carry.
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
    /// Parses `a=1&b=2`; unknown or malformed parameters are ignored.
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

    /// How long a feed may be held open.
    pub fn wait(&self) -> Duration {
        Duration::from_millis(self.wait_ms).min(MAX_FEED_WAIT)
    }
}
