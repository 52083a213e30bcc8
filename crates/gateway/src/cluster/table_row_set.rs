//! The content of a store table, summarised as one number that gateways compare.

use rustc_hash::FxHashMap;

use crate::model::RowValue;
use crate::model::StoreRow;
use crate::model::StoreStamp;

/// Digest of a row's content; rows that differ only in irrelevant details have the same digest.
pub type RowDigest = u64;
/// Digest of a whole table's content, independent of the order of its rows.
pub type TableFingerprint = u64;

/// Maximum number of deleted rows that are remembered; beyond it the older half is forgotten, and a
/// gateway that lacks one of those gets the whole table. Without a bound, a process that never lists
/// the table again would keep every server that ever left.
const MAX_DELETED_ROWS: usize = 1024;

/// The last known state of one row.
#[derive(Debug, Clone)]
struct KnownRow {
    stamp: StoreStamp,
    /// The stamp with which the content became what it is.
    changed_at: StoreStamp,
    /// `None` once the row is deleted, so that an older version that arrives late does not restore
    /// it.
    digest: Option<RowDigest>,
    /// The value, in tables that gateways transfer to each other.
    value: Option<RowValue>,
}

/// The content of one table, by row.
///
/// Servers renew their rows every second with the same content. Comparing content lets a gateway
/// send its peers only the rows that changed, and lets two gateways compare their whole tables by
/// one number.
#[derive(Debug, Default)]
pub struct TableRowSet {
    rows: FxHashMap<String, KnownRow>,
    /// Invariant: the exclusive or of the digests of all present rows, each combined with its key.
    fingerprint: TableFingerprint,
    /// Approximate number of deleted rows in `rows`.
    deleted: usize,
    /// Total size of the values in `rows`.
    value_bytes: usize,
    /// Deletions up to this stamp may have been forgotten.
    deletions_since: StoreStamp,
}

impl TableRowSet {
    /// Records a row, deleted if `digest` is `None`. Returns true if its content is new, and false
    /// if it is older than the known row or has the same content.
    pub fn record(&mut self, key: &str, stamp: StoreStamp, digest: Option<RowDigest>) -> bool {
        let known = self.rows.get_mut(key);
        if known.as_ref().is_some_and(|known| known.stamp > stamp) {
            return false;
        }
        let previous = known.as_ref().and_then(|known| known.digest);
        match known {
            Some(known) => {
                known.stamp = stamp;
                if previous != digest {
                    self.value_bytes -= value_size(known.value.as_ref());
                    *known = KnownRow { stamp, changed_at: stamp, digest, value: None };
                }
            }
            None => {
                let row = KnownRow { stamp, changed_at: stamp, digest, value: None };
                self.rows.insert(key.to_owned(), row);
            }
        }
        self.deleted += usize::from(digest.is_none());
        if self.deleted > MAX_DELETED_ROWS {
            self.forget_deleted();
        }
        if previous == digest {
            return false;
        }
        for row_digest in [previous, digest].into_iter().flatten() {
            self.fingerprint ^= keyed_digest(key, row_digest);
        }
        true
    }

    /// Keeps the value of a row that has been recorded, for transfers.
    pub fn keep_value(&mut self, row: &StoreRow) {
        if let Some(known) = self.rows.get_mut(&row.key)
            && known.stamp == row.stamp
            && known.digest.is_some()
        {
            self.value_bytes -= value_size(known.value.as_ref());
            known.value = Some(row.value.clone());
            self.value_bytes += value_size(known.value.as_ref());
        }
    }

    /// Returns the total size of the values that are kept, in bytes.
    pub fn value_bytes(&self) -> usize {
        self.value_bytes
    }

    /// Forgets the older half of the deleted rows.
    fn forget_deleted(&mut self) {
        let deleted = self.rows.values().filter(|row| row.digest.is_none());
        let mut stamps: Vec<StoreStamp> = deleted.map(|row| row.stamp).collect();
        stamps.sort_unstable();
        let Some(median) = stamps.get(stamps.len() / 2).copied() else { return };
        self.rows.retain(|_, row| row.digest.is_some() || row.stamp > median);
        self.deletions_since = self.deletions_since.max(median);
        self.deleted = stamps.iter().filter(|stamp| **stamp > median).count();
    }

