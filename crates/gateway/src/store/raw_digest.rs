//! Digest of a row's value without decoding it.

use crate::cluster::RowDigest;
use crate::model::RowValue;
use crate::model::StoreRow;
use crate::model::StoreStamp;

/// Returns a digest of a row's content by its stamp: no two versions of a row have the same
/// content, as far as a gateway knows before it has read them.
pub fn stamp_digest(stamp: StoreStamp) -> RowDigest {
    umberglade_wire::digest_seeded(&stamp.version().to_le_bytes(), stamp.written_era())
}

/// Returns a digest of the value of `row`, or `None` if the row was removed.
pub fn raw_digest(row: &StoreRow) -> Option<RowDigest> {
    match &row.value {
        RowValue::Removed => None,
        RowValue::Held(value) => Some(umberglade_wire::digest(value)),
        RowValue::Unreadable(problem) => Some(umberglade_wire::digest(problem.as_bytes())),
    }
}
