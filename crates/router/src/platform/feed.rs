//! Feeds of the platform: one open call at a time that answers as soon as
//! something changed, so a change costs one read and no polling rate.

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

/// What the client allows beyond the wait asked for before it takes the
/// connection for dead.
const FEED_SLACK: Duration = Duration::from_secs(1);

/// The changed rows of one table.
#[derive(Debug)]
pub struct TableFeed {
    client: KeepAliveClient,
    table: &'static str,
    /// The generation read last; 0 asks for every row.
    generation: u64,
}

impl TableFeed {
    /// A feed of `table` at the platform at `addr`, from its beginning.
    pub fn new(addr: impl Into<String>, table: &'static str) -> Self {
        TableFeed { client: KeepAliveClient::new(addr), table, generation: 0 }
    }

    /// The next changed rows; none after `wait` without a change.
    ///
    /// Guards against a store that failed over to an older copy: it does
    /// not know our generation (410) and the feed begins anew. Rows then
    /// come again, older ones too; the reader keeps to the versions it
    /// holds.
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

/// The changes of the instance list.
#[derive(Debug)]
pub struct InstanceFeed {
    client: KeepAliveClient,
    generation: u64,
}

impl InstanceFeed {
    /// A feed of the instance list at the platform at `addr`.
    pub fn new(addr: impl Into<String>) -> Self {
        InstanceFeed { client: KeepAliveClient::new(addr), generation: 0 }
    }

    /// The next changes, or the whole list when the platform does not know
    /// our generation; empty after `wait` without a change.
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
