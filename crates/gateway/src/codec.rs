//! Interface between the gateway and a platform's names, formats and calls.

use std::time::SystemTime;

use bytes::Bytes;
use http::HeaderMap;
use snafu::Snafu;

use crate::model::AttemptSpec;
use crate::model::CallerIdentity;
use crate::model::EngineReport;
use crate::model::PrefillResult;
use crate::model::RequestHead;
use crate::model::ResponseHead;
use crate::model::RouteTable;
use crate::model::RowBatch;
use crate::model::ServerEntry;
use crate::model::StageOrder;
use crate::model::StoreEra;
use crate::model::StoreTable;
use crate::model::StoreVersion;

/// Reason why a message of the platform could not be decoded.
#[derive(Debug, Snafu)]
#[snafu(display("{what}: {problem}"))]
#[snafu(visibility(pub))]
pub struct CodecError {
    /// The message, and its field if known.
    pub what: String,
    pub problem: String,
}

/// Translates the names, formats and calls of a platform, without decisions or state.
///
/// The `platform/` package implements it. The gateway takes the implementation as a generic
/// parameter, so that the request path needs no `dyn`.
pub trait PlatformCodec: Send + Sync + 'static {
    /// Path at which the load balancer checks whether this instance accepts requests.
    const READY_PATH: &'static str;
    /// Key of the row of [`StoreTable::Configuration`] that holds the configuration.
    const CONFIGURATION_KEY: &'static str;
    /// Header that names the only server a request is meant for.
    const TARGET_SERVER_HEADER: &'static str;

    /// Decodes a caller's request head.
    fn request_head(headers: &HeaderMap) -> RequestHead;

    /// Returns the headers with which a caller's request is sent to a server: the caller's, without
    /// hop-by-hop headers and those that only the gateway may set, plus those that follow from
    /// `attempt`.
    fn upstream_headers(headers: &HeaderMap, attempt: &AttemptSpec) -> HeaderMap;

    /// Sets the headers that identify the caller to servers, whatever the caller sent in them, and
    /// removes its key if organisations hold keys.
    fn set_caller_headers(headers: &mut HeaderMap, caller: &CallerIdentity);

    /// Decodes the head of a backend server's response.
    fn response_head(headers: &HeaderMap) -> ResponseHead;

    /// Returns the headers of a response for the caller, without hop-by-hop headers.
    fn response_headers(headers: &HeaderMap) -> HeaderMap;

    /// Decodes the body of a prefill server's response.
    fn prefill_result(body: &[u8]) -> Result<PrefillResult, CodecError>;

    /// Returns the path (`DELETE`) that makes a prefill server release `handle`.
    fn release_path(handle: &str) -> String;

    /// Returns the path (`GET`) that lists `table` from `after` (exclusive).
    fn list_path(table: StoreTable, after: Option<&str>) -> String;

    /// Returns the path (`GET`) that lists the first rows of `table`, `limit` at most.
    fn first_rows_path(table: StoreTable, limit: u32) -> String;

    /// Returns the path (`GET`) that waits for changes of `table` after `version`.
    fn feed_path(table: StoreTable, version: StoreVersion, wait_ms: u64) -> String;

    /// Decodes the response to a listing or a feed call that the store made in `era`.
    fn row_batch(body: &[u8], era: StoreEra) -> Result<RowBatch, CodecError>;

    /// Returns the era that the store states in the head of each response; 0 if it states none.
    fn store_era(headers: &HeaderMap) -> StoreEra;

    /// Returns the path (`POST`) and body that write one of the gateway's own rows unconditionally.
    fn put_request(table: StoreTable, key: &str, value: &[u8]) -> (String, Bytes);

    /// Returns the path (`POST`) and body that write one row if it still has `expected_version`; 0
    /// if the row must not exist.
    fn claim_request(
        table: StoreTable,
        key: &str,
        value: &[u8],
        expected_version: StoreVersion,
    ) -> (String, Bytes);

    /// Returns the path (`POST`) and body that remove one row if it still has `expected_version`.
    fn remove_request(
        table: StoreTable,
        key: &str,
        expected_version: StoreVersion,
    ) -> (String, Bytes);

    /// Decodes the response to a successful write: the store's version after it.
    fn written_version(body: &[u8]) -> Result<StoreVersion, CodecError>;

    /// Path (`GET`) of an engine's report about itself.
    const REPORT_PATH: &'static str;

    /// Decodes an engine's report.
    fn engine_report(body: &[u8]) -> Result<EngineReport, CodecError>;

    /// Returns the start time that a server of any stage states in its report, if it states one.
    fn report_start(body: &[u8]) -> Option<SystemTime>;

    /// Returns the path (`POST`) and body of an order to an engine.
    fn order_request(order: &StageOrder) -> (String, Bytes);

    /// Decodes a row of [`StoreTable::Configuration`]; `None` if the row holds something else.
    fn route_table(key: &str, value: &[u8]) -> Result<Option<RouteTable>, CodecError>;

    /// Decodes a row of [`StoreTable::Servers`].
    fn server_entry(key: &str, value: &[u8]) -> Result<ServerEntry, CodecError>;
}
