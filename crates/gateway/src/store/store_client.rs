//! One connection to the store.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use snafu::ResultExt;
use umberglade_wire::keep_alive::BufferedResponse;
use umberglade_wire::keep_alive::KeepAliveClient;

use super::FollowError;
use super::follow_error::DecodeSnafu;
use super::follow_error::ExchangeSnafu;
use crate::codec::PlatformCodec;
use crate::model::RowBatch;
use crate::model::StoreRow;
use crate::model::StoreTable;
use crate::model::StoreVersion;

/// How long a call that the store answers at once may take: the store's
/// usual answer takes 4 ms; a store that is merely slow (some 50 times that)
/// is still waited for, one that answers nothing is asked again.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Beyond the wait asked for, how long a feed's answer may take.
const FEED_MARGIN: Duration = Duration::from_millis(600);

/// Speaks to the store, one call at a time.
#[derive(Debug)]
pub struct StoreClient<C> {
    kept: KeepAliveClient,
    codec: PhantomData<C>,
}

impl<C: PlatformCodec> StoreClient<C> {
    /// A client of the store at `address`, not connected yet.
    pub fn new(address: SocketAddr) -> Self {
        StoreClient { kept: KeepAliveClient::new(address.to_string()), codec: PhantomData }
    }

    /// All rows of `table`, and the version they are as of: that of the
    /// first page, so that changes made meanwhile come with the feed.
    pub async fn list(
        &mut self,
        table: StoreTable,
    ) -> Result<(Vec<StoreRow>, StoreVersion), FollowError> {
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

    /// Changes of `table` beyond `version`; waits for one up to `wait`.
    pub async fn feed(
        &mut self,
        table: StoreTable,
        version: StoreVersion,
        wait: Duration,
    ) -> Result<RowBatch, FollowError> {
        let path = C::feed_path(table, version, wait.as_millis() as u64);
        self.read("store feed", &path, wait + FEED_MARGIN).await
    }

    /// Writes one row of our own.
    pub async fn put(
        &mut self,
        table: StoreTable,
        key: &str,
        value: &[u8],
    ) -> Result<(), FollowError> {
        let (path, body) = C::put_call(table, key, value);
        metrics::counter!("umberglade_store_calls_total", "call" => "put").increment(1);
        let reply = self
            .kept
            .call("store write", Method::POST, &path, body, CALL_TIMEOUT)
            .await
            .context(ExchangeSnafu)?;
        check_status(&reply)
    }

    /// Writes one row of our own if it still has version `known`; the version
    /// by then, or `None` when another has written it.
    pub async fn claim(
        &mut self,
        table: StoreTable,
        key: &str,
        value: &[u8],
        known: StoreVersion,
    ) -> Result<Option<StoreVersion>, FollowError> {
        let call = C::claim_call(table, key, value, known);
        self.write_if("claim", "store claim", call).await
    }

    /// Removes one row of our own if it still has version `known`; false when
    /// another has written or removed it.
    pub async fn remove(
        &mut self,
        table: StoreTable,
        key: &str,
        known: StoreVersion,
    ) -> Result<bool, FollowError> {
        let call = C::remove_call(table, key, known);
        let written = self.write_if("remove", "store removal", call).await?;
        Ok(written.is_some())
    }

    /// Makes a write under a condition; the version by then, or `None` when the
    /// condition does not hold.
    async fn write_if(
        &mut self,
        kind: &'static str,
        step: &'static str,
        (path, body): (String, Bytes),
    ) -> Result<Option<StoreVersion>, FollowError> {
        metrics::counter!("umberglade_store_calls_total", "call" => kind).increment(1);
        let reply = self
            .kept
            .call(step, Method::POST, &path, body, CALL_TIMEOUT)
            .await
            .context(ExchangeSnafu)?;
        if reply.status == StatusCode::PRECONDITION_FAILED {
            return Ok(None);
        }
        check_status(&reply)?;
        C::written_version(&reply.body).context(DecodeSnafu).map(Some)
    }

    /// The rows of `table` as of one moment; for tables of a few rows.
    pub async fn look(&mut self, table: StoreTable) -> Result<RowBatch, FollowError> {
        self.read("store look", &C::list_path(table, None), CALL_TIMEOUT).await
    }

    async fn read(
        &mut self,
        step: &'static str,
        path: &str,
        timeout: Duration,
    ) -> Result<RowBatch, FollowError> {
        metrics::counter!("umberglade_store_calls_total", "call" => step).increment(1);
        let reply = self.kept.get(step, path, timeout).await.context(ExchangeSnafu)?;
        check_status(&reply)?;
        C::row_batch(&reply.body).context(DecodeSnafu)
    }
}

fn check_status(reply: &BufferedResponse) -> Result<(), FollowError> {
    if reply.status.is_success() {
        return Ok(());
    }
    Err(FollowError::Status { status: reply.status })
}
