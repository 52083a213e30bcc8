//! Client of the store, over one connection.

use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use snafu::ResultExt;
use umberglade_wire::keep_alive::BufferedResponse;
use umberglade_wire::keep_alive::KeepAliveClient;

use super::StoreEras;
use super::StoreError;
use super::store_error::DecodeSnafu;
use super::store_error::ExchangeSnafu;
use crate::codec::PlatformCodec;
use crate::model::RowBatch;
use crate::model::StoreRow;
use crate::model::StoreStamp;
use crate::model::StoreTable;
use crate::state::GatewayState;

/// Timeout of calls for which a request or an order to an engine waits. A response usually takes
/// 4 ms.
const PROMPT_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout of calls for which nobody waits: longer than a slow store takes, which would perform a
/// call that was given up nevertheless, and the repeated one as well.
const BACKGROUND_TIMEOUT: Duration = Duration::from_secs(8);

/// Makes single calls to the store, one at a time.
#[derive(Debug)]
pub struct StoreClient<C> {
    connection: KeepAliveClient,
    eras: Arc<StoreEras>,
    timeout: Duration,
    codec: PhantomData<C>,
}

impl<C: PlatformCodec> StoreClient<C> {
    /// Creates a client of the store of `state` without connecting.
    pub fn new(state: &GatewayState) -> Self {
        let connection = KeepAliveClient::new(state.settings.store.to_string());
        let eras = Arc::clone(&state.store_eras);
        StoreClient { connection, eras, timeout: PROMPT_TIMEOUT, codec: PhantomData }
    }

    /// Creates a client for calls for which nobody waits.
    pub fn for_background(state: &GatewayState) -> Self {
        StoreClient::with_timeout(state, BACKGROUND_TIMEOUT)
    }

    /// Creates a client whose calls take up to `timeout`.
    pub fn with_timeout(state: &GatewayState, timeout: Duration) -> Self {
        StoreClient { timeout, ..StoreClient::new(state) }
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
            .call("store write", Method::POST, &path, body, self.timeout)
            .await
            .context(ExchangeSnafu)?;
        check_status(&response)
    }

    /// Writes one row if it still has the stamp `expected`. Returns its stamp after the write, or
    /// `None` if another writer has changed the row, or if the store has come back from a copy,
    /// which says nothing of the row.
    pub async fn claim(
        &mut self,
        table: StoreTable,
        key: &str,
        value: &[u8],
        expected: StoreStamp,
    ) -> Result<Option<StoreStamp>, StoreError> {
        let call = C::claim_request(table, key, value, expected.version());
        self.write_conditionally("claim", "store claim", expected, call).await
    }

    /// Removes one row if it still has the stamp `expected`. Returns false if another writer has
    /// changed or removed it, or if the store has come back from a copy.
    pub async fn remove(
        &mut self,
        table: StoreTable,
        key: &str,
        expected: StoreStamp,
    ) -> Result<bool, StoreError> {
        let call = C::remove_request(table, key, expected.version());
        let written = self.write_conditionally("remove", "store removal", expected, call).await?;
        Ok(written.is_some())
    }

    /// Makes a conditional write. Returns the row's stamp after the write, or `None` if the
    /// condition does not hold: a number of an earlier era is no condition.
    async fn write_conditionally(
        &mut self,
        kind: &'static str,
        step: &'static str,
        expected: StoreStamp,
        (path, body): (String, Bytes),
    ) -> Result<Option<StoreStamp>, StoreError> {
        if !self.eras.is_current(expected) {
            return Ok(None);
        }
        metrics::counter!("umberglade_store_calls_total", "call" => kind).increment(1);
        let response = self
            .connection
            .call(step, Method::POST, &path, body, self.timeout)
            .await
            .context(ExchangeSnafu)?;
        let era = C::store_era(&response.headers);
        self.eras.observe(era, None);
        let is_same_era = !expected.exists() || era == expected.seen_era();
        if response.status == StatusCode::PRECONDITION_FAILED || !is_same_era {
            return Ok(None);
        }
        check_status(&response)?;
        let version = C::written_version(&response.body).context(DecodeSnafu)?;
        Ok(Some(StoreStamp::new(era, version)))
    }

    /// Returns the rows of `table` at one point in time. They must fit on one page of the listing.
    pub async fn read_small_table(&mut self, table: StoreTable) -> Result<RowBatch, StoreError> {
        self.read_rows(C::list_path(table, None)).await
    }

    /// Returns the first rows of `table`, `limit` at most.
    pub async fn read_first_rows(
        &mut self,
        table: StoreTable,
        limit: u32,
    ) -> Result<RowBatch, StoreError> {
        self.read_rows(C::first_rows_path(table, limit)).await
    }

    /// Returns all rows of `table`, page by page: rows that change meanwhile may be of any moment.
    pub async fn read_whole_table(
        &mut self,
        table: StoreTable,
    ) -> Result<Vec<StoreRow>, StoreError> {
        let mut rows: Vec<StoreRow> = Vec::new();
        loop {
            let after = rows.last().map(|row| row.key.as_str());
            let batch = self.read_rows(C::list_path(table, after)).await?;
            let is_last = !batch.has_more || batch.rows.is_empty();
            rows.extend(batch.rows);
            if is_last {
                return Ok(rows);
            }
        }
    }

    async fn read_rows(&mut self, path: String) -> Result<RowBatch, StoreError> {
        let step = "store look";
        metrics::counter!("umberglade_store_calls_total", "call" => step).increment(1);
        let response =
            self.connection.get(step, &path, self.timeout).await.context(ExchangeSnafu)?;
        decode_batch::<C>(&self.eras, &response)
    }
}

/// Decodes the rows of a response, and attributes them to the eras in which they were written.
pub(super) fn decode_batch<C: PlatformCodec>(
    eras: &StoreEras,
    response: &BufferedResponse,
) -> Result<RowBatch, StoreError> {
    let era = C::store_era(&response.headers);
    if let Err(error) = check_status(response) {
        eras.observe(era, None);
        return Err(error);
    }
    let mut batch = C::row_batch(&response.body, era).context(DecodeSnafu)?;
    eras.observe(era, Some(batch.through.version()));
    eras.stamp_rows(&mut batch);
    Ok(batch)
}

fn check_status(response: &BufferedResponse) -> Result<(), StoreError> {
    if response.status.is_success() {
        return Ok(());
    }
    Err(StoreError::Status { status: response.status })
}
