//! The seam between the gateway and a platform's manner of speaking.

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
use crate::model::StoreTable;
use crate::model::StoreVersion;

/// Why a message of the platform could not be understood.
#[derive(Debug, Snafu)]
#[snafu(display("{what}: {problem}"))]
#[snafu(visibility(pub))]
pub struct CodecError {
    /// Which message, and which of its fields if known.
    pub what: String,
    pub problem: String,
}

/// Translates names, formats and calls of a platform; decides nothing and
/// keeps nothing. Implemented by the `platform/` package; generic, so no
/// `dyn` sits on the request path.
pub trait PlatformCodec: Send + Sync + 'static {
    /// Where the balancer asks whether this instance takes callers.
    const READY_PATH: &'static str;
    /// The header by which a request is for one server alone.
    const ONLY_FOR: &'static str;

    /// Decodes a caller's request head.
    fn request_head(headers: &HeaderMap) -> RequestHead;

    /// The headers with which a caller's request is sent on: the caller's
    /// own, less those of one connection and those only we may set, plus
    /// what `order` says.
    fn onward_headers(headers: &HeaderMap, order: &AttemptSpec) -> HeaderMap;

    /// Puts what servers are told of who calls into `headers`, whatever the
    /// caller sent there, and takes its key out where organisations hold keys.
    fn mark_caller(headers: &mut HeaderMap, caller: &CallerIdentity);

    /// Decodes a backend server's answer head.
    fn response_head(headers: &HeaderMap) -> ResponseHead;

    /// The headers of an answer as the caller gets them: less those of one
    /// connection.
    fn reply_headers(headers: &HeaderMap) -> HeaderMap;

    /// Decodes a prefill server's answer body.
    fn prefill_result(body: &[u8]) -> Result<PrefillResult, CodecError>;

    /// The path on which a prefill server is told (`DELETE`) to let go of
    /// `handle`.
    fn release_path(handle: &str) -> String;

    /// The path (`GET`) that lists `table`, from `after` (exclusive).
    fn list_path(table: StoreTable, after: Option<&str>) -> String;

    /// The path (`GET`) that waits for changes of `table` beyond `version`.
    fn feed_path(table: StoreTable, version: StoreVersion, wait_ms: u64) -> String;

    /// Decodes the answer to a listing or a feed.
    fn row_batch(body: &[u8]) -> Result<RowBatch, CodecError>;

    /// The path (`POST`) and body that write one row of our own, whatever
    /// it held.
    fn put_call(table: StoreTable, key: &str, value: &[u8]) -> (String, Bytes);

    /// The path (`POST`) and body that write one row if it still has version
    /// `known`; 0 where there must be none.
    fn claim_call(
        table: StoreTable,
        key: &str,
        value: &[u8],
        known: StoreVersion,
    ) -> (String, Bytes);

    /// The path (`POST`) and body that remove one row if it still has version
    /// `known`.
    fn remove_call(table: StoreTable, key: &str, known: StoreVersion) -> (String, Bytes);

    /// Decodes the answer to a write that was done: the store's version by
    /// then.
    fn written_version(body: &[u8]) -> Result<StoreVersion, CodecError>;

    /// The path (`GET`) on which an engine tells of itself.
    const REPORT_PATH: &'static str;

    /// Decodes an engine's answer there.
    fn engine_report(body: &[u8]) -> Result<EngineReport, CodecError>;

    /// The path (`POST`) and body of an order to an engine.
    fn order_call(order: &StageOrder) -> (String, Bytes);

    /// Decodes a row of [`StoreTable::Configuration`]; `None` when the row
    /// holds something else.
    fn route_table(key: &str, value: &[u8]) -> Result<Option<RouteTable>, CodecError>;

    /// Decodes a row of [`StoreTable::Servers`].
    fn server_entry(key: &str, value: &[u8]) -> Result<ServerEntry, CodecError>;
}
