//! A typed client of the platform's table service and object store.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;
use serde::Serialize;
use umberglade_wire::WireError;
use umberglade_wire::client::HttpClient;
use umberglade_wire::ids::RowVersion;
use umberglade_wire::platform::ObjectList;
use umberglade_wire::platform::Row;
use umberglade_wire::platform::RowList;
use umberglade_wire::platform::RowRemovals;
use umberglade_wire::platform::RowWrite;

/// The characters to percent-encode in a path segment: all but the unreserved ones.
///
/// A key may contain a `/` (an idempotency record's key is `organisation/key`). Unencoded, it would
/// be parsed as two segments, the service would respond 404, and no non-idempotent call could be
/// claimed.
const PATH_SEGMENT: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// The outcome of a conditional write.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect and left this row.
    Written(Row),
    /// The row is at another version, because another writer came first.
    Conflict { current_version: RowVersion },
}

/// A client of the platform's table service and object store at one address.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    http: HttpClient,
}

impl PlatformClient {
    /// Creates a client of the service at `addr` (`host:port`) with a `timeout` for each call.
    pub fn new(addr: impl Into<String>, timeout: Duration) -> Self {
        PlatformClient { http: HttpClient::new(addr, timeout) }
    }

    /// Returns the row at `table`/`key`, or `None` if it does not exist.
    pub async fn get(&self, table: &str, key: &str) -> Result<Option<Row>, WireError> {
        let path = row_path(table, key);
        match self.http.call::<(), Row>("read row", Method::GET, &path, None).await {
            Ok(row) => Ok(Some(row)),
            Err(error) if error.status() == Some(404) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Returns all rows of `table`.
    pub async fn list(&self, table: &str) -> Result<RowList, WireError> {
        let path = format!("/v1/rows/{table}");
        self.http.call::<(), RowList>("list rows", Method::GET, &path, None).await
    }

    /// Returns at most `limit` rows of `table`, starting at key `from`.
    pub async fn list_from(
        &self,
        table: &str,
        from: &str,
        limit: usize,
    ) -> Result<RowList, WireError> {
        let from = utf8_percent_encode(from, PATH_SEGMENT);
        let path = format!("/v1/rows/{table}?from={from}&limit={limit}");
        self.http.call::<(), RowList>("list rows", Method::GET, &path, None).await
    }

    /// Removes all rows of `removals` in one transaction, or none if one of them has changed.
    pub async fn remove_all(&self, table: &str, removals: &RowRemovals) -> Result<(), WireError> {
        let path = format!("/v1/rows/{table}/remove");
        let sent = self.http.call::<_, RowList>("remove rows", Method::POST, &path, Some(removals));
        sent.await.map(|_| ())
    }

    /// Writes `value` to `table`/`key` if the row is still at `expect_version` (0: must not exist).
    ///
    /// A write without a reply may have taken effect and is not retried. The caller has to read the
    /// row back, as [`PlatformClient::put_checked`] does.
    pub async fn put<T: Serialize>(
        &self,
        table: &str,
        key: &str,
        expect_version: RowVersion,
        value: &T,
    ) -> Result<WriteOutcome, WireError> {
        let path = row_path(table, key);
        let value = serde_json::to_value(value).expect("serialising a row");
        let write = RowWrite { expect_version, value };
        match self.http.call::<RowWrite, Row>("write row", Method::PUT, &path, Some(&write)).await {
            Ok(row) => Ok(WriteOutcome::Written(row)),
            Err(WireError::Status { status: 409, body, .. }) => {
                let current_version =
                    serde_json::from_str::<umberglade_wire::platform::WriteConflict>(&body)
                        .map_or(0, |conflict| conflict.current_version);
                Ok(WriteOutcome::Conflict { current_version })
            }
            Err(error) => Err(error),
        }
    }

    /// Performs a conditional write and reads the row back if no reply arrives. If the row then
    /// holds exactly `value` at `expect_version + 1`, the write took effect. Otherwise the result
    /// follows from the row read.
    pub async fn put_checked<T: Serialize>(
        &self,
        table: &str,
        key: &str,
        expect_version: RowVersion,
        value: &T,
    ) -> Result<WriteOutcome, WireError> {
        let error = match self.put(table, key, expect_version, value).await {
            Ok(outcome) => return Ok(outcome),
            Err(error) if error.is_outcome_unknown() => error,
            Err(error) => return Err(error),
        };
        tracing::warn!(%error, table, key, "no reply to a write; reading the row back");
        let wanted = serde_json::to_value(value).expect("serialising a row");
        match self.get(table, key).await? {
            Some(row) if row.version == expect_version + 1 && row.value == wanted => {
                Ok(WriteOutcome::Written(row))
            }
            Some(row) => Ok(WriteOutcome::Conflict { current_version: row.version }),
            None => Err(error),
        }
    }

    /// Removes the row at `table`/`key` if it is still at `version`. A row that has changed stays.
    pub async fn remove(
        &self,
        table: &str,
        key: &str,
        version: RowVersion,
    ) -> Result<(), WireError> {
        let path = format!("{}?version={version}", row_path(table, key));
        let response = self.http.send("remove row", Method::DELETE, &path, None).await?;
        self.http.read_full_body("remove row", response).await.map(|_| ())
    }

    /// Stores `body` as object `name`, replacing an existing object.
    pub async fn put_object(&self, name: &str, body: Bytes) -> Result<(), WireError> {
        let path = object_path(name);
        let response = self.http.send("write object", Method::PUT, &path, Some(body)).await?;
        self.http.read_full_body("write object", response).await.map(|_| ())
    }

    /// Returns object `name`, or `None` if it does not exist.
    pub async fn get_object(&self, name: &str) -> Result<Option<Bytes>, WireError> {
        let path = object_path(name);
        let response = self.http.send("read object", Method::GET, &path, None).await?;
        match self.http.read_full_body("read object", response).await {
            Ok(body) => Ok(Some(body)),
            Err(error) if error.status() == Some(404) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Returns the names of the objects that begin with `prefix`.
    pub async fn list_objects(&self, prefix: &str) -> Result<ObjectList, WireError> {
        let prefix = utf8_percent_encode(prefix, PATH_SEGMENT);
        let path = format!("/v1/objects?prefix={prefix}");
        self.http.call::<(), ObjectList>("list objects", Method::GET, &path, None).await
    }
}

fn object_path(name: &str) -> String {
    format!("/v1/objects/{}", utf8_percent_encode(name, PATH_SEGMENT))
}

/// Returns the path of row `table`/`key` with both segments percent-encoded.
fn row_path(table: &str, key: &str) -> String {
    let table = utf8_percent_encode(table, PATH_SEGMENT);
    let key = utf8_percent_encode(key, PATH_SEGMENT);
    format!("/v1/rows/{table}/{key}")
}
