//! The content of a table, as gateways transfer it to each other.

use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::cluster::TableFingerprint;
use crate::model::RowValue;
use crate::model::StoreRow;
use crate::model::StoreStamp;

/// Maximum size of a decompressed image, in bytes.
const MAX_IMAGE_BYTES: usize = 64 * 1024 * 1024;

/// One row of an image. Unlike [`StoreRow`], it states the eras of its stamp.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ImageRow {
    key: String,
    stamp: StoreStamp,
    value: RowValue,
}

/// The rows of a table, or those that have changed since the receiver's content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableImage {
    /// True if these are all rows of the table.
    pub is_whole: bool,
    /// Fingerprint of the sender's content.
    pub fingerprint: TableFingerprint,
    /// The store's version up to which the sender knows the table.
    pub through: StoreStamp,
    /// Time since the sender's content matched the store.
    pub age: Duration,
    pub rows: Vec<StoreRow>,
}

/// Encodes `rows`, compressed.
pub fn encode_rows(rows: Vec<StoreRow>) -> Bytes {
    let rows: Vec<ImageRow> = rows
        .into_iter()
        .map(|StoreRow { key, stamp, value }| ImageRow { key, stamp, value })
        .collect();
    let bytes = postcard::to_allocvec(&rows).expect("encoding plain fields");
    lz4_flex::compress_prepend_size(&bytes).into()
}

/// Decodes what [`encode_rows`] has encoded; `None` if the bytes are malformed or too large.
pub fn decode_rows(bytes: &[u8]) -> Option<Vec<StoreRow>> {
    let size = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?);
    if size as usize > MAX_IMAGE_BYTES {
        return None;
    }
    let bytes = lz4_flex::decompress_size_prepended(bytes).ok()?;
    let rows: Vec<ImageRow> = postcard::from_bytes(&bytes).ok()?;
    let rows = rows.into_iter();
    Some(rows.map(|ImageRow { key, stamp, value }| StoreRow { key, stamp, value }).collect())
}
