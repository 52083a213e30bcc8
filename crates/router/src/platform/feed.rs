//! The platform's feeds: long-polling calls, one open at a time, that return as soon as something
//! changes. A change costs one read, with no polling in between.

use std::time::Duration;

use http::StatusCode;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use umberglade_wire::WireError;
use umberglade_wire::error::DecodeSnafu;
use umberglade_wire::keep_alive::BufferedResponse;
use umberglade_wire::keep_alive::KeepAliveClient;
use umberglade_wire::platform::FeedPage;
use umberglade_wire::platform::InstanceList;

/// How long the client waits beyond the requested wait before it treats the connection as dead.
const FEED_SLACK: Duration = Duration::from_secs(1);

/// The feed of changed rows of one table.
#[derive(Debug)]
pub struct TableFeed {
    client: KeepAliveClient,
    table: &'static str,
    /// The generation last read; 0 requests all rows.
    generation: u64,
}

impl TableFeed {
    /// Creates a feed of `table` from its beginning, at the platform at `addr`.
    pub fn new(addr: impl Into<String>, table: &'static str) -> Self {
        TableFeed { client: KeepAliveClient::new(addr), table, generation: 0 }
    }

    /// Returns the next changed rows, or none after `wait` without a change.
    ///
    /// After a failover to an older copy the store does not know the generation and responds 410,
    /// and the feed starts over. Rows are then delivered again, including older ones, so the reader
    /// must ignore versions older than those it holds.
    pub async fn next(&mut self, wait: Duration) -> Result<FeedPage, WireError> {
        let path = format!(
            "/v1/feed/{}?after={}&wait_ms={}",
            self.table,
            self.generation,
            wait.as_millis()
        );
        let reply = self.client.get("follow table", &path, wait + FEED_SLACK).await?;
        if reply.status == StatusCode::GONE {
            self.generation = 0;
            return Ok(FeedPage::default());
        }
        let page: FeedPage = parse("follow table", self.client.peer(), reply)?;
        self.generation = page.generation;
        Ok(page)
    }
}

/// The feed of changes of the instance list.
#[derive(Debug)]
pub struct InstanceFeed {
    client: KeepAliveClient,
    generation: u64,
}

impl InstanceFeed {
    /// Creates a feed of the instance list at the platform at `addr`.
    pub fn new(addr: impl Into<String>) -> Self {
        InstanceFeed { client: KeepAliveClient::new(addr), generation: 0 }
    }

    /// Returns the next changes, or the full list if the platform does not know the generation.
    /// The result is empty after `wait` without a change.
    pub async fn next(&mut self, wait: Duration) -> Result<InstanceList, WireError> {
        let path = format!("/v1/instances?after={}&wait_ms={}", self.generation, wait.as_millis());
        let reply = self.client.get("follow instances", &path, wait + FEED_SLACK).await?;
        let list: InstanceList = parse("follow instances", self.client.peer(), reply)?;
        self.generation = list.generation;
        Ok(list)
    }
}

fn parse<T: DeserializeOwned>(
    step: &'static str,
    peer: &str,
    reply: BufferedResponse,
) -> Result<T, WireError> {
    if !reply.status.is_success() {
        return Err(WireError::Status {
            step,
            peer: peer.to_owned(),
            status: reply.status.as_u16(),
            retry_after_s: None,
            body: String::from_utf8_lossy(&reply.body).into_owned(),
        });
    }
    serde_json::from_slice(&reply.body).context(DecodeSnafu { step, peer })
}
