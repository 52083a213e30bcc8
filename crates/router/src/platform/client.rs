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

/// What stays as it is in a path segment; all else is percent-encoded.
///
/// Guards against a key that holds a `/` (an idempotency record's key is
/// `organisation/key`): unencoded it reads as two segments, the service
/// answers 404, and no non-idempotent call can ever be claimed.
const SEGMENT: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// What a conditional write came to.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect; the row is now at this version.
    Written(Row),
    /// Another writer got there first; the row is at this version.
    Conflict { current_version: RowVersion },
}

/// The platform's table service at one address.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    http: HttpClient,
}

impl PlatformClient {
    /// A client of the service at `addr` (`host:port`), each call bounded
    /// by `timeout`.
    pub fn new(addr: impl Into<String>, timeout: Duration) -> Self {
        PlatformClient { http: HttpClient::new(addr, timeout) }
    }

    /// The row at `table`/`key`, or `None` when it does not exist.
    pub async fn get(&self, table: &str, key: &str) -> Result<Option<Row>, WireError> {
        let path = row_path(table, key);
        match self.http.call::<(), Row>("read row", Method::GET, &path, None).await {
            Ok(row) => Ok(Some(row)),
            Err(error) if error.status() == Some(404) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Every row of `table`.
    pub async fn list(&self, table: &str) -> Result<RowList, WireError> {
        let path = format!("/v1/rows/{table}");
        self.http.call::<(), RowList>("list rows", Method::GET, &path, None).await
    }

    /// At most `limit` rows of `table` from key `from` on.
    pub async fn list_from(
        &self,
        table: &str,
        from: &str,
        limit: usize,
    ) -> Result<RowList, WireError> {
        let from = utf8_percent_encode(from, SEGMENT);
        let path = format!("/v1/rows/{table}?from={from}&limit={limit}");
        self.http.call::<(), RowList>("list rows", Method::GET, &path, None).await
    }

    /// Removes every row of `removals` in one transaction, or none when one
    /// has moved on.
    pub async fn remove_all(&self, table: &str, removals: &RowRemovals) -> Result<(), WireError> {
        let path = format!("/v1/rows/{table}/remove");
        let sent = self.http.call::<_, RowList>("remove rows", Method::POST, &path, Some(removals));
        sent.await.map(|_| ())
    }

    /// Writes `value` to `table`/`key` if the row is still at
    /// `expect_version` (0: must not exist).
    ///
    /// An unanswered write may have taken effect (a lost reply); this call
    /// does not retry it blindly. The caller reads the row back and
    /// decides, see [`PlatformClient::put_checked`].
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

    /// A conditional write that survives a lost reply: when the answer
    /// never comes, it reads the row back. If the row now holds exactly
    /// `value` at `expect_version + 1`, the write took effect; otherwise
    /// the outcome is reported as the read found it.
    pub async fn put_checked<T: Serialize>(
        &self,
        table: &str,
        key: &str,
        expect_version: RowVersion,
        value: &T,
    ) -> Result<WriteOutcome, WireError> {
        let error = match self.put(table, key, expect_version, value).await {
            Ok(outcome) => return Ok(outcome),
            Err(error) if error.is_unanswered() => error,
            Err(error) => return Err(error),
        };
        tracing::warn!(%error, table, key, "write unanswered; reading back");
        let wanted = serde_json::to_value(value).expect("serialising a row");
        match self.get(table, key).await? {
            Some(row) if row.version == expect_version + 1 && row.value == wanted => {
                Ok(WriteOutcome::Written(row))
            }
            Some(row) => Ok(WriteOutcome::Conflict { current_version: row.version }),
            None => Err(error),
        }
    }

    /// Removes the row at `table`/`key` if it is still at `version`; a row
    /// that has moved on stays.
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

    /// Stores `body` as object `name`, replacing what was there.
    pub async fn put_object(&self, name: &str, body: Bytes) -> Result<(), WireError> {
        let path = object_path(name);
        let response = self.http.send("write object", Method::PUT, &path, Some(body)).await?;
        self.http.read_full_body("write object", response).await.map(|_| ())
    }

    /// Object `name`, or `None` when there is none.
    pub async fn get_object(&self, name: &str) -> Result<Option<Bytes>, WireError> {
        let path = object_path(name);
        let response = self.http.send("read object", Method::GET, &path, None).await?;
        match self.http.read_full_body("read object", response).await {
            Ok(body) => Ok(Some(body)),
            Err(error) if error.status() == Some(404) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Names of objects that begin with `prefix`.
    pub async fn list_objects(&self, prefix: &str) -> Result<ObjectList, WireError> {
        let prefix = utf8_percent_encode(prefix, SEGMENT);
        let path = format!("/v1/objects?prefix={prefix}");
        self.http.call::<(), ObjectList>("list objects", Method::GET, &path, None).await
    }
}

fn object_path(name: &str) -> String {
    format!("/v1/objects/{}", utf8_percent_encode(name, SEGMENT))
}

/// The path of row `table`/`key`, each part percent-encoded.
fn row_path(table: &str, key: &str) -> String {
    let table = utf8_percent_encode(table, SEGMENT);
    let key = utf8_percent_encode(key, SEGMENT);
    format!("/v1/rows/{table}/{key}")
}
