//! The digest of a row that is taken as it stands.

use crate::cluster::RowDigest;
use crate::model::RowValue;
use crate::model::StoreRow;

/// A digest of the bytes of `row`; `None` when the row is gone.
pub fn raw_digest(row: &StoreRow) -> Option<RowDigest> {
    match &row.value {
        RowValue::Removed => None,
        RowValue::Held(value) => Some(umberglade_wire::digest(value)),
        RowValue::Unreadable(problem) => Some(umberglade_wire::digest(problem.as_bytes())),
    }
}
