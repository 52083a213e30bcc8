//! Client of the store, over one connection.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use snafu::ResultExt;
use umberglade_wire::keep_alive::BufferedResponse;
use umberglade_wire::keep_alive::KeepAliveClient;

use super::StoreError;
use super::store_error::DecodeSnafu;
use super::store_error::ExchangeSnafu;
use crate::codec::PlatformCodec;
use crate::model::RowBatch;
use crate::model::StoreRow;
use crate::model::StoreTable;
use crate::model::StoreVersion;

/// Timeout of a call that the store responds to at once. A response usually takes 4 ms. The timeout
/// allows for a slow store, which takes some 50 times as long; if there is no response by then, the
/// store is called again.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// How long the response to a feed call may take beyond the requested wait.
const FEED_EXTRA_TIMEOUT: Duration = Duration::from_millis(600);

/// Calls the store, one call at a time.
#[derive(Debug)]
pub struct StoreClient<C> {
    connection: KeepAliveClient,
    codec: PhantomData<C>,
}

impl<C: PlatformCodec> StoreClient<C> {
    /// Creates a client of the store at `address` without connecting.
    pub fn new(address: SocketAddr) -> Self {
        StoreClient { connection: KeepAliveClient::new(address.to_string()), codec: PhantomData }
    }

    /// Returns all rows of `table` and their version: that of the first page, so that changes made
    /// during the listing come with the feed.
    pub async fn list(
        &mut self,
        table: StoreTable,
    ) -> Result<(Vec<StoreRow>, StoreVersion), StoreError> {
        let mut rows: Vec<StoreRow> = Vec::new();
        let mut version = None;
        loop {
            let after = rows.last().map(|row| row.key.as_str());
            let path = C::list_path(table, after);
            let batch = self.read("store listing", &path, CALL_TIMEOUT).await?;
            let version = *version.get_or_insert(batch.version);
            let is_empty = batch.rows.is_empty();
            rows.extend(batch.rows);
            if !batch.has_more || is_empty {
                return Ok((rows, version));
            }
        }
    }

    /// Returns the changes of `table` after `version`; waits up to `wait` for the first.
    pub async fn feed(
        &mut self,
        table: StoreTable,
        version: StoreVersion,
        wait: Duration,
    ) -> Result<RowBatch, StoreError> {
        let path = C::feed_path(table, version, wait.as_millis() as u64);
        self.read("store feed", &path, wait + FEED_EXTRA_TIMEOUT).await
    }

    /// Writes one of this gateway's own rows.
    pub async fn put(
        &mut self,
        table: StoreTable,
        key: &str,
        value: &[u8],
    ) -> Result<(), StoreError> {
        let (path, body) = C::put_request(table, key, value);
        metrics::counter!("umberglade_store_calls_total", "call" => "put").increment(1);
        let response = self
            .connection
            .call("store write", Method::POST, &path, body, CALL_TIMEOUT)
            .await
            .context(ExchangeSnafu)?;
        check_status(&response)
    }

    /// Writes one row if it still has `expected_version`. Returns the store's version after the
    /// write, or `None` if another writer has changed the row.
    pub async fn claim(
        &mut self,
        table: StoreTable,
        key: &str,
        value: &[u8],
        expected_version: StoreVersion,
    ) -> Result<Option<StoreVersion>, StoreError> {
        let call = C::claim_request(table, key, value, expected_version);
        self.write_conditionally("claim", "store claim", call).await
    }

    /// Removes one row if it still has `expected_version`. Returns false if another writer has
    /// changed or removed it.
    pub async fn remove(
        &mut self,
        table: StoreTable,
        key: &str,
        expected_version: StoreVersion,
    ) -> Result<bool, StoreError> {
        let call = C::remove_request(table, key, expected_version);
        let written = self.write_conditionally("remove", "store removal", call).await?;
        Ok(written.is_some())
    }

    /// Makes a conditional write. Returns the store's version after the write, or `None` if the
    /// condition does not hold.
    async fn write_conditionally(
        &mut self,
        kind: &'static str,
        step: &'static str,
        (path, body): (String, Bytes),
    ) -> Result<Option<StoreVersion>, StoreError> {
        metrics::counter!("umberglade_store_calls_total", "call" => kind).increment(1);
        let response = self
            .connection
            .call(step, Method::POST, &path, body, CALL_TIMEOUT)
            .await
            .context(ExchangeSnafu)?;
        if response.status == StatusCode::PRECONDITION_FAILED {
            return Ok(None);
        }
        check_status(&response)?;
        C::written_version(&response.body).context(DecodeSnafu).map(Some)
    }

    /// Returns the rows of `table` at one point in time. They must fit on one page of the listing.
    pub async fn read_small_table(&mut self, table: StoreTable) -> Result<RowBatch, StoreError> {
        self.read("store look", &C::list_path(table, None), CALL_TIMEOUT).await
    }

    async fn read(
        &mut self,
        step: &'static str,
        path: &str,
        timeout: Duration,
    ) -> Result<RowBatch, StoreError> {
        metrics::counter!("umberglade_store_calls_total", "call" => step).increment(1);
        let response = self.connection.get(step, path, timeout).await.context(ExchangeSnafu)?;
        check_status(&response)?;
        C::row_batch(&response.body).context(DecodeSnafu)
    }
}

fn check_status(response: &BufferedResponse) -> Result<(), StoreError> {
    if response.status.is_success() {
        return Ok(());
    }
    Err(StoreError::Status { status: response.status })
}