    /// Replaces the content by a complete listing as of `version`; returns the keys of deleted
    /// rows. What is newer than the listing stays, except from another era of the store.
    pub fn replace<'a>(
        &mut self,
        rows: impl Iterator<Item = (&'a str, StoreStamp, RowDigest)>,
        stamp: StoreStamp,
    ) -> Vec<String> {
        let mut previous = std::mem::take(self);
        self.deletions_since = previous.deletions_since;
        for (key, row_stamp, digest) in rows {
            let known = previous.rows.remove(key);
            self.record(key, row_stamp, Some(digest));
            let is_same = |known: &KnownRow| known.digest == Some(digest);
            if let Some(known) = known.filter(is_same)
                && let Some(row) = self.rows.get_mut(key)
            {
                row.changed_at = known.changed_at;
                row.value = known.value;
                self.value_bytes += value_size(row.value.as_ref());
            }
        }
        let mut deleted = Vec::new();
        for (key, row) in previous.rows {
            if row.stamp.seen_era() != stamp.seen_era() {
                self.deletions_since = self.deletions_since.max(stamp);
            } else if row.stamp > stamp || row.digest.is_none() {
                self.restore(key.clone(), row);
                continue;
            } else {
                self.record(&key, stamp, None);
            }
            if row.digest.is_some() && row.stamp <= stamp {
                deleted.push(key);
            }
        }
        deleted
    }

    /// Adds a row that a listing does not contain.
    fn restore(&mut self, key: String, row: KnownRow) {
        if let Some(digest) = row.digest {
            self.fingerprint ^= keyed_digest(&key, digest);
        }
        self.deleted += usize::from(row.digest.is_none());
        self.value_bytes += value_size(row.value.as_ref());
        self.rows.insert(key, row);
    }

    /// Returns all rows, sorted by key, or `None` if the value of one is not known.
    pub fn all_rows(&self) -> Option<Vec<StoreRow>> {
        let present = self.rows.iter().filter(|(_, row)| row.digest.is_some());
        let mut rows =
            present.map(|(key, row)| stored_row(key, row)).collect::<Option<Vec<_>>>()?;
        rows.sort_unstable_by(|left, right| left.key.cmp(&right.key));
        Some(rows)
    }

    /// Returns the rows whose content has changed, or that were deleted, after `since`, or `None`
    /// if that is not known.
    pub fn rows_changed_after(&self, since: StoreStamp) -> Option<Vec<StoreRow>> {
        if since < self.deletions_since {
            return None;
        }
        let changed = self.rows.iter().filter(|(_, row)| row.changed_at > since);
        changed.map(|(key, row)| stored_row(key, row)).collect()
    }

    /// Returns true if a row's content has changed, or a row was deleted, after `stamp`.
    pub fn has_changed_after(&self, stamp: StoreStamp) -> bool {
        self.rows.values().any(|row| row.changed_at > stamp)
    }

    /// Returns the keys of the rows up to `stamp` that are present and for which `is_listed` returns
    /// false.
    pub fn missing_from(&self, is_listed: impl Fn(&str) -> bool, stamp: StoreStamp) -> Vec<String> {
        let present = self.rows.iter().filter(|(_, row)| row.digest.is_some());
        let missing = present.filter(|(key, row)| row.stamp <= stamp && !is_listed(key));
        missing.map(|(key, _)| key.clone()).collect()
    }

    /// Returns the number of remembered rows, including deleted ones.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns true if no row is remembered.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the fingerprint, which is equal at gateways that hold the same content.
    pub fn fingerprint(&self) -> TableFingerprint {
        self.fingerprint
    }
}

fn value_size(value: Option<&RowValue>) -> usize {
    match value {
        Some(RowValue::Held(bytes)) => bytes.len(),
        Some(RowValue::Removed | RowValue::Unreadable(_)) | None => 0,
    }
}

/// Returns a row with its value, or `None` if that is not known.
fn stored_row(key: &str, row: &KnownRow) -> Option<StoreRow> {
    let value = match row.digest {
        None => RowValue::Removed,
        Some(_) => row.value.clone()?,
    };
    Some(StoreRow { key: key.to_owned(), stamp: row.changed_at.max(row.stamp), value })
}

fn keyed_digest(key: &str, digest: RowDigest) -> u64 {
    umberglade_wire::digest_seeded(key.as_bytes(), digest)
}
