//! A typed client of the platform's table service and instance list.

use std::time::Duration;

use http::Method;
use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use umberglade_wire::WireError;
use umberglade_wire::client::HttpClient;
use umberglade_wire::error::DecodeSnafu;
use umberglade_wire::ids::RowVersion;
use umberglade_wire::platform::InstanceList;
use umberglade_wire::platform::Row;
use umberglade_wire::platform::RowList;
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

/// What a read of a row that may not have changed found.
#[derive(Debug, Clone, PartialEq)]
pub enum RowRead {
    /// The row is still at the known version.
    Unchanged,
    /// The row does not exist.
    Absent,
    /// The row has moved on.
    Changed(Row),
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

    /// The service's address.
    pub fn addr(&self) -> &str {
        &self.http.peer
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

    /// The row at `table`/`key` if its version is above `known`:
    /// [`RowRead::Unchanged`] costs the service a read but carries no body.
    pub async fn get_newer(
        &self,
        table: &str,
        key: &str,
        known: RowVersion,
    ) -> Result<RowRead, WireError> {
        let path = format!("{}?newer_than={known}", row_path(table, key));
        let step = "read row if newer";
        let response = self.http.send(step, Method::GET, &path, None).await?;
        match response.status().as_u16() {
            304 => Ok(RowRead::Unchanged),
            404 => Ok(RowRead::Absent),
            _ => {
                let bytes = self.http.read_whole(step, response).await?;
                let row = serde_json::from_slice(&bytes)
                    .context(DecodeSnafu { step, peer: self.addr() })?;
                Ok(RowRead::Changed(row))
            }
        }
    }

    /// Every row of `table`.
    pub async fn list(&self, table: &str) -> Result<RowList, WireError> {
        let path = format!("/v1/rows/{table}");
        self.http.call::<(), RowList>("list rows", Method::GET, &path, None).await
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

    /// The instance list as the platform sees it now.
    pub async fn instances(&self) -> Result<InstanceList, WireError> {
        self.http
            .call::<(), InstanceList>("list instances", Method::GET, "/v1/instances", None)
            .await
    }

    /// The instance list if its generation is above `known`; `None` while
    /// unchanged, at the cost of a read but no body.
    pub async fn instances_newer(&self, known: u64) -> Result<Option<InstanceList>, WireError> {
        let path = format!("/v1/instances?newer_than={known}");
        let step = "list instances if newer";
        let response = self.http.send(step, Method::GET, &path, None).await?;
        if response.status().as_u16() == 304 {
            return Ok(None);
        }
        let bytes = self.http.read_whole(step, response).await?;
        let list =
            serde_json::from_slice(&bytes).context(DecodeSnafu { step, peer: self.addr() })?;
        Ok(Some(list))
    }

    /// Any JSON call on the platform stand-in (faults, usage, registering
    /// instances): `body` goes out, a `T` comes back.
    pub async fn raw<B: Serialize, T: DeserializeOwned>(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: Option<&B>,
    ) -> Result<T, WireError> {
        self.http.call(step, method, path, body).await
    }
}

/// The path of row `table`/`key`, each part percent-encoded.
fn row_path(table: &str, key: &str) -> String {
    let table = utf8_percent_encode(table, SEGMENT);
    let key = utf8_percent_encode(key, SEGMENT);
    format!("/v1/rows/{table}/{key}")
}
