//! Sizes of rows on the wire.

use crate::model::RowValue;
use crate::model::StoreRow;

/// Approximate overhead of a row in the store's responses, in bytes.
const ROW_OVERHEAD: usize = 40;

/// Estimates the size of `rows` on the wire from their keys and values.
pub(super) fn estimated_bytes(rows: &[StoreRow]) -> usize {
    let value = |row: &StoreRow| match &row.value {
        RowValue::Held(value) => base64_length(value.len()),
        RowValue::Removed | RowValue::Unreadable(_) => 0,
    };
    rows.iter().map(|row| value(row) + row.key.len() + ROW_OVERHEAD).sum()
}

/// Returns the length of `bytes` bytes in the store's encoding.
pub(super) fn base64_length(bytes: usize) -> usize {
    bytes * 4 / 3
}
