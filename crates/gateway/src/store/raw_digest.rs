//! Digest of a row's value without decoding it.

use crate::cluster::RowDigest;
use crate::model::RowValue;
use crate::model::StoreRow;

/// Returns a digest of the value of `row`, or `None` if the row was removed.
pub fn raw_digest(row: &StoreRow) -> Option<RowDigest> {
    match &row.value {
        RowValue::Removed => None,
        RowValue::Held(value) => Some(umberglade_wire::digest(value)),
        RowValue::Unreadable(problem) => Some(umberglade_wire::digest(problem.as_bytes())),
    }
}
